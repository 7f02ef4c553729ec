#include "gate/ColdStartLimiter.h"

#include "gate/Admission.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <vector>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr double PerSecond = 10;
constexpr Millis Warmup{3000};

TimePoint at(int64_t Ms) { return Start + Millis(Ms); }

ColdStartLimiter::Options options() {
  ColdStartLimiter::Options Opts;
  Opts.RateFactor = 1.5;
  Opts.ExtraCalls = 5;
  Opts.ReservedCalls = 0;
  return Opts;
}
// 10 calls per second, times 1.5, plus 5.
constexpr size_t WindowLimit = 20;

/// A limiter that was configured at Start and whose upstream reported itself
/// warm.
ColdStartLimiter warm() {
  ColdStartLimiter Limiter(options());
  Limiter.configure(PerSecond, Warmup, Start);
  Limiter.observeUpstream("up-1", Start);
  Limiter.shouldQuery(Start);
  Limiter.upstreamReported(Millis(0), Start);
  return Limiter;
}

/// An event at a warm upstream, and whether the upstream counts as cold 600 ms
/// and 3.1 s after it.
struct SignRow {
  const char *Name;
  std::function<void(ColdStartLimiter &)> Event;
  bool ColdAfter600Ms;
  bool ColdAfter3100Ms;
};
std::ostream &operator<<(std::ostream &To, const SignRow &Row) {
  return To << Row.Name;
}

void query(ColdStartLimiter &Limiter, int64_t QueriedMs,
           std::optional<Millis> ColdLeft, int64_t ReportedMs) {
  Limiter.shouldQuery(at(QueriedMs));
  Limiter.upstreamReported(ColdLeft, at(ReportedMs));
}

