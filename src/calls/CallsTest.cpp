#include "calls/Body.h"
#include "calls/Message.h"
#include "cli/Views.h"
#include "routing/LoadBalancer.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace hickorylift {

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

std::vector<Instance> gatesInTwoDataCentres() {
  std::vector<Instance> Gates;
  for (const char *Name : {"n-1", "n-2", "n-3", "s-1", "s-2"})
    Gates.push_back({Name, Name[0] == 'n' ? "north" : "south", "a",
                     "127.0.0.1:1", "127.0.0.1:2", false});
  return Gates;
}

std::vector<const Instance *> pointers(const std::vector<Instance> &Gates) {
  std::vector<const Instance *> Result;
  for (const Instance &Gate : Gates)
    Result.push_back(&Gate);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Calls)

// Links break at arbitrary points while a body is sent. Each byte must arrive
// exactly once.
BOOST_AUTO_TEST_CASE(BodyIsCompleteOverBrokenLinks) {
  std::mt19937 Random(4);
  for (int Round = 0; Round < 300; ++Round) {
    std::string Body;
    for (unsigned I = 0; I < Random() % 5000; ++I)
      Body += static_cast<char>(Random());
    SendStream Sender(/*Window=*/512);
    ReceiveStream Receiver;
    std::string ReceivedBody;
    size_t Appended = 0;
    for (int Step = 0; Step < 100000 && !Receiver.ended(); ++Step) {
      size_t More = std::min<size_t>(Random() % 300, Body.size() - Appended);
      Sender.append(std::string_view(Body).substr(Appended, More));
      Appended += More;
      if (Appended == Body.size())
        Sender.finish();
      auto Piece = Sender.nextPiece(100);
      if (Piece && Random() % 4 != 0) {
        auto New = Receiver.accept(Piece->Offset, Piece->Bytes, Piece->End);
        BOOST_REQUIRE(New.has_value());
        ReceivedBody += *New;
      } else if (Piece) {
        // The piece was lost; continue on a new link.
        BOOST_REQUIRE(Sender.rewind(Receiver.received()));
      }
      if (Random() % 3 == 0)
        Sender.credit(Receiver.received());
    }
    BOOST_TEST(Receiver.ended());
    BOOST_TEST((ReceivedBody == Body));
  }
}

BOOST_AUTO_TEST_CASE(BodyRejectsGapsAndInvalidCredits) {
  ReceiveStream Receiver;
  BOOST_TEST(!Receiver.accept(5, "late", false).has_value());
  SendStream Sender(100);
  Sender.append("0123456789");
  Sender.nextPiece(100);
  Sender.credit(1000000); // an invalid value from the peer
  BOOST_TEST(Sender.replayable());
  Sender.credit(4);
  BOOST_TEST(!Sender.replayable());
  BOOST_TEST(!Sender.rewind(0));
  BOOST_TEST(!Sender.rewind(11));
  BOOST_TEST(Sender.rewind(4));
}

// The window limits the bytes that are sent but not credited, however many are
// kept for another attempt.
BOOST_AUTO_TEST_CASE(WindowLimitsUncreditedBytes) {
  SendStream Sender(/*Window=*/4, /*ReplayBytes=*/8);
  Sender.append("0123456789");
  Sender.finish();
  BOOST_TEST(Sender.nextPiece(100)->Bytes == "0123");
  BOOST_TEST(!Sender.nextPiece(100).has_value());
  Sender.credit(3);
  BOOST_TEST(Sender.nextPiece(100)->Bytes == "456");
  BOOST_TEST(Sender.replayable());
  BOOST_REQUIRE(Sender.rewind(0));
  BOOST_TEST(Sender.nextPiece(100)->Bytes == "0123");
  Sender.credit(4);
  BOOST_TEST(Sender.nextPiece(2)->Bytes == "45");
  BOOST_TEST(Sender.nextPiece(100)->Bytes == "67");
  Sender.credit(8);
  BOOST_TEST(Sender.replayable());
  auto Last = Sender.nextPiece(100);
  BOOST_TEST(Last->Bytes == "89");
  BOOST_TEST(Last->End);
  BOOST_TEST(!Sender.isComplete());
  Sender.credit(10);
  BOOST_TEST(!Sender.replayable());
  BOOST_TEST(Sender.isComplete());
}

BOOST_AUTO_TEST_CASE(ConnectionHeadersAreNotForwarded) {
  HeaderList Forwarded = endToEndHeaders({{"connection", "close"},
                                          {"X-A", "1"},
                                          {"TRANSFER-ENCODING", "chunked"},
                                          {"Content-Type", "text/plain"}});
  BOOST_TEST(Forwarded.size() == 2u);
  BOOST_TEST(findHeader(Forwarded, "x-a") == "1");
}

