#ifndef HICKORYLIFT_CONTROL_FLEETFIXTURE_H
#define HICKORYLIFT_CONTROL_FLEETFIXTURE_H

#include "config/RecordFile.h"
#include "control/ControlPlane.h"
#include "reading/SplitReader.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

// FleetFixture runs the control planes of a whole fleet in one test, with faked
// time, a faked network between them, and a key-value store that they read. A
// data centre can be cut off from the others and from the store; the entries of
// its instances expire meanwhile, and are written again after the cut.
//
//   FleetFixture Fleet({.PerDataCentre = 12}, /*Seed=*/1);
//   Fleet.publish(1);
//   Fleet.run(Millis(8000));
//   Fleet.cut("east");
//   Fleet.run(Millis(5000));
//   Fleet.heal("east");
//   Fleet.run(Millis(2500));
//   BOOST_TEST(Fleet.nodesWithout(2, "east").empty());
//
// The store can also turn single nodes away:
//
//   Fleet.turnAway(Fleet.firstReaders(2, "east"), {.Answers = true});

namespace hickorylift {

class FleetFixture {
public:
  struct Options {
    std::vector<std::string> DataCentres = {"east", "north", "south"};
    size_t PerDataCentre = 12;
    /// Time until a packet arrives, and by how much it varies.
    Millis Latency{5};
    Millis LatencyJitter{20};
    /// How long the transfer of the configuration takes over the network link
    /// of a node, by its data centre.
    std::map<std::string, Millis> TransferTime{};
    /// How long a packet waits for the rest of the queue while a node receives
    /// the configuration.
    Millis QueueTime{150};
    /// How often an instance renews its entry, and when an entry that is not
    /// renewed expires.
    Millis RenewInterval{1500};
    Millis EntryLifetime{4500};
  };

  /// How the store treats the requests of a node that it turns away.
  struct Refusal {
    /// Whether it answers them, with an error; if not, they time out.
    bool Answers = true;
  };

  FleetFixture(const Options &Opts, uint64_t Seed) : Opts(Opts), Random(Seed) {
    for (const std::string &DataCentre : Opts.DataCentres)
      for (size_t I = 0; I < Opts.PerDataCentre; ++I)
        this->addMember(DataCentre + "-" + std::to_string(I), DataCentre);
    for (auto &[Name, Of] : this->Members)
      this->start(Name);
  }

  /// Writes a version to the store.
  void publish(uint64_t Version) {
    this->put("c", std::to_string(Version));
    for (auto &[Name, Of] : this->Members)
      this->wakeWatches(Of);
  }

  /// The same, with these services in the configuration.
  void publish(uint64_t Version, const std::string &Services) {
    this->put("c", std::to_string(Version) + " " + Services);
    this->wakeAll();
  }

  /// Writes an entry as another writer, who renews nothing. Its value is a list
  /// of words: "at NAME", the node whose address it claims, and, where they
  /// differ from those of the node's own, "of SERVICE", "in DATA-CENTRE",
  /// "leaving", "born INCARNATION" and "cold MILLISECONDS".
  void writeEntry(const std::string &Name, const std::string &Value) {
    this->put("i/" + Name, Value);
    this->wakeAll();
  }
  void removeEntry(const std::string &Name) {
    this->Items.erase("i/" + Name);
    this->History.push_back({"i/" + Name, ++this->Revision, std::nullopt});
    this->wakeAll();
  }

  /// The nodes whose lists don't name Upstream as the one to call for a service
  /// at the address At, ready for calls.
  std::vector<std::string> nodesNotCalling(const std::string &Upstream,
                                           const std::string &At,
                                           const std::string &Service) const {
    std::vector<std::string> Names;
    for (const auto &[Name, Of] : this->Members) {
      const auto &Callable = Of.Node->members().upstreams(Service);
      bool IsCalled = std::any_of(
          Callable.begin(), Callable.end(), [&](const Instance *One) {
            return One->Name == At && One->Upstream == Upstream &&
                   !One->Leaving;
          });
      if (!IsCalled)
        Names.push_back(Name);
    }
    return Names;
  }

