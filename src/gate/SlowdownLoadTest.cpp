#include "calls/Gate.h"
#include "config/RecordFile.h"
#include "routing/LoadBalancer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>

// Several entries balance calls over uneven upstreams of which a few are slow
// at any time, simulated without network and real time.

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr Millis Step{1}, NetworkDelay{1}, TickInterval{20}, SlowPhase{600};
constexpr Millis WarmUp{5000}, Length{20000};
constexpr size_t EntryCount = 12, UpstreamCount = 12, Slots = 9;
// In each SlowPhase an upstream is slow with the probability SlowShare; its
// runs then take SlowFactor times as long.
constexpr double SlowShare = 0.15, SlowFactor = 2.5;
// A run takes TailFactor times as long with the probability TailShare.
constexpr double TailShare = 0.03, TailFactor = 7;
// Gates to which a call is offered before it fails.
constexpr unsigned MaxOffers = 3;

const char Records[] = R"([
  {"kind":"service","name":"a","schema":1,"slots":9,"queue":20,
   "queue_wait_ms":300},
  {"kind":"route","name":"r","schema":3,"match":{"prefix":"/"},
   "service":"a","idempotent":false}])";

/// The calls of one route.
struct CallKind {
  const char *Route;
  Millis RunTime, Target, Deadline;
};

const CallKind Lookup{"lookup", Millis(55), Millis(150), Millis(600)};
const CallKind List{"list", Millis(190), Millis(500), Millis(1500)};

struct Outcomes {
  double Calls = 0, InTime = 0;
  /// First offers while an upstream had been slow for at least the time that
  /// it may take until entries know of it, and those that went to it.
  double Offers = 0, SlowOffers = 0;
  /// Intervals of 100 ms, and the sum over them of the largest share of the
  /// offers that one upstream received.
  double Intervals = 0, LargestShares = 0;
  uint64_t Pongs = 0;

  double inTimeShare() const { return this->InTime / this->Calls; }
  double slowShare() const { return this->SlowOffers / this->Offers; }
  double largestShare() const { return this->LargestShares / this->Intervals; }
  Outcomes &operator+=(const Outcomes &Other) {
    this->Calls += Other.Calls;
    this->InTime += Other.InTime;
    this->Offers += Other.Offers;
    this->SlowOffers += Other.SlowOffers;
    this->Intervals += Other.Intervals;
    this->LargestShares += Other.LargestShares;
    this->Pongs += Other.Pongs;
    return *this;
  }
};

class FleetSimulator {
public:
  FleetSimulator(const CallKind &Kind, double Load, bool Enabled, uint64_t Seed)
      : Kind(Kind), Arrivals(Seed), Phases(Seed + 100) {
    LoadBalancer::Options BalancerOpts;
    BalancerOpts.FollowSlowdowns = Enabled;
    for (size_t I = 0; I < EntryCount; ++I)
      this->Balancers.emplace_back(BalancerOpts, "north", "portal", Seed + I);
    this->Upstreams.resize(UpstreamCount);
    for (size_t I = 0; I < UpstreamCount; ++I)
      this->addUpstream(I, Enabled);
    double MeanMs = static_cast<double>(Kind.RunTime.count()) *
                    (1 + TailShare * (TailFactor - 1)) *
                    (1 + SlowShare * (SlowFactor - 1));
    for (const Upstream &One : this->Upstreams)
      this->CallsPerStep += Load * Slots / (MeanMs * One.RunFactor);
  }

