#include "membership/Membership.h"

#include "base/Hash.h"
#include "base/NetAddress.h"

#include <algorithm>

// The spreading tree of a data centre is the k-ary heap over its instances,
// ordered by the hash of a salt and the name: an instance's parent is at index
// (i - 1) / k. Nothing has to be agreed on. A second tree with another salt
// gives the backup links; an inner node of the first is most likely a leaf of
// the second, so one death seldom cuts both.
//
// The readers are the first of the same order: the root has nobody above it to
// be told by, and so reads in any case, and what it reads goes down the tree at
// once. With readers in an order of their own each data centre had one more.

namespace hickorylift {

namespace {

const std::string TreeSalt = "tree";
const std::string BackupSalt = "backup";
const std::string ListPrefix = "instances/";
constexpr int64_t MaxSlots = 100000;
constexpr int64_t MaxColdMs = 3600 * 1000;

std::string address(JsonObject &From, const std::string &Key) {
  std::string Text = From.string(Key, std::nullopt);
  if (!Text.empty() && !parseAddress(Text))
    From.fault(Key, "expected an address \"ip:port\" that can be reached");
  return Text;
}

} // namespace

std::string listTopic(const std::string &DataCentre) {
  return ListPrefix + DataCentre;
}

std::string dataCentreOfListTopic(const std::string &Topic) {
  if (Topic.rfind(ListPrefix, 0) != 0)
    return "";
  return Topic.substr(ListPrefix.size());
}

std::string writeInstance(const Instance &One) {
  Json::Value Out(Json::objectValue);
  Out["name"] = One.Name;
  Out["data_centre"] = One.DataCentre;
  Out["service"] = One.Service;
  Out["node"] = One.Node;
  Out["operator"] = One.Operator;
  Out["state"] = One.Leaving ? "leaving" : "live";
  if (!One.Upstream.empty())
    Out["upstream"] = One.Upstream;
  if (One.Slots)
    Out["slots"] = One.Slots;
  if (One.Incarnation)
    Out["incarnation"] = Json::UInt64(One.Incarnation);
  if (One.ColdLeft.count() > 0)
    Out["cold_ms"] = Json::Int64(One.ColdLeft.count());
  return writeJson(Out);
}

namespace {

Instance readFields(JsonObject &Top) {
  Instance One;
  One.Name = Top.name("name");
  One.DataCentre = Top.name("data_centre");
  One.Service = Top.name("service");
  One.Node = address(Top, "node");
  One.Operator = address(Top, "operator");
  One.Leaving =
      Top.oneOf("state", std::nullopt, {"live", "leaving"}) == "leaving";
  One.Upstream = Top.string("upstream", "");
  One.Slots = static_cast<uint32_t>(Top.integer("slots", 0, 0, MaxSlots));
  One.Incarnation =
      static_cast<uint64_t>(Top.integer("incarnation", 0, 0, INT64_MAX));
  One.ColdLeft = Millis(Top.integer("cold_ms", 0, 0, MaxColdMs));
  return One;
}

} // namespace

std::optional<Instance> readInstance(const std::string &Text,
                                     const std::string &File,
                                     FaultList &Faults) {
  size_t Before = Faults.size();
  std::optional<Json::Value> Root = parseJson(Text, File, Faults);
  if (!Root)
    return std::nullopt;
  JsonObject Top({File, Text, &Faults}, *Root, "");
  Instance One = readFields(Top);
  // Unknown keys are passed over: the platform may say more than we read.
  if (Faults.size() != Before)
    return std::nullopt;
  return One;
}

Result<DocumentPtr> readInstanceList(const std::string &Text,
                                     const std::string &DataCentre,
                                     uint64_t Revision) {
  FaultList Faults;
  std::string File = listTopic(DataCentre);
  std::optional<Json::Value> Root = parseJson(Text, File, Faults);
  EntryMap Entries;
  if (Root && !(*Root)["instances"].isArray())
    Faults.push_back({File, 1, 1, "/instances", "expected a list"});
  else if (Root)
    for (Json::ArrayIndex I = 0; I < (*Root)["instances"].size(); ++I) {
      JsonObject Top({File, Text, &Faults}, (*Root)["instances"][I],
                     "/instances/" + std::to_string(I));
      Instance One = readFields(Top);
      if (One.DataCentre != DataCentre)
        Top.fault("data_centre", "expected " + DataCentre);
      Entries[One.Name] = makeEntry(One.Name, writeInstance(One));
    }
  if (!Faults.empty())
    return Error{Errc::Invalid, "read-list", "platform", Faults.front().text()};
  return Document::make(Revision, Revision, std::move(Entries));
}

// Reading JSON is most of the cost, and of a list of hundreds one instance has
// changed: the others are taken over as they were read.
void Membership::update(const std::string &DataCentre, const Document &List) {
  std::map<std::string, Listed> &Old = this->Lists[DataCentre];
  std::map<std::string, Listed> Read;
  bool Changed = false;
  for (const auto &[Name, Held] : List.entries()) {
    auto Known = Old.find(Name);
    if (Known != Old.end() && Known->second.Hash == Held.Hash) {
      Read.emplace(Name, std::move(Known->second));
      continue;
    }
    Changed = true;
    FaultList Faults;
    if (std::optional<Instance> One = readInstance(*Held.Bytes, Name, Faults))
      Read[Name] = {Held.Hash,
                    std::make_shared<const Instance>(std::move(*One))};
  }
  Changed |= Read.size() != Old.size();
  Old = std::move(Read);
  if (Changed)
    this->rebuild();
}

void Membership::rebuild() {
  ++this->Generation;
  this->ByName.clear();
  this->ByService.clear();
  for (const auto &[DataCentre, List] : this->Lists)
    for (const auto &[Name, One] : List)
      this->ByName[Name] = One.Who.get();
  for (const auto &[Name, One] : this->ByName)
    this->ByService[One->Service].push_back(One);
  this->sortOpen();
}

void Membership::sortOpen() {
  this->OpenByService = this->ByService;
  for (auto &[Service, Among] : this->OpenByService)
    std::erase_if(
        Among, [this](const Instance *One) { return this->isEvacuated(*One); });
}

bool Membership::setEvacuated(const std::set<std::string> &DataCentres) {
  if (DataCentres == this->Evacuated)
    return false;
  this->Evacuated = DataCentres;
  this->sortOpen();
  return true;
}

const Instance *Membership::find(const std::string &Name) const {
  auto Found = this->ByName.find(Name);
  return Found == this->ByName.end() ? nullptr : Found->second;
}

const std::vector<const Instance *> &
Membership::findIn(const ServiceMap &Of, const std::string &Service) {
  static const std::vector<const Instance *> None;
  auto Found = Of.find(Service);
  return Found == Of.end() ? None : Found->second;
}

const std::vector<const Instance *> &
Membership::upstreams(const std::string &Service) const {
  return findIn(this->ByService, Service);
}

const std::vector<const Instance *> &
Membership::routableUpstreams(const std::string &Service) const {
  return findIn(this->OpenByService, Service);
}

std::vector<std::string> Membership::dataCentres() const {
  std::vector<std::string> Out;
  for (const auto &[Name, List] : this->Lists)
    Out.push_back(Name);
  return Out;
}

size_t Membership::size(const std::string &DataCentre) const {
  auto Found = this->Lists.find(DataCentre);
  return Found == this->Lists.end() ? 0 : Found->second.size();
}

std::vector<const Instance *>
Membership::ordered(const std::string &DataCentre,
                    const std::string &Salt) const {
  auto Found = this->Lists.find(DataCentre);
  if (Found == this->Lists.end())
    return {};
  std::vector<std::pair<uint64_t, const Instance *>> Ranked;
  for (const auto &[Name, One] : Found->second)
    Ranked.emplace_back(rendezvousScore(Salt, Name), One.Who.get());
  std::sort(Ranked.begin(), Ranked.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first < B.first
                              : A.second->Name < B.second->Name;
  });
  std::vector<const Instance *> Out;
  for (const auto &[Score, One] : Ranked)
    Out.push_back(One);
  return Out;
}