  ControlPlane &node(const std::string &Name) {
    return *this->Members.at(Name).Node;
  }

  /// Cuts a data centre off from the others and from the store.
  void cut(const std::string &DataCentre) { this->CutOff.insert(DataCentre); }
  void heal(const std::string &DataCentre) { this->CutOff.erase(DataCentre); }

  /// Cuts a data centre off from the others alone.
  void isolate(const std::string &DataCentre) {
    this->Isolated.insert(DataCentre);
  }

  /// The first Count nodes of a data centre in the order of readers.
  std::vector<std::string> firstReaders(size_t Count,
                                        const std::string &DataCentre) const {
    std::vector<std::string> Names;
    for (const auto &[Name, Of] : this->Members)
      if (Of.DataCentre == DataCentre &&
          Of.Node->members().readerRank() < Count)
        Names.push_back(Name);
    return Names;
  }

  /// The store serves these nodes no longer. It ends their waiting watches if
  /// it answers at all.
  void turnAway(const std::vector<std::string> &Names, const Refusal &How) {
    for (const std::string &Name : Names) {
      this->TurnedAway[Name] = How;
      if (!How.Answers)
        continue;
      for (auto &[Id, Pending] :
           std::exchange(this->Members.at(Name).Watches, {}))
        this->refuse(this->Members.at(Name), "store-watch", Pending.Done);
    }
  }
  /// The same for a share of the nodes of a data centre, drawn at random.
  void turnAway(int Percent, const std::string &DataCentre,
                const Refusal &How) {
    this->turnAway(this->draw(Percent, DataCentre), How);
  }
  void admitAll() { this->TurnedAway.clear(); }

  /// Requests of all nodes to the store so far, also of those turned away.
  uint64_t storeCalls() const { return this->StoreCalls; }

  /// Number of nodes of a data centre with the duty to read.
  size_t countReading(const std::string &DataCentre) const {
    size_t Count = 0;
    for (const auto &[Name, Of] : this->Members)
      Count += Of.Node && Of.DataCentre == DataCentre && Of.Node->isReader();
    return Count;
  }

  /// A machine stops without closing its connections. Its entry expires.
  void losePower(const std::string &Name) {
    Member &Of = this->Members.at(Name);
    Of.Node.reset();
    Of.HasPower = false;
    ++Of.Boot;
    Of.Links.clear();
    Of.Watches.clear();
  }

  /// A share of the nodes of a data centre, drawn at random, lose power.
  void losePower(int Percent, const std::string &DataCentre) {
    if (Percent == 0)
      return;
    for (const std::string &Name : this->draw(Percent, DataCentre))
      this->losePower(Name);
  }

  /// A share of all nodes lose power for a while.
  void restart(int Percent, Millis Pause) {
    std::vector<std::string> Lost;
    for (const std::string &DataCentre : this->Opts.DataCentres)
      for (const std::string &Name : this->draw(Percent, DataCentre))
        Lost.push_back(Name);
    for (const std::string &Name : Lost)
      this->losePower(Name);
    if (Lost.empty())
      return;
    this->run(Pause);
    for (const std::string &Name : Lost)
      this->start(Name);
  }

  void start(const std::string &Name) {
    Member &Of = this->Members.at(Name);
    Of.HasPower = true;
    Of.Store = std::make_unique<StoreOfNode>(*this, Of);
    Of.Node = this->makeNode(Of);
    this->at(Millis(this->Random() % 100),
             [this, &Of, Boot = Of.Boot] { this->tick(Of, Boot); });
  }