  Outcomes simulate() {
    for (; this->Now < Start + Length; this->Now += Step) {
      if ((this->Now - Start) % SlowPhase == Millis(0))
        this->chooseSlow();
      if ((this->Now - Start) % Millis(100) == Millis(0))
        this->closeInterval();
      this->deliver();
      this->runUpstreams();
      std::poisson_distribution<int> Count(this->CallsPerStep);
      for (int Left = Count(this->Arrivals); Left > 0; --Left)
        this->arrive();
    }
    for (const Upstream &One : this->Upstreams)
      this->Result.Pongs += One.Beside->counters().SlowdownPongs;
    return this->Result;
  }

private:
  struct Upstream {
    std::unique_ptr<Gate> Beside;
    Instance Listed;
    double RunFactor = 1;
    bool Slow = false;
    TimePoint SlowSince;
    size_t RecentOffers = 0;
    /// Work left of each run, in milliseconds at the usual speed.
    std::map<CallId, double> Runs;
  };
  struct PendingCall {
    TimePoint ArrivedAt, SentAt;
    std::set<std::string> Tried;
    size_t SentTo = 0;
    double Work = 0;
    bool Counted = false;
  };

  void addUpstream(size_t Index, bool Enabled) {
    Upstream &One = this->Upstreams[Index];
    One.RunFactor = 0.6 + static_cast<double>(Index) /
                              static_cast<double>(UpstreamCount - 1);
    One.Listed.Name = "up-" + std::to_string(Index);
    One.Listed.Service = "a";
    One.Listed.DataCentre = "north";
    this->All.push_back(&One.Listed);
    Gate::Options Opts;
    Opts.Self = One.Listed.Name;
    Opts.Service = "a";
    Opts.ReportSlowdown = Enabled;
    One.Beside = std::make_unique<Gate>(Opts, this->hooks(Index));
    FaultList Faults;
    One.Beside->configure(
        compileConfig(
            *Document::make(1, 1, *readRecordFile(Records, "f", Faults)),
            CompileOptions())
            .Compiled,
        Start);
    for (size_t Entry = 0; Entry < EntryCount; ++Entry)
      One.Beside->linkUp(Entry, Start);
  }

  Gate::Hooks hooks(size_t Index) {
    Gate::Hooks Hooks;
    Hooks.Send = [this, Index](Gate::LinkId Entry, wire::CallFrameT Frame) {
      auto Shared = std::make_shared<wire::CallFrameT>(std::move(Frame));
      this->post([this, Index, Entry, Shared] {
        this->handleFrame(Entry, Index, *Shared);
      });
    };
    Hooks.Start = [this, Index](const CallId &Id, const RequestHead &, bool) {
      Upstream &One = this->Upstreams[Index];
      One.Runs[Id] = this->Calls.at(Id).Work * One.RunFactor;
    };
    Hooks.Body = [](const CallId &, std::string_view) {};
    Hooks.BodyEnd = [](const CallId &) {};
    Hooks.Cancel = [this, Index](const CallId &Id) {
      this->Upstreams[Index].Runs.erase(Id);
    };
    Hooks.PauseAnswer = [](const CallId &, bool) {};
    return Hooks;
  }

  /// Run time of the next call at an upstream of mean speed, in milliseconds.
  double drawWork() {
    std::uniform_real_distribution<double> Spread(0.7, 1.3), Share(0, 1);
    double Factor = Spread(this->Arrivals);
    if (Share(this->Arrivals) < TailShare)
      Factor *= TailFactor;
    return static_cast<double>(this->Kind.RunTime.count()) * Factor;
  }

  void post(std::function<void()> Work) {
    this->InTransit.emplace_back(this->Now + NetworkDelay, std::move(Work));
  }
  void deliver() {
    while (!this->InTransit.empty() &&
           this->InTransit.front().first <= this->Now) {
      std::function<void()> Work = std::move(this->InTransit.front().second);
      this->InTransit.pop_front();
      Work();
    }
  }

  void chooseSlow() {
    std::uniform_real_distribution<double> Share(0, 1);
    for (Upstream &One : this->Upstreams) {
      bool Slow = Share(this->Phases) < SlowShare;
      if (Slow && !One.Slow)
        One.SlowSince = this->Now;
      One.Slow = Slow;
    }
  }

