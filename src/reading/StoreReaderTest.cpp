#include "reading/StoreReader.h"
#include "config/Config.h"
#include "membership/Evacuations.h"
#include "reading/SplitReader.h"
#include "reading/StoreFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>

namespace hickorylift {

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

/// A store that answers the oldest pending request when the test calls
/// answerRange or answerWatch.
class FakeStore : public KeyValueStore {
public:
  void range(const std::string &Prefix, const std::string &After, TimePoint,
             PageCallback Done) override {
    this->Requests.push_back("all of " + Prefix);
    this->LastRangeAfter = After;
    this->PendingRanges.push_back(std::move(Done));
  }
  void watch(const std::string &Prefix, uint64_t After, Millis Wait, TimePoint,
             ChangesCallback Done) override {
    this->Requests.push_back("changes of " + Prefix);
    this->WatchWaits[Prefix] = Wait;
    this->LastWatchAfter = After;
    this->PendingWatches.push_back(std::move(Done));
  }

  void cancel(const std::string &Prefix) override {
    this->Cancelled.push_back(Prefix);
  }

  void answerRange(const Result<ItemPage> &Answer, TimePoint Now) {
    BOOST_REQUIRE(!this->PendingRanges.empty());
    PageCallback Done = std::move(this->PendingRanges.front());
    this->PendingRanges.pop_front();
    Done(Answer, Now);
  }
  void answerWatch(const Result<ItemChanges> &Answer, TimePoint Now) {
    BOOST_REQUIRE(!this->PendingWatches.empty());
    ChangesCallback Done = std::move(this->PendingWatches.front());
    this->PendingWatches.pop_front();
    Done(Answer, Now);
  }

  std::vector<std::string> Requests;
  /// The prefixes whose requests were cancelled.
  std::vector<std::string> Cancelled;
  std::string LastRangeAfter;
  uint64_t LastWatchAfter = 0;
  /// The wait of the last watch of each prefix.
  std::map<std::string, Millis> WatchWaits;
  std::deque<PageCallback> PendingRanges;
  std::deque<ChangesCallback> PendingWatches;
};

/// The list of data centre north with these live instances, as a neighbour
/// sends it.
DocumentPtr receivedList(const std::vector<std::string> &Names,
                         uint64_t Revision) {
  EntryMap Entries;
  for (const std::string &Name : Names) {
    Result<Instance> Parsed =
        testLayout().ReadInstance(storedInstance(Name, Revision));
    Entries[Name] = makeEntry(Name, writeInstance(*Parsed));
  }
  return Document::make(Revision, Revision, std::move(Entries));
}

struct Fixture {
  FakeStore Store;
  std::map<std::string, DocumentPtr> Documents;
  std::vector<std::string> Failures;
  std::vector<std::string> Unreadable;
  /// The versions and issues of changed records.
  std::vector<std::string> RecordIssues;
  /// The old and the new era of each reported restore, in order.
  std::vector<uint64_t> ReportedEras;
  std::unique_ptr<StoreReader> Read;
  TimePoint Now = Start;
  uint64_t Revision = 100;
  uint64_t CompleteRevision = 0;
  uint64_t ReportedComplete = 0;
  ReadDuty Duty = ReadDuty::Watch;
  /// When another node last asked the platform, as far as this node knows.
  std::optional<TimePoint> AskedByOthers;

  SourceHooks hooks() {
    SourceHooks Hooks;
    Hooks.Publish = [this](const std::string &Topic, const DocumentPtr &Doc,
                           TimePoint) { this->Documents[Topic] = Doc; };
    Hooks.Confirm = [](const std::string &, uint64_t, uint64_t, TimePoint) {};
    Hooks.CurrentDocument = [this](const std::string &Topic) {
      auto Found = this->Documents.find(Topic);
      return Found == this->Documents.end() ? nullptr : Found->second;
    };
    Hooks.CompleteRevision = [this] { return this->CompleteRevision; };
    Hooks.ConfirmedAt = [this](const std::string &) {
      return this->AskedByOthers;
    };
    Hooks.ReportComplete = [this](uint64_t Revision) {
      this->ReportedComplete = Revision;
    };
    Hooks.Failed = [this](const Error &Why, TimePoint) {
      this->Failures.push_back(Why.Detail);
    };
    Hooks.Unreadable = [this](const Error &Why, TimePoint) {
      this->Unreadable.push_back(Why.Detail);
    };
    Hooks.RecordChanged = [this](uint64_t Version, const RecordIssue &Issue,
                                 TimePoint) {
      this->RecordIssues.push_back(std::to_string(Version) + " " +
                                   Issue.Detail);
    };
    Hooks.Restored = [this](uint64_t From, uint64_t To, TimePoint) {
      this->ReportedEras.insert(this->ReportedEras.end(), {From, To});
    };
    return Hooks;
  }

  Fixture() {
    StoreReader::Options Opts;
    Opts.StartJitter = Millis(0);
    this->Read = std::make_unique<StoreReader>(
        Opts, this->Store, testLayout(), this->hooks(),
        std::vector<std::string>{"north", "south"}, 7);
    this->step(Millis(0));
  }

  void step(Millis By) {
    this->Now += By;
    this->Read->tick(this->Now, this->Duty);
  }

  /// Advances the time until the reader sends a request, at most two seconds.
  void runUntilRequest() {
    for (int I = 0; I < 200; ++I)
      if (this->Store.PendingRanges.empty() &&
          this->Store.PendingWatches.empty())
        this->step(Millis(10));
  }

