#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

// What a gate reports of slowdowns of its upstream. Runs start and end in
// groups of six.

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

constexpr uint64_t RunsAtOnce = 6;
constexpr Millis UsualTime{40}, SlowTime{160};
constexpr Gate::LinkId IdleLink = 2;

struct SlowdownFixture : GateFixture {
  explicit SlowdownFixture(bool Enabled = true) {
    Gate::Options Opts = this->options();
    Opts.ReportSlowdown = Enabled;
    Gate::Hooks Hooks = this->hooks();
    Hooks.Send = [this](Gate::LinkId To, wire::CallFrameT Frame) {
      this->note(To, Frame);
      this->SentFrames.push_back(std::move(Frame));
    };
    Hooks.SlowdownChanged = [this](bool Slow, uint32_t, TimePoint) {
      this->Changes.push_back(Slow);
    };
    this->TestGate = std::make_unique<Gate>(Opts, Hooks);
    this->configure(GateRecords);
    this->TestGate->linkUp(Link, this->Now);
    this->TestGate->linkUp(IdleLink, this->Now);
  }

  void note(Gate::LinkId To, const wire::CallFrameT &Frame) {
    if (const auto *Head = Frame.payload.AsHead())
      this->Reported.push_back(Head->slowdown_percent);
    if (const auto *Pong = Frame.payload.AsPong()) {
      this->Reported.push_back(Pong->slowdown_percent);
      this->PongTimes[To].push_back(this->Now);
    }
  }

  void startRuns() {
    for (uint64_t I = 0; I < RunsAtOnce; ++I)
      this->sendOpen(this->makeOpen(++this->LastSeq));
  }
  void endRuns() {
    ResponseHead Head;
    Head.Status = 200;
    Head.Length = 0;
    for (uint64_t I = 0; I < RunsAtOnce; ++I)
      this->TestGate->upstreamHead({7, this->LastSeq - I}, Head, this->Now);
  }
  void pass(Millis Length) {
    for (; Length > Millis(0); Length -= Millis(20)) {
      this->Now += Millis(20);
      this->TestGate->tick(this->Now);
    }
  }
  void runFor(Millis Length, Millis RunTime) {
    for (; Length > Millis(0); Length -= RunTime) {
      this->startRuns();
      this->pass(RunTime);
      this->endRuns();
    }
  }

  uint64_t LastSeq = 0;
  std::vector<uint32_t> Reported;
  std::vector<bool> Changes;
  std::map<Gate::LinkId, std::vector<TimePoint>> PongTimes;
};

/// An event that ends what the gate knows of the speed of its upstream.
struct ForgetRow {
  const char *Title;
  std::function<void(SlowdownFixture &)> Trigger;
};
std::ostream &operator<<(std::ostream &Stream, const ForgetRow &Row) {
  return Stream << Row.Title;
}

void listUpstream(SlowdownFixture &Test, uint64_t Incarnation) {
  Instance Self;
  Self.Name = "me";
  Self.Service = "a";
  Self.Upstream = "up-1";
  Self.Incarnation = Incarnation;
  Test.TestGate->membersChanged({&Self}, Test.Now);
}

