#include "gate/Admission.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

// Loads played at one upstream with faked time: what becomes of the calls of
// each kind.

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr Millis Length{20000};

/// Calls of one route.
struct Kind {
  std::string Name;
  double PerSecond = 0;
  Millis Run{0};
  Millis Target{0};
  Millis Deadline{0};
  uint32_t Priority = 1;
  /// Half of the runs take that much longer than Run, half that much less.
  Millis Spread{0};
};

struct Fate {
  int Asked = 0;
  int OnTarget = 0;
  int Late = 0;

  double served() const {
    return static_cast<double>(this->OnTarget + this->Late) / this->Asked;
  }
  double onTarget() const {
    return static_cast<double>(this->OnTarget) / this->Asked;
  }
};

class LoadPlayer {
public:
  LoadPlayer(std::vector<Kind> Kinds, uint32_t Slots)
      : Kinds(std::move(Kinds)), At(Admission::Options(), /*Seed=*/1) {
    Service Of;
    Of.Name = "a";
    Of.Slots = Slots;
    Of.QueueLimit = 100;
    Of.QueueWait = Millis(1000);
    this->At.configure(Of, Start);
  }

  std::map<std::string, Fate> play() {
    std::vector<double> Owed(this->Kinds.size(), 0);
    for (TimePoint Now = Start; Now < Start + Length; Now += Millis(1)) {
      this->endRuns(Now);
      this->pump(Now);
      for (size_t I = 0; I < this->Kinds.size(); ++I) {
        Owed[I] += this->Kinds[I].PerSecond / 1000;
        for (; Owed[I] >= 1; Owed[I] -= 1)
          this->ask(this->Kinds[I], Now);
      }
    }
    return this->Fates;
  }

private:
  struct Call {
    const Kind *Of = nullptr;
    TimePoint Came;
  };

  void ask(const Kind &Of, TimePoint Now) {
    Admission::Ask One;
    One.Id = {1, ++this->LastId};
    One.Deadline = Now + Of.Deadline;
    One.Target = Now + Of.Target;
    One.Priority = Of.Priority;
    One.Kind = Of.Name;
    this->Calls[One.Id] = {&Of, Now};
    ++this->Fates[Of.Name].Asked;
    if (this->At.ask(One, Now).What == Admission::Verdict::Run)
      this->begin(One.Id, Now);
  }

  void begin(const CallId &Id, TimePoint Now) {
    const Kind &Of = *this->Calls[Id].Of;
    Millis Run = Id.Seq % 2 ? Of.Run + Of.Spread : Of.Run - Of.Spread;
    this->Ends.emplace(Now + Run, Id);
  }

  void endRuns(TimePoint Now) {
    while (!this->Ends.empty() && this->Ends.begin()->first <= Now) {
      CallId Id = this->Ends.begin()->second;
      this->Ends.erase(this->Ends.begin());
      this->At.finished(Id, /*Answered=*/true, Now);
      const Call &One = this->Calls[Id];
      Fate &Of = this->Fates[One.Of->Name];
      ++(Now - One.Came <= One.Of->Target ? Of.OnTarget : Of.Late);
    }
  }

  void pump(TimePoint Now) {
    for (const CallId &Id : this->At.next(Now).Run)
      this->begin(Id, Now);
  }

  std::vector<Kind> Kinds;
  Admission At;
  uint64_t LastId = 0;
  std::map<CallId, Call> Calls;
  std::multimap<TimePoint, CallId> Ends;
  std::map<std::string, Fate> Fates;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateLoads)

// Long calls with a far target and short ones with a near target, of the same
// urgency, ask for 1.5 times what an upstream of nine slots can run. In order
// of targets each short call that came later went ahead of the long one, until
// that could not meet its own any more: callers of the long route saw
// refusals, 6 in 1,000 served, and those of the short one 7 in 10 answers.
BOOST_AUTO_TEST_CASE(LongCallsAreNotStarvedByShortOnes) {
  LoadPlayer Play({{"upload", 26, Millis(140), Millis(500), Millis(1200)},
                   {"lookup", 330, Millis(30), Millis(120), Millis(400)}},
                  9);
  std::map<std::string, Fate> Fates = Play.play();
  BOOST_TEST(Fates["upload"].served() > 0.6);
  BOOST_TEST(Fates["lookup"].served() > 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
