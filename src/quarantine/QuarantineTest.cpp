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

RequestHead headOf() {
  RequestHead Out;
  Out.Method = "POST";
  Out.Path = "/status/17?page=2";
  Out.Length = 4;
  Out.Headers = {
      {"Host", "portal.example"}, {"Request-Id", "1"}, {"Customer", "north"}};
  return Out;
}

Fingerprint printOf(const RequestHead &Head, const std::string &Body = "body") {
  return computeFingerprint(Head, findHeader(Head.Headers, "Customer"), Body);
}

struct PrintRow {
  const char *What;
  std::function<Fingerprint()> Other;
  bool Same;
};

std::ostream &operator<<(std::ostream &Out, const PrintRow &Row) {
  return Out << Row.What;
}

Fingerprint with(const std::function<void(RequestHead &)> &Change) {
  RequestHead Head = headOf();
  Change(Head);
  return printOf(Head);
}

const std::vector<PrintRow> PrintRows = {
    {"again", [] { return printOf(headOf()); }, true},
    {"another attempt",
     [] {
       return with(
           [](RequestHead &Of) { setHeader(Of.Headers, "Request-Id", "2"); });
     },
     true},
    {"a header of the caller's own",
     [] {
       return with([](RequestHead &Of) {
         Of.Headers.push_back({"Trace", "x"});
       });
     },
     true},
    {"the host in capitals",
     [] {
       return with([](RequestHead &Of) {
         setHeader(Of.Headers, "Host", "PORTAL.example");
       });
     },
     true},
    {"another method",
     [] { return with([](RequestHead &Of) { Of.Method = "PUT"; }); }, false},
    {"another path",
     [] {
       return with([](RequestHead &Of) { Of.Path = "/status/18?page=2"; });
     },
     false},
    {"another query",
     [] {
       return with([](RequestHead &Of) { Of.Path = "/status/17?page=3"; });
     },
     false},
    {"another host",
     [] {
       return with([](RequestHead &Of) {
         setHeader(Of.Headers, "Host", "other.example");
       });
     },
     false},
    {"another customer",
     [] {
       return with(
           [](RequestHead &Of) { setHeader(Of.Headers, "Customer", "south"); });
     },
     false},
    {"another body", [] { return printOf(headOf(), "gone"); }, false},
    {"another length",
     [] { return with([](RequestHead &Of) { Of.Length = 5; }); }, false},
};

/// One node's quarantine, with requests that have names of one letter.
struct Node {
  std::vector<wire::SpreadFrameT> Sent;
  std::vector<std::string> Events;
  std::unique_ptr<Quarantine> Of;

  explicit Node(const std::string &Name,
                Quarantine::Options Opts = Quarantine::Options()) {
    Opts.Self = Name;
    Quarantine::Hooks Hooks;
    Hooks.SendRecords = [this](const wire::SpreadFrameT &Frame,
                               std::optional<uint64_t>) {
      this->Sent.push_back(Frame);
    };
    Hooks.StatusChanged = [this](const Quarantine::Event &One, TimePoint) {
      this->Events.push_back(One.Name);
    };
    this->Of = std::make_unique<Quarantine>(Opts, Hooks);
  }

  static Fingerprint print(char Name) { return {static_cast<uint64_t>(Name)}; }

  void crash(const std::string &Names, TimePoint Now) {
    std::vector<Quarantine::RunningRequest> Running;
    for (char Name : Names)
      Running.push_back({print(Name), std::string("GET /") + Name});
    this->Of->upstreamCrashed(Running, Now);
  }
  Status standing(char Name, TimePoint Now) const {
    return this->Of->check(print(Name), Now).RequestStatus;
  }
  void hear(const wire::SpreadFrameT &Frame, TimePoint Now) {
    this->Of->receive(1, *Frame.payload.AsQuarantine(), Now);
  }
};

struct StandingRow {
  const char *What;
  // "crash:pq", "answer:p", "release:p" and "wait:SECONDS".
  const char *Steps;
  Status OfP;
  Status OfQ;
};

std::ostream &operator<<(std::ostream &Out, const StandingRow &Row) {
  return Out << Row.What;
}