const SignRow Signs[] = {
    {"nothing", [](ColdStartLimiter &) {}, false, false},
    {"a suspected restart",
     [](ColdStartLimiter &Limiter) { Limiter.suspectRestart(at(0)); }, true,
     false},
    {"a suspected restart, then the upstream reports warm",
     [](ColdStartLimiter &Limiter) {
       Limiter.suspectRestart(at(0));
       query(Limiter, 500, Millis(0), 501);
     },
     false, false},
    {"a suspected restart, then the upstream reports cold for longer than a "
     "warm-up",
     [](ColdStartLimiter &Limiter) {
       Limiter.suspectRestart(at(0));
       query(Limiter, 500, Millis(4000), 501);
     },
     true, true},
    {"a suspected restart, then an answer that doesn't report the cold time",
     [](ColdStartLimiter &Limiter) {
       Limiter.suspectRestart(at(0));
       query(Limiter, 500, std::nullopt, 501);
     },
     true, false},
    {"an answer to a query that was sent before the suspected restart",
     [](ColdStartLimiter &Limiter) {
       Limiter.suspectRestart(at(0));
       Limiter.shouldQuery(at(500));
       Limiter.suspectRestart(at(510));
       Limiter.upstreamReported(Millis(0), at(520));
     },
     true, true},
    {"a call that names another upstream",
     [](ColdStartLimiter &Limiter) { Limiter.observeUpstream("up-2", at(0)); },
     true, false},
    {"a call that names the same upstream",
     [](ColdStartLimiter &Limiter) { Limiter.observeUpstream("up-1", at(0)); },
     false, false},
    {"a call that names no upstream",
     [](ColdStartLimiter &Limiter) { Limiter.observeUpstream("", at(0)); },
     false, false},
    {"the list reports cold",
     [](ColdStartLimiter &Limiter) {
       Limiter.listReported(Millis(2000), at(0));
     },
     true, false},
    {"the list reports warm after a suspected restart",
     [](ColdStartLimiter &Limiter) {
       Limiter.suspectRestart(at(0));
       Limiter.listReported(Millis(0), at(10));
     },
     true, false},
    {"the upstream reports cold without a query",
     [](ColdStartLimiter &Limiter) {
       Limiter.upstreamReported(Millis(2000), at(0));
     },
     true, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ColdStartLimiting)

// Guards against a cold upstream that is taken for warm because its restart
// wasn't noticed.
BOOST_DATA_TEST_CASE(RestartSignsMakeTheUpstreamCold, data::make(Signs), Row) {
  ColdStartLimiter Limiter = warm();
  Row.Event(Limiter);
  BOOST_TEST(Limiter.isCold(at(600)) == Row.ColdAfter600Ms);
  BOOST_TEST(Limiter.isCold(at(3100)) == Row.ColdAfter3100Ms);
}

// Guards against a node that starts next to a cold upstream and takes it for
// warm.
BOOST_AUTO_TEST_CASE(CountsAsColdUntilTheFirstAnswer) {
  ColdStartLimiter Limiter(options());
  Limiter.configure(PerSecond, Warmup, Start);
  BOOST_TEST(Limiter.isCold(Start));
  BOOST_TEST(Limiter.shouldQuery(Start));
  BOOST_TEST(!Limiter.shouldQuery(at(400)));
  BOOST_TEST(Limiter.shouldQuery(at(500)));
  Limiter.upstreamReported(Millis(0), at(501));
  BOOST_TEST(!Limiter.isCold(at(501)));
  BOOST_TEST(!Limiter.shouldQuery(at(2000)));
}

// Guards against a node process that is killed and restarted at once, and sends
// its cold upstream as much as the previous process has just sent.
BOOST_AUTO_TEST_CASE(RequestsOfThePreviousProcessAreAssumed) {
  ColdStartLimiter Limiter(options());
  Limiter.startCounting(Start);
  Limiter.configure(PerSecond, Warmup, at(300));
  Limiter.startCounting(at(600));
  BOOST_TEST(Limiter.capacity(at(999)) == 0u);
  BOOST_TEST((Limiter.timeUntilCapacity(at(300)) == Millis(700)));
  BOOST_TEST(Limiter.capacity(at(1000)) == WindowLimit);
}

// Guards against one more second without service after a power failure, when
// all nodes and upstreams start together.
BOOST_AUTO_TEST_CASE(UpstreamThatStartsWithItsNodeHasFullCapacity) {
  for (int64_t UpstreamStartMs : {-300, -50, 200}) {
    ColdStartLimiter Limiter(options());
    Limiter.startCounting(Start);
    Limiter.configure(PerSecond, Warmup, at(400));
    query(Limiter, 400, Warmup - Millis(400 - UpstreamStartMs), 400);
    BOOST_TEST(Limiter.capacity(at(500)) ==
               (UpstreamStartMs < -100 ? 0u : WindowLimit));
  }
}

BOOST_AUTO_TEST_CASE(NewProcessNextToAWarmUpstreamIsNotLimited) {
  ColdStartLimiter Limiter(options());
  Limiter.startCounting(Start);
  Limiter.configure(PerSecond, Warmup, at(300));
  query(Limiter, 300, Millis(0), 301);
  BOOST_TEST(Limiter.capacity(at(301)) == SIZE_MAX);
}

BOOST_AUTO_TEST_CASE(WithoutAStatedRateNothingIsLimited) {
  ColdStartLimiter Limiter(options());
  Limiter.configure(/*CallsPerSecond=*/0, Warmup, Start);
  Limiter.suspectRestart(Start);
  BOOST_TEST(!Limiter.isCold(Start));
  BOOST_TEST(!Limiter.shouldQuery(Start));
  BOOST_TEST(Limiter.capacity(Start) == SIZE_MAX);
}

// Guards against two bursts that each fit into the limit of a fixed interval,
// but together exceed it within one window.
BOOST_AUTO_TEST_CASE(NoWindowExceedsTheLimit) {
  ColdStartLimiter Limiter(options());
  Limiter.configure(PerSecond, Millis(10000), Start);
  std::vector<TimePoint> Started;
  for (int64_t Ms = 0; Ms < 9000; Ms += 7) {
    bool InBurst = Ms % 1700 < 300;
    for (int Tries = InBurst ? 5 : 1; Tries > 0 && Limiter.capacity(at(Ms)) > 0;
         --Tries) {
      Limiter.recordSent(at(Ms));
      Started.push_back(at(Ms));
    }
  }
  for (size_t I = WindowLimit; I < Started.size(); ++I)
    BOOST_TEST((Started[I] - Started[I - WindowLimit] >= Millis(1000)));
  BOOST_TEST(Started.size() > 8 * WindowLimit);
}

// Guards against ignoring calls from just before a suspected restart: the
// upstream was already cold, but this wasn't known.
BOOST_AUTO_TEST_CASE(RequestsSentBeforeTheSuspicionCount) {
  ColdStartLimiter Limiter = warm();
  for (int64_t Ms = 0; Ms < 30; ++Ms)
    Limiter.recordSent(at(Ms));
  Limiter.suspectRestart(at(100));
  BOOST_TEST(Limiter.capacity(at(100)) == 0u);
  BOOST_TEST((Limiter.timeUntilCapacity(at(100)) == Millis(910)));
  BOOST_TEST(Limiter.isOverLimit(at(100)));
  BOOST_TEST(Limiter.capacity(at(1010)) == 1u);
  BOOST_TEST(Limiter.capacity(at(1100)) == WindowLimit);
  BOOST_TEST(!Limiter.isOverLimit(at(1100)));
}

// Guards against requests that wait for their connections and are all sent in a
// window that is full without them.
BOOST_AUTO_TEST_CASE(ReservationsUseCapacity) {
  ColdStartLimiter Limiter = warm();
  Limiter.suspectRestart(at(0));
  for (size_t I = 0; I < WindowLimit; ++I)
    Limiter.reserve();
  BOOST_TEST(Limiter.capacity(at(1500)) == 0u);
  BOOST_TEST((Limiter.timeUntilCapacity(at(1500)) > Millis(0)));
  Limiter.releaseReservation();
  Limiter.recordSent(at(1600));
  BOOST_TEST(Limiter.capacity(at(1700)) == 0u);
  Limiter.releaseReservation();
  BOOST_TEST(Limiter.capacity(at(1700)) == 1u);
}

// Guards against a crashing request that is never quarantined because the calls
// that the limiter allowed are taken for an overload of the cold upstream.
BOOST_AUTO_TEST_CASE(AllowedRequestsAreNotOverLimit) {
  ColdStartLimiter Limiter = warm();
  Limiter.suspectRestart(at(0));
  for (; Limiter.capacity(at(10)) > 0;)
    Limiter.recordSent(at(10));
  BOOST_TEST(!Limiter.isOverLimit(at(20)));
  Limiter.recordSent(at(20));
  BOOST_TEST(Limiter.isOverLimit(at(20)));
}

BOOST_AUTO_TEST_CASE(WaitEndsWithTheColdTime) {
  ColdStartLimiter Limiter = warm();
  Limiter.suspectRestart(at(0));
  Limiter.shouldQuery(at(500));
  Limiter.upstreamReported(Millis(200), at(500));
  for (size_t I = 0; I < WindowLimit; ++I)
    Limiter.recordSent(at(500));
  BOOST_TEST((Limiter.timeUntilCapacity(at(500)) == Millis(300)));
  // The upstream reports whole milliseconds, rounded down, so calls that wait
  // for the reported end would arrive too early.
  BOOST_TEST(Limiter.capacity(at(701)) == 0u);
  BOOST_TEST(Limiter.capacity(at(800)) == SIZE_MAX);
}

// Guards against a gate that admits calls by its free slots although its cold
// upstream can handle fewer.
BOOST_AUTO_TEST_CASE(AdmissionLimitsCallsToAColdUpstream) {
  Admission::Options Opts;
  Opts.ColdStartOpts = options();
  Admission Slots(Opts, /*Seed=*/1);
  Service Config;
  Config.Slots = 100;
  Config.QueueLimit = 5;
  Config.Warmup = Warmup;
  Config.ColdPerSecond = PerSecond;
  Slots.configure(Config, Start);
  size_t RunCount = 0, WaitCount = 0;
  for (uint64_t Seq = 1; Seq <= 40; ++Seq) {
    Admission::Request Call;
    Call.Id = {1, Seq};
    Call.Deadline = Start + Millis(5000);
    Admission::Result Result = Slots.admit(Call, Start);
    WaitCount += Result.Action == Admission::Decision::Wait;
    if (Result.Action != Admission::Decision::Run)
      continue;
    ++RunCount;
    BOOST_TEST(!Slots.reserveCapacity(Start));
    Slots.coldStart().recordSent(Start);
    Slots.coldStart().releaseReservation();
  }
  BOOST_TEST(RunCount == WindowLimit);
  // Further calls would wait for longer than calls may.
  BOOST_TEST(WaitCount == 0u);
  BOOST_TEST(Slots.load(Start).slots() < 100u);
  BOOST_TEST(Slots.load(Start).queued() >= WindowLimit);
}

// Guards against a call whose body takes seconds to arrive, and which starts in
// a window that is full by then.
BOOST_AUTO_TEST_CASE(CallsAreCountedWhenTheyStart) {
  ColdStartLimiter::Options Limits = options();
  Admission::Options Opts;
  Opts.ColdStartOpts = Limits;
  Admission Slots(Opts, /*Seed=*/1);
  Service Config;
  Config.Slots = 100;
  Config.Warmup = Warmup;
  Config.ColdPerSecond = PerSecond;
  Slots.configure(Config, Start);
  for (size_t I = 0; I < WindowLimit; ++I) {
    BOOST_TEST(!Slots.reserveCapacity(at(500)));
    Slots.coldStart().recordSent(at(500));
    Slots.coldStart().releaseReservation();
  }
  std::optional<Admission::Result> Refused = Slots.reserveCapacity(at(600));
  BOOST_REQUIRE(Refused);
  BOOST_TEST((Refused->RefusalDetails.CallOutcome == Outcome::NotRun));
  BOOST_TEST((Refused->RefusalDetails.RetryAfter >= Millis(900)));
  BOOST_TEST(!Slots.reserveCapacity(at(1500)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