  void closeInterval() {
    size_t Total = 0, Largest = 0;
    for (Upstream &One : this->Upstreams) {
      Total += One.RecentOffers;
      Largest = std::max(Largest, std::exchange(One.RecentOffers, 0));
    }
    if (!this->measures() || Total == 0)
      return;
    ++this->Result.Intervals;
    this->Result.LargestShares +=
        static_cast<double>(Largest) / static_cast<double>(Total);
  }

  bool measures() const { return this->Now >= Start + WarmUp; }

  void runUpstreams() {
    for (Upstream &One : this->Upstreams) {
      std::vector<CallId> Ended;
      for (auto &[Id, Left] : One.Runs) {
        Left -= One.Slow ? 1 / SlowFactor : 1;
        if (Left <= 0)
          Ended.push_back(Id);
      }
      ResponseHead Head;
      Head.Status = 200;
      Head.Length = 0;
      for (const CallId &Id : Ended) {
        One.Runs.erase(Id);
        One.Beside->upstreamHead(Id, Head, this->Now);
      }
      if ((this->Now - Start) % TickInterval == Millis(0))
        One.Beside->tick(this->Now);
    }
  }

  void arrive() {
    CallId Id{this->Arrivals() % EntryCount, ++this->LastSeq};
    PendingCall &Call = this->Calls[Id];
    Call.ArrivedAt = this->Now;
    Call.Work = this->drawWork();
    Call.Counted = this->measures();
    this->Result.Calls += Call.Counted;
    this->offer(Id, Call);
  }

  void offer(const CallId &Id, PendingCall &Call) {
    LoadBalancer::CallInfo Info;
    Info.Route = this->Kind.Route;
    Clock::duration Age = this->Now - Call.ArrivedAt;
    Info.TargetLatency = this->Kind.Target;
    LoadBalancer &Balancer = this->Balancers[Id.Entry];
    const Instance *Picked =
        Call.Tried.size() >= MaxOffers || Age >= this->Kind.Deadline
            ? nullptr
            : Balancer.pick(this->All, Call.Tried, this->Now, Info);
    if (!Picked) {
      this->Calls.erase(Id);
      return;
    }
    Call.SentTo = std::stoul(Picked->Name.substr(3));
    Call.SentAt = this->Now;
    this->countOffer(Call);
    Call.Tried.insert(Picked->Name);
    Balancer.recordStart(Picked->Name);
    wire::OpenT Open;
    Open.seq = Id.Seq;
    Open.entry = Id.Entry;
    Open.service = "a";
    Open.method = "GET";
    Open.path = "/x";
    Open.route = this->Kind.Route;
    Open.budget_ms = toMillis(this->Kind.Deadline - Age).count();
    Open.target_ms =
        std::max<int64_t>(0, toMillis(this->Kind.Target - Age).count());
    this->post([this, Id, To = Call.SentTo, Open] {
      wire::OpenT Copy = Open;
      this->Upstreams[To].Beside->handleFrame(
          Id.Entry, makeCallFrame(std::move(Copy)), this->Now);
    });
  }

  void countOffer(const PendingCall &Call) {
    Upstream &To = this->Upstreams[Call.SentTo];
    ++To.RecentOffers;
    if (!Call.Counted || !Call.Tried.empty())
      return;
    Millis SeenAfter = 2 * this->Kind.RunTime + Millis(100);
    auto IsSeen = [&](const Upstream &One) {
      return One.Slow && this->Now - One.SlowSince > SeenAfter;
    };
    bool AnySeen =
        std::any_of(this->Upstreams.begin(), this->Upstreams.end(), IsSeen);
    this->Result.Offers += AnySeen;
    this->Result.SlowOffers += IsSeen(To);
  }