  void run(Millis Length) {
    TimePoint End = this->Now + Length;
    while (!this->Events.empty() && this->Events.begin()->first <= End) {
      this->Now = this->Events.begin()->first;
      auto Work = std::move(this->Events.begin()->second);
      this->Events.erase(this->Events.begin());
      Work();
    }
    this->Now = End;
  }

  /// Runs until all nodes of a data centre that have power have this version or
  /// a later one, at most for Limit. Returns how long that took.
  Millis timeUntilInForce(uint64_t Version, const std::string &DataCentre,
                          Millis Limit) {
    TimePoint Start = this->Now;
    while (this->Now - Start < Limit &&
           !this->nodesWithout(Version, DataCentre).empty())
      this->run(Millis(20));
    return toMillis(this->Now - Start);
  }

  std::vector<std::string> nodesWithout(uint64_t Version,
                                        const std::string &DataCentre) const {
    std::vector<std::string> Names;
    for (const auto &[Name, Of] : this->Members) {
      if (!Of.Node || Of.DataCentre != DataCentre)
        continue;
      ConfigPtr Active = Of.Node->config();
      if (!Active || Active->stamp().Version < Version)
        Names.push_back(Name);
    }
    return Names;
  }

private:
  struct Member;

  static constexpr Millis RangeTimeout{1500};

  struct LinkEnd {
    Member *Peer = nullptr;
    LinkId PeerLink = 0;
    // A frame was lost: nothing arrives any more.
    bool Silent = false;
    TimePoint NextArrival;
  };

  struct PendingWatch {
    std::string Prefix;
    uint64_t After = 0;
    KeyValueStore::ChangesCallback Done;
  };

  struct Member {
    std::string Name;
    std::string DataCentre;
    std::unique_ptr<ControlPlane> Node;
    std::unique_ptr<KeyValueStore> Store;
    std::map<LinkId, LinkEnd> Links;
    std::map<uint64_t, PendingWatch> Watches;
    bool HasPower = true;
    // Counts the starts: events of an earlier process are dropped.
    uint64_t Boot = 0;
    TimePoint RenewedAt;
    // The node receives the configuration from the store until then.
    TimePoint TransferUntil;
  };

  // The store as one node reaches it: over the node's network link.
  class StoreOfNode : public KeyValueStore {
  public:
    StoreOfNode(FleetFixture &Fleet, Member &Of) : Fleet(Fleet), Of(Of) {}
    void range(const std::string &Prefix, const std::string &, TimePoint,
               PageCallback Done) override {
      ++this->Fleet.StoreCalls;
      this->Fleet.range(this->Of, Prefix, Done);
    }
    void watch(const std::string &Prefix, uint64_t After, Millis Wait,
               TimePoint, ChangesCallback Done) override {
      ++this->Fleet.StoreCalls;
      this->Fleet.watch(this->Of, Prefix, After, Wait, Done);
    }
    void cancel(const std::string &Prefix) override {
      std::erase_if(this->Of.Watches, [&](const auto &Pending) {
        return Pending.second.Prefix == Prefix;
      });
    }

  private:
    FleetFixture &Fleet;
    Member &Of;
  };

  std::vector<std::string> draw(int Percent, const std::string &DataCentre) {
    std::vector<std::string> Drawn;
    for (const auto &[Name, Of] : this->Members)
      if (Of.DataCentre == DataCentre &&
          static_cast<int>(this->Random() % 100) < Percent)
        Drawn.push_back(Name);
    return Drawn;
  }

  void addMember(const std::string &Name, const std::string &DataCentre) {
    Member &Of = this->Members[Name];
    Of.Name = Name;
    Of.DataCentre = DataCentre;
    this->put("i/" + Name, "live");
    Of.RenewedAt = this->Now;
    this->at(Millis(this->Random() % this->Opts.RenewInterval.count()),
             [this, &Of] { this->renew(Of); });
  }