  void startWith(std::vector<StoredItem> Items, uint64_t At) {
    this->Store.answerRange(ItemPage{std::move(Items), false, At}, this->Now);
  }

  /// Writes these values to an instance's entry one after the other; an empty
  /// value removes it.
  void writeEntry(const std::string &Name,
                  const std::vector<std::string> &Values) {
    for (const std::string &Value : Values) {
      ++this->Revision;
      StoredItem Item{"i/" + Name, Value, this->Revision, 1};
      ItemChange Change{Item.Key, this->Revision, Item};
      if (Value.empty())
        Change.Item.reset();
      this->runUntilRequest();
      this->Store.answerWatch(ItemChanges{{Change}, this->Revision}, this->Now);
    }
  }

  void writeEvacuation(const std::string &DataCentre, bool IsStart) {
    ++this->Revision;
    StoredItem Item{"c-e/" + DataCentre, "{}", this->Revision, this->Revision};
    ItemChange Change{Item.Key, this->Revision, Item};
    if (!IsStart)
      Change.Item.reset();
    this->runUntilRequest();
    this->Store.answerWatch(ItemChanges{{Change}, this->Revision}, this->Now);
  }

  std::set<std::string> evacuated() const {
    return evacuatedDataCentres(*this->Documents.at(EvacuationTopic));
  }

  std::string entryOf(const std::string &Name) const {
    const EntryMap &Entries = this->Documents.at("instances/north")->entries();
    auto Found = Entries.find(Name);
    return Found == Entries.end() ? "none" : *Found->second.Bytes;
  }

