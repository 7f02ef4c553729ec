#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

/// A gate that measures shedding, with the changes that it reported.
struct SheddingFixture : GateFixture {
  std::vector<uint32_t> Changes;

  explicit SheddingFixture(bool Enabled) {
    Gate::Options Opts = this->options();
    Opts.ShedDetectorOpts.Enabled = Enabled;
    Gate::Hooks Hooks = this->hooks();
    Hooks.SheddingChanged = [this](uint32_t Percent, TimePoint) {
      this->Changes.push_back(Percent);
    };
    this->TestGate = std::make_unique<Gate>(Opts, Hooks);
    this->configure(GateRecords);
    this->TestGate->linkUp(Link, this->Now);
  }

  /// Starts a call, which the upstream answers while the others still run.
  void answerCall(uint64_t Seq, unsigned Status, bool Marked) {
    this->sendOpen(this->makeOpen(Seq));
    ResponseHead Head;
    Head.Status = Status;
    Head.Length = 0;
    if (Marked)
      Head.Headers = {{"Not-Run", "1"}};
    this->TestGate->upstreamHead({7, Seq}, Head, this->Now);
  }
  void listStart(const char *Upstream) {
    Instance Self;
    Self.Name = "me";
    Self.Service = "a";
    Self.Upstream = Upstream;
    Self.Slots = 10;
    this->TestGate->membersChanged({&Self}, this->Now);
  }
  /// The shed share in the last Failed frame; zero if there is none.
  uint32_t percentOfLastRefusal() const {
    for (auto Frame = this->SentFrames.rbegin();
         Frame != this->SentFrames.rend(); ++Frame)
      if (const auto *Failed = Frame->payload.AsFailed())
        return Failed->shed_percent;
    return 0;
  }
};

/// Twelve answers of one kind, at an upstream with ten slots.
struct AnswersRow {
  const char *Name;
  bool Enabled;
  unsigned Status;
  bool Marked;
  // Calls that run all the time.
  uint64_t Running;
  uint32_t Percent;
};
std::ostream &operator<<(std::ostream &Stream, const AnswersRow &Row) {
  return Stream << Row.Name;
}

const AnswersRow AnswersRows[] = {
    {"shed while idle", true, 503, true, 0, 100},
    {"shed with one free slot", true, 503, true, 8, 100},
    {"shed while full", true, 503, true, 9, 0},
    {"marked 429", true, 429, true, 0, 100},
    {"marked 408", true, 408, true, 0, 100},
    {"unmarked 503", true, 503, false, 0, 0},
    {"another process", true, 421, true, 0, 0},
    {"answered", true, 200, false, 0, 0},
    {"off", false, 503, true, 0, 0},
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateShedding)

// Guards against a full upstream that passes for one that sheds with free
// slots, and against entries that get the refusal without the share.
BOOST_DATA_TEST_CASE(OnlySheddingWithFreeSlotsCounts, data::make(AnswersRows),
                     Row) {
  SheddingFixture Test(Row.Enabled);
  Test.listStart("up-1");
  for (uint64_t Seq = 101; Seq <= 100 + Row.Running; ++Seq)
    Test.sendOpen(Test.makeOpen(Seq));
  for (uint64_t Seq = 1; Seq <= 12; ++Seq)
    Test.answerCall(Seq, Row.Status, Row.Marked);
  BOOST_TEST(Test.TestGate->shedPercent(Test.Now) == Row.Percent);
  BOOST_TEST(Test.percentOfLastRefusal() == Row.Percent);
  BOOST_TEST(Test.Changes.size() == (Row.Percent > 0 ? 1u : 0u));
  Test.answerCall(13, 200, /*Marked=*/false);
  const auto *Head = [&]() -> const wire::HeadT * {
    for (auto Frame = Test.SentFrames.rbegin(); Frame != Test.SentFrames.rend();
         ++Frame)
      if (const auto *Found = Frame->payload.AsHead())
        return Found;
    return nullptr;
  }();
  BOOST_REQUIRE(Head);
  BOOST_TEST((Head->shed_percent > 0) == (Row.Percent > 0));
}

// Guards against entries that do not learn why a call was refused where gates
// see too few calls to measure a share.
BOOST_DATA_TEST_CASE(ShedCallIsReportedWithoutOthers, data::make({true, false}),
                     Full) {
  SheddingFixture Test(/*Enabled=*/true);
  Test.listStart("up-1");
  for (uint64_t Seq = 101; Seq <= (Full ? 109 : 100); ++Seq)
    Test.sendOpen(Test.makeOpen(Seq));
  Test.answerCall(1, 503, /*Marked=*/true);
  BOOST_TEST(Test.percentOfLastRefusal() == (Full ? 0u : 1u));
  BOOST_TEST(Test.TestGate->shedPercent(Test.Now) == 0u);
  BOOST_TEST(Test.Changes.empty());
}

// The share must not outlive the shedding or the upstream, and operators learn
// once of its begin and once of its end.
BOOST_DATA_TEST_CASE(SheddingEnds, data::make({true, false}), Restarts) {
  SheddingFixture Test(/*Enabled=*/true);
  Test.listStart("up-1");
  for (uint64_t Seq = 1; Seq <= 20; ++Seq)
    Test.answerCall(Seq, 503, /*Marked=*/true);
  BOOST_TEST(Test.TestGate->shedPercent(Test.Now) == 100u);
  if (Restarts)
    Test.listStart("up-2");
  else
    Test.Now += Millis(600);
  Test.TestGate->tick(Test.Now);
  BOOST_TEST(Test.TestGate->shedPercent(Test.Now) == 0u);
  BOOST_TEST(Test.Changes == (std::vector<uint32_t>{100, 0}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
