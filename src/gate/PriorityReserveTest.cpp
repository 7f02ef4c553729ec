#include "gate/PriorityReserve.h"
#include "gate/Admission.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr uint32_t Urgent = 1, Usual = 4, Bulk = 7;

PriorityReserve::Options enabled() {
  PriorityReserve::Options Opts;
  Opts.Enabled = true;
  return Opts;
}

/// An admission with a reserve for one service.
class ReservingGate {
public:
  explicit ReservingGate(uint32_t SlotCount, uint32_t QueueLimit)
      : Slots(options(), /*Seed=*/1) {
    Service Config;
    Config.Name = "a";
    Config.Slots = SlotCount;
    Config.QueueLimit = QueueLimit;
    Config.QueueWait = Millis(5000);
    this->Slots.configure(Config, Start);
  }

  Admission::Result admit(uint64_t Id, uint32_t Priority, TimePoint Now) {
    Admission::Request Call;
    Call.Id = {1, Id};
    Call.Deadline = Now + Millis(5000);
    Call.Priority = Priority;
    return this->Slots.admit(Call, Now);
  }
  bool runs(uint64_t Id, uint32_t Priority, TimePoint Now) {
    return this->admit(Id, Priority, Now).Action == Admission::Decision::Run;
  }
  void finish(uint64_t Id, TimePoint Now) {
    this->Slots.finished({1, Id}, /*Answered=*/true, Now);
  }
  /// Ids of the calls that start, in order.
  std::vector<uint64_t> advance(TimePoint Now) {
    std::vector<uint64_t> Ids;
    for (const CallId &Id : this->Slots.advanceQueue(Now).ToRun)
      Ids.push_back(Id.Seq);
    return Ids;
  }

