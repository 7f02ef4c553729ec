#include "quarantine/Quarantine.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>
#include <sstream>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

using Status = Quarantine::Status;

const TimePoint Start = TimePoint(std::chrono::hours(100));

RequestHead makeHead() {
  RequestHead Head;
  Head.Method = "POST";
  Head.Path = "/status/17?page=2";
  Head.Length = 4;
  Head.Headers = {
      {"Host", "portal.example"}, {"Request-Id", "1"}, {"Customer", "north"}};
  return Head;
}

Fingerprint fingerprintFor(const RequestHead &Head,
                           const std::string &Body = "body") {
  return computeFingerprint(Head, findHeader(Head.Headers, "Customer"), Body);
}

struct FingerprintRow {
  const char *Name;
  std::function<Fingerprint()> Attempt;
  bool IsSame;
};

std::ostream &operator<<(std::ostream &Out, const FingerprintRow &Row) {
  return Out << Row.Name;
}

Fingerprint fingerprintWith(const std::function<void(RequestHead &)> &Change) {
  RequestHead Head = makeHead();
  Change(Head);
  return fingerprintFor(Head);
}

const std::vector<FingerprintRow> FingerprintRows = {
    {"the same attempt", [] { return fingerprintFor(makeHead()); }, true},
    {"another attempt",
     [] {
       return fingerprintWith([](RequestHead &Head) {
         setHeader(Head.Headers, "Request-Id", "2");
       });
     },
     true},
    {"an additional header field",
     [] {
       return fingerprintWith([](RequestHead &Head) {
         Head.Headers.push_back({"Trace", "x"});
       });
     },
     true},
    {"the host in upper case",
     [] {
       return fingerprintWith([](RequestHead &Head) {
         setHeader(Head.Headers, "Host", "PORTAL.example");
       });
     },
     true},
    {"another method",
     [] {
       return fingerprintWith([](RequestHead &Head) { Head.Method = "PUT"; });
     },
     false},
    {"another path",
     [] {
       return fingerprintWith(
           [](RequestHead &Head) { Head.Path = "/status/18?page=2"; });
     },
     false},
    {"another query",
     [] {
       return fingerprintWith(
           [](RequestHead &Head) { Head.Path = "/status/17?page=3"; });
     },
     false},
    {"another host",
     [] {
       return fingerprintWith([](RequestHead &Head) {
         setHeader(Head.Headers, "Host", "other.example");
       });
     },
     false},
    {"another customer",
     [] {
       return fingerprintWith([](RequestHead &Head) {
         setHeader(Head.Headers, "Customer", "south");
       });
     },
     false},
    {"another body", [] { return fingerprintFor(makeHead(), "gone"); }, false},
    {"another content length",
     [] { return fingerprintWith([](RequestHead &Head) { Head.Length = 5; }); },
     false},
};

/// The quarantine of one node. Each request is named by one letter.
struct Node {
  std::vector<wire::SpreadFrameT> Sent;
  std::vector<std::string> Events;
  std::unique_ptr<Quarantine> Requests;

  explicit Node(const std::string &Name,
                Quarantine::Options Opts = Quarantine::Options()) {
    Opts.Self = Name;
    Quarantine::Hooks Hooks;
    Hooks.SendRecords = [this](const wire::SpreadFrameT &Frame,
                               std::optional<uint64_t>) {
      this->Sent.push_back(Frame);
    };
    Hooks.StatusChanged = [this](const Quarantine::Event &Event, TimePoint) {
      this->Events.push_back(Event.Name);
    };
    this->Requests = std::make_unique<Quarantine>(Opts, Hooks);
  }

  static Fingerprint print(char Name) { return {static_cast<uint64_t>(Name)}; }

  void crash(const std::string &Names, TimePoint Now) {
    std::vector<Quarantine::RunningRequest> Running;
    for (char Name : Names)
      Running.push_back({print(Name), std::string("GET /") + Name});
    this->Requests->upstreamCrashed(Running, Now);
  }
  Status status(char Name, TimePoint Now) const {
    return this->Requests->check(print(Name), Now).RequestStatus;
  }
  void receive(const wire::SpreadFrameT &Frame, TimePoint Now) {
    this->Requests->receive(1, *Frame.payload.AsQuarantine(), Now);
  }
};