const std::vector<StandingRow> StandingRows = {
    {"nothing has happened", "", Status::Free, Status::Free},
    {"all that ran are suspects", "crash:pq", Status::Suspect, Status::Suspect},
    {"an answer clears", "crash:pq answer:q", Status::Suspect, Status::Free},
    {"two crashes leave one try", "crash:pq answer:q crash:p", Status::Trial,
     Status::Free},
    {"three hold it", "crash:pq answer:q crash:p crash:p", Status::Quarantined,
     Status::Free},
    {"the only suspect among others is to blame",
     "crash:pq answer:q crash:pq crash:p", Status::Quarantined,
     Status::Suspect},
    {"two that always ran together are both tried and not held",
     "crash:pq crash:pq crash:pq", Status::Trial, Status::Trial},
    {"until one of them runs alone", "crash:pq crash:pq crash:pq crash:p",
     Status::Quarantined, Status::Trial},
    {"an answer between crashes starts anew",
     "crash:p crash:p answer:p crash:p", Status::Suspect, Status::Free},
    {"a suspicion ends", "crash:pq wait:601", Status::Free, Status::Free},
    {"a second crash keeps it", "crash:p wait:500 crash:p wait:500",
     Status::Trial, Status::Free},
    {"it is held for its term", "crash:p crash:p crash:p wait:599",
     Status::Quarantined, Status::Free},
    {"and then tried", "crash:p crash:p crash:p wait:601", Status::Trial,
     Status::Free},
    {"a trial that crashes holds it for twice as long",
     "crash:p crash:p crash:p wait:601 crash:p wait:1199", Status::Quarantined,
     Status::Free},
    {"and then it is tried again",
     "crash:p crash:p crash:p wait:601 crash:p wait:1201", Status::Trial,
     Status::Free},
    {"a trial that ends well releases it",
     "crash:p crash:p crash:p wait:601 answer:p", Status::Free, Status::Free},
    {"an operator releases it", "crash:p crash:p crash:p release:p",
     Status::Free, Status::Free},
    {"who was released is held for new crashes only",
     "crash:p crash:p crash:p release:p crash:p crash:p", Status::Trial,
     Status::Free},
    {"nobody has sent it for long", "crash:p crash:p crash:p wait:1201",
     Status::Free, Status::Free},
};

void play(Node &At, const std::string &Steps, TimePoint &Now) {
  std::istringstream In(Steps);
  for (std::string Step; In >> Step;) {
    std::string What = Step.substr(0, Step.find(':'));
    std::string Of = Step.substr(Step.find(':') + 1);
    Now += Millis(1);
    if (What == "crash")
      At.crash(Of, Now);
    else if (What == "answer")
      At.Of->requestAnswered(Node::print(Of[0]), Now);
    else if (What == "release")
      BOOST_TEST(At.Of->release(Node::print(Of[0]), Now));
    else
      Now += std::chrono::seconds(std::stoi(Of));
    At.Of->tick(Now);
  }
}

} // namespace

// So that a failed check names what it found.
std::ostream &operator<<(std::ostream &Out, Quarantine::Status Of) {
  return Out << statusName(Of);
}

BOOST_AUTO_TEST_SUITE(QuarantineDecisions)

// A caller sends the same request again and again, each time under another id
// and at another node. If that made it another request, nobody would know that
// it had crashed three upstreams; if too little did, others would be refused
// for it.
BOOST_DATA_TEST_CASE(WhatMakesTheSameRequest, data::make(PrintRows), Row) {
  BOOST_TEST((Row.Other() == printOf(headOf())) == Row.Same);
}

// One request crashes what runs it, others run beside it. Callers of the others
// must go on being served, and that one must not come to a fourth upstream: who
// is answered is cleared, who was alone is to blame.
BOOST_DATA_TEST_CASE(WhatStandsAgainstARequest, data::make(StandingRows), Row) {
  Node At("a");
  TimePoint Now = Start;
  play(At, Row.Steps, Now);
  BOOST_TEST(At.standing('p', Now) == Row.OfP);
  BOOST_TEST(At.standing('q', Now) == Row.OfQ);
}

// Who is held is told when to come back: when its term is over.
BOOST_AUTO_TEST_CASE(ComeBackIsTheEndOfTheTerm) {
  Node At("a");
  for (int I = 0; I < 3; ++I)
    At.crash("p", Start);
  Quarantine::Decision Said =
      At.Of->check(Node::print('p'), Start + std::chrono::seconds(60));
  BOOST_TEST(Said.RetryAfter.count() == 540000);
  BOOST_TEST(At.Events.size() == 1u);
  BOOST_TEST(At.Events.front() == "request-held");
}