  Admission Slots;

private:
  static Admission::Options options() {
    Admission::Options Opts;
    Opts.ReserveOpts = enabled();
    return Opts;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PriorityReserving)

/// Number of urgent calls that ran at the same time (Ran), and of those that
/// still run (Run).
struct ReserveRow {
  uint32_t Ran;
  uint32_t Run;
  size_t Slots;
  double MaxShare;
  size_t Reserved;
};
std::ostream &operator<<(std::ostream &To, const ReserveRow &Row) {
  return To << Row.Run << " of " << Row.Ran << " run, " << Row.Slots
            << " slots";
}

const ReserveRow ReserveRows[] = {
    {0, 0, 20, 0.25, 0}, {3, 3, 20, 0.25, 0},  {3, 1, 20, 0.25, 2},
    {9, 0, 20, 0.25, 5}, {9, 0, 20, 0.5, 9},   {9, 0, 20, 0, 0},
    {9, 0, 3, 0.5, 1},   {9, 0, 2, 0.5, 0},    {9, 0, 1, 0.5, 0},
    {9, 6, 20, 0.25, 3}, {40, 0, 20, 0.25, 5},
};

// The reserve must not exceed its bounds, or less urgent calls starve.
BOOST_DATA_TEST_CASE(ReservesHighestRecentNumber, data::make(ReserveRows),
                     Row) {
  PriorityReserve::Options Opts = enabled();
  Opts.MaxShare = Row.MaxShare;
  PriorityReserve Reserve(Opts);
  for (uint32_t I = 0; I < Row.Ran; ++I)
    Reserve.callStarted(Urgent, Start);
  for (uint32_t I = Row.Run; I < Row.Ran; ++I)
    Reserve.callEnded(Urgent, Start + Millis(150));
  TimePoint Now = Start + Millis(200);
  BOOST_TEST(Reserve.reservedSlots(Usual, Row.Slots, Now) == Row.Reserved);
  BOOST_TEST(Reserve.reservedSlots(1000, Row.Slots, Now) == Row.Reserved);
  BOOST_TEST(Reserve.reservedSlots(Urgent, Row.Slots, Now) == 0);
  BOOST_TEST(PriorityReserve({}).reservedSlots(Usual, Row.Slots, Now) == 0);
}

// When urgent calls stop, their slots must be given back after a second, and
// not before: the gaps between urgent calls are shorter.
BOOST_AUTO_TEST_CASE(ReserveEndsAfterWindow) {
  PriorityReserve Reserve(enabled());
  for (int I = 0; I < 4; ++I)
    Reserve.callStarted(Urgent, Start + Millis(I));
  TimePoint Stopped = Start + Millis(5030);
  for (int I = 0; I < 4; ++I)
    Reserve.callEnded(Urgent, Stopped);
  BOOST_TEST(Reserve.reservedSlots(Bulk, 20, Stopped + Millis(950)) == 4);
  BOOST_TEST(Reserve.reservedSlots(Bulk, 20, Stopped + Millis(1150)) == 0);
}

// Calls of a medium priority take slots that more urgent calls used before.
// Guards against a less urgent call that takes slots which calls of the medium
// priority must leave free.
BOOST_AUTO_TEST_CASE(LessUrgentCallNeverHasMoreSlots) {
  PriorityReserve Reserve(enabled());
  for (int I = 0; I < 3; ++I)
    Reserve.callStarted(Urgent, Start);
  for (int I = 0; I < 3; ++I)
    Reserve.callEnded(Urgent, Start + Millis(100));
  for (int I = 0; I < 8; ++I)
    Reserve.callStarted(Usual, Start + Millis(200));
  TimePoint Now = Start + Millis(300);
  BOOST_TEST(Reserve.reservedSlots(Usual, 20, Now) == 3);
  BOOST_TEST(Reserve.reservedSlots(Bulk, 20, Now) == 3);
}

// Two of eight slots are reserved after two urgent calls. Waiting calls must
// not keep a more urgent call from the reserved slots, and must run once the
// reserve has ended.
BOOST_AUTO_TEST_CASE(QueueIsNotBlocked) {
  ReservingGate Gate(8, /*QueueLimit=*/10);
  for (uint64_t Id = 1; Id <= 2; ++Id)
    BOOST_TEST(Gate.runs(Id, Urgent, Start));
  for (uint64_t Id = 1; Id <= 2; ++Id)
    Gate.finish(Id, Start + Millis(100));
  TimePoint Now = Start + Millis(100);
  for (uint64_t Id = 11; Id <= 16; ++Id)
    BOOST_TEST(Gate.runs(Id, Bulk, Now));
  BOOST_TEST((Gate.admit(17, Bulk, Now).Action == Admission::Decision::Wait));
  BOOST_TEST((Gate.admit(18, Usual, Now).Action == Admission::Decision::Wait));
  BOOST_TEST(Gate.Slots.priorityReserve().waitCount() == 2);
  BOOST_TEST(Gate.advance(Now).empty());
  // Urgent calls overtake those that wait.
  BOOST_TEST(Gate.runs(21, Urgent, Now + Millis(1)));
  BOOST_TEST(Gate.runs(22, Urgent, Now + Millis(1)));
  BOOST_TEST((Gate.admit(23, Urgent, Now + Millis(1)).Action ==
              Admission::Decision::Wait));
  // A slot that comes free goes to the most urgent call.
  Gate.finish(11, Now + Millis(50));
  BOOST_TEST((Gate.advance(Now + Millis(50)) == std::vector<uint64_t>{23}));
  for (uint64_t Id = 21; Id <= 23; ++Id)
    Gate.finish(Id, Now + Millis(60));
  // Five bulk calls run. Two slots of eight are reserved for the urgent calls.
  BOOST_TEST((Gate.advance(Now + Millis(60)) == std::vector<uint64_t>{18}));
  BOOST_TEST(Gate.advance(Now + Millis(900)).empty());
  BOOST_TEST((Gate.advance(Now + Millis(1300)) == std::vector<uint64_t>{17}));
}

// A call that cannot wait must be refused at once, with the reason that tells
// operators of the reserve, and be told apart from a full upstream.
BOOST_AUTO_TEST_CASE(RefusesWithItsOwnReason) {
  ReservingGate Gate(8, /*QueueLimit=*/0);
  std::vector<bool> Changes;
  Gate.Slots.priorityReserve().setChangeHook(
      [&](const PriorityReserve::Change &Of, TimePoint) {
        Changes.push_back(Of.Begins);
      });
  Gate.runs(1, Urgent, Start);
  Gate.finish(1, Start + Millis(10));
  TimePoint Now = Start + Millis(20);
  for (uint64_t Id = 11; Id <= 17; ++Id)
    BOOST_TEST(Gate.runs(Id, Bulk, Now));
  for (uint64_t Id = 18; Id <= 19; ++Id)
    BOOST_TEST(Gate.admit(Id, Bulk, Now).RefusalDetails.Reason ==
               "priority-reserve");
  BOOST_TEST(Gate.Slots.priorityReserve().refusalCount() == 2);
  BOOST_TEST(Gate.runs(20, Urgent, Now));
  BOOST_TEST(Gate.admit(21, Bulk, Now).RefusalDetails.Reason == "overload");
  Gate.advance(Now + Millis(1100));
  Gate.advance(Now + Millis(1200));
  BOOST_TEST((Changes == std::vector<bool>{true, false}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