struct StatusRow {
  const char *Name;
  // The steps are "crash:pq", "answer:p", "release:p" and "wait:SECONDS".
  const char *Steps;
  Status StatusOfP;
  Status StatusOfQ;
};

std::ostream &operator<<(std::ostream &Out, const StatusRow &Row) {
  return Out << Row.Name;
}

const std::vector<StatusRow> StatusRows = {
    {"nothing has happened", "", Status::Free, Status::Free},
    {"all requests that ran are suspects", "crash:pq", Status::Suspect,
     Status::Suspect},
    {"an answer clears a suspect", "crash:pq answer:q", Status::Suspect,
     Status::Free},
    {"after two crashes there is one more try", "crash:pq answer:q crash:p",
     Status::Trial, Status::Free},
    {"three crashes quarantine a request", "crash:pq answer:q crash:p crash:p",
     Status::Quarantined, Status::Free},
    {"a crash is attributed to the only suspect that ran",
     "crash:pq answer:q crash:pq crash:p", Status::Quarantined,
     Status::Suspect},
    {"two requests that always ran together are on trial, not quarantined",
     "crash:pq crash:pq crash:pq", Status::Trial, Status::Trial},
    {"of two that always ran together, the one that runs alone is quarantined",
     "crash:pq crash:pq crash:pq crash:p", Status::Quarantined, Status::Trial},
    {"an answer between crashes resets the count",
     "crash:p crash:p answer:p crash:p", Status::Suspect, Status::Free},
    {"a suspicion expires", "crash:pq wait:601", Status::Free, Status::Free},
    {"a second crash renews the suspicion", "crash:p wait:500 crash:p wait:500",
     Status::Trial, Status::Free},
    {"a request is quarantined for its term",
     "crash:p crash:p crash:p wait:599", Status::Quarantined, Status::Free},
    {"a request is on trial after its term", "crash:p crash:p crash:p wait:601",
     Status::Trial, Status::Free},
    {"a crash on trial doubles the term",
     "crash:p crash:p crash:p wait:601 crash:p wait:1199", Status::Quarantined,
     Status::Free},
    {"a request is on trial again after the doubled term",
     "crash:p crash:p crash:p wait:601 crash:p wait:1201", Status::Trial,
     Status::Free},
    {"an answer on trial releases the request",
     "crash:p crash:p crash:p wait:601 answer:p", Status::Free, Status::Free},
    {"an operator releases the request", "crash:p crash:p crash:p release:p",
     Status::Free, Status::Free},
    {"only new crashes count after a release",
     "crash:p crash:p crash:p release:p crash:p crash:p", Status::Trial,
     Status::Free},
    {"a request that was not sent for long is free",
     "crash:p crash:p crash:p wait:1201", Status::Free, Status::Free},
};

void applySteps(Node &TestNode, const std::string &Steps, TimePoint &Now) {
  std::istringstream In(Steps);
  for (std::string Step; In >> Step;) {
    std::string Action = Step.substr(0, Step.find(':'));
    std::string Argument = Step.substr(Step.find(':') + 1);
    Now += Millis(1);
    if (Action == "crash")
      TestNode.crash(Argument, Now);
    else if (Action == "answer")
      TestNode.Requests->requestAnswered(Node::print(Argument[0]), Now);
    else if (Action == "release")
      BOOST_TEST(TestNode.Requests->release(Node::print(Argument[0]), Now));
    else
      Now += std::chrono::seconds(std::stoi(Argument));
    TestNode.Requests->tick(Now);
  }
}

} // namespace

// Lets a failed check print the status.
std::ostream &operator<<(std::ostream &Out, Quarantine::Status RequestStatus) {
  return Out << statusName(RequestStatus);
}