  size_t listed() const {
    return this->Documents.at("instances/north")->entries().size();
  }
};

/// A reader whose node has received every document from its neighbours before
/// it starts reading.
struct CompleteNodeFixture : Fixture {
  CompleteNodeFixture() {
    this->Store = FakeStore();
    this->Documents[ConfigTopic] = Document::make(3, 30, {});
    this->Documents["instances/north"] = receivedList({"x", "y"}, 35);
    this->Documents["instances/south"] = Document::make(20, 20, {});
    this->Documents[EvacuationTopic] = makeEvacuationDocument(25, {"south"});
    this->CompleteRevision = 40;
    StoreReader::Options Opts;
    Opts.StartJitter = Millis(0);
    this->Read = std::make_unique<StoreReader>(
        Opts, this->Store, testLayout(), this->hooks(),
        std::vector<std::string>{"north", "south"}, 7);
    this->step(Millis(0));
  }
};

/// A reader that has read everything. From then on another node asks the
/// platform every second, as this node knows, until OthersAskFor.
struct SpareRow {
  const char *Name;
  ReadDuty Duty;
  Millis OthersAskFor;
  /// Requests in ten seconds that are answered without changes.
  size_t Requests;
};
std::ostream &operator<<(std::ostream &To, const SpareRow &Row) {
  return To << Row.Name;
}

const SpareRow SpareRows[] = {
    {"others always ask", ReadDuty::Spare, Millis(10000), 0},
    {"others never ask", ReadDuty::Spare, Millis(0), 7},
    {"others stop asking", ReadDuty::Spare, Millis(4000), 4},
    {"no spare", ReadDuty::Watch, Millis(10000), 40},
};

Error unreachable() { return Error{Errc::Unreachable, "s", "p", "away"}; }
Error historyGone() { return Error{Errc::Stale, "s", "p", "gone"}; }

/// Errors of consecutive requests, and whether the reader then fails.
struct FailureCase {
  const char *Name;
  std::vector<Error> Errors;
  bool Fails;
};
std::ostream &operator<<(std::ostream &Out, const FailureCase &Row) {
  return Out << Row.Name;
}

const Error TimedOut{Errc::Timeout, "store-watch", "store", "no answer"};

const FailureCase FailureCases[] = {
    {"one request is refused", {unreachable()}, false},
    {"two requests are refused", {unreachable(), unreachable()}, true},
    {"one request times out", {TimedOut}, true},
    {"the store has dropped its history", {historyGone()}, false},
    {"a request is refused after that", {historyGone(), unreachable()}, false},
};

/// What a node receives from others while its request for changes after
/// revision 40 is answered.
struct RedundantCase {
  const char *Name;
  uint64_t ReceivedRevision;
  uint64_t CompleteRevision;
  bool ReadsLists;
  bool IsAbandoned;
};
std::ostream &operator<<(std::ostream &Out, const RedundantCase &Row) {
  return Out << Row.Name;
}

const RedundantCase RedundantCases[] = {
    {"a version, and all changes before it", 50, 52, false, true},
    {"a version, but perhaps not all changes before it", 50, 45, false, false},
    {"changes, but no version", 30, 45, false, false},
    {"a version, and the reader reads lists as well", 50, 52, true, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreReading)

// Guards against spares that ask the platform as often as their primary while
// lists change all the time, and against ones that wait although the primary
// has stopped.
BOOST_DATA_TEST_CASE(SpareAsksOnlyIfNoOtherNodeDoes,
                     boost::unit_test::data::make(SpareRows), Row) {
  CompleteNodeFixture Test;
  Test.Store.answerWatch(ItemChanges{{}, 41}, Test.Now);
  Test.Duty = Row.Duty;
  TimePoint Begin = Test.Now;
  size_t Before = Test.Store.Requests.size();
  for (Millis Passed{0}; Passed < Millis(10000); Passed += Millis(10)) {
    if (Passed <= Row.OthersAskFor && Passed.count() % 1000 == 0 &&
        Row.OthersAskFor.count() > 0)
      Test.AskedByOthers = Begin + Passed;
    Test.step(Millis(10));
    if (!Test.Store.PendingWatches.empty())
      Test.Store.answerWatch(ItemChanges{{}, 41}, Test.Now);
  }
  BOOST_TEST(Test.Store.Requests.size() - Before == Row.Requests);
}

// Guards against a spare that has not asked for long and then transfers again
// what other nodes have sent meanwhile, or asks for history that is gone.
BOOST_FIXTURE_TEST_CASE(SpareContinuesFromTheNodesDocuments,
                        CompleteNodeFixture) {
  this->Store.answerWatch(ItemChanges{{}, 41}, this->Now);
  this->Duty = ReadDuty::Spare;
  this->AskedByOthers = this->Now;
  this->step(Millis(1000));
  this->CompleteRevision = 5000;
  this->Documents["instances/north"] = receivedList({"x", "y", "z"}, 5000);
  this->runUntilRequest();
  BOOST_TEST(this->Store.LastWatchAfter == 5000u);
  this->Store.answerWatch(ItemChanges{{}, 5001}, this->Now);
  BOOST_TEST(this->listed() == 3u);
}

BOOST_FIXTURE_TEST_CASE(WatchStartsFromTheFirstPage, Fixture) {
  this->Store.answerRange(ItemPage{{storedInstance("x", 3)}, true, 10},
                          this->Now);
  BOOST_TEST(this->Store.LastRangeAfter == "i/x");
  this->Store.answerRange(ItemPage{{storedInstance("y", 11)}, false, 12},
                          this->Now);
  BOOST_TEST(this->listed() == 2u);
  // Changes between the two pages must be delivered again.
  BOOST_TEST(this->Store.LastWatchAfter == 10u);
  BOOST_TEST(this->Documents.at("instances/south")->entries().empty());
}

BOOST_FIXTURE_TEST_CASE(QuickChangesAreReadWithOneCall, Fixture) {
  this->startWith({{"c", "1", 1, 1}}, 1);
  this->Store.answerWatch(
      ItemChanges{{{"c", 2, StoredItem{"c", "2", 2, 1}}}, 2}, this->Now);
  BOOST_TEST(this->Documents.at(ConfigTopic)->stamp().Version == 2u);
  BOOST_TEST(this->Store.PendingWatches.empty());
  this->step(Millis(250));
  BOOST_TEST(this->Store.PendingWatches.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(InvalidVersionsKeepThePreviousOne, Fixture) {
  this->startWith({{"c", "1", 1, 1}}, 1);
  this->Store.answerWatch(
      ItemChanges{{{"c", 2, StoredItem{"c", "bad", 2, 1}}}, 2}, this->Now);
  BOOST_TEST(this->Documents.at(ConfigTopic)->stamp().Version == 1u);
  BOOST_TEST(this->Failures == std::vector<std::string>{"bad"});
}

// Guards against changing a record without a word, and against repeating that
// at each later version.
BOOST_FIXTURE_TEST_CASE(RecordIssuesAreReportedOnce, Fixture) {
  this->startWith({{"c", "1 high", 1, 1}}, 1);
  uint64_t At = 1;
  for (const char *Value : {"2 high", "3 low", "4", "5 low"}) {
    ++At;
    this->runUntilRequest();
    this->Store.answerWatch(
        ItemChanges{{{"c", At, StoredItem{"c", Value, At, 1}}}, At}, this->Now);
  }
  BOOST_TEST(this->RecordIssues ==
                 (std::vector<std::string>{"1 high", "3 low", "5 low"}),
             boost::test_tools::per_element());
}

// Guards against listing an upstream that was removed while the store no longer
// had the history. Only reading everything again shows that it is gone.
BOOST_FIXTURE_TEST_CASE(EverythingIsReadAfterHistoryLoss, Fixture) {
  this->startWith({storedInstance("x", 1), storedInstance("y", 2)}, 2);
  this->Store.answerWatch(historyGone(), this->Now);
  this->runUntilRequest();
  this->startWith({storedInstance("x", 1)}, 9);
  BOOST_TEST(this->listed() == 1u);
}

// Guards against missing a restore, or reporting one on the first era seen.
BOOST_FIXTURE_TEST_CASE(NewErasAreReportedOnce, Fixture) {
  ItemPage First{{storedInstance("x", 1)}, false, 2, 5};
  this->Store.answerRange(First, this->Now);
  BOOST_TEST(this->ReportedEras.empty());
  this->Store.answerWatch(ItemChanges{{}, 2, 6}, this->Now);
  this->runUntilRequest();
  this->Store.answerRange(ItemPage{{}, false, 2, 6}, this->Now);
  BOOST_TEST((this->ReportedEras == std::vector<uint64_t>{5, 6}));
}

// Guards against applying a page that was requested before a restore.
BOOST_FIXTURE_TEST_CASE(PagesOfEarlierErasAreDiscarded, Fixture) {
  this->Store.answerRange(ItemPage{{{"c", "1", 4, 1}}, false, 4, 6}, this->Now);
  this->Store.answerWatch(historyGone(), this->Now);
  this->runUntilRequest();
  this->Store.answerRange(ItemPage{{{"c", "2", 9, 1}}, false, 9, 5}, this->Now);
  BOOST_TEST(this->Documents.at(ConfigTopic)->stamp().Version == 1u);
  this->runUntilRequest();
  this->Store.answerRange(ItemPage{{{"c", "3", 5, 1}}, false, 5, 6}, this->Now);
  BOOST_TEST(this->Documents.at(ConfigTopic)->stamp().Version == 3u);
}

// Guards against an empty list after an outage of the store, in which the
// entries of living upstreams expired because they could not be renewed, and
// against keeping an upstream that is really gone for ever.
BOOST_FIXTURE_TEST_CASE(ExpiredEntriesAreKeptAfterAnOutage, Fixture) {
  this->startWith({storedInstance("x", 1), storedInstance("y", 2)}, 2);
  this->Store.answerWatch(unreachable(), this->Now);
  this->runUntilRequest();
  this->Store.answerWatch(
      ItemChanges{{{"i/x", 5, std::nullopt}, {"i/y", 6, std::nullopt}}, 6},
      this->Now);
  BOOST_TEST(this->listed() == 2u);
  this->runUntilRequest();
  this->Store.answerWatch(ItemChanges{{{"i/x", 7, storedInstance("x", 7)}}, 7},
                          this->Now);
  BOOST_TEST(this->listed() == 2u);
  this->step(Millis(2300));
  BOOST_TEST(this->listed() == 1u);
}

// Guards against removing instances too early on a node that started during an
// outage of the store and has its list from a neighbour. Its first read lacks
// an entry that expired in the outage and may be renewed.
BOOST_FIXTURE_TEST_CASE(ReceivedListsAreKeptAfterAnOutage, Fixture) {
  this->Store.answerRange(unreachable(), this->Now);
  EntryMap Received;
  for (const char *Name : {"x", "y"})
    Received[Name] = makeEntry(Name, "received from a neighbour");
  this->Documents["instances/north"] =
      Document::make(4, 4, std::move(Received));
  this->runUntilRequest();
  this->startWith({storedInstance("x", 7)}, 7);
  BOOST_TEST(this->listed() == 2u);
  this->step(Millis(2300));
  BOOST_TEST(this->listed() == 1u);
}

// Guards against a leaving upstream being reported late because its change
// waits behind a large configuration.
BOOST_FIXTURE_TEST_CASE(LargeConfigurationsHaveASeparateWatch, Fixture) {
  SplitReader::Options Opts;
  Opts.ReaderOptions.StartJitter = Millis(0);
  Opts.SplitThresholdBytes = 1000;
  FakeStore OtherStore;
  SplitReader Reader(Opts, OtherStore, testLayout(), this->hooks(), {"north"},
                     7);
  Reader.tick(this->Now, ReadDuty::Watch);
  BOOST_TEST(OtherStore.Requests == std::vector<std::string>{"all of "});
  EntryMap Large;
  Large["r"] = makeEntry("r", std::string(2000, 'x'));
  this->Documents[ConfigTopic] = Document::make(1, 1, std::move(Large));
  OtherStore.Requests.clear();
  Reader.tick(this->Now, ReadDuty::Watch);
  BOOST_TEST(OtherStore.Requests ==
             (std::vector<std::string>{"all of c", "all of i/"}));
  // The combined reader's request, whose answer would be ignored now.
  OtherStore.PendingRanges.pop_front();
  OtherStore.answerRange(ItemPage{{{"c", "2", 2, 1}}, false, 2}, this->Now);
  OtherStore.answerRange(ItemPage{{storedInstance("x", 2)}, false, 2},
                         this->Now);
  BOOST_TEST(this->Documents.at(ConfigTopic)->stamp().Version == 2u);
  BOOST_TEST(this->listed() == 1u);
  // The watch of the configuration stays unanswered.
  OtherStore.PendingWatches.pop_front();
  StoredItem Leaving{"i/x", "leaving", 3, 2};
  OtherStore.answerWatch(ItemChanges{{{"i/x", 3, Leaving}}, 3}, this->Now);
  BOOST_TEST(this->Documents.at("instances/north")
                 ->entries()
                 .at("x")
                 .Bytes->find("leaving") != std::string::npos);
}

// Guards against repeated watch timeouts that keep a large configuration from
// being received after a failure.
BOOST_FIXTURE_TEST_CASE(LargeConfigurationsKeepTheirWaitAfterAFailure,
                        Fixture) {
  SplitReader::Options Opts;
  Opts.ReaderOptions.StartJitter = Millis(0);
  Opts.SplitThresholdBytes = 0;
  this->Documents[ConfigTopic] = Document::make(1, 1, {});
  FakeStore OtherStore;
  SplitReader Reader(Opts, OtherStore, testLayout(), this->hooks(), {"north"},
                     7);
  Reader.tick(this->Now, ReadDuty::Watch);
  OtherStore.answerRange(ItemPage{{{"c", "2", 2, 1}}, false, 2}, this->Now);
  OtherStore.answerRange(ItemPage{{storedInstance("x", 2)}, false, 2},
                         this->Now);
  OtherStore.answerWatch(unreachable(), this->Now);
  OtherStore.answerWatch(unreachable(), this->Now);
  for (int I = 0; I < 200; ++I, this->Now += Millis(10))
    Reader.tick(this->Now, ReadDuty::Watch);
  BOOST_TEST(OtherStore.PendingWatches.size() == 2u);
  BOOST_TEST((OtherStore.WatchWaits.at("c") == Opts.ReaderOptions.WatchWait));
  BOOST_TEST((OtherStore.WatchWaits.at("i/") ==
              Opts.ReaderOptions.WatchWaitAfterFailure));
}

using Names = std::set<std::string>;

BOOST_FIXTURE_TEST_CASE(EvacuationsStartAndEnd, Fixture) {
  this->startWith({{"c", "1", 4, 1}, {"c-e/south", "{}", 5, 5}}, 5);
  BOOST_TEST(this->evacuated() == Names{"south"});
  this->writeEvacuation("north", true);
  BOOST_TEST(this->evacuated() == (Names{"north", "south"}));
  this->writeEvacuation("south", false);
  BOOST_TEST(this->evacuated() == Names{"north"});
  this->writeEvacuation("north", false);
  BOOST_TEST(this->evacuated().empty());
}

// Guards against other nodes keeping an ended evacuation for ever because no
// empty document supersedes theirs.
BOOST_FIXTURE_TEST_CASE(EmptyEvacuationsArePublished, Fixture) {
  this->startWith({{"c", "1", 4, 1}}, 5);
  BOOST_TEST(this->evacuated().empty());
  BOOST_TEST(this->Documents.at(EvacuationTopic)->stamp().Revision == 5u);
}

// Guards against keeping an evacuation that ended while the store no longer had
// the history.
BOOST_FIXTURE_TEST_CASE(EndedEvacuationsAreRemovedAfterHistoryLoss, Fixture) {
  this->startWith({{"c-e/south", "{}", 5, 5}}, 5);
  this->runUntilRequest();
  this->Store.answerWatch(historyGone(), this->Now);
  this->runUntilRequest();
  this->startWith({{"c", "1", 4, 1}}, 9);
  BOOST_TEST(this->evacuated().empty());
}

// Guards against a node ending an evacuation that it received from other nodes
// and has not read itself.
BOOST_FIXTURE_TEST_CASE(ReceivedEvacuationsAreKept, CompleteNodeFixture) {
  this->Revision = 40;
  this->writeEvacuation("north", true);
  BOOST_TEST(this->evacuated() == (Names{"north", "south"}));
}

// Guards against missing evacuations once the configuration has a separate
// watch.
BOOST_FIXTURE_TEST_CASE(EvacuationsAreReadWithALargeConfiguration, Fixture) {
  SplitReader::Options Opts;
  Opts.ReaderOptions.StartJitter = Millis(0);
  Opts.SplitThresholdBytes = 0;
  this->Documents[ConfigTopic] = Document::make(1, 1, {});
  FakeStore OtherStore;
  SplitReader Reader(Opts, OtherStore, testLayout(), this->hooks(), {"north"},
                     7);
  Reader.tick(this->Now, ReadDuty::Watch);
  OtherStore.answerRange(
      ItemPage{{{"c", "2", 2, 1}, {"c-e/south", "{}", 2, 2}}, false, 2},
      this->Now);
  OtherStore.answerRange(ItemPage{{storedInstance("x", 2)}, false, 2},
                         this->Now);
  BOOST_TEST(this->evacuated() == Names{"south"});
}

// Guards against listing the old entry of an address that is assigned again
// before that entry has expired.
BOOST_FIXTURE_TEST_CASE(LaterEntryOfAReusedAddressIsListed, Fixture) {
  this->startWith({storedInstance("x+old", 1), storedInstance("x+new", 5)}, 5);
  BOOST_TEST(this->listed() == 1u);
  const DocumentPtr &List = this->Documents.at("instances/north");
  BOOST_TEST(List->entries().at("x").Bytes->find("x+new") != std::string::npos);
}

/// The values written to one entry, in order, and the listed state and
/// incarnation afterwards.
struct WriteCase {
  const char *Name;
  std::vector<std::string> Values;
  const char *State;
  const char *Incarnation;
};
std::ostream &operator<<(std::ostream &Out, const WriteCase &Row) {
  return Out << Row.Name;
}

const WriteCase WriteCases[] = {
    {"the upstream drains", {"5 live", "5 leaving"}, "leaving", "5"},
    {"a new start is live again", {"5 leaving", "6 live"}, "live", "6"},
    {"the old start writes after the new one",
     {"5 leaving", "6 live", "5 leaving"},
     "live",
     "6"},
    {"the old start writes after the new one was removed",
     {"5 live", "6 live", "", "5 live"},
     "none",
     "none"},
    {"an earlier start goes on writing: the later one was another writer's",
     {"5 live", "6 leaving", "5 live", "5 live", "5 live"},
     "live",
     "5"},
    {"a later start writes between the late writes",
     {"6 live", "5 leaving", "5 leaving", "6 live", "5 leaving"},
     "live",
     "6"},
    {"a start that no list can hold",
     {"5 live", "9223372036854775808 live"},
     "none",
     "none"},
    {"the upstream after a start that no list can hold",
     {"5 live", "9223372036854775808 live", "5 live"},
     "live",
     "5"},
    {"the newest value counts without incarnations",
     {"leaving", "live"},
     "live",
     "none"},
};

// Guards against applying a late write of an upstream's earlier process, such
// as its drain mark, to the process that was started under the same name since.
BOOST_DATA_TEST_CASE_F(Fixture, LateWritesOfEarlierStartsAreIgnored,
                       boost::unit_test::data::make(WriteCases), Row) {
  this->startWith({storedInstance("x", 1)}, 1);
  this->writeEntry("x", Row.Values);
  std::string Entry = this->entryOf("x");
  BOOST_TEST((Row.State == std::string("none")) == (Entry == "none"));
  if (Entry == "none")
    return;
  BOOST_TEST(Entry.find(std::string("\"state\":\"") + Row.State + "\"") !=
             std::string::npos);
  bool HasIncarnation = Row.Incarnation != std::string("none");
  std::string Expected = "\"incarnation\":" + std::string(Row.Incarnation);
  BOOST_TEST((Entry.find("incarnation") != std::string::npos) ==
             HasIncarnation);
  BOOST_TEST((!HasIncarnation || Entry.find(Expected) != std::string::npos));
}

/// The values written to one entry, in order, and the remaining cold time that
/// is then listed.
struct ColdCase {
  const char *Name;
  std::vector<std::string> Values;
  int64_t ColdMs;
};
std::ostream &operator<<(std::ostream &Out, const ColdCase &Row) {
  return Out << Row.Name;
}

const ColdCase ColdCases[] = {
    {"the upstream has started", {"5 cold 2900"}, 0},
    {"the first cold spell continues", {"5 cold 2900", "5 cold 1400"}, 0},
    {"the first cold spell ends", {"5 cold 2900", "5 live"}, 0},
    {"a second cold spell begins",
     {"5 cold 2900", "5 live", "5 cold 2500"},
     2500},
    {"a second cold spell begins during the first",
     {"5 cold 900", "5 cold 2700"},
     2700},
    {"the second cold spell continues",
     {"5 live", "5 cold 2500", "5 cold 1000"},
     2500},
    {"the second cold spell ends", {"5 live", "5 cold 2500", "5 live"}, 0},
    {"the upstream restarts", {"5 live", "5 cold 2500", "6 cold 2800"}, 0},
    {"longer than a list can hold", {"5 live", "5 cold 100000000000"}, 3600000},
};

// Guards against lists that change with each heartbeat of each upstream that
// was started, and against cold spells that are not listed.
BOOST_DATA_TEST_CASE(OnlyLaterColdSpellsAreListed,
                     boost::unit_test::data::make(ColdCases), Row) {
  Fixture Test;
  Test.startWith({}, 100);
  Test.writeEntry("x", Row.Values);
  std::string Entry = Test.entryOf("x");
  std::string Expected = "\"cold_ms\":" + std::to_string(Row.ColdMs);
  BOOST_TEST((Entry.find("cold_ms") != std::string::npos) == (Row.ColdMs > 0));
  BOOST_TEST((Row.ColdMs == 0 || Entry.find(Expected) != std::string::npos));
}

// Guards against using entries that can't be parsed, and against losing other
// entries because of them.
BOOST_FIXTURE_TEST_CASE(UnreadableEntriesAreRemovedAlone, Fixture) {
  this->startWith({storedInstance("x", 1), storedInstance("y", 2)}, 2);
  this->writeEntry("x", {"rubbish"});
  this->writeEntry("z", {"rubbish"});
  BOOST_TEST(this->entryOf("x") == "none");
  BOOST_TEST(this->entryOf("z") == "none");
  BOOST_TEST(this->entryOf("y") != "none");
  BOOST_TEST((this->Unreadable == std::vector<std::string>{"i/x", "i/z"}));
  BOOST_TEST(this->Failures.empty());
  this->writeEntry("x", {"live"});
  BOOST_TEST(this->entryOf("x") != "none");
}

// Guards against a log that fills up, and lists that are written anew, at each
// heartbeat of a writer whose entries can't be used.
BOOST_FIXTURE_TEST_CASE(UnusableEntriesCostNothingLater, Fixture) {
  this->startWith({storedInstance("x", 1)}, 1);
  DocumentPtr Before = this->Documents.at("instances/north");
  this->writeEntry("z", {"rubbish", "rubbish", "rubbish"});
  BOOST_TEST(this->Unreadable.size() == 1u);
  this->writeEntry("z", {""});
  BOOST_TEST((this->Documents.at("instances/north") == Before));
  this->writeEntry("z", {"rubbish"});
  BOOST_TEST(this->Unreadable.size() == 2u);
}

// Guards against lists that are written anew at each heartbeat.
BOOST_FIXTURE_TEST_CASE(HeartbeatsLeaveTheListsAsTheyAre, Fixture) {
  this->startWith({storedInstance("x", 1), storedInstance("y", 2)}, 2);
  this->writeEntry("x", {"live"});
  DocumentPtr Before = this->Documents.at("instances/north");
  this->writeEntry("x", {"live", "live"});
  BOOST_TEST((this->Documents.at("instances/north") == Before));
  BOOST_TEST(this->ReportedComplete == this->Revision);
}

// Guards against losing an upstream whose entry expired in an outage of the
// store, because another writer's entry at its address did not.
BOOST_FIXTURE_TEST_CASE(ExpiredEntriesAreKeptBesideOthers, Fixture) {
  std::string Service = recordEntryName("service", "a", 1);
  this->Documents[ConfigTopic] =
      Document::make(3, 1, {{Service, makeEntry(Service, "{}")}});
  StoredItem Agent = storedInstance("x+agent", 2);
  Agent.Value = "of b";
  this->startWith({storedInstance("x", 1), Agent}, 2);
  auto ListsUpstream = [this] {
    return this->entryOf("x").find(R"("upstream":"x")") != std::string::npos;
  };
  BOOST_TEST(ListsUpstream());
  this->Store.answerWatch(unreachable(), this->Now);
  this->runUntilRequest();
  this->Store.answerWatch(ItemChanges{{{"i/x", 5, std::nullopt}}, 5},
                          this->Now);
  BOOST_TEST(ListsUpstream());
  this->step(Millis(2300));
  BOOST_TEST(!ListsUpstream());
}

/// The documents that a node has received from neighbours before it reads, and
/// its first request.
struct ReceivedCase {
  const char *Name;
  bool Config;
  bool North;
  bool South;
  bool Evacuations;
  uint64_t CompleteRevision;
  const char *FirstRequest;
};
std::ostream &operator<<(std::ostream &Out, const ReceivedCase &Row) {
  return Out << Row.Name;
}

const ReceivedCase ReceivedCases[] = {
    {"everything", true, true, true, true, 40, "changes of "},
    {"everything, up to an unknown revision", true, true, true, true, 0,
     "all of "},
    {"no configuration version", false, true, true, true, 40, "all of "},
    {"one list is missing", true, true, false, true, 40, "all of "},
    {"no evacuations", true, true, true, false, 40, "all of "},
};

// Guards against reading all pages again on a node that starts or has lost its
// parents, although it has complete documents. These reads count towards a rate
// limit that all nodes share.
BOOST_DATA_TEST_CASE(ReceivedDocumentsAreNotReadAgain,
                     boost::unit_test::data::make(ReceivedCases), Row) {
  Fixture Test;
  FakeStore OtherStore;
  Test.Documents.clear();
  if (Row.Config)
    Test.Documents[ConfigTopic] = Document::make(3, 30, {});
  if (Row.North)
    Test.Documents["instances/north"] = receivedList({"x", "y"}, 35);
  if (Row.South)
    Test.Documents["instances/south"] = Document::make(20, 20, {});
  if (Row.Evacuations)
    Test.Documents[EvacuationTopic] = makeEvacuationDocument(20, {});
  Test.CompleteRevision = Row.CompleteRevision;
  StoreReader::Options Opts;
  Opts.StartJitter = Millis(0);
  StoreReader Read(Opts, OtherStore, testLayout(), Test.hooks(),
                   {"north", "south"}, 7);
  Read.tick(Test.Now, ReadDuty::Watch);
  BOOST_TEST(OtherStore.Requests == std::vector<std::string>{Row.FirstRequest});
  BOOST_TEST(OtherStore.LastWatchAfter ==
             (Row.FirstRequest == std::string("changes of ")
                  ? Row.CompleteRevision
                  : 0));
}

// Guards against missed changes on a node that starts from documents of its
// neighbours: one upstream leaves, one is added and one drains.
BOOST_FIXTURE_TEST_CASE(ChangesApplyToReceivedDocuments, CompleteNodeFixture) {
  StoredItem Draining{"i/y", "leaving", 43, 2};
  this->Store.answerWatch(ItemChanges{{{"i/x", 41, std::nullopt},
                                       {"i/z", 42, storedInstance("z", 42)},
                                       {"i/y", 43, Draining}},
                                      43},
                          this->Now);
  BOOST_TEST(this->entryOf("x") == "none");
  BOOST_TEST(this->entryOf("z") != "none");
  BOOST_TEST(this->entryOf("y").find("leaving") != std::string::npos);
  BOOST_TEST(this->ReportedComplete == 43u);
}

// Guards against repeating a watch from the neighbours' revision after the
// store dropped its history. Everything is read instead, which shows that an
// upstream has left.
BOOST_FIXTURE_TEST_CASE(DroppedHistoryIsRequestedOnce, CompleteNodeFixture) {
  this->Store.answerWatch(historyGone(), this->Now);
  this->Now += Millis(200);
  this->Read->tick(this->Now, ReadDuty::Watch);
  BOOST_TEST(this->Store.Requests ==
             (std::vector<std::string>{"changes of ", "all of "}));
  this->Store.answerRange(ItemPage{{storedInstance("y", 2)}, false, 90},
                          this->Now);
  BOOST_TEST(this->listed() == 1u);
}

// Guards against reporting lists with kept entries as complete after an outage:
// they differ from the store, so no node may continue reading from them.
BOOST_FIXTURE_TEST_CASE(ListsWithKeptEntriesAreNotComplete, Fixture) {
  this->startWith({storedInstance("x", 1), storedInstance("y", 2)}, 2);
  BOOST_TEST(this->ReportedComplete == 2u);
  this->Store.answerWatch(unreachable(), this->Now);
  this->runUntilRequest();
  this->Store.answerWatch(ItemChanges{{{"i/x", 5, std::nullopt}}, 5},
                          this->Now);
  BOOST_TEST(this->ReportedComplete == 2u);
  this->step(Millis(2300));
  this->runUntilRequest();
  this->Store.answerWatch(ItemChanges{{}, 6}, this->Now);
  BOOST_TEST(this->ReportedComplete == 6u);
}

// Guards against nodes that learn of a failing reader too late, or that replace
// one which is only asked to repeat a request.
BOOST_DATA_TEST_CASE_F(Fixture, RepeatedFailuresAreReported,
                       boost::unit_test::data::make(FailureCases), Row) {
  this->startWith({storedInstance("x", 1)}, 1);
  for (const Error &Why : Row.Errors) {
    this->runUntilRequest();
    if (!this->Store.PendingRanges.empty())
      this->Store.answerRange(Why, this->Now);
    else
      this->Store.answerWatch(Why, this->Now);
  }
  BOOST_TEST(this->Read->isFailing() == Row.Fails);
  this->runUntilRequest();
  if (!this->Store.PendingRanges.empty())
    this->Store.answerRange(ItemPage{{}, false, 2}, this->Now);
  else
    this->Store.answerWatch(ItemChanges{{}, 2}, this->Now);
  BOOST_TEST(!this->Read->isFailing());
}

// Guards against a node without the duty to read that keeps others reading in
// its place.
BOOST_FIXTURE_TEST_CASE(NodesWithoutADutyDoNotFail, Fixture) {
  this->startWith({storedInstance("x", 1)}, 1);
  for (int I = 0; I < 2; ++I) {
    this->runUntilRequest();
    this->Store.answerWatch(unreachable(), this->Now);
  }
  BOOST_REQUIRE(this->Read->isFailing());
  this->Duty = ReadDuty::None;
  this->step(Millis(100));
  BOOST_TEST(!this->Read->isFailing());
}

// Guards against a spare that goes on counting as failing because others are
// served and it does not ask, and against nodes that replace readers and ask as
// often as these in an outage.
BOOST_DATA_TEST_CASE_F(Fixture, FailingSparesAskAgain,
                       boost::unit_test::data::make({false, true}), Replaces) {
  StoreReader::Options Opts;
  this->Duty = Replaces ? ReadDuty::Replacement : ReadDuty::Spare;
  this->step(Millis(0));
  this->startWith({storedInstance("x", 1)}, 1);
  this->AskedByOthers.reset();
  for (int I = 0; I < 2; ++I) {
    while (this->Store.PendingWatches.empty())
      this->step(Millis(10));
    this->Store.answerWatch(unreachable(), this->Now);
  }
  BOOST_REQUIRE(this->Read->isFailing());
  TimePoint Failed = this->Now;
  while (this->Store.PendingWatches.empty()) {
    this->AskedByOthers = this->Now;
    this->step(Millis(10));
    BOOST_REQUIRE((this->Now - Failed < Opts.ReplacementBackoff + Millis(100)));
  }
  Millis Waited = toMillis(this->Now - Failed);
  BOOST_TEST((Waited >= Opts.ReplacementBackoff / 2) == Replaces);
  this->Store.answerWatch(ItemChanges{{}, 2}, this->Now);
  BOOST_TEST(!this->Read->isFailing());
}

// Guards against a reader on a thin network link that receives a version which
// its node already has, for seconds, while the next one waits behind it.
BOOST_DATA_TEST_CASE(RedundantTransfersAreAbandoned,
                     boost::unit_test::data::make(RedundantCases), Row) {
  Fixture Test;
  FakeStore OtherStore;
  Test.Documents[ConfigTopic] = Document::make(3, 30, {});
  Test.Documents[EvacuationTopic] = makeEvacuationDocument(20, {});
  Test.CompleteRevision = 40;
  StoreReader::Options Opts;
  Opts.StartJitter = Millis(0);
  StoreReader Read(Opts, OtherStore, testLayout(), Test.hooks(),
                   Row.ReadsLists ? std::vector<std::string>{"north"}
                                  : std::vector<std::string>{},
                   7);
  if (Row.ReadsLists)
    Test.Documents["instances/north"] = receivedList({"x"}, 35);
  Read.tick(Test.Now, ReadDuty::Watch);
  BOOST_REQUIRE(OtherStore.LastWatchAfter == 40u);
  Test.Documents[ConfigTopic] =
      Document::make(4, Row.ReceivedRevision, EntryMap());
  Test.CompleteRevision = Row.CompleteRevision;
  Read.tick(Test.Now + Millis(100), ReadDuty::Watch);
  BOOST_TEST(OtherStore.Cancelled.size() == (Row.IsAbandoned ? 1u : 0u));
  BOOST_TEST(OtherStore.LastWatchAfter ==
             (Row.IsAbandoned ? Row.CompleteRevision : 40u));
  // The next one is not abandoned for the same version.
  Read.tick(Test.Now + Millis(200), ReadDuty::Watch);
  BOOST_TEST(OtherStore.Cancelled.size() == (Row.IsAbandoned ? 1u : 0u));
}

// Guards against transferring versions that the node has received since its
// last request: each change of a watch holds a whole version.
BOOST_FIXTURE_TEST_CASE(ConfigReadersContinueFromTheNodesDocuments, Fixture) {
  FakeStore OtherStore;
  this->Documents[ConfigTopic] = Document::make(3, 30, {});
  this->Documents[EvacuationTopic] = makeEvacuationDocument(20, {});
  this->CompleteRevision = 40;
  StoreReader::Options Opts;
  Opts.StartJitter = Millis(0);
  StoreReader Read(Opts, OtherStore, testLayout(), this->hooks(), {}, 7);
  Read.tick(this->Now, ReadDuty::Watch);
  OtherStore.answerWatch(unreachable(), this->Now);
  this->Documents[ConfigTopic] = Document::make(6, 60, {});
  this->CompleteRevision = 61;
  Read.tick(this->Now + Millis(1000), ReadDuty::Watch);
  BOOST_TEST(OtherStore.LastWatchAfter == 61u);
}

BOOST_FIXTURE_TEST_CASE(RetryDelaysAreLimited, Fixture) {
  for (int I = 0; I < 20; ++I) {
    this->Store.answerRange(unreachable(), this->Now);
    TimePoint Failed = this->Now;
    this->runUntilRequest();
    BOOST_TEST((this->Now - Failed <= Millis(1010)));
    BOOST_REQUIRE(this->Store.PendingRanges.size() == 1u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
