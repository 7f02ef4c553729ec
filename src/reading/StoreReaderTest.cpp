#include "reading/StoreReader.h"
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

/// A store that answers when the test says so.
class FakeStore : public KeyValueStore {
public:
  void range(const std::string &Prefix, const std::string &After, TimePoint,
             PageCallback Done) override {
    this->Asked.push_back("all of " + Prefix);
    this->RangeAfter = After;
    this->Pages.push_back(std::move(Done));
  }
  void watch(const std::string &Prefix, uint64_t After, Millis Wait, TimePoint,
             ChangesCallback Done) override {
    this->Asked.push_back("changes of " + Prefix);
    this->WatchWaits[Prefix] = Wait;
    this->WatchAfter = After;
    this->Watches.push_back(std::move(Done));
  }

  void page(const Result<ItemPage> &Of, TimePoint Now) {
    BOOST_REQUIRE(!this->Pages.empty());
    PageCallback Done = std::move(this->Pages.front());
    this->Pages.pop_front();
    Done(Of, Now);
  }
  void changes(const Result<ItemChanges> &Of, TimePoint Now) {
    BOOST_REQUIRE(!this->Watches.empty());
    ChangesCallback Done = std::move(this->Watches.front());
    this->Watches.pop_front();
    Done(Of, Now);
  }

  std::vector<std::string> Asked;
  std::string RangeAfter;
  uint64_t WatchAfter = 0;
  /// Wait of the most recent watch for each prefix.
  std::map<std::string, Millis> WatchWaits;
  std::deque<PageCallback> Pages;
  std::deque<ChangesCallback> Watches;
};

/// A list of the north as a neighbour tells it, of live instances.
DocumentPtr toldList(const std::vector<std::string> &Names, uint64_t Revision) {
  EntryMap Entries;
  for (const std::string &Name : Names) {
    Result<Instance> One =
        testLayout().ReadInstance(storedInstance(Name, Revision));
    Entries[Name] = makeEntry(Name, writeInstance(*One));
  }
  return Document::make(Revision, Revision, std::move(Entries));
}

struct Fixture {
  FakeStore Store;
  std::map<std::string, DocumentPtr> Seen;
  std::vector<std::string> Failures;
  std::vector<std::string> Unreadable;
  /// The old and the new era of each reported restore, in order.
  std::vector<uint64_t> ReportedEras;
  std::unique_ptr<StoreReader> Read;
  TimePoint Now = Start;
  uint64_t Revision = 100;
  uint64_t CompleteAt = 0;
  uint64_t ToldComplete = 0;

  SourceHooks hooks() {
    SourceHooks Hooks;
    Hooks.Publish = [this](const std::string &Topic, const DocumentPtr &Doc,
                           TimePoint) { this->Seen[Topic] = Doc; };
    Hooks.Confirm = [](const std::string &, uint64_t, uint64_t, TimePoint) {};
    Hooks.CurrentDocument = [this](const std::string &Topic) {
      auto Found = this->Seen.find(Topic);
      return Found == this->Seen.end() ? nullptr : Found->second;
    };
    Hooks.CompleteRevision = [this] { return this->CompleteAt; };
    Hooks.ReportComplete = [this](uint64_t Revision) {
      this->ToldComplete = Revision;
    };
    Hooks.Failed = [this](const Error &Why, TimePoint) {
      this->Failures.push_back(Why.Detail);
    };
    Hooks.Unreadable = [this](const Error &Why, TimePoint) {
      this->Unreadable.push_back(Why.Detail);
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
    this->Read->tick(this->Now, ReadDuty::Watch);
  }

  /// Goes on until the reader asks again, at most two seconds.
  void untilAsked() {
    for (int I = 0; I < 200; ++I)
      if (this->Store.Pages.empty() && this->Store.Watches.empty())
        this->step(Millis(10));
  }

  void startWith(std::vector<StoredItem> Items, uint64_t At) {
    this->Store.page(ItemPage{std::move(Items), false, At}, this->Now);
  }

  /// The instance's entry takes these values one after the other.
  void write(const std::string &Name, const std::vector<std::string> &Values) {
    for (const std::string &Value : Values) {
      ++this->Revision;
      StoredItem New{"i/" + Name, Value, this->Revision, 1};
      ItemChange Change{New.Key, this->Revision, New};
      if (Value.empty())
        Change.Item.reset();
      this->untilAsked();
      this->Store.changes(ItemChanges{{Change}, this->Revision}, this->Now);
    }
  }

  void evacuate(const std::string &DataCentre, bool Begins) {
    ++this->Revision;
    StoredItem New{"c-e/" + DataCentre, "{}", this->Revision, this->Revision};
    ItemChange Change{New.Key, this->Revision, New};
    if (!Begins)
      Change.Item.reset();
    this->untilAsked();
    this->Store.changes(ItemChanges{{Change}, this->Revision}, this->Now);
  }

  std::set<std::string> evacuated() const {
    return evacuatedIn(*this->Seen.at(EvacuationTopic));
  }

  std::string entryOf(const std::string &Name) const {
    const EntryMap &Entries = this->Seen.at("instances/north")->entries();
    auto Found = Entries.find(Name);
    return Found == Entries.end() ? "none" : *Found->second.Bytes;
  }

  size_t listed() const {
    return this->Seen.at("instances/north")->entries().size();
  }
};

/// A reader whose node has everything from its neighbours when it begins.
struct ToldFixture : Fixture {
  ToldFixture() {
    this->Store = FakeStore();
    this->Seen[ConfigTopic] = Document::make(3, 30, {});
    this->Seen["instances/north"] = toldList({"x", "y"}, 35);
    this->Seen["instances/south"] = Document::make(20, 20, {});
    this->Seen[EvacuationTopic] = makeEvacuations(25, {"south"});
    this->CompleteAt = 40;
    StoreReader::Options Opts;
    Opts.StartJitter = Millis(0);
    this->Read = std::make_unique<StoreReader>(
        Opts, this->Store, testLayout(), this->hooks(),
        std::vector<std::string>{"north", "south"}, 7);
    this->step(Millis(0));
  }
};

Error unreachable() { return Error{Errc::Unreachable, "s", "p", "away"}; }
Error historyGone() { return Error{Errc::Stale, "s", "p", "gone"}; }

} // namespace

