#include "calls/Body.h"
#include "calls/Message.h"
#include "cli/Views.h"
#include "routing/Chooser.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace hickorylift {

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

std::vector<Instance> twoPlaces() {
  std::vector<Instance> Out;
  for (const char *Name : {"n-1", "n-2", "n-3", "s-1", "s-2"})
    Out.push_back({Name, Name[0] == 'n' ? "north" : "south", "a", "127.0.0.1:1",
                   "127.0.0.1:2", false});
  return Out;
}

std::vector<const Instance *> pointers(const std::vector<Instance> &Of) {
  std::vector<const Instance *> Out;
  for (const Instance &One : Of)
    Out.push_back(&One);
  return Out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Calls)

// A body goes over links that break anywhere: each byte arrives once.
BOOST_AUTO_TEST_CASE(BodyIsWholeOverBrokenLinks) {
  std::mt19937 Random(4);
  for (int Round = 0; Round < 300; ++Round) {
    std::string Sent;
    for (unsigned I = 0; I < Random() % 5000; ++I)
      Sent += static_cast<char>(Random());
    SendStream Out(/*Window=*/512);
    ReceiveStream In;
    std::string Got;
    size_t Given = 0;
    for (int Step = 0; Step < 100000 && !In.ended(); ++Step) {
      size_t More = std::min<size_t>(Random() % 300, Sent.size() - Given);
      Out.append(std::string_view(Sent).substr(Given, More));
      Given += More;
      if (Given == Sent.size())
        Out.finish();
      auto Piece = Out.nextPiece(100);
      if (Piece && Random() % 4 != 0) {
        auto New = In.accept(Piece->Offset, Piece->Bytes, Piece->End);
        BOOST_REQUIRE(New.has_value());
        Got += *New;
      } else if (Piece) {
        BOOST_REQUIRE(Out.rewind(In.received())); // it was lost; a new link
      }
      if (Random() % 3 == 0)
        Out.credit(In.received());
    }
    BOOST_TEST(In.ended());
    BOOST_TEST((Got == Sent));
  }
}

BOOST_AUTO_TEST_CASE(BodyRefusesGapsAndNonsense) {
  ReceiveStream In;
  BOOST_TEST(!In.accept(5, "late", false).has_value());
  SendStream Out(100);
  Out.append("0123456789");
  Out.nextPiece(100);
  Out.credit(1000000); // from a peer that speaks rubbish
  BOOST_TEST(Out.replayable());
  Out.credit(4);
  BOOST_TEST(!Out.replayable());
  BOOST_TEST(!Out.rewind(0));
  BOOST_TEST(!Out.rewind(11));
  BOOST_TEST(Out.rewind(4));
}

// What is out is bounded by the window, however much is held to be sent again.
BOOST_AUTO_TEST_CASE(HeldBytesAreNotUnderWay) {
  SendStream Out(/*Window=*/4, /*Keep=*/8);
  Out.append("0123456789");
  Out.finish();
  BOOST_TEST(Out.nextPiece(100)->Bytes == "0123");
  BOOST_TEST(!Out.nextPiece(100).has_value());
  Out.credit(3);
  BOOST_TEST(Out.nextPiece(100)->Bytes == "456");
  BOOST_TEST(Out.replayable());
  BOOST_REQUIRE(Out.rewind(0));
  BOOST_TEST(Out.nextPiece(100)->Bytes == "0123");
  Out.credit(4);
  BOOST_TEST(Out.nextPiece(2)->Bytes == "45");
  BOOST_TEST(Out.nextPiece(100)->Bytes == "67");
  Out.credit(8);
  BOOST_TEST(Out.replayable());
  auto Last = Out.nextPiece(100);
  BOOST_TEST(Last->Bytes == "89");
  BOOST_TEST(Last->End);
  BOOST_TEST(!Out.isComplete());
  Out.credit(10);
  BOOST_TEST(!Out.replayable());
  BOOST_TEST(Out.isComplete());
}

BOOST_AUTO_TEST_CASE(ConnectionFieldsStayBehind) {
  HeaderList Out = endToEndHeaders({{"connection", "close"},
                                    {"X-A", "1"},
                                    {"TRANSFER-ENCODING", "chunked"},
                                    {"Content-Type", "text/plain"}});
  BOOST_TEST(Out.size() == 2u);
  BOOST_TEST(findHeader(Out, "x-a") == "1");
}