size_t Membership::readerRank(const AvoidSet &Avoid) const {
  auto Ranked = this->ordered(this->Opts.DataCentre, TreeSalt);
  size_t Rank = 0;
  for (const Instance *One : Ranked) {
    if (One->Name == this->Opts.Self)
      return Rank;
    Rank += !One->Leaving && !Avoid.count(One->Name);
  }
  // Not on the list yet: after all that are.
  return Rank;
}

bool Membership::isReader(const AvoidSet &Avoid) const {
  return this->size(this->Opts.DataCentre) == 0 || this->everyNodeReads() ||
         this->readerRank(Avoid) < this->Opts.Readers;
}

size_t Membership::placeIn(const std::vector<const Instance *> &Order,
                           const std::string &Salt) const {
  uint64_t Own = rendezvousScore(Salt, this->Opts.Self);
  // Our place, or the one that we shall have: the list lags, and a node that
  // is not on it yet needs a parent all the same.
  size_t Place = 0;
  while (Place < Order.size() &&
         rendezvousScore(Salt, Order[Place]->Name) < Own)
    ++Place;
  return Place;
}

// The parent, or the nearest ancestor that is not to be avoided. If all up to
// the root are, the first of the whole order that is not: everyone below the
// dead root comes to the same one, which finds itself to be the root. The
// choice always lies before the chooser in the order, so no circle can form.
const Instance *Membership::parentIn(const std::string &Salt,
                                     const AvoidSet &Avoid) const {
  auto Order = this->ordered(this->Opts.DataCentre, Salt);
  size_t Place = this->placeIn(Order, Salt);
  for (size_t Up = Place; Up != 0;) {
    Up = (Up - 1) / this->Opts.Fanout;
    if (!Avoid.count(Order[Up]->Name))
      return Order[Up];
  }
  for (size_t First = 0; First < Place; ++First)
    if (!Avoid.count(Order[First]->Name))
      return Order[First];
  return nullptr;
}