BOOST_AUTO_TEST_SUITE(QuarantineDecisions)

// A caller sends the same request again and again, with another id and at
// another node. If that made it a different request, no node would know that it
// has crashed three upstreams. If different requests counted as the same, the
// wrong ones would be refused.
BOOST_DATA_TEST_CASE(FingerprintIgnoresWhatDiffersBetweenAttempts,
                     data::make(FingerprintRows), Row) {
  BOOST_TEST((Row.Attempt() == fingerprintFor(makeHead())) == Row.IsSame);
}

// One request crashes each upstream that runs it, and others run at the same
// time. The others must still be served, and the crashing request must not
// reach a fourth upstream: an answer clears a request, and a crash of the only
// suspect counts against it.
BOOST_DATA_TEST_CASE(StatusFollowsCrashesAndAnswers, data::make(StatusRows),
                     Row) {
  Node TestNode("a");
  TimePoint Now = Start;
  applySteps(TestNode, Row.Steps, Now);
  BOOST_TEST(TestNode.status('p', Now) == Row.StatusOfP);
  BOOST_TEST(TestNode.status('q', Now) == Row.StatusOfQ);
}

// The retry delay of a quarantined request is the rest of its term.
BOOST_AUTO_TEST_CASE(RetryAfterIsTheRestOfTheTerm) {
  Node TestNode("a");
  for (int I = 0; I < 3; ++I)
    TestNode.crash("p", Start);
  Quarantine::Decision Decision = TestNode.Requests->check(
      Node::print('p'), Start + std::chrono::seconds(60));
  BOOST_TEST(Decision.RetryAfter.count() == 540000);
  BOOST_TEST(TestNode.Events.size() == 1u);
  BOOST_TEST(TestNode.Events.front() == "request-held");
}

// Three nodes observe a crash each at the same time, and send their records
// along links that deliver them in any order and more than once. Every node
// must quarantine the request, or it would go on crashing upstreams through the
// nodes that don't.
BOOST_DATA_TEST_CASE(RecordsInAnyOrderGiveTheSameStatus, data::xrange(50),
                     Seed) {
  std::mt19937_64 Random(static_cast<uint64_t>(Seed));
  std::vector<std::unique_ptr<Node>> Nodes;
  for (const char *Name : {"a", "b", "c", "d", "e"})
    Nodes.push_back(std::make_unique<Node>(Name));
  TimePoint Now = Start;
  Nodes[0]->crash("pq", Now);
  Nodes[1]->crash("pr", Now);
  Nodes[2]->crash("p", Now);
  Nodes[3]->Requests->requestAnswered(Node::print('q'), Now);
  std::vector<wire::SpreadFrameT> InTransit;
  for (auto &Receiver : Nodes)
    for (wire::SpreadFrameT &Frame : std::exchange(Receiver->Sent, {}))
      InTransit.push_back(std::move(Frame));
  for (int Round = 0; Round < 3; ++Round)
    for (auto &Receiver : Nodes) {
      std::shuffle(InTransit.begin(), InTransit.end(), Random);
      for (const wire::SpreadFrameT &Frame : InTransit)
        Receiver->receive(Frame, Now);
    }
  for (auto &Receiver : Nodes)
    BOOST_TEST(Receiver->status('p', Now) == Status::Quarantined);
}

/// Five nodes, each linked to all others, with messages that take a random
/// time.
struct Mesh {
  std::vector<std::unique_ptr<Node>> Nodes;
  std::multimap<TimePoint, std::pair<size_t, wire::SpreadFrameT>> InTransit;
  std::mt19937_64 Random;
  size_t DeliveredCount = 0;