// Three nodes see a crash each, in the same moment, and tell of it along links
// that deliver in any order and more than once. Each must come to hold the
// request, or it would go on at the nodes that do not.
BOOST_DATA_TEST_CASE(TellingInAnyOrderEndsAlike, data::xrange(50), Seed) {
  std::mt19937_64 Random(static_cast<uint64_t>(Seed));
  std::vector<std::unique_ptr<Node>> All;
  for (const char *Name : {"a", "b", "c", "d", "e"})
    All.push_back(std::make_unique<Node>(Name));
  TimePoint Now = Start;
  All[0]->crash("pq", Now);
  All[1]->crash("pr", Now);
  All[2]->crash("p", Now);
  All[3]->Of->requestAnswered(Node::print('q'), Now);
  std::vector<wire::SpreadFrameT> Under;
  for (auto &One : All)
    for (wire::SpreadFrameT &Frame : std::exchange(One->Sent, {}))
      Under.push_back(std::move(Frame));
  for (int Round = 0; Round < 3; ++Round)
    for (auto &One : All) {
      std::shuffle(Under.begin(), Under.end(), Random);
      for (const wire::SpreadFrameT &Frame : Under)
        One->hear(Frame, Now);
    }
  for (auto &One : All)
    BOOST_TEST(One->standing('p', Now) == Status::Quarantined);
}

/// Five nodes, each linked to all others, with news that take their time.
struct Mesh {
  std::vector<std::unique_ptr<Node>> All;
  std::multimap<TimePoint, std::pair<size_t, wire::SpreadFrameT>> Under;
  std::mt19937_64 Random;
  size_t Told = 0;

  explicit Mesh(uint64_t Seed) : Random(Seed) {
    for (const char *Name : {"a", "b", "c", "d", "e"})
      this->All.push_back(std::make_unique<Node>(Name));
  }
  // What each node has to say goes to all others, each in its own time.
  void collect(TimePoint Now) {
    for (size_t From = 0; From < this->All.size(); ++From)
      for (wire::SpreadFrameT &Frame : std::exchange(this->All[From]->Sent, {}))
        for (size_t To = 0; To < this->All.size(); ++To)
          if (To != From)
            this->Under.emplace(Now + Millis(this->Random() % 20),
                                std::pair(To, Frame));
  }
  void runTo(TimePoint End) {
    while (!this->Under.empty() && this->Under.begin()->first <= End) {
      auto [At, What] = *this->Under.begin();
      this->Under.erase(this->Under.begin());
      ++this->Told;
      this->All[What.first]->hear(What.second, At);
      this->collect(At);
    }
  }
};

// A request is suspected and cleared at several nodes within the time that news
// take between them, as one that many callers send is at each crash. Told in
// any order, that must come to rest, and all nodes must agree; else nodes tell
// each other the same for ever and do nothing else.
BOOST_DATA_TEST_CASE(TellingComesToRest, data::xrange(30), Seed) {
  Mesh Of(static_cast<uint64_t>(Seed));
  TimePoint Now = Start;
  for (int I = 0; I < 40; ++I) {
    Node &At = *Of.All[Of.Random() % Of.All.size()];
    Of.Random() % 2 ? At.crash("pq", Now)
                    : At.Of->requestAnswered(Node::print('p'), Now);
    Of.collect(Now);
    Now += Millis(Of.Random() % 10);
    Of.runTo(Now);
  }
  // Each of some 20 crashes and 20 answers is news once at each node, and told
  // over four links.
  constexpr size_t Enough = 2 * 40 * 5 * 4;
  for (int I = 0; I < 100 && !Of.Under.empty() && Of.Told < 2 * Enough; ++I)
    Of.runTo(Now += Millis(20));
  BOOST_TEST(Of.Under.empty());
  BOOST_TEST(Of.Told < Enough);
  for (auto &One : Of.All)
    BOOST_TEST(One->standing('p', Now) == Of.All[0]->standing('p', Now));
}

// A route is split between two services, of which one crashes under a request
// and the other answers it. The answers must not clear it, or it would go on to
// crash the first one's upstreams.
BOOST_AUTO_TEST_CASE(AnAnswerClearsItsOwnServiceOnly) {
  Quarantine::Options OfA, OfB;
  OfA.Service = "a";
  OfB.Service = "b";
  Node A("n-1", OfA), B("n-2", OfB);
  for (int I = 0; I < 3; ++I) {
    A.crash("p", Start + Millis(10 * I));
    for (wire::SpreadFrameT &Frame : std::exchange(A.Sent, {}))
      B.hear(Frame, Start + Millis(10 * I + 1));
    B.Of->requestAnswered(Node::print('p'), Start + Millis(10 * I + 2));
  }
  TimePoint Now = Start + Millis(50);
  BOOST_TEST(A.standing('p', Now) == Status::Quarantined);
  BOOST_TEST(B.standing('p', Now) == Status::Quarantined);
  A.Of->requestAnswered(Node::print('p'), Now);
  BOOST_TEST(A.standing('p', Now) == Status::Free);
}

