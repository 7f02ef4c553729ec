#include "calls/Entry.h"

#include "config/RecordFile.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));

const std::string Records = R"([
  {"kind":"service","name":"a","schema":1},
  {"kind":"route","name":"read","schema":3,"match":{"prefix":"/read/"},
   "service":"a","idempotent":true,"attempts":2,"timeout_ms":1000,
   "target_ms":300},
  {"kind":"route","name":"often","schema":3,"match":{"prefix":"/often/"},
   "service":"a","idempotent":true,"attempts":5,"timeout_ms":1000},
  {"kind":"route","name":"write","schema":3,"match":{"prefix":"/write/"},
   "service":"a","idempotent":false,"attempts":2,"timeout_ms":1000}])";

/// An entry with gates that the test plays.
struct Fixture {
  Membership Fleet{{.Self = "me", .DataCentre = "north"}};
  std::unique_ptr<Entry> From;
  std::vector<std::string> Dialled;
  std::vector<std::pair<std::string, wire::CallFrameT>> Sent;
  std::map<Entry::CallerId, std::string> Refused;
  std::map<Entry::CallerId, Millis> ComeBack;
  std::map<Entry::CallerId, ResponseHead> Answered;
  // Run as a caller is refused.
  std::function<void(Entry::CallerId)> OnRefuse = [](Entry::CallerId) {};
  // What stands against every request, and which were asked about.
  Quarantine::Verdict Known;
  std::vector<Fingerprint> Judged;
  TimePoint Now = Start;

  Fixture() : Fixture(/*FleetRetryReserve=*/6) {}
  explicit Fixture(double FleetRetryReserve) {
    this->list({"g-1", "g-2", "g-3"});
    Entry::Options Opts;
    Opts.Self = "me";
    Opts.DataCentre = "north";
    Opts.Service = "b";
    Opts.HeaderNames.RequestId = "Request-Id";
    Opts.HeaderNames.Origin = "Origin";
    Opts.FleetRetryReserve = FleetRetryReserve;
    Opts.MaxRetryPercent = 5;
    Opts.PingInterval = Millis(100);
    Opts.LivenessTimeout = Millis(400);
    this->From = std::make_unique<Entry>(Opts, this->hooks(), this->Fleet);
    FaultList Faults;
    CompileResult Made = compileConfig(
        *Document::make(1, 1, *readRecordFile(Records, "f", Faults)),
        CompileOptions());
    BOOST_REQUIRE(Made.Compiled);
    this->From->configure(Made.Compiled);
  }

  Entry::Hooks hooks() {
    Entry::Hooks Out;
    Out.Connect = [this](const Instance &To) {
      this->Dialled.push_back(To.Name);
    };
    Out.Send = [this](const std::string &Gate, wire::CallFrameT Frame) {
      this->Sent.emplace_back(Gate, std::move(Frame));
    };
    Out.Close = [](const std::string &) {};
    Out.Head = [this](Entry::CallerId Id, const ResponseHead &Head) {
      this->Answered[Id] = Head;
    };
    Out.Body = [](Entry::CallerId, std::string_view) {};
    Out.BodyEnd = [](Entry::CallerId) {};
    Out.Abort = [this](Entry::CallerId Id, const Refusal &Why) {
      this->Refused[Id] = "broken " + Why.Reason;
    };
    Out.Refuse = [this](Entry::CallerId Id, const Refusal &Why) {
      this->Refused[Id] =
          std::string(outcomeName(Why.CallOutcome)) + " " + Why.Reason;
      this->ComeBack[Id] = Why.RetryAfter;
      this->OnRefuse(Id);
    };
    Out.PauseRequest = [](Entry::CallerId, bool) {};
    Out.CheckQuarantine = [this](const Fingerprint &Of, TimePoint) {
      this->Judged.push_back(Of);
      return this->Known;
    };
    return Out;
  }