BOOST_AUTO_TEST_CASE(CallDecoderSurvivesCorruptFrames) {
  std::mt19937 Random(9);
  Safeguards Unsealed;
  Unsealed.CheckFrames = false;
  wire::OpenT Open;
  Open.headers = toWire({{"a", "b"}, {"c", "d"}});
  Open.path = "/some/path";
  std::string Valid = encodeFrame(makeCallFrame(std::move(Open)));
  int Decoded = 0;
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Valid;
    if (Round % 2)
      Bytes.resize(Random() % 200);
    for (unsigned I = 0; I < 1 + Random() % 6; ++I)
      if (!Bytes.empty())
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    Decoded += static_cast<bool>(decodeCallFrame(Bytes, Unsealed));
  }
  BOOST_TEST(Decoded > 0);
  BOOST_TEST(Decoded < 20000);
}

BOOST_AUTO_TEST_CASE(BalancerPrefersLocalUpstreamThenLocalDataCentre) {
  std::vector<Instance> All = gatesInTwoDataCentres();
  LoadBalancer WithLocalUpstream({}, "north", "n-2", 1);
  BOOST_TEST(WithLocalUpstream.pick(pointers(All), {}, Start)->Name == "n-2");
  // The local upstream is full, and waiting for a slot there takes longer than
  // the round trip to another gate.
  WithLocalUpstream.recordLoad("n-2", wire::Load(10, 0, 10, 100000), Start);
  BOOST_TEST(WithLocalUpstream.pick(pointers(All), {}, Start)->Name != "n-2");
  LoadBalancer WithoutLocalUpstream({}, "north", "x-1", 1);
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(
        WithoutLocalUpstream.pick(pointers(All), {}, Start)->DataCentre ==
        "north");
  BOOST_TEST(
      WithoutLocalUpstream.pick(pointers(All), {"n-1", "n-2", "n-3"}, Start)
          ->DataCentre == "south");
  BOOST_TEST(!WithoutLocalUpstream.pick(
      pointers(All), {"n-1", "n-2", "n-3", "s-1", "s-2"}, Start));
}

BOOST_AUTO_TEST_CASE(LeavingAndDrainingGatesAreNotChosen) {
  std::vector<Instance> All = gatesInTwoDataCentres();
  All[0].Leaving = true;
  LoadBalancer Balancer({}, "north", "x-1", 1);
  Balancer.markDraining("n-2");
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(Balancer.pick(pointers(All), {}, Start)->Name == "n-3");
}

// The network fails, and with it the calls to all gates. If all gates were
// ejected, no call could be served once the network is back.
BOOST_AUTO_TEST_CASE(NotAllGatesAreEjected) {
  std::vector<Instance> All = gatesInTwoDataCentres();
  LoadBalancer Balancer({}, "north", "x-1", 1);
  for (const Instance &Gate : All)
    for (int I = 0; I < 5; ++I) {
      Balancer.recordStart(Gate.Name);
      Balancer.recordEnd(Gate.Name, /*Answered=*/false, Millis(1), Start);
    }
  BOOST_TEST(Balancer.isEjected("n-1", Start));
  BOOST_TEST(Balancer.pick(pointers(All), {}, Start));
}

BOOST_AUTO_TEST_CASE(FailingGateIsEjectedAndReadmitted) {
  std::vector<Instance> All = gatesInTwoDataCentres();
  LoadBalancer Balancer({}, "north", "x-1", 1);
  for (int I = 0; I < 3; ++I)
    Balancer.recordEnd("n-1", /*Answered=*/false, Millis(1), Start);
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(Balancer.pick(pointers(All), {}, Start)->Name != "n-1");
  bool Readmitted = false;
  for (int I = 0; I < 50; ++I)
    Readmitted |=
        Balancer.pick(pointers(All), {}, Start + Millis(2001))->Name == "n-1";
  BOOST_TEST(Readmitted);
}

BOOST_AUTO_TEST_CASE(RolloutProgressIsSummedOverDataCentres) {
  Json::Value Fleet(Json::objectValue);
  Fleet["listed"]["n"] = 3;
  Fleet["listed"]["s"] = 2;
  Json::Value Version(Json::objectValue);
  Version["version"] = 5;
  Version["nodes"] = 3;
  Fleet["data_centres"]["n"]["heard"] = 3;
  Fleet["data_centres"]["n"]["versions"].append(Version);
  Fleet["data_centres"]["s"]["heard"] = 1;
  Version["version"] = 4;
  Version["nodes"] = 1;
  Fleet["data_centres"]["s"]["versions"].append(Version);
  Progress Current = readProgress(Fleet, 5);
  BOOST_TEST(Current.Listed == 5u);
  BOOST_TEST(Current.Holding == 3u);
  BOOST_TEST(Current.notHeard() == 1u);
  BOOST_TEST(!Current.everywhere());
  BOOST_TEST(readProgress(Fleet, 4).Holding == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