const Instance *Membership::parent(const AvoidSet &Avoid) const {
  return this->parentIn(TreeSalt, Avoid);
}

const Instance *Membership::root(const std::string &DataCentre,
                                 const AvoidSet &Avoid) const {
  for (const Instance *One : this->ordered(DataCentre, TreeSalt))
    if (!Avoid.count(One->Name))
      return One;
  return nullptr;
}

std::vector<Neighbour> Membership::neighbours(const AvoidSet &Avoid) const {
  std::vector<Neighbour> Out;
  auto Add = [&](const Instance *Who, LinkKind Kind) {
    bool There = std::any_of(Out.begin(), Out.end(),
                             [&](const Neighbour &N) { return N.Peer == Who; });
    if (Who && !There)
      Out.push_back({Who, Kind});
  };
  Add(this->parentIn(TreeSalt, Avoid), LinkKind::Tree);
  Add(this->parentIn(BackupSalt, Avoid), LinkKind::Backup);
  for (const Instance *One : this->readersAbove(Avoid))
    Add(One, LinkKind::Backup);
  this->addBridges(Out, Avoid);
  return Out;
}

// The readers, and the next few in line, know those before them by a link: when
// these die with the list still naming them, the next in line notice at once.
std::vector<const Instance *>
Membership::readersAbove(const AvoidSet &Avoid) const {
  std::vector<const Instance *> Out;
  for (const Instance *One : this->ordered(this->Opts.DataCentre, TreeSalt)) {
    if (One->Name == this->Opts.Self)
      return Out;
    if (!One->Leaving && !Avoid.count(One->Name))
      Out.push_back(One);
    if (Out.size() >= this->Opts.Readers + this->Opts.SpareReaders)
      break;
  }
  return {};
}

// The first few of each data centre's tree hold the links to the others. They
// announce only: while the platform answers everywhere, each data centre's own
// readers bring the documents, and nothing but heartbeats crosses.
void Membership::addBridges(std::vector<Neighbour> &Out,
                            const AvoidSet &Avoid) const {
  auto Living = [&](const std::string &DataCentre) {
    auto Order = this->ordered(DataCentre, TreeSalt);
    std::erase_if(Order, [&](const Instance *One) {
      return Avoid.count(One->Name) != 0;
    });
    return Order;
  };
  auto Own = Living(this->Opts.DataCentre);
  for (size_t I = 0; I < Own.size() && I < this->Opts.Bridges; ++I) {
    if (Own[I]->Name != this->Opts.Self)
      continue;
    for (const auto &[Other, List] : this->Lists) {
      if (Other <= this->Opts.DataCentre)
        continue;
      auto Theirs = Living(Other);
      if (!Theirs.empty())
        Out.push_back(
            {Theirs[std::min(I, Theirs.size() - 1)], LinkKind::Bridge});
    }
  }
}

} // namespace hickorylift