BOOST_AUTO_TEST_SUITE(StoreReading)

BOOST_FIXTURE_TEST_CASE(PagesThenWatchFromTheFirst, Fixture) {
  this->Store.page(ItemPage{{storedInstance("x", 3)}, true, 10}, this->Now);
  BOOST_TEST(this->Store.RangeAfter == "i/x");
  this->Store.page(ItemPage{{storedInstance("y", 11)}, false, 12}, this->Now);
  BOOST_TEST(this->listed() == 2u);
  // What changed between the two pages must come again.
  BOOST_TEST(this->Store.WatchAfter == 10u);
  BOOST_TEST(this->Seen.at("instances/south")->entries().empty());
}

BOOST_FIXTURE_TEST_CASE(QuickChangesShareACall, Fixture) {
  this->startWith({{"c", "1", 1, 1}}, 1);
  this->Store.changes(ItemChanges{{{"c", 2, StoredItem{"c", "2", 2, 1}}}, 2},
                      this->Now);
  BOOST_TEST(this->Seen.at(ConfigTopic)->stamp().Version == 2u);
  BOOST_TEST(this->Store.Watches.empty());
  this->step(Millis(250));
  BOOST_TEST(this->Store.Watches.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(BadVersionLeavesTheLastOne, Fixture) {
  this->startWith({{"c", "1", 1, 1}}, 1);
  this->Store.changes(ItemChanges{{{"c", 2, StoredItem{"c", "bad", 2, 1}}}, 2},
                      this->Now);
  BOOST_TEST(this->Seen.at(ConfigTopic)->stamp().Version == 1u);
  BOOST_TEST(this->Failures == std::vector<std::string>{"bad"});
}

// An upstream drains, a watch is dropped together with its history, and the
// upstream leaves in between. Nobody tells of it; only reading all again does.
BOOST_FIXTURE_TEST_CASE(LostHistoryIsReadAgain, Fixture) {
  this->startWith({storedInstance("x", 1), storedInstance("y", 2)}, 2);
  this->Store.changes(historyGone(), this->Now);
  this->untilAsked();
  this->startWith({storedInstance("x", 1)}, 9);
  BOOST_TEST(this->listed() == 1u);
}

// Guards against missing a restore, or reporting one on the first era seen.
BOOST_FIXTURE_TEST_CASE(AnotherEraIsReportedOnce, Fixture) {
  ItemPage First{{storedInstance("x", 1)}, false, 2, 5};
  this->Store.page(First, this->Now);
  BOOST_TEST(this->ReportedEras.empty());
  this->Store.changes(ItemChanges{{}, 2, 6}, this->Now);
  this->untilAsked();
  this->Store.page(ItemPage{{}, false, 2, 6}, this->Now);
  BOOST_TEST((this->ReportedEras == std::vector<uint64_t>{5, 6}));
}

// Guards against applying a page that was requested before a restore.
BOOST_FIXTURE_TEST_CASE(PagesOfEarlierErasAreDiscarded, Fixture) {
  this->Store.page(ItemPage{{{"c", "1", 4, 1}}, false, 4, 6}, this->Now);
  this->Store.changes(historyGone(), this->Now);
  this->untilAsked();
  this->Store.page(ItemPage{{{"c", "2", 9, 1}}, false, 9, 5}, this->Now);
  BOOST_TEST(this->Seen.at(ConfigTopic)->stamp().Version == 1u);
  this->untilAsked();
  this->Store.page(ItemPage{{{"c", "3", 5, 1}}, false, 5, 6}, this->Now);
  BOOST_TEST(this->Seen.at(ConfigTopic)->stamp().Version == 3u);
}

// The store is away for a while. Entries of living upstreams lapse, since they
// cannot renew them, and are back soon after its return. Callers must not find
// the fleet empty in between, nor one that is really gone kept for ever.
BOOST_FIXTURE_TEST_CASE(LapsedEntriesAreWaitedFor, Fixture) {
  this->startWith({storedInstance("x", 1), storedInstance("y", 2)}, 2);
  this->Store.changes(unreachable(), this->Now);
  this->untilAsked();
  this->Store.changes(
      ItemChanges{{{"i/x", 5, std::nullopt}, {"i/y", 6, std::nullopt}}, 6},
      this->Now);
  BOOST_TEST(this->listed() == 2u);
  this->untilAsked();
  this->Store.changes(ItemChanges{{{"i/x", 7, storedInstance("x", 7)}}, 7},
                      this->Now);
  BOOST_TEST(this->listed() == 2u);
  this->step(Millis(2300));
  BOOST_TEST(this->listed() == 1u);
}

// A node starts while the store is away and has the list from a neighbour. Its
// own first look at the store lacks an entry that has lapsed, and must not take
// the instance from the list before it could come back.
BOOST_FIXTURE_TEST_CASE(ListsOfOthersOutliveAnOutageToo, Fixture) {
  this->Store.page(unreachable(), this->Now);
  EntryMap Told;
  for (const char *Name : {"x", "y"})
    Told[Name] = makeEntry(Name, "as a neighbour told it");
  this->Seen["instances/north"] = Document::make(4, 4, std::move(Told));
  this->untilAsked();
  this->startWith({storedInstance("x", 7)}, 7);
  BOOST_TEST(this->listed() == 2u);
  this->step(Millis(2300));
  BOOST_TEST(this->listed() == 1u);
}

// The configuration is large and changes, and an upstream leaves. What is said
// of the upstream must not wait behind the configuration.
BOOST_FIXTURE_TEST_CASE(LargeConfigurationsHaveAWatchOfTheirOwn, Fixture) {
  SplitReader::Options Opts;
  Opts.ReaderOptions.StartJitter = Millis(0);
  Opts.SplitThresholdBytes = 1000;
  FakeStore Other;
  SplitReader Both(Opts, Other, testLayout(), this->hooks(), {"north"}, 7);
  Both.tick(this->Now, ReadDuty::Watch);
  BOOST_TEST(Other.Asked == std::vector<std::string>{"all of "});
  EntryMap Large;
  Large["r"] = makeEntry("r", std::string(2000, 'x'));
  this->Seen[ConfigTopic] = Document::make(1, 1, std::move(Large));
  Other.Asked.clear();
  Both.tick(this->Now, ReadDuty::Watch);
  BOOST_TEST(Other.Asked ==
             (std::vector<std::string>{"all of c", "all of i/"}));
  Other.Pages.pop_front(); // the first one's answer comes too late
  Other.page(ItemPage{{{"c", "2", 2, 1}}, false, 2}, this->Now);
  Other.page(ItemPage{{storedInstance("x", 2)}, false, 2}, this->Now);
  BOOST_TEST(this->Seen.at(ConfigTopic)->stamp().Version == 2u);
  BOOST_TEST(this->listed() == 1u);
  Other.Watches.pop_front(); // the configuration is still on its way
  StoredItem Leaves{"i/x", "leaving", 3, 2};
  Other.changes(ItemChanges{{{"i/x", 3, Leaves}}, 3}, this->Now);
  BOOST_TEST(this->Seen.at("instances/north")
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
  this->Seen[ConfigTopic] = Document::make(1, 1, {});
  FakeStore Other;
  SplitReader Both(Opts, Other, testLayout(), this->hooks(), {"north"}, 7);
  Both.tick(this->Now, ReadDuty::Watch);
  Other.page(ItemPage{{{"c", "2", 2, 1}}, false, 2}, this->Now);
  Other.page(ItemPage{{storedInstance("x", 2)}, false, 2}, this->Now);
  Other.changes(unreachable(), this->Now);
  Other.changes(unreachable(), this->Now);
  for (int I = 0; I < 200; ++I, this->Now += Millis(10))
    Both.tick(this->Now, ReadDuty::Watch);
  BOOST_TEST(Other.Watches.size() == 2u);
  BOOST_TEST((Other.WatchWaits.at("c") == Opts.ReaderOptions.WatchWait));
  BOOST_TEST(
      (Other.WatchWaits.at("i/") == Opts.ReaderOptions.WatchWaitAfterFailure));
}

using Names = std::set<std::string>;

BOOST_FIXTURE_TEST_CASE(EvacuationsComeAndGo, Fixture) {
  this->startWith({{"c", "1", 4, 1}, {"c-e/south", "{}", 5, 5}}, 5);
  BOOST_TEST(this->evacuated() == Names{"south"});
  this->evacuate("north", true);
  BOOST_TEST(this->evacuated() == (Names{"north", "south"}));
  this->evacuate("south", false);
  BOOST_TEST(this->evacuated() == Names{"north"});
  this->evacuate("north", false);
  BOOST_TEST(this->evacuated().empty());
}

// Guards against an evacuation that others hold for good: nobody says that
// there is none.
BOOST_FIXTURE_TEST_CASE(NoEvacuationIsSaidToo, Fixture) {
  this->startWith({{"c", "1", 4, 1}}, 5);
  BOOST_TEST(this->evacuated().empty());
  BOOST_TEST(this->Seen.at(EvacuationTopic)->stamp().Revision == 5u);
}

// Guards against an evacuation that ended while the history was gone.
BOOST_FIXTURE_TEST_CASE(EvacuationsAreReadAnew, Fixture) {
  this->startWith({{"c-e/south", "{}", 5, 5}}, 5);
  this->untilAsked();
  this->Store.changes(historyGone(), this->Now);
  this->untilAsked();
  this->startWith({{"c", "1", 4, 1}}, 9);
  BOOST_TEST(this->evacuated().empty());
}

// Guards against a node that has its evacuations from others, and takes back
// one that it has not read itself.
BOOST_FIXTURE_TEST_CASE(WhatOthersToldOfEvacuationsHolds, ToldFixture) {
  this->Revision = 40;
  this->evacuate("north", true);
  BOOST_TEST(this->evacuated() == (Names{"north", "south"}));
}

// Guards against evacuations that nobody reads once the configuration has a
// watch of its own.
BOOST_FIXTURE_TEST_CASE(EvacuationsComeWithALargeConfiguration, Fixture) {
  SplitReader::Options Opts;
  Opts.ReaderOptions.StartJitter = Millis(0);
  Opts.SplitThresholdBytes = 0;
  this->Seen[ConfigTopic] = Document::make(1, 1, {});
  FakeStore Other;
  SplitReader Both(Opts, Other, testLayout(), this->hooks(), {"north"}, 7);
  Both.tick(this->Now, ReadDuty::Watch);
  Other.page(ItemPage{{{"c", "2", 2, 1}, {"c-e/south", "{}", 2, 2}}, false, 2},
             this->Now);
  Other.page(ItemPage{{storedInstance("x", 2)}, false, 2}, this->Now);
  BOOST_TEST(this->evacuated() == Names{"south"});
}

// An address is given out again before the old entry has lapsed.
BOOST_FIXTURE_TEST_CASE(TheLaterOfTwoEntriesCounts, Fixture) {
  this->startWith({storedInstance("x+old", 1), storedInstance("x+new", 5)}, 5);
  BOOST_TEST(this->listed() == 1u);
  const DocumentPtr &List = this->Seen.at("instances/north");
  BOOST_TEST(List->entries().at("x").Bytes->find("x+new") != std::string::npos);
}

/// What is written to one entry, in order, and what callers then find.
struct Starts {
  const char *What;
  std::vector<std::string> Written;
  const char *State;
  const char *Incarnation;
};
std::ostream &operator<<(std::ostream &To, const Starts &Of) {
  return To << Of.What;
}

const Starts StartsOfOne[] = {
    {"it drains", {"5 live", "5 leaving"}, "leaving", "5"},
    {"a new start serves again", {"5 leaving", "6 live"}, "live", "6"},
    {"the old start writes late",
     {"5 leaving", "6 live", "5 leaving"},
     "live",
     "6"},
    {"the old start writes after the new one was removed",
     {"5 live", "6 live", "", "5 live"},
     "none",
     "none"},
    {"without starts the newest counts", {"leaving", "live"}, "live", "none"},
};

// An upstream starts again under the name that it had, and what its earlier
// process still had under way is written after that. Callers find the new one;
// the drain mark of the old one is not theirs.
BOOST_DATA_TEST_CASE_F(Fixture, TheLatestStartCounts,
                       boost::unit_test::data::make(StartsOfOne), Row) {
  this->startWith({storedInstance("x", 1)}, 1);
  this->write("x", Row.Written);
  std::string Entry = this->entryOf("x");
  BOOST_TEST((Row.State == std::string("none")) == (Entry == "none"));
  if (Entry == "none")
    return;
  BOOST_TEST(Entry.find(std::string("\"state\":\"") + Row.State + "\"") !=
             std::string::npos);
  bool Tells = Row.Incarnation != std::string("none");
  std::string Wanted = "\"incarnation\":" + std::string(Row.Incarnation);
  BOOST_TEST((Entry.find("incarnation") != std::string::npos) == Tells);
  BOOST_TEST((!Tells || Entry.find(Wanted) != std::string::npos));
}

/// What is written to one entry, in order, and how cold the lists then say that
/// it is.
struct Spells {
  const char *What;
  std::vector<std::string> Written;
  int64_t ColdMs;
};
std::ostream &operator<<(std::ostream &To, const Spells &Of) {
  return To << Of.What;
}

const Spells ColdSpells[] = {
    {"it has started", {"5 cold 2900"}, 0},
    {"its first spell goes on", {"5 cold 2900", "5 cold 1400"}, 0},
    {"its first spell is over", {"5 cold 2900", "5 live"}, 0},
    {"it is cold again", {"5 cold 2900", "5 live", "5 cold 2500"}, 2500},
    {"it is cold anew before it was warm", {"5 cold 900", "5 cold 2700"}, 2700},
    {"a second spell goes on", {"5 live", "5 cold 2500", "5 cold 1000"}, 2500},
    {"a second spell is over", {"5 live", "5 cold 2500", "5 live"}, 0},
    {"another start follows", {"5 live", "5 cold 2500", "6 cold 2800"}, 0},
};

// Guards against lists that change with each heartbeat of each upstream that
// has started, and against a cold spell that nobody hears of.
BOOST_DATA_TEST_CASE(ListsSayThatAnUpstreamIsColdAgain,
                     boost::unit_test::data::make(ColdSpells), Row) {
  Fixture At;
  At.startWith({}, 100);
  At.write("x", Row.Written);
  std::string Entry = At.entryOf("x");
  std::string Wanted = "\"cold_ms\":" + std::to_string(Row.ColdMs);
  BOOST_TEST((Entry.find("cold_ms") != std::string::npos) == (Row.ColdMs > 0));
  BOOST_TEST((Row.ColdMs == 0 || Entry.find(Wanted) != std::string::npos));
}

// Someone writes rubbish over the entry of an upstream and beside it. Callers
// are not sent there, and go on to all the others.
BOOST_FIXTURE_TEST_CASE(RubbishNamesNobodyAndTheOthersHold, Fixture) {
  this->startWith({storedInstance("x", 1), storedInstance("y", 2)}, 2);
  this->write("x", {"rubbish"});
  this->write("z", {"rubbish"});
  BOOST_TEST(this->entryOf("x") == "none");
  BOOST_TEST(this->entryOf("z") == "none");
  BOOST_TEST(this->entryOf("y") != "none");
  BOOST_TEST((this->Unreadable == std::vector<std::string>{"i/x", "i/z"}));
  BOOST_TEST(this->Failures.empty());
  this->write("x", {"live"});
  BOOST_TEST(this->entryOf("x") != "none");
}

/// What neighbours have told a node that is to read, and what it asks first.
struct Told {
  const char *What;
  bool Config;
  bool North;
  bool South;
  bool Evacuations;
  uint64_t CompleteAt;
  const char *Asked;
};
std::ostream &operator<<(std::ostream &To, const Told &Of) {
  return To << Of.What;
}

const Told Tolds[] = {
    {"everything", true, true, true, true, 40, "changes of "},
    {"everything, but nobody knows up to when", true, true, true, true, 0,
     "all of "},
    {"no version", false, true, true, true, 40, "all of "},
    {"one list is missing", true, true, false, true, 40, "all of "},
    {"nothing of evacuations", true, true, true, false, 40, "all of "},
};

// Nodes lose their parents and read by themselves, and others start. Each that
// reads the whole fleet again, page by page, takes from a rate that all share.
BOOST_DATA_TEST_CASE(WhatOthersToldIsNotReadAgain,
                     boost::unit_test::data::make(Tolds), Row) {
  Fixture At;
  FakeStore Other;
  At.Seen.clear();
  if (Row.Config)
    At.Seen[ConfigTopic] = Document::make(3, 30, {});
  if (Row.North)
    At.Seen["instances/north"] = toldList({"x", "y"}, 35);
  if (Row.South)
    At.Seen["instances/south"] = Document::make(20, 20, {});
  if (Row.Evacuations)
    At.Seen[EvacuationTopic] = makeEvacuations(20, {});
  At.CompleteAt = Row.CompleteAt;
  StoreReader::Options Opts;
  Opts.StartJitter = Millis(0);
  StoreReader Read(Opts, Other, testLayout(), At.hooks(), {"north", "south"},
                   7);
  Read.tick(At.Now, ReadDuty::Watch);
  BOOST_TEST(Other.Asked == std::vector<std::string>{Row.Asked});
  BOOST_TEST(Other.WatchAfter ==
             (Row.Asked == std::string("changes of ") ? Row.CompleteAt : 0));
}

// A node goes on from what its neighbours told. An upstream leaves, another
// comes, a third drains: callers find what the store says, as if the node had
// read it all.
BOOST_FIXTURE_TEST_CASE(WhatOthersToldIsGoneOnFrom, ToldFixture) {
  StoredItem Leaves{"i/y", "leaving", 43, 2};
  this->Store.changes(ItemChanges{{{"i/x", 41, std::nullopt},
                                   {"i/z", 42, storedInstance("z", 42)},
                                   {"i/y", 43, Leaves}},
                                  43},
                      this->Now);
  BOOST_TEST(this->entryOf("x") == "none");
  BOOST_TEST(this->entryOf("z") != "none");
  BOOST_TEST(this->entryOf("y").find("leaving") != std::string::npos);
  BOOST_TEST(this->ToldComplete == 43u);
}

// The store has dropped what the neighbours' word would have to go on from, and
// an upstream that has left meanwhile is found by reading all again, once.
BOOST_FIXTURE_TEST_CASE(ForgottenHistoryIsNotAskedForTwice, ToldFixture) {
  this->Store.changes(historyGone(), this->Now);
  this->Now += Millis(200);
  this->Read->tick(this->Now, ReadDuty::Watch);
  BOOST_TEST(this->Store.Asked ==
             (std::vector<std::string>{"changes of ", "all of "}));
  this->Store.page(ItemPage{{storedInstance("y", 2)}, false, 90}, this->Now);
  BOOST_TEST(this->listed() == 1u);
}

// Lists that are held back after an outage say less than the store does, and
// nobody may go on from there.
BOOST_FIXTURE_TEST_CASE(HeldBackListsAreNotComplete, Fixture) {
  this->startWith({storedInstance("x", 1), storedInstance("y", 2)}, 2);
  BOOST_TEST(this->ToldComplete == 2u);
  this->Store.changes(unreachable(), this->Now);
  this->untilAsked();
  this->Store.changes(ItemChanges{{{"i/x", 5, std::nullopt}}, 5}, this->Now);
  BOOST_TEST(this->ToldComplete == 2u);
  this->step(Millis(2300));
  this->untilAsked();
  this->Store.changes(ItemChanges{{}, 6}, this->Now);
  BOOST_TEST(this->ToldComplete == 6u);
}

BOOST_FIXTURE_TEST_CASE(FailuresAreAskedAgainEverLater, Fixture) {
  for (int I = 0; I < 20; ++I) {
    this->Store.page(unreachable(), this->Now);
    TimePoint Failed = this->Now;
    this->untilAsked();
    BOOST_TEST((this->Now - Failed <= Millis(1010)));
    BOOST_REQUIRE(this->Store.Pages.size() == 1u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