const ForgetRow ForgetRows[] = {
    {"the list names another start of the upstream",
     [](SlowdownFixture &Test) {
       listUpstream(Test, 1);
       listUpstream(Test, 2);
     }},
    {"the upstream was gone and is back",
     [](SlowdownFixture &Test) {
       Test.TestGate->upstreamProbed(UpstreamProbeResult::Closed, Test.Now);
       Test.TestGate->upstreamProbed(UpstreamProbeResult::Open, Test.Now);
     }},
    {"the process was paused",
     [](SlowdownFixture &Test) {
       Test.Now += Millis(3000);
       Test.TestGate->processPaused(Test.Now);
     }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateSlowdown)

// An entry whose calls run at an upstream that has become slow must not wait
// for one of their answers to learn it, and must learn the recovery as well.
// A link with calls there gets one pong when the slowdown begins, and a link
// without calls gets none.
BOOST_AUTO_TEST_CASE(ChangesAreAnnouncedToLinksWithCalls) {
  SlowdownFixture Test;
  Test.runFor(Millis(2000), UsualTime);
  BOOST_TEST(Test.PongTimes.empty());
  TimePoint Began = Test.Now;
  Test.startRuns();
  Test.pass(SlowTime);
  BOOST_REQUIRE(Test.PongTimes[Gate::LinkId(1)].size() == 1u);
  BOOST_TEST(Test.Reported.back() > 150u);
  BOOST_TEST((Test.PongTimes[1].front() - Began < SlowTime));
  Test.endRuns();
  Test.runFor(Millis(1000), UsualTime);
  BOOST_TEST(Test.Reported.back() <= 150u);
  BOOST_TEST((Test.Changes == std::vector<bool>{true, false}));
  BOOST_TEST(Test.PongTimes[IdleLink].empty());
  BOOST_TEST(Test.TestGate->counters().SlowdownPongs ==
             Test.PongTimes[1].size());
}

// Runs alternate between their usual time and a long one. Without the limit
// each change would cost a frame on each link.
BOOST_AUTO_TEST_CASE(PongsAreLimited) {
  SlowdownFixture Test;
  Test.runFor(Millis(2000), UsualTime);
  for (int I = 0; I < 20; ++I) {
    Test.runFor(SlowTime, SlowTime);
    Test.runFor(Millis(240), UsualTime);
  }
  const std::vector<TimePoint> &Times = Test.PongTimes[Gate::LinkId(1)];
  BOOST_REQUIRE(Times.size() > 1u);
  for (size_t I = 1; I < Times.size(); ++I)
    BOOST_TEST((Times[I] - Times[I - 1] >= Millis(200)));
}

// Guards against reports from nodes whose settings do not turn the feature on.
BOOST_AUTO_TEST_CASE(NothingIsReportedByDefault) {
  BOOST_TEST(!Gate::Options().ReportSlowdown);
  SlowdownFixture Test(/*Enabled=*/false);
  Test.runFor(Millis(2000), UsualTime);
  Test.runFor(Millis(1000), SlowTime);
  BOOST_TEST(Test.PongTimes.empty());
  BOOST_TEST(std::count(Test.Reported.begin(), Test.Reported.end(), 0u) ==
             static_cast<long>(Test.Reported.size()));
}

// A slowdown from before a restart or a pause must not keep calls away from
// the upstream that runs now.
BOOST_DATA_TEST_CASE(OldSlowdownIsForgotten, data::make(ForgetRows), Row) {
  SlowdownFixture Test;
  Test.runFor(Millis(2000), UsualTime);
  Test.runFor(Millis(480), SlowTime);
  BOOST_TEST(Test.TestGate->slowdownPercent(Test.Now) > 150u);
  Row.Trigger(Test);
  BOOST_TEST(Test.TestGate->slowdownPercent(Test.Now) == 0u);
}

// An answer that its caller reads slowly occupies a slot for long although the
// upstream is as fast as ever.
BOOST_AUTO_TEST_CASE(SlowCallersDoNotMakeTheUpstreamSlow) {
  SlowdownFixture Test;
  Test.runFor(Millis(2000), UsualTime);
  Test.startRuns();
  Test.pass(UsualTime);
  ResponseHead Head;
  Head.Status = 200;
  Head.Length = 4 << 20;
  for (uint64_t I = 0; I < RunsAtOnce; ++I) {
    CallId Id{7, Test.LastSeq - I};
    Test.TestGate->upstreamHead(Id, Head, Test.Now);
    Test.TestGate->upstreamData(Id, std::string(2 << 20, 'x'), Test.Now);
  }
  Test.pass(Millis(600));
  BOOST_TEST(Test.Changes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