  void list(const std::vector<std::string> &Names) {
    EntryMap Entries;
    for (const std::string &Name : Names) {
      Instance One;
      One.Name = Name;
      One.DataCentre = "north";
      One.Service = "a";
      One.Node = "127.0.0.1:1";
      One.Operator = "127.0.0.1:2";
      One.Upstream = "up-" + Name;
      Entries[Name] = makeEntry(Name, writeInstance(One));
    }
    this->Fleet.update("north", *Document::make(1, 1, Entries));
  }

  void request(Entry::CallerId Id, const std::string &Path) {
    RequestHead Head;
    Head.Method = "GET";
    Head.Path = Path;
    Head.Headers = {{"Request-Id", std::to_string(Id)}, {"Origin", "forged"}};
    this->From->request(Id, Head, this->Now);
  }

  /// A call that must not repeat, with a body of 20,000 bytes.
  void upload(Entry::CallerId Id) {
    RequestHead Head;
    Head.Method = "POST";
    Head.Path = "/write/1";
    Head.Length = 20000;
    this->From->request(Id, Head, this->Now);
    this->From->body(Id, std::string(20000, 'x'), this->Now);
    this->From->bodyEnd(Id, this->Now);
  }

  void hello(const std::string &Gate, uint64_t Incarnation = 1) {
    this->From->linkUp(Gate, this->Now);
    wire::CallHelloT Hello;
    Hello.incarnation = Incarnation;
    this->From->handleFrame(Gate, makeCallFrame(std::move(Hello)), this->Now);
  }

  /// The calls sent, as the gate and the frame that opened each.
  std::vector<std::pair<std::string, const wire::OpenT *>> opens() const {
    std::vector<std::pair<std::string, const wire::OpenT *>> Out;
    for (const auto &[Gate, Frame] : this->Sent)
      if (const auto *Open = Frame.payload.AsOpen())
        Out.emplace_back(Gate, Open);
    return Out;
  }
  size_t bodyBytes() const {
    size_t Sum = 0;
    for (const auto &[Gate, Frame] : this->Sent)
      if (const auto *Data = Frame.payload.AsData())
        Sum += Data->bytes.size();
    return Sum;
  }
  size_t cancels(const std::string &To) const {
    size_t Count = 0;
    for (const auto &[Gate, Frame] : this->Sent)
      Count += Gate == To && Frame.payload.AsCancel() != nullptr;
    return Count;
  }

  void fail(const std::string &Gate, uint64_t Seq, wire::Outcome What,
            const std::string &Reason) {
    wire::FailedT Failed;
    Failed.seq = Seq;
    Failed.outcome = What;
    Failed.reason = Reason;
    this->From->handleFrame(Gate, makeCallFrame(std::move(Failed)), this->Now);
  }
  void pass(Millis Time) {
    for (Millis Step(0); Step < Time; Step += Millis(20)) {
      this->Now += Millis(20);
      this->From->tick(this->Now);
    }
  }
};

enum class FirstSays { Joined, Ended, NothingYet };
enum class OtherSays { Nothing, NoRoom, Answer };

/// What the gate that a call has left says when asked about its run, what the
/// other gate says of the call meanwhile, and who is told that it is over.
struct RejoinRow {
  const char *What;
  FirstSays First;
  OtherSays Other;
  size_t CancelsFirst;
  size_t CancelsOther;
  // Whose answer the caller gets.
  bool OfFirst;
};
std::ostream &operator<<(std::ostream &To, const RejoinRow &Of) {
  return To << Of.What;
}