  std::unique_ptr<ControlPlane> makeNode(Member &Of) {
    ControlPlane::Options Node;
    Node.Self = Of.Name;
    Node.DataCentre = Of.DataCentre;
    Node.DataCentres = this->Opts.DataCentres;
    Node.Members.Self = Of.Name;
    Node.Members.DataCentre = Of.DataCentre;
    Node.Seed = this->Random();
    for (const std::string &DataCentre : this->Opts.DataCentres)
      if (std::string Name = DataCentre + "-0"; Name != Of.Name)
        Node.Seeds[Name] = "10.0.0.1:7000";
    Node.PeerWaitTime = Millis(800);
    Node.LostParentReadDelay = Millis(300);
    Node.Spread.HeartbeatInterval = Millis(400);
    Node.Spread.LivenessTimeout = Millis(1200);
    ControlPlane::Hooks Hooks;
    Hooks.Dial = [this, &Of](const std::string &Peer, const std::string &) {
      this->dial(Of, Peer, Of.Boot, /*Attempt=*/0);
    };
    Hooks.Send = [this, &Of](LinkId Link, const std::string &Bytes) {
      this->send(Of, Link, Bytes);
    };
    Hooks.Close = [this, &Of](LinkId Link) { this->close(Of, Link); };
    SplitReader::Options Read;
    Read.ReaderOptions.WatchWait = Millis(2500);
    Read.ReaderOptions.WatchInterval = Millis(600);
    Read.SplitThresholdBytes = 0;
    return std::make_unique<ControlPlane>(
        Node,
        [this, &Of, Read, Seed = this->Random()](const SourceHooks &Given) {
          return std::make_unique<SplitReader>(Read, *Of.Store, this->layout(),
                                               Given, this->Opts.DataCentres,
                                               Seed);
        },
        Hooks);
  }