BOOST_AUTO_TEST_CASE(CallDecoderSurvivesRubbish) {
  std::mt19937 Random(9);
  Safeguards Unsealed;
  Unsealed.CheckFrames = false;
  wire::OpenT Open;
  Open.headers = toWire({{"a", "b"}, {"c", "d"}});
  Open.path = "/some/path";
  std::string Good = encodeFrame(makeCallFrame(std::move(Open)));
  int Read = 0;
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Good;
    if (Round % 2)
      Bytes.resize(Random() % 200);
    for (unsigned I = 0; I < 1 + Random() % 6; ++I)
      if (!Bytes.empty())
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    Read += static_cast<bool>(decodeCallFrame(Bytes, Unsealed));
  }
  BOOST_TEST(Read > 0);
  BOOST_TEST(Read < 20000);
}

BOOST_AUTO_TEST_CASE(OwnFirstThenTheDataCentreThenOthers) {
  std::vector<Instance> All = twoPlaces();
  Chooser Own({}, "north", "n-2", 1);
  BOOST_TEST(Own.pick(pointers(All), {}, Start)->Name == "n-2");
  // Full, and the wait for a slot is longer than the way to another.
  Own.learn("n-2", wire::Load(10, 0, 10, 100000), Start);
  BOOST_TEST(Own.pick(pointers(All), {}, Start)->Name != "n-2");
  Chooser Other({}, "north", "x-1", 1);
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(Other.pick(pointers(All), {}, Start)->DataCentre == "north");
  BOOST_TEST(
      Other.pick(pointers(All), {"n-1", "n-2", "n-3"}, Start)->DataCentre ==
      "south");
  BOOST_TEST(
      !Other.pick(pointers(All), {"n-1", "n-2", "n-3", "s-1", "s-2"}, Start));
}

BOOST_AUTO_TEST_CASE(LeavingAndDrainingAreLeftOut) {
  std::vector<Instance> All = twoPlaces();
  All[0].Leaving = true;
  Chooser Choose({}, "north", "x-1", 1);
  Choose.draining("n-2");
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(Choose.pick(pointers(All), {}, Start)->Name == "n-3");
}

// The network fails, and with it calls to all gates. If all were ejected,
// nobody would be served once it is back.
BOOST_AUTO_TEST_CASE(NotEveryoneIsEjected) {
  std::vector<Instance> All = twoPlaces();
  Chooser Choose({}, "north", "x-1", 1);
  for (const Instance &One : All)
    for (int I = 0; I < 5; ++I) {
      Choose.started(One.Name);
      Choose.ended(One.Name, /*Answered=*/false, Millis(1), Start);
    }
  BOOST_TEST(Choose.isEjected("n-1", Start));
  BOOST_TEST(Choose.pick(pointers(All), {}, Start));
}

BOOST_AUTO_TEST_CASE(OneBadGateIsEjectedAndComesBack) {
  std::vector<Instance> All = twoPlaces();
  Chooser Choose({}, "north", "x-1", 1);
  for (int I = 0; I < 3; ++I)
    Choose.ended("n-1", /*Answered=*/false, Millis(1), Start);
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(Choose.pick(pointers(All), {}, Start)->Name != "n-1");
  bool Back = false;
  for (int I = 0; I < 50; ++I)
    Back |= Choose.pick(pointers(All), {}, Start + Millis(2001))->Name == "n-1";
  BOOST_TEST(Back);
}

BOOST_AUTO_TEST_CASE(RetriesAreAShareOfFirstTries) {
  RetryBudget Budget(/*Reserve=*/2);
  int Retries = 0;
  for (int I = 0; I < 1000; ++I) {
    Budget.firstTry(10);
    Retries += Budget.retry(Start);
  }
  BOOST_TEST(Retries <= 102);
  BOOST_TEST(Retries >= 98);
}

BOOST_AUTO_TEST_CASE(ProgressIsSummedOverDataCentres) {
  Json::Value Fleet(Json::objectValue);
  Fleet["listed"]["n"] = 3;
  Fleet["listed"]["s"] = 2;
  Json::Value One(Json::objectValue);
  One["version"] = 5;
  One["nodes"] = 3;
  Fleet["data_centres"]["n"]["heard"] = 3;
  Fleet["data_centres"]["n"]["versions"].append(One);
  Fleet["data_centres"]["s"]["heard"] = 1;
  One["version"] = 4;
  One["nodes"] = 1;
  Fleet["data_centres"]["s"]["versions"].append(One);
  Progress Now = readProgress(Fleet, 5);
  BOOST_TEST(Now.Listed == 5u);
  BOOST_TEST(Now.Holding == 3u);
  BOOST_TEST(Now.notHeard() == 1u);
  BOOST_TEST(!Now.everywhere());
  BOOST_TEST(readProgress(Fleet, 4).Holding == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