  explicit Mesh(uint64_t Seed) : Random(Seed) {
    for (const char *Name : {"a", "b", "c", "d", "e"})
      this->Nodes.push_back(std::make_unique<Node>(Name));
  }
  // Sends the messages of each node to all others, each with its own delay.
  void collect(TimePoint Now) {
    for (size_t From = 0; From < this->Nodes.size(); ++From)
      for (wire::SpreadFrameT &Frame :
           std::exchange(this->Nodes[From]->Sent, {}))
        for (size_t To = 0; To < this->Nodes.size(); ++To)
          if (To != From)
            this->InTransit.emplace(Now + Millis(this->Random() % 20),
                                    std::pair(To, Frame));
  }
  void runTo(TimePoint End) {
    while (!this->InTransit.empty() && this->InTransit.begin()->first <= End) {
      auto [Arrival, Message] = *this->InTransit.begin();
      this->InTransit.erase(this->InTransit.begin());
      ++this->DeliveredCount;
      this->Nodes[Message.first]->receive(Message.second, Arrival);
      this->collect(Arrival);
    }
  }
};

// A request becomes a suspect and is cleared at several nodes while the
// messages about it are still in transit, as happens at each crash with a
// request that many callers send. The messages must come to an end in any
// order, and all nodes must agree; otherwise the nodes would send each other
// the same records for ever.
BOOST_DATA_TEST_CASE(ExchangeOfRecordsEnds, data::xrange(30), Seed) {
  Mesh Network(static_cast<uint64_t>(Seed));
  TimePoint Now = Start;
  for (int I = 0; I < 40; ++I) {
    Node &TestNode = *Network.Nodes[Network.Random() % Network.Nodes.size()];
    Network.Random() % 2
        ? TestNode.crash("pq", Now)
        : TestNode.Requests->requestAnswered(Node::print('p'), Now);
    Network.collect(Now);
    Now += Millis(Network.Random() % 10);
    Network.runTo(Now);
  }
  // Each of some 20 crashes and 20 answers is new once at each node, and is
  // sent over four links.
  constexpr size_t MaxDelivered = 2 * 40 * 5 * 4;
  for (int I = 0; I < 100 && !Network.InTransit.empty() &&
                  Network.DeliveredCount < 2 * MaxDelivered;
       ++I)
    Network.runTo(Now += Millis(20));
  BOOST_TEST(Network.InTransit.empty());
  BOOST_TEST(Network.DeliveredCount < MaxDelivered);
  for (auto &Other : Network.Nodes)
    BOOST_TEST(Other->status('p', Now) == Network.Nodes[0]->status('p', Now));
}

// A route is split between two services. One crashes during a request and the
// other answers it. The answers must not clear the crashes of the first
// service, or the request would go on crashing its upstreams.
BOOST_AUTO_TEST_CASE(AnswerClearsItsOwnServiceOnly) {
  Quarantine::Options OptsA, OptsB;
  OptsA.Service = "a";
  OptsB.Service = "b";
  Node A("n-1", OptsA), B("n-2", OptsB);
  for (int I = 0; I < 3; ++I) {
    A.crash("p", Start + Millis(10 * I));
    for (wire::SpreadFrameT &Frame : std::exchange(A.Sent, {}))
      B.receive(Frame, Start + Millis(10 * I + 1));
    B.Requests->requestAnswered(Node::print('p'), Start + Millis(10 * I + 2));
  }
  TimePoint Now = Start + Millis(50);
  BOOST_TEST(A.status('p', Now) == Status::Quarantined);
  BOOST_TEST(B.status('p', Now) == Status::Quarantined);
  A.Requests->requestAnswered(Node::print('p'), Now);
  BOOST_TEST(A.status('p', Now) == Status::Free);
}

// A node passes on new information and nothing else: records travel along every
// link of a ring and must not circulate for ever.
BOOST_AUTO_TEST_CASE(NewRecordsArePassedOnOnce) {
  Node A("a"), B("b");
  A.crash("pq", Start);
  BOOST_REQUIRE(A.Sent.size() == 1u);
  B.receive(A.Sent[0], Start + Millis(2));
  BOOST_TEST(B.Sent.size() == 1u);
  B.receive(A.Sent[0], Start + Millis(9));
  A.receive(B.Sent[0], Start + Millis(4));
  BOOST_TEST(B.Sent.size() == 1u);
  BOOST_TEST(A.Sent.size() == 1u);
}