  StoreLayout layout() const {
    StoreLayout Layout;
    Layout.ConfigKey = "c";
    Layout.InstancePrefix = "i/";
    Layout.ReadConfig = [](const StoredItem &Item) -> Result<ParsedConfig> {
      std::istringstream Words(Item.Value);
      uint64_t Version = 0;
      Words >> Version;
      std::string Services;
      for (std::string Name; Words >> Name || Services.empty();)
        Services += std::string(Services.empty() ? "" : ", ") +
                    R"({"kind": "service", "name": ")" +
                    (Name.empty() ? "portal" : Name) + R"(", "schema": 1})";
      FaultList Faults;
      std::optional<EntryMap> Records =
          readRecordFile("[" + Services + "]", "f", Faults);
      return ParsedConfig{Version, std::move(*Records)};
    };
    Layout.ReadInstance = [](const StoredItem &Item) -> Result<Instance> {
      Instance Parsed;
      Parsed.Upstream = Item.Key.substr(2);
      Parsed.Name = Parsed.Upstream;
      Parsed.Service = "portal";
      std::istringstream Words(Item.Value);
      int64_t ColdMs = 0;
      for (std::string Word; Words >> Word;) {
        if (Word == "at")
          Words >> Parsed.Name;
        else if (Word == "of")
          Words >> Parsed.Service;
        else if (Word == "in")
          Words >> Parsed.DataCentre;
        else if (Word == "born")
          Words >> Parsed.Incarnation;
        else if (Word == "cold")
          Words >> ColdMs;
        Parsed.Leaving |= Word == "leaving";
      }
      Parsed.ColdLeft = Millis(ColdMs);
      if (Parsed.DataCentre.empty())
        Parsed.DataCentre = Parsed.Name.substr(0, Parsed.Name.rfind('-'));
      Parsed.Node = "10.0.0.1:7000";
      Parsed.Operator = "10.0.0.1:9000";
      return Parsed;
    };
    Layout.InstanceKey = [](const Instance &Listed) {
      return "i/" + Listed.Upstream;
    };
    return Layout;
  }

  void at(Millis Delay, std::function<void()> Work) {
    this->Events.emplace(this->Now + Delay, std::move(Work));
  }

  Millis latency() {
    return this->Opts.Latency +
           Millis(this->Random() % (this->Opts.LatencyJitter.count() + 1));
  }

  bool reaches(const Member &From, const Member &To) const {
    auto IsCut = [this](const Member &Of) {
      return this->CutOff.count(Of.DataCentre) ||
             this->Isolated.count(Of.DataCentre);
    };
    return From.DataCentre == To.DataCentre || (!IsCut(From) && !IsCut(To));
  }
  bool reachesStore(const Member &From) const {
    return !this->CutOff.count(From.DataCentre);
  }

  void tick(Member &Of, uint64_t Boot) {
    if (Of.Boot != Boot || !Of.Node)
      return;
    Of.Node->tick(this->Now);
    this->at(Millis(100), [this, &Of, Boot] { this->tick(Of, Boot); });
  }

  // The opening packet is sent again after 1 and 2 s; a dial takes 2 s at most.
  void dial(Member &From, const std::string &Name, uint64_t Boot, int Attempt) {
    Millis Delay = Attempt == 0 ? this->latency() : Millis(1000);
    this->at(Delay, [this, &From, Name, Boot, Attempt] {
      if (From.Boot != Boot || !From.Node)
        return;
      auto Found = this->Members.find(Name);
      if (Found == this->Members.end() || Attempt == 2)
        return From.Node->dialFailed(Name, this->Now);
      Member &To = Found->second;
      if (!To.HasPower || !this->reaches(From, To))
        return this->dial(From, Name, Boot, Attempt + 1);
      if (!To.Node)
        return From.Node->dialFailed(Name, this->Now);
      LinkId Here = ++this->LastLink;
      LinkId There = ++this->LastLink;
      From.Links[Here] = {&To, There, false, this->Now};
      To.Links[There] = {&From, Here, false, this->Now};
      To.Node->linkOpened(There, "", this->Now);
      if (From.Links.count(Here))
        From.Node->linkOpened(Here, Name, this->Now);
    });
  }

  void send(Member &From, LinkId Link, const std::string &Bytes) {
    auto Found = From.Links.find(Link);
    if (Found == From.Links.end())
      return;
    LinkEnd &End = Found->second;
    End.Silent |= !this->reaches(From, *End.Peer) || !End.Peer->Node;
    if (End.Silent)
      return;
    Millis Delay = this->latency();
    if (this->Now < End.Peer->TransferUntil)
      Delay += this->Opts.QueueTime;
    End.NextArrival = std::max(End.NextArrival, this->Now + Delay);
    this->Events.emplace(End.NextArrival, [this, &From, Link, To = End.Peer,
                                           ToLink = End.PeerLink, Bytes] {
      if (To->Node && To->Links.count(ToLink))
        To->Node->receiveFrame(ToLink, Bytes, this->Now);
      else if (To->Node && From.Node && From.Links.erase(Link) != 0)
        From.Node->linkClosed(Link, this->Now);
    });
  }

  void close(Member &Of, LinkId Link) {
    auto Found = Of.Links.find(Link);
    if (Found == Of.Links.end())
      return;
    LinkEnd End = Found->second;
    Of.Links.erase(Found);
    if (End.Silent || !this->reaches(Of, *End.Peer) || !End.Peer->Node)
      return;
    this->Events.emplace(std::max(End.NextArrival, this->Now + this->latency()),
                         [this, To = End.Peer, Link = End.PeerLink] {
                           if (To->Node && To->Links.erase(Link) != 0)
                             To->Node->linkClosed(Link, this->Now);
                         });
  }

  void put(const std::string &Key, const std::string &Value) {
    StoredItem &Item = this->Items[Key];
    ++this->Revision;
    if (Item.Key.empty())
      Item.CreatedRevision = this->Revision;
    Item.Key = Key;
    Item.Value = Value;
    Item.Revision = this->Revision;
    this->History.push_back({Key, this->Revision, Item});
  }

  void renew(Member &Of) {
    if (Of.HasPower && this->reachesStore(Of)) {
      Of.RenewedAt = this->Now;
      if (!this->Items.count("i/" + Of.Name)) {
        this->put("i/" + Of.Name, "live");
        this->wakeAll();
      }
    } else if (this->Now - Of.RenewedAt >= this->Opts.EntryLifetime &&
               this->Items.erase("i/" + Of.Name) != 0) {
      this->History.push_back({"i/" + Of.Name, ++this->Revision, std::nullopt});
      this->wakeAll();
    }
    this->at(this->Opts.RenewInterval, [this, &Of] { this->renew(Of); });
  }

  void wakeAll() {
    for (auto &[Name, Of] : this->Members)
      this->wakeWatches(Of);
  }

  // The connection to the store is opened anew for each request; its opening
  // packet is sent again after 1 and 2 s.
  void connect(Member &Of, uint64_t Boot, Millis Left,
               std::function<void(bool)> Done, Millis Resend = Millis(1000)) {
    if (Of.Boot != Boot || !Of.Node)
      return;
    if (this->reachesStore(Of))
      return Done(true);
    Millis Delay = std::min(Left, Resend);
    this->at(Delay,
             [this, &Of, Boot, Left, Delay, Resend, Done = std::move(Done)] {
               if (Left == Delay)
                 return Of.Boot == Boot && Of.Node ? Done(false) : void();
               this->connect(Of, Boot, Left - Delay, Done, 2 * Resend);
             });
  }

  Millis transferTime(const Member &Of) const {
    auto Found = this->Opts.TransferTime.find(Of.DataCentre);
    return Found == this->Opts.TransferTime.end() ? Millis(0) : Found->second;
  }

  static bool startsWith(const std::string &Key, const std::string &Prefix) {
    return Key.rfind(Prefix, 0) == 0;
  }

  bool answersRefusal(const Member &Of) const {
    auto Found = this->TurnedAway.find(Of.Name);
    return Found != this->TurnedAway.end() && Found->second.Answers;
  }
  bool isTurnedAway(const Member &Of) const {
    return this->TurnedAway.count(Of.Name) != 0;
  }

  template <typename CallbackT>
  void refuse(Member &Of, const std::string &Step, const CallbackT &Done) {
    this->at(this->latency(), [this, &Of, Boot = Of.Boot, Step, Done] {
      if (Of.Boot == Boot && Of.Node)
        Done(Error{Errc::Busy, Step, "store", "status 429"}, this->Now);
    });
  }

  Error timeout(const std::string &Step) const {
    return Error{Errc::Timeout, Step, "store", "no answer"};
  }

  // Delivers after the transfer of what the answer contains.
  void deliver(Member &Of, uint64_t Boot, bool HasConfig,
               std::function<void()> Work) {
    Millis Delay = this->latency();
    if (HasConfig)
      Delay += this->transferTime(Of);
    if (HasConfig)
      Of.TransferUntil = std::max(Of.TransferUntil, this->Now + Delay);
    this->at(Delay, [&Of, Boot, Work = std::move(Work)] {
      if (Of.Boot == Boot && Of.Node)
        Work();
    });
  }

  void range(Member &Of, const std::string &Prefix,
             const KeyValueStore::PageCallback &Done) {
    uint64_t Boot = Of.Boot;
    this->at(this->latency(), [this, &Of, Boot, Prefix, Done] {
      this->connect(Of, Boot, RangeTimeout,
                    [this, &Of, Boot, Prefix, Done](bool Connected) {
                      if (!Connected)
                        return Done(this->timeout("store-range"), this->Now);
                      if (this->answersRefusal(Of))
                        return this->refuse(Of, "store-range", Done);
                      if (this->isTurnedAway(Of))
                        return this->at(RangeTimeout, [this, &Of, Boot, Done] {
                          if (Of.Boot == Boot && Of.Node)
                            Done(this->timeout("store-range"), this->Now);
                        });
                      ItemPage Page;
                      Page.Revision = this->Revision;
                      for (const auto &[Key, Item] : this->Items)
                        if (startsWith(Key, Prefix))
                          Page.Items.push_back(Item);
                      this->deliver(
                          Of, Boot, startsWith("c", Prefix),
                          [this, Page, Done] { Done(Page, this->Now); });
                    });
    });
  }

  void watch(Member &Of, const std::string &Prefix, uint64_t After, Millis Wait,
             const KeyValueStore::ChangesCallback &Done) {
    uint64_t Boot = Of.Boot;
    uint64_t Id = ++this->LastWatch;
    Millis Limit = std::max(Wait + Millis(600), Millis(1500));
    this->at(this->latency(), [this, &Of, Boot, Id, Prefix, After, Wait, Limit,
                               Done] {
      this->connect(Of, Boot, Limit,
                    [this, &Of, Boot, Id, Prefix, After, Wait, Limit,
                     Done](bool Connected) {
                      if (!Connected)
                        return Done(this->timeout("store-watch"), this->Now);
                      if (this->answersRefusal(Of))
                        return this->refuse(Of, "store-watch", Done);
                      Of.Watches[Id] = {Prefix, After, Done};
                      this->at(Wait, [this, &Of, Boot, Id] {
                        if (Of.Boot == Boot && this->reachesStore(Of))
                          this->answer(Of, Id, /*Final=*/true);
                      });
                      this->at(Limit, [this, &Of, Boot, Id] {
                        auto Found = Of.Watches.find(Id);
                        if (Of.Boot != Boot || Found == Of.Watches.end())
                          return;
                        auto Callback = Found->second.Done;
                        Of.Watches.erase(Found);
                        Callback(this->timeout("store-watch"), this->Now);
                      });
                      this->answer(Of, Id, /*Final=*/false);
                    });
    });
  }

  void answer(Member &Of, uint64_t Id, bool Final) {
    auto Found = Of.Watches.find(Id);
    if (Found == Of.Watches.end() || this->isTurnedAway(Of))
      return;
    ItemChanges Answer;
    Answer.Revision = this->Revision;
    bool HasConfig = false;
    std::map<std::string, ItemChange> Latest;
    for (const ItemChange &Change : this->History)
      if (Change.Revision > Found->second.After &&
          startsWith(Change.Key, Found->second.Prefix))
        Latest[Change.Key] = Change;
    for (const auto &[Key, Change] : Latest) {
      HasConfig |= Key == "c";
      Answer.Changes.push_back(Change);
    }
    if (Answer.Changes.empty() && !Final)
      return;
    auto Done = Found->second.Done;
    Of.Watches.erase(Found);
    this->deliver(Of, Of.Boot, HasConfig,
                  [this, Answer, Done] { Done(Answer, this->Now); });
  }

  void wakeWatches(Member &Of) {
    if (!this->reachesStore(Of))
      return;
    std::vector<uint64_t> Ids;
    for (const auto &[Id, Pending] : Of.Watches)
      Ids.push_back(Id);
    for (uint64_t Id : Ids)
      this->answer(Of, Id, /*Final=*/false);
  }

  Options Opts;
  std::mt19937_64 Random;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::function<void()>> Events;
  std::map<std::string, Member> Members;
  std::set<std::string> CutOff;
  std::set<std::string> Isolated;
  std::map<std::string, Refusal> TurnedAway;
  uint64_t StoreCalls = 0;
  LinkId LastLink = 0;
  uint64_t LastWatch = 0;
  uint64_t Revision = 0;
  std::map<std::string, StoredItem> Items;
  std::vector<ItemChange> History;
};

} // namespace hickorylift

#endif
