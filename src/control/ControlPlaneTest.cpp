#include "control/ControlPlane.h"

#include "config/RecordFile.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const char SeedName[] = "10.0.0.1";
const char SeedAddress[] = "10.0.0.1:7000";

/// A platform that is away: nothing ever comes of asking it.
class SilentSource : public DocumentSource {
public:
  void tick(TimePoint, ReadDuty) override {}
  uint64_t reads() const override { return 0; }
};

DocumentPtr versionOf(uint64_t Number) {
  FaultList Faults;
  std::optional<EntryMap> Records = readRecordFile(
      R"([{"kind": "service", "name": "portal", "schema": 1}])", "f", Faults);
  BOOST_REQUIRE(Records.has_value());
  return Document::make(Number, Number, std::move(*Records));
}

/// One node and the seed that it is told of, joined by links that the test
/// makes and cuts.
struct SeededNode {
  explicit SeededNode(const std::string &SeedKey) {
    this->Seed = this->make(0, SeedName, {});
    this->Node = this->make(1, "10.0.0.2", {{SeedKey, SeedAddress}});
  }

  std::unique_ptr<ControlPlane> make(int Which, const std::string &Name,
                                     std::map<std::string, std::string> Seeds) {
    ControlPlane::Options Opts;
    Opts.Self = Opts.Members.Self = Name;
    Opts.DataCentre = Opts.Members.DataCentre = "north";
    Opts.DataCentres = {"north"};
    Opts.Seeds = std::move(Seeds);
    Opts.PeersFirst = Millis(0);
    ControlPlane::Hooks Hooks;
    Hooks.Dial = [this](const std::string &Peer, const std::string &Address) {
      this->Dialled.push_back(Peer);
      BOOST_TEST(Address == SeedAddress);
    };
    Hooks.Send = [this, Which](LinkId, std::string Bytes) {
      this->Frames.emplace_back(1 - Which, std::move(Bytes));
    };
    Hooks.Close = [](LinkId) {};
    MakeSource Make = [this, Which](SourceHooks Given) {
      if (Which == 0)
        this->Publish = Given.Publish;
      return std::make_unique<SilentSource>();
    };
    return std::make_unique<ControlPlane>(Opts, Make, Hooks);
  }

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Millis(100)) {
      this->Seed->tick(this->Now);
      this->Node->tick(this->Now);
      if (!this->Linked && !this->Dialled.empty())
        this->connect();
      this->settle();
    }
  }

  void connect() {
    this->Linked = true;
    ++this->Links;
    this->Seed->linkOpened(this->Links, "", this->Now);
    this->Node->linkOpened(this->Links, this->Dialled.back(), this->Now);
    this->Dialled.clear();
  }

  void settle() {
    while (!this->Frames.empty()) {
      auto [To, Bytes] = std::move(this->Frames.front());
      this->Frames.pop_front();
      ControlPlane &At = To == 0 ? *this->Seed : *this->Node;
      At.frame(this->Links, Bytes, this->Now);
    }
  }

  void cut() {
    this->Linked = false;
    this->Seed->linkClosed(this->Links, this->Now);
    this->Node->linkClosed(this->Links, this->Now);
  }

  uint64_t inForce() const {
    return this->Node->config() ? this->Node->config()->stamp().Version : 0;
  }

  std::unique_ptr<ControlPlane> Seed;
  std::unique_ptr<ControlPlane> Node;
  std::function<void(const std::string &, DocumentPtr, TimePoint)> Publish;
  std::vector<std::string> Dialled;
  std::deque<std::pair<int, std::string>> Frames;
  bool Linked = false;
  LinkId Links = 0;
  TimePoint Now = TimePoint(std::chrono::hours(1));
};

} // namespace

BOOST_AUTO_TEST_SUITE(Controlling)

// Callers of a node that has just started are refused for as long as it knows
// no configuration. The platform is away, so the node can only learn it from a
// seed; the settings may name the seed, or tell its address alone. Its link
// breaks once, and versions that are accepted later must still come.
BOOST_DATA_TEST_CASE(StartsFromASeedWhileThePlatformIsAway,
                     data::make({SeedName, SeedAddress}), Key) {
  SeededNode Pair(Key);
  Pair.run(Millis(500));
  Pair.Publish(ConfigTopic, versionOf(1), Pair.Now);
  Pair.run(Millis(500));
  BOOST_TEST(Pair.inForce() == 1u);
  Pair.cut();
  Pair.run(Millis(2000));
  Pair.Publish(ConfigTopic, versionOf(2), Pair.Now);
  Pair.run(Millis(500));
  BOOST_TEST(Pair.inForce() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