// A request was quarantined while a node was cut off, or before it started. Its
// first neighbour must send it the records, or its callers would crash three
// more upstreams.
BOOST_AUTO_TEST_CASE(NewNeighbourGetsAllRecords) {
  Node A("a"), B("b");
  BOOST_TEST(!A.Requests->snapshot(Start));
  for (int I = 0; I < 3; ++I)
    A.crash("p", Start);
  TimePoint Later = Start + std::chrono::seconds(100);
  std::optional<wire::SpreadFrameT> Snapshot = A.Requests->snapshot(Later);
  BOOST_REQUIRE(Snapshot);
  B.receive(*Snapshot, Later);
  BOOST_TEST(B.Requests->check(Node::print('p'), Later).RetryAfter.count() ==
             500000);
}

// An operator released a request while a node was cut off. When that node is
// reachable again, it still has the request quarantined and sends its record;
// that must not revoke the release.
BOOST_AUTO_TEST_CASE(ReleasedRequestStaysReleased) {
  Node A("a"), B("b");
  for (int I = 0; I < 3; ++I)
    A.crash("p", Start);
  B.receive(*A.Requests->snapshot(Start), Start);
  TimePoint Now = Start + std::chrono::seconds(10);
  BOOST_TEST(A.Requests->release(Node::print('p'), Now));
  Now += std::chrono::seconds(300);
  A.Requests->tick(Now);
  A.receive(*B.Requests->snapshot(Now), Now);
  BOOST_TEST(A.status('p', Now) == Status::Free);
  B.receive(*A.Requests->snapshot(Now), Now);
  BOOST_TEST(B.status('p', Now) == Status::Free);
  BOOST_TEST(!A.Requests->release(Node::print('x'), Now));
}

// A caller sends ever new requests that crash upstreams. The number of records
// must stay bounded, and quarantined requests are kept in preference to those
// that only ran at the same time.
BOOST_AUTO_TEST_CASE(NumberOfRecordsIsBounded) {
  Quarantine::Options Opts;
  Opts.MaxRecords = 100;
  Node TestNode("a", Opts);
  for (int I = 0; I < 3; ++I)
    TestNode.crash("p", Start);
  for (uint64_t I = 1000; I < 6000; ++I)
    TestNode.Requests->upstreamCrashed({{{I}, "GET /x"}}, Start + Millis(I));
  BOOST_TEST(TestNode.Requests->records().size() == 100u);
  BOOST_TEST(TestNode.status('p', Start + Millis(6000)) == Status::Quarantined);
}

// A peer sends invalid records: a description, a number of crashes and an age
// far beyond any valid size.
BOOST_AUTO_TEST_CASE(ReceivedRecordsAreBounded) {
  wire::QuarantineT Message;
  auto Record = std::make_unique<wire::QuarantineRecordT>();
  Record->fingerprint = 7;
  Record->request.assign(100000, 'x');
  for (uint64_t I = 0; I < 5000; ++I)
    Record->crashes.emplace_back(I, UINT32_MAX, true, false, 7);
  Message.records.push_back(std::move(Record));
  Message.records.push_back(nullptr);
  std::vector<Quarantine::Record> Decoded = decodeRecords(Message, Start);
  BOOST_REQUIRE(Decoded.size() == 1u);
  BOOST_TEST(Decoded[0].Description.size() < 1000u);
  BOOST_TEST(Decoded[0].Crashes.size() < 100u);
  Node TestNode("a");
  TestNode.Requests->receive(1, Message, Start);
  BOOST_TEST(TestNode.Requests->records().empty());
}

// With its safeguard off, no request is refused although the records are kept.
BOOST_AUTO_TEST_CASE(DisabledQuarantineRefusesNothing) {
  Quarantine::Options Opts;
  Opts.Guards.HoldCrashers = false;
  Node TestNode("a", Opts);
  for (int I = 0; I < 3; ++I)
    TestNode.crash("p", Start);
  BOOST_TEST(TestNode.status('p', Start) == Status::Free);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