const RejoinRow Rejoins[] = {
    {"it goes on", FirstSays::Joined, OtherSays::Nothing, 0, 1, true},
    {"it goes on, and nobody else has room", FirstSays::Joined,
     OtherSays::NoRoom, 0, 0, true},
    {"it has ended", FirstSays::Ended, OtherSays::Answer, 0, 0, false},
    {"another answers first", FirstSays::NothingYet, OtherSays::Answer, 1, 0,
     false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntryDecisions)

// Two requests of one connection wait for the same gate, which cannot be
// reached. The refusal of the first closes the connection and takes the second
// along, while the entry is still going through both.
BOOST_FIXTURE_TEST_CASE(RefusalThatEndsOtherCalls, Fixture) {
  this->list({"g-1"});
  this->request(1, "/write/1");
  this->request(2, "/write/2");
  this->OnRefuse = [this](Entry::CallerId Id) {
    this->From->callerGone(Id == 1 ? 2 : 1, this->Now);
  };
  BOOST_CHECK_NO_THROW(this->From->linkDown("g-1", this->Now));
  BOOST_TEST(this->Refused.size() == 1u);
  BOOST_TEST(this->From->idle());
}

// A node has started and holds no version yet. Its callers may come back once;
// told to come too soon they are refused again, and told to come all at the
// same moment they find the upstream full.
BOOST_FIXTURE_TEST_CASE(CallersComeBackWhenThereIsAVersion, Fixture) {
  Entry::Options Opts;
  Opts.HeaderNames.RequestId = "Request-Id";
  this->From = std::make_unique<Entry>(Opts, this->hooks(), this->Fleet);
  std::set<Millis> Times;
  for (Entry::CallerId Id = 1; Id <= 100; ++Id) {
    this->request(Id, "/read/1");
    BOOST_TEST(this->Refused[Id] == "not-run no-configuration");
    BOOST_TEST((this->ComeBack[Id] >= Millis(400)));
    BOOST_TEST((this->ComeBack[Id] <= Millis(700)));
    Times.insert(this->ComeBack[Id]);
  }
  BOOST_TEST(Times.size() > 50u);
}

// Each refusal by a gate, before any upstream saw the call, leaves the route's
// number of tries as it was.
BOOST_FIXTURE_TEST_CASE(GatesThatRefuseAreNoTries, Fixture) {
  this->request(1, "/write/1");
  for (int I = 0; I < 3; ++I) {
    this->hello(this->Dialled.back());
    BOOST_REQUIRE(this->opens().size() == static_cast<size_t>(I + 1));
    auto [Gate, Open] = this->opens().back();
    this->fail(Gate, Open->seq, wire::Outcome::NotRun, "overload");
  }
  BOOST_TEST(this->Refused[1] == "not-run overload");
}

// Upstreams have crashed and are still on the list. Each call finds two or
// three of them before one that lives; that must not use up the tries of its
// route, which are for upstreams that may have run it.
BOOST_DATA_TEST_CASE(UpstreamsThatAreGoneAreNoTries,
                     data::make({"upstream-unreachable", "upstream-gone",
                                 "upstream-timeout"}),
                     Reason) {
  Fixture Of;
  Of.request(1, "/write/1");
  for (int I = 0; I < 3; ++I) {
    Of.hello(Of.Dialled.back());
    BOOST_REQUIRE(Of.opens().size() == static_cast<size_t>(I + 1));
    auto [Gate, Open] = Of.opens().back();
    Of.fail(Gate, Open->seq, wire::Outcome::NotRun, Reason);
  }
  BOOST_TEST(Of.Refused[1] == std::string("not-run ") + Reason);
}

// A gate says that its upstream is gone. No caller is sent there until it says
// that it is back; nobody has to find out with a call of his own.
BOOST_FIXTURE_TEST_CASE(AGateWithoutItsUpstreamIsLeftAside, Fixture) {
  this->list({"g-1", "g-2"});
  auto Says = [this](bool Gone) {
    wire::PongT Pong;
    Pong.gone = Gone;
    this->From->handleFrame("g-1", makeCallFrame(std::move(Pong)), this->Now);
  };
  auto SentTo1 = [this](Entry::CallerId From) {
    size_t Before = this->opens().size();
    for (Entry::CallerId Id = From; Id < From + 20; ++Id)
      this->request(Id, "/read/1");
    if (Before == 0)
      for (const char *Gate : {"g-1", "g-2"})
        this->hello(Gate);
    size_t Count = 0;
    for (size_t I = Before; I < this->opens().size(); ++I)
      Count += this->opens()[I].first == "g-1";
    return Count;
  };
  BOOST_TEST(SentTo1(100) > 0u);
  Says(true);
  BOOST_TEST(SentTo1(200) == 0u);
  Says(false);
  BOOST_TEST(SentTo1(300) > 0u);
}

// Every call to one service fails after it may have run. The retries of all
// nodes together stay within the deployment's share and reserve: three nodes,
// each with a third of the reserve of six and a twentieth of its first tries.
BOOST_FIXTURE_TEST_CASE(RetriesOfAllNodesStayWithinTheReserve, Fixture) {
  for (Entry::CallerId Id = 1; Id <= 200; ++Id)
    this->request(Id, "/read/1");
  for (const char *Gate : {"g-1", "g-2", "g-3"})
    this->hello(Gate);
  for (size_t Done = 0; Done < this->opens().size(); ++Done) {
    auto [Gate, Open] = this->opens()[Done];
    this->fail(Gate, Open->seq, wire::Outcome::Unknown, "upstream-closed");
  }
  size_t Retries = this->opens().size() - 200;
  BOOST_TEST(Retries >= 2u);
  BOOST_TEST(Retries <= 2u + 200 / 20);
}

// A request that has crashed three upstreams comes again. It is refused before
// any gate hears of it, truly as not run, until its term is over.
BOOST_FIXTURE_TEST_CASE(WhatIsHeldIsRefusedAtOnce, Fixture) {
  this->Known = {Quarantine::Standing::Held, Millis(60000)};
  this->request(1, "/read/1");
  BOOST_TEST(this->Refused[1] == "not-run quarantined");
  BOOST_TEST((this->ComeBack[1] == Millis(60000)));
  BOOST_TEST(this->Dialled.empty());
}

// A gate knows more than this node does yet. Its word holds for all gates.
BOOST_FIXTURE_TEST_CASE(AGateThatHoldsItIsBelieved, Fixture) {
  this->request(1, "/read/1");
  this->hello(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  this->fail(Gate, Open->seq, wire::Outcome::NotRun, "quarantined");
  BOOST_TEST(this->Refused[1] == "not-run quarantined");
  BOOST_TEST(this->opens().size() == 1u);
}

// A safe call may have five tries. After three upstreams have crashed under it
// its request is held, and this node may not have heard so yet; whoever ran
// beside crashes by chance has an answer by then.
BOOST_AUTO_TEST_CASE(ThreeCrashesEndAnAttempt) {
  Fixture Of(/*FleetRetryReserve=*/100);
  Of.list({"g-1", "g-2", "g-3", "g-4"});
  Of.request(1, "/often/1");
  for (size_t Try = 1; Try <= 3; ++Try) {
    Of.hello(Of.Dialled.back());
    BOOST_REQUIRE(Of.opens().size() == Try);
    auto [Gate, Open] = Of.opens().back();
    BOOST_TEST(Open->crashes == Try - 1);
    Of.fail(Gate, Open->seq, wire::Outcome::Unknown, "upstream-crashed");
  }
  BOOST_TEST(Of.opens().size() == 3u);
  BOOST_TEST(Of.Refused[1] == "unknown upstream-crashed");
}

// Many callers send a request whose term is over. All nodes send it to the same
// gate, or each of them would crash an upstream with its trial; and who finds
// no room there is not sent to another.
BOOST_FIXTURE_TEST_CASE(ATrialHasOnePlace, Fixture) {
  this->Known = {Quarantine::Standing::Trial, Millis(0)};
  for (Entry::CallerId Id = 1; Id <= 20; ++Id)
    this->request(Id, "/read/1");
  BOOST_REQUIRE(this->Dialled.size() == 1u);
  this->hello(this->Dialled.back());
  BOOST_TEST(this->opens().size() == 20u);
  auto [Gate, Open] = this->opens().back();
  this->fail(Gate, Open->seq, wire::Outcome::NotRun, "beside-suspect");
  BOOST_TEST(this->opens().size() == 20u);
  BOOST_TEST(this->Refused.size() == 1u);
}

// A call with an idempotency key is judged by the one gate that remembers the
// key. Sent to another for its trial, it could run twice.
BOOST_FIXTURE_TEST_CASE(AKeyedCallOnTrialStaysAtItsHome, Fixture) {
  auto HomeOf = [this](const std::string &Key) {
    RequestHead Head;
    Head.Method = "POST";
    Head.Path = "/write/1";
    Head.Headers = {{"Idempotency-Key", Key}};
    return this->From->explain(Head, this->Now).Chosen->Name;
  };
  std::map<std::string, std::string> Homes;
  for (const char *Key : {"k1", "k2", "k3", "k4", "k5", "k6"})
    Homes[Key] = HomeOf(Key);
  this->Known = {Quarantine::Standing::Trial, Millis(0)};
  Entry::CallerId Id = 0;
  for (const auto &[Key, Home] : Homes) {
    RequestHead Head;
    Head.Method = "POST";
    Head.Path = "/write/1";
    Head.Headers = {{"Idempotency-Key", Key}};
    this->From->request(++Id, Head, this->Now);
  }
  for (const char *Gate : {"g-1", "g-2", "g-3"})
    this->hello(Gate);
  BOOST_REQUIRE(this->opens().size() == Homes.size());
  for (const auto &[Gate, Open] : this->opens())
    BOOST_TEST(Gate == Homes[Open->idempotency_key]);
}

// The bytes of a chunked body do not count at the gate, which sees them come;
// so they must not here, where all may have come by the second try.
BOOST_FIXTURE_TEST_CASE(AChunkedBodyIsNoPartOfTheName, Fixture) {
  RequestHead Head;
  Head.Method = "POST";
  Head.Path = "/often/1";
  Head.Length = UnknownLength;
  this->From->request(1, Head, this->Now);
  this->From->body(1, "bytes", this->Now);
  this->From->bodyEnd(1, this->Now);
  this->hello(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  this->fail(Gate, Open->seq, wire::Outcome::Unknown, "upstream-crashed");
  BOOST_REQUIRE(this->Judged.size() == 2u);
  BOOST_TEST((this->Judged[0] == fingerprintOf(Head, "", "")));
  BOOST_TEST((this->Judged[1] == this->Judged[0]));
}

// The gate names a request by its body as well; so must the entry.
BOOST_FIXTURE_TEST_CASE(ABodyThatIsReadAheadIsPartOfTheName, Fixture) {
  this->upload(1);
  RequestHead Head;
  Head.Method = "POST";
  Head.Path = "/write/1";
  Head.Length = 20000;
  BOOST_REQUIRE(this->Judged.size() == 1u);
  BOOST_TEST(
      (this->Judged[0] == fingerprintOf(Head, "", std::string(20000, 'x'))));
}

BOOST_FIXTURE_TEST_CASE(UnknownOutcomeOfUnsafeCallIsNotRepeated, Fixture) {
  this->request(1, "/write/1");
  this->hello(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  this->fail(Gate, Open->seq, wire::Outcome::Unknown, "upstream-closed");
  BOOST_TEST(this->Refused[1] == "unknown upstream-closed");
  BOOST_TEST(this->opens().size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(SafeCallIsTriedElsewhereUpToItsTries, Fixture) {
  this->request(1, "/read/1");
  for (size_t Try = 1; Try <= 2; ++Try) {
    this->hello(this->Dialled.back());
    BOOST_REQUIRE(this->opens().size() == Try);
    auto [Gate, Open] = this->opens().back();
    this->fail(Gate, Open->seq, wire::Outcome::Unknown, "upstream-closed");
  }
  BOOST_TEST(this->opens().size() == 2u);
  BOOST_TEST(this->Refused[1] == "unknown upstream-closed");
}

// The link to the gate falls silent, and the caller leaves while the entry
// looks for another way. The upstream works on for nobody unless it is told
// over the next link.
BOOST_FIXTURE_TEST_CASE(CallerThatLeavesDuringASearchIsTold, Fixture) {
  this->request(1, "/write/1");
  std::string Gate = this->Dialled.back();
  this->hello(Gate);
  BOOST_REQUIRE(this->opens().size() == 1u);
  this->pass(Millis(700)); // pings go unanswered, the link is condemned
  BOOST_REQUIRE(this->Dialled.size() == 2u);
  this->From->callerGone(1, this->Now);
  BOOST_TEST(this->cancels(Gate) == 0u);
  this->hello(Gate);
  BOOST_TEST(this->cancels(Gate) == 1u);
}

// A machine has lost power, and dials to it hang. Callers must not wait for the
// dial's own limit while another gate would answer.
BOOST_FIXTURE_TEST_CASE(CallsDoNotWaitForAHangingDial, Fixture) {
  this->request(1, "/write/1");
  std::string Dark = this->Dialled.back();
  this->pass(Millis(120));
  BOOST_REQUIRE(this->Dialled.size() >= 2u);
  BOOST_TEST(this->Dialled[1] != Dark);
  this->hello(this->Dialled[1]);
  BOOST_TEST(this->opens().size() == 1u);
  for (Entry::CallerId Id = 2; Id < 12; ++Id)
    this->request(Id, "/write/1");
  size_t ToDark = 0;
  for (const auto &[Gate, Open] : this->opens())
    ToDark += Gate == Dark;
  BOOST_TEST(ToDark == 0u);
}

// A gate's process ends, and a new one starts there. No call is sent to a gate
// that is thought gone, so the entry itself looks whether it is back.
BOOST_FIXTURE_TEST_CASE(LostGateIsDialledWithoutACall, Fixture) {
  this->request(1, "/read/1");
  std::string Gate = this->Dialled.back();
  this->hello(Gate);
  this->From->linkDown(Gate, this->Now);
  size_t Before = std::count(this->Dialled.begin(), this->Dialled.end(), Gate);
  this->pass(Millis(400));
  BOOST_TEST(static_cast<size_t>(std::count(
                 this->Dialled.begin(), this->Dialled.end(), Gate)) > Before);
}

// The link is lost after the call was sent. A call that may run twice is tried
// elsewhere at once; of another it must first be found out whether it ran.
BOOST_FIXTURE_TEST_CASE(OnlySafeCallsLeaveALostLink, Fixture) {
  this->request(1, "/write/1");
  std::string Gate = this->Dialled.back();
  this->hello(Gate);
  this->From->linkDown(Gate, this->Now);
  BOOST_TEST(this->opens().size() == 1u);
  this->request(2, "/read/1");
  std::string Other = this->Dialled.back();
  this->hello(Other);
  BOOST_REQUIRE(this->opens().back().first == Other);
  this->From->linkDown(Other, this->Now);
  BOOST_TEST(this->Dialled.back() != Other);
}

// The link to a gate falls silent while an upstream works on a safe call, and
// the other gates have no room. Its caller gets the answer of the first run
// over the next link, and not a failure while that run goes on.
BOOST_FIXTURE_TEST_CASE(SafeCallsReturnToARunThatGoesOn, Fixture) {
  this->request(1, "/read/1");
  std::string First = this->Dialled.back();
  this->hello(First);
  uint64_t Seq = this->opens().back().second->seq;
  this->From->linkDown(First, this->Now);
  for (int I = 0; I < 2; ++I) {
    this->hello(this->Dialled.back());
    auto [Gate, Open] = this->opens().back();
    BOOST_REQUIRE(Gate != First);
    this->fail(Gate, Open->seq, wire::Outcome::NotRun, "overload");
  }
  BOOST_TEST(this->Refused.empty());
  this->pass(Millis(40));
  BOOST_REQUIRE(this->Dialled.back() == First);
  this->hello(First);
  BOOST_TEST(this->cancels(First) == 0u);
  BOOST_TEST(this->opens().back().second->resume);
  BOOST_TEST(this->opens().back().second->seq == Seq);
  wire::HeadT Head;
  Head.seq = Seq;
  Head.status = 200;
  this->From->handleFrame(First, makeCallFrame(std::move(Head)), this->Now);
  BOOST_TEST(this->Answered.count(1) == 1u);
}

// The link to a gate falls silent under a safe call, which goes to another
// gate. The next link comes up before that has answered. Were the first run
// ended then, and the other gate had no room or was stopping, the caller would
// be told that the outcome is unknown although its run was nearly over. So the
// gate is asked about the run, and whoever runs it is left only for an answer
// or for a run that began earlier.
BOOST_DATA_TEST_CASE(ARunThatGoesOnIsJoinedAgain, data::make(Rejoins), Row) {
  Fixture Of;
  Of.list({"g-1", "g-2"});
  Of.request(1, "/read/1");
  std::string First = Of.Dialled.back();
  Of.hello(First);
  uint64_t Seq = Of.opens().back().second->seq;
  Of.From->linkDown(First, Of.Now);
  std::string Other = Of.Dialled.back();
  Of.hello(Other);
  uint64_t OtherSeq = Of.opens().back().second->seq;
  BOOST_REQUIRE(Other != First);
  Of.pass(Millis(40));
  Of.hello(First);
  BOOST_REQUIRE(Of.opens().back().first == First);
  BOOST_TEST(Of.opens().back().second->resume);
  BOOST_TEST(Of.opens().back().second->seq == Seq);
  BOOST_TEST(Of.cancels(First) == 0u);
  if (Row.Other == OtherSays::NoRoom)
    Of.fail(Other, OtherSeq, wire::Outcome::NotRun, "overload");
  wire::AdmittedT Joined;
  Joined.seq = Seq;
  if (Row.First == FirstSays::Joined)
    Of.From->handleFrame(First, makeCallFrame(Joined), Of.Now);
  if (Row.First == FirstSays::Ended)
    Of.fail(First, Seq, wire::Outcome::Unknown, "entry-lost");
  BOOST_TEST(Of.Refused.empty());
  wire::HeadT Head;
  Head.seq = Row.OfFirst ? Seq : OtherSeq;
  Head.status = 200;
  Of.From->handleFrame(Row.OfFirst ? First : Other,
                       makeCallFrame(std::move(Head)), Of.Now);
  BOOST_TEST(Of.Answered.count(1) == 1u);
  BOOST_TEST(Of.cancels(First) == Row.CancelsFirst);
  BOOST_TEST(Of.cancels(Other) == Row.CancelsOther);
}

// The link over which the gate was asked is lost as well, before it has said
// anything: it is asked again over the next.
BOOST_FIXTURE_TEST_CASE(ARunIsAskedAboutOverEachNewLink, Fixture) {
  this->list({"g-1", "g-2"});
  this->request(1, "/read/1");
  std::string First = this->Dialled.back();
  this->hello(First);
  uint64_t Seq = this->opens().back().second->seq;
  this->From->linkDown(First, this->Now);
  this->hello(this->Dialled.back());
  for (int I = 0; I < 2; ++I) {
    this->pass(Millis(40));
    BOOST_REQUIRE(this->Dialled.back() == First);
    this->hello(First);
    BOOST_TEST(this->opens().back().second->resume);
    BOOST_TEST(this->opens().back().second->seq == Seq);
    this->From->linkDown(First, this->Now);
  }
  this->From->callerGone(1, this->Now);
  this->pass(Millis(40));
  this->hello(First);
  BOOST_TEST(this->cancels(First) == 1u);
  BOOST_TEST(this->From->idle());
}

// The link falls silent, but the gate's process has ended, and its run with it.
BOOST_FIXTURE_TEST_CASE(RunsOfAnEndedGateAreNotWaitedFor, Fixture) {
  this->list({"g-1", "g-2"});
  this->request(1, "/read/1");
  std::string First = this->Dialled.back();
  this->hello(First);
  this->From->linkDown(First, this->Now);
  this->hello(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  this->fail(Gate, Open->seq, wire::Outcome::NotRun, "overload");
  this->pass(Millis(40));
  this->hello(First, /*Incarnation=*/2);
  BOOST_TEST(this->Refused[1].rfind("unknown", 0) == 0);
  BOOST_TEST(this->From->idle());
}

// The time of a planned stop runs out with calls under way. Their callers are
// told what is known, not cut: one call was sent, of the other nothing was.
BOOST_FIXTURE_TEST_CASE(CallsLeftAtAStopAreAnswered, Fixture) {
  this->request(1, "/write/1");
  std::string Gate = this->Dialled.back();
  this->hello(Gate);
  this->list({"g-4"});
  this->request(2, "/write/2");
  this->From->failRemainingCalls(this->Now);
  BOOST_TEST(this->Refused[1] == "unknown stopped");
  BOOST_TEST(this->Refused[2] == "not-run stopped");
  BOOST_TEST(this->cancels(Gate) == 1u);
  BOOST_TEST(this->From->idle());
}

// The way to a gate is narrow, and what it says comes half a second late. The
// link looks silent once and is replaced. Were the new one judged as strictly,
// each would be replaced in turn, and all calls there would search for their
// answers until their callers are gone.
BOOST_FIXTURE_TEST_CASE(SlowLinksAreReplacedOnce, Fixture) {
  this->list({"g-1"});
  this->request(1, "/write/1");
  this->hello("g-1");
  this->pass(Millis(650));
  BOOST_TEST(this->Dialled.size() == 2u);
  this->hello("g-1");
  this->request(2, "/write/2");
  this->pass(Millis(650));
  BOOST_TEST(this->Dialled.size() == 2u);
  // Long after, silence is silence again.
  this->pass(Millis(15000));
  this->hello("g-1");
  size_t Before = this->Dialled.size();
  this->request(3, "/write/3");
  this->pass(Millis(650));
  BOOST_TEST(this->Dialled.size() == Before + 1);
}

// A long body is sent once, to the gate that runs the call, and not to those
// that refuse it.
BOOST_FIXTURE_TEST_CASE(LongBodiesWaitForTheGate, Fixture) {
  this->upload(1);
  this->hello(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  BOOST_TEST(Open->holds_body);
  BOOST_TEST(this->bodyBytes() == 0u);
  this->fail(Gate, Open->seq, wire::Outcome::NotRun, "overload");
  this->hello(this->Dialled.back());
  wire::AdmittedT Go;
  Go.seq = this->opens().back().second->seq;
  this->From->handleFrame(this->opens().back().first, makeCallFrame(Go),
                          this->Now);
  BOOST_TEST(this->bodyBytes() == 16384u);
  wire::CreditT Credit;
  Credit.seq = Go.seq;
  Credit.consumed = 5000;
  this->From->handleFrame(this->opens().back().first, makeCallFrame(Credit),
                          this->Now);
  BOOST_TEST(this->bodyBytes() == 20000u);
}

// The upstream turns an upload away when most of it has arrived. Its caller
// does not notice: the whole body is still held, and goes to another gate.
BOOST_FIXTURE_TEST_CASE(UploadsAreSentAgainFromTheirFirstByte, Fixture) {
  this->upload(1);
  for (int Gate = 0; Gate < 2; ++Gate) {
    size_t Before = this->bodyBytes();
    this->hello(this->Dialled.back());
    auto [To, Open] = this->opens().back();
    wire::AdmittedT Go;
    Go.seq = Open->seq;
    this->From->handleFrame(To, makeCallFrame(Go), this->Now);
    wire::CreditT Credit;
    Credit.seq = Open->seq;
    Credit.consumed = 16384;
    this->From->handleFrame(To, makeCallFrame(Credit), this->Now);
    BOOST_TEST(this->bodyBytes() - Before == 20000u);
    if (Gate == 0)
      this->fail(To, Open->seq, wire::Outcome::NotRun, "upstream-shed");
  }
  BOOST_TEST(this->Refused.empty());
}

BOOST_FIXTURE_TEST_CASE(CallsSayWhereTheyComeFromAndWhomTheyMean, Fixture) {
  this->request(1, "/read/1");
  this->hello(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  BOOST_TEST(Open->upstream == "up-" + Gate);
  BOOST_TEST(findHeader(fromWire(Open->headers), "Origin") == "b");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