  void handleFrame(size_t Entry, size_t From, const wire::CallFrameT &Frame) {
    LoadBalancer &Balancer = this->Balancers[Entry];
    const std::string &Name = this->Upstreams[From].Listed.Name;
    if (const auto *Pong = Frame.payload.AsPong()) {
      Balancer.recordLoad(Name, *Pong->load, this->Now);
      Balancer.recordSlowdown(Name, Pong->slowdown_percent, this->Now);
    } else if (const auto *Head = Frame.payload.AsHead()) {
      Balancer.recordLoad(Name, *Head->load, this->Now);
      Balancer.recordSlowdown(Name, Head->slowdown_percent, this->Now);
      Balancer.recordRunTime(Name, this->Kind.Route, Micros(Head->ran_us),
                             this->Now);
      this->end({Entry, Head->seq}, Name, /*Answered=*/true);
    } else if (const auto *Failed = Frame.payload.AsFailed()) {
      Balancer.recordLoad(Name, *Failed->load, this->Now);
      if (Failed->reason == "overload")
        Balancer.recordRefusal(Name, Millis(Failed->room_in_ms), this->Now);
      this->end({Entry, Failed->seq}, Name, /*Answered=*/false,
                Failed->outcome == wire::Outcome::NotRun);
    }
  }

  void end(const CallId &Id, const std::string &Gate, bool Answered,
           bool NotRun = false) {
    auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end())
      return;
    PendingCall &Call = Found->second;
    this->Balancers[Id.Entry].recordEnd(Gate, Answered || NotRun,
                                        this->Now - Call.SentAt, this->Now);
    if (NotRun)
      return this->offer(Id, Call);
    if (Answered && Call.Counted)
      this->Result.InTime += this->Now - Call.ArrivedAt <= this->Kind.Target;
    this->Calls.erase(Found);
  }

  CallKind Kind;
  // Separate, so that the calls and the slow upstreams do not depend on what
  // the entries decide.
  std::mt19937_64 Arrivals, Phases;
  std::vector<LoadBalancer> Balancers;
  std::vector<Upstream> Upstreams;
  std::vector<const Instance *> All;
  std::map<CallId, PendingCall> Calls;
  std::deque<std::pair<TimePoint, std::function<void()>>> InTransit;
  double CallsPerStep = 0;
  uint64_t LastSeq = 0;
  Outcomes Result;
  TimePoint Now = Start;
};

/// A load, as a share of the slots.
struct LoadRow {
  const char *Name;
  CallKind Kind;
  double Load;
};
std::ostream &operator<<(std::ostream &To, const LoadRow &Row) {
  return To << Row.Name;
}

const LoadRow LoadRows[] = {
    {"lookups at 0.6", Lookup, 0.6},
    {"lookups at 0.9", Lookup, 0.9},
    {"lists at 0.6", List, 0.6},
    {"lists at 0.9", List, 0.9},
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlowdownsUnderLoad)

// Following slowdowns must not lower the share of answers in time: neither on
// upstreams with free slots, nor where the slots of slow upstreams are needed
// too. Fewer calls must go to upstreams that are known to be slow, and entries
// must not all move to one gate.
BOOST_DATA_TEST_CASE(CallsAvoidSlowUpstreams, data::make(LoadRows), Row) {
  Outcomes Without, With;
  for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
    Without += FleetSimulator(Row.Kind, Row.Load, false, Seed).simulate();
    With += FleetSimulator(Row.Kind, Row.Load, true, Seed).simulate();
  }
  BOOST_TEST_MESSAGE("in time "
                     << Without.inTimeShare() << " " << With.inTimeShare()
                     << ", to slow " << Without.slowShare() << " "
                     << With.slowShare() << ", largest "
                     << Without.largestShare() << " " << With.largestShare());
  BOOST_TEST(Without.Pongs == 0u);
  BOOST_TEST(With.Pongs > 0u);
  BOOST_TEST(With.inTimeShare() > Without.inTimeShare() - 0.005);
  BOOST_TEST(With.slowShare() < Without.slowShare() * 0.8);
  BOOST_TEST(With.largestShare() < Without.largestShare() * 1.15);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