// What is news is passed on, and nothing else: records go along every link of a
// ring, and must not go round for ever.
BOOST_AUTO_TEST_CASE(NewsIsPassedOnOnce) {
  Node A("a"), B("b");
  A.crash("pq", Start);
  BOOST_REQUIRE(A.Sent.size() == 1u);
  B.hear(A.Sent[0], Start + Millis(2));
  BOOST_TEST(B.Sent.size() == 1u);
  B.hear(A.Sent[0], Start + Millis(9));
  A.hear(B.Sent[0], Start + Millis(4));
  BOOST_TEST(B.Sent.size() == 1u);
  BOOST_TEST(A.Sent.size() == 1u);
}

// A node was cut off, or has just started, while a request came to be held. Its
// first neighbour tells it, or its callers would crash three more.
BOOST_AUTO_TEST_CASE(ANewNeighbourIsToldAll) {
  Node A("a"), B("b");
  BOOST_TEST(!A.Of->snapshot(Start));
  for (int I = 0; I < 3; ++I)
    A.crash("p", Start);
  TimePoint Later = Start + std::chrono::seconds(100);
  std::optional<wire::SpreadFrameT> All = A.Of->snapshot(Later);
  BOOST_REQUIRE(All);
  B.hear(*All, Later);
  BOOST_TEST(B.Of->check(Node::print('p'), Later).RetryAfter.count() == 500000);
}

// An operator has released a request while a node was cut off. When that one
// comes back it still holds it, and tells so: nobody may take it back from
// there.
BOOST_AUTO_TEST_CASE(WhatWasReleasedStaysReleased) {
  Node A("a"), B("b");
  for (int I = 0; I < 3; ++I)
    A.crash("p", Start);
  B.hear(*A.Of->snapshot(Start), Start);
  TimePoint Now = Start + std::chrono::seconds(10);
  BOOST_TEST(A.Of->release(Node::print('p'), Now));
  Now += std::chrono::seconds(300);
  A.Of->tick(Now);
  A.hear(*B.Of->snapshot(Now), Now);
  BOOST_TEST(A.standing('p', Now) == Status::Free);
  B.hear(*A.Of->snapshot(Now), Now);
  BOOST_TEST(B.standing('p', Now) == Status::Free);
  BOOST_TEST(!A.Of->release(Node::print('x'), Now));
}

// A caller invents requests that crash upstreams without end. Memory stays
// bounded, and what is held is kept in preference to what merely ran beside.
BOOST_AUTO_TEST_CASE(InventedRequestsAreBounded) {
  Quarantine::Options Opts;
  Opts.MaxRecords = 100;
  Node At("a", Opts);
  for (int I = 0; I < 3; ++I)
    At.crash("p", Start);
  for (uint64_t I = 1000; I < 6000; ++I)
    At.Of->upstreamCrashed({{{I}, "GET /x"}}, Start + Millis(I));
  BOOST_TEST(At.Of->records().size() == 100u);
  BOOST_TEST(At.standing('p', Start + Millis(6000)) == Status::Quarantined);
}

// A peer sends rubbish: a text without end, crashes without end, an age beyond
// any.
BOOST_AUTO_TEST_CASE(WhatAPeerSaysIsBounded) {
  wire::QuarantineT Said;
  auto One = std::make_unique<wire::QuarantineRecordT>();
  One->fingerprint = 7;
  One->request.assign(100000, 'x');
  for (uint64_t I = 0; I < 5000; ++I)
    One->crashes.emplace_back(I, UINT32_MAX, true, false, 7);
  Said.records.push_back(std::move(One));
  Said.records.push_back(nullptr);
  std::vector<Quarantine::Record> Read = decodeRecords(Said, Start);
  BOOST_REQUIRE(Read.size() == 1u);
  BOOST_TEST(Read[0].Description.size() < 1000u);
  BOOST_TEST(Read[0].Crashes.size() < 100u);
  Node At("a");
  At.Of->receive(1, Said, Start);
  BOOST_TEST(At.Of->records().empty());
}

// With its safeguard off nothing is refused, though all is known.
BOOST_AUTO_TEST_CASE(OffItRefusesNothing) {
  Quarantine::Options Opts;
  Opts.Guards.HoldCrashers = false;
  Node At("a", Opts);
  for (int I = 0; I < 3; ++I)
    At.crash("p", Start);
  BOOST_TEST(At.standing('p', Start) == Status::Free);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
