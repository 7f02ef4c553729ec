#include "membership/Membership.h"

#include "base/Hash.h"
#include "base/NetAddress.h"
#include "membership/Claims.h"
#include "membership/InstanceText.h"

#include <algorithm>

// The spreading tree of a data centre is a k-ary heap over its instances,
// ordered by a hash of a salt and the instance's name: the parent of the
// instance at index i is at (i - 1) / k. Every node computes the tree from the
// list, so the nodes need no protocol to agree on it. A second tree with
// another salt gives the backup links. An inner node of the first tree is most
// likely a leaf of the second, so the failure of one node seldom cuts both.
//
// The readers are the first instances in the order of the spreading tree. The
// root has no parent to receive documents from, so it reads the platform in any
// case, and what it reads goes down the tree at once. Readers chosen in another
// order would make one reader more in each data centre.

namespace hickorylift {

namespace {

const std::string TreeSalt = "tree";
const std::string BackupSalt = "backup";
const std::string ListPrefix = "instances/";

std::string readAddress(JsonObject &Fields, const std::string &Key) {
  std::string Text = Fields.string(Key, std::nullopt);
  if (!Text.empty() && !parseAddress(Text))
    Fields.fault(Key, "expected an address \"ip:port\" that can be reached");
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

Json::Value instanceFields(const Instance &Source) {
  Json::Value Fields(Json::objectValue);
  Fields["name"] = Source.Name;
  Fields["data_centre"] = Source.DataCentre;
  Fields["service"] = Source.Service;
  Fields["node"] = Source.Node;
  Fields["operator"] = Source.Operator;
  Fields["state"] = Source.Leaving ? "leaving" : "live";
  if (!Source.Upstream.empty())
    Fields["upstream"] = Source.Upstream;
  if (Source.Slots)
    Fields["slots"] = Source.Slots;
  if (Source.Incarnation)
    Fields["incarnation"] = Json::UInt64(Source.Incarnation);
  if (Source.ColdLeft.count() > 0)
    Fields["cold_ms"] = Json::Int64(Source.ColdLeft.count());
  return Fields;
}

std::string writeInstance(const Instance &Source) {
  return writeJson(instanceFields(Source));
}

Instance readInstanceFields(JsonObject &Top) {
  Instance Result;
  Result.Name = Top.name("name");
  Result.DataCentre = Top.name("data_centre");
  Result.Service = Top.name("service");
  Result.Node = readAddress(Top, "node");
  Result.Operator = readAddress(Top, "operator");
  Result.Leaving =
      Top.oneOf("state", std::nullopt, {"live", "leaving"}) == "leaving";
  Result.Upstream = Top.string("upstream", "");
  Result.Slots =
      static_cast<uint32_t>(Top.integer("slots", 0, 0, MaxInstanceSlots));
  Result.Incarnation =
      static_cast<uint64_t>(Top.integer("incarnation", 0, 0, MaxIncarnation));
  Result.ColdLeft = Millis(Top.integer("cold_ms", 0, 0, MaxColdLeft.count()));
  return Result;
}

std::optional<Instance> readInstance(const std::string &Text,
                                     const std::string &File,
                                     FaultList &Faults) {
  size_t Before = Faults.size();
  std::optional<Json::Value> Root = parseJson(Text, File, Faults);
  if (!Root)
    return std::nullopt;
  JsonObject Top({File, Text, &Faults}, *Root, "");
  Instance Result = readInstanceFields(Top);
  // Unknown keys are ignored: the platform may send more fields than this build
  // reads.
  if (Faults.size() != Before)
    return std::nullopt;
  return Result;
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
      Instance Member = readInstanceFields(Top);
      if (Member.DataCentre != DataCentre)
        Top.fault("data_centre", "expected " + DataCentre);
      Entries[Member.Name] = makeEntry(Member.Name, writeInstance(Member));
    }
  if (!Faults.empty())
    return Error{Errc::Invalid, "read-list", "platform", Faults.front().text()};
  return Document::make(Revision, Revision, std::move(Entries));
}

void Membership::update(const std::string &DataCentre, const Document &List) {
  this->updateList(DataCentre, List);
  this->adoptTopology(DataCentre);
}

bool Membership::adoptTopology(const std::string &DataCentre) {
  if (this->NotAdopted.erase(DataCentre) == 0)
    return false;
  std::vector<std::shared_ptr<const Instance>> &Adopted =
      this->Topology[DataCentre];
  Adopted.clear();
  for (const auto &[Name, Listed] : this->Lists[DataCentre])
    if (Listed.Used)
      Adopted.push_back(Listed.Used);
  return true;
}

size_t Membership::topologySize(const std::string &DataCentre) const {
  auto Found = this->Topology.find(DataCentre);
  return Found == this->Topology.end() ? 0 : Found->second.size();
}

bool Membership::everyNodeReads() const {
  size_t All = 0;
  size_t Named = 0;
  for (const auto &[DataCentre, Members] : this->Topology)
    for (const auto &Member : Members) {
      ++All;
      Named += this->isNamed(Member->Service);
    }
  return (Named > 0 ? Named : All) <= this->Opts.AllReadUpTo;
}

void Membership::rebuildRoutable() {
  this->RoutableByService = this->ByService;
  for (auto &[Service, Members] : this->RoutableByService)
    std::erase_if(Members, [this](const Instance *Member) {
      return this->isEvacuated(*Member);
    });
}

bool Membership::setEvacuated(const std::set<std::string> &DataCentres) {
  if (DataCentres == this->Evacuated)
    return false;
  this->Evacuated = DataCentres;
  this->rebuildRoutable();
  return true;
}

const Instance *Membership::find(const std::string &Name) const {
  auto Found = this->ByName.find(Name);
  return Found == this->ByName.end() ? nullptr : Found->second;
}

const Instance *Membership::ownUpstream() const {
  const Instance *Listed = this->find(this->Opts.Self);
  bool IsOther = Listed && !this->Opts.Service.empty() &&
                 Listed->Service != this->Opts.Service;
  return IsOther ? nullptr : Listed;
}

const std::vector<const Instance *> &
Membership::findIn(const ServiceMap &Services, const std::string &Service) {
  static const std::vector<const Instance *> None;
  auto Found = Services.find(Service);
  return Found == Services.end() ? None : Found->second;
}

const std::vector<const Instance *> &
Membership::upstreams(const std::string &Service) const {
  return findIn(this->ByService, Service);
}

const std::vector<const Instance *> &
Membership::routableUpstreams(const std::string &Service) const {
  return findIn(this->RoutableByService, Service);
}

std::vector<std::string> Membership::dataCentres() const {
  std::vector<std::string> Names;
  for (const auto &[Name, List] : this->Lists)
    Names.push_back(Name);
  return Names;
}

size_t Membership::size(const std::string &DataCentre) const {
  auto Found = this->Lists.find(DataCentre);
  if (Found == this->Lists.end())
    return 0;
  return static_cast<size_t>(std::count_if(
      Found->second.begin(), Found->second.end(),
      [](const auto &Listed) { return Listed.second.Used != nullptr; }));
}

std::vector<const Instance *>
Membership::treeOrder(const std::string &DataCentre,
                      const std::string &Salt) const {
  auto Found = this->Topology.find(DataCentre);
  if (Found == this->Topology.end())
    return {};
  std::vector<std::pair<TreeRank, const Instance *>> Ranked;
  for (const auto &Member : Found->second)
    Ranked.emplace_back(this->treeRank(Member->Service, Member->Name, Salt),
                        Member.get());
  std::sort(Ranked.begin(), Ranked.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first < B.first
                              : A.second->Name < B.second->Name;
  });
  std::vector<const Instance *> Order;
  for (const auto &[Score, Member] : Ranked)
    Order.push_back(Member);
  return Order;
}

size_t Membership::readerRank(const AvoidSet &Avoid) const {
  auto Ranked = this->treeOrder(this->Opts.DataCentre, TreeSalt);
  size_t Rank = 0;
  for (const Instance *Member : Ranked) {
    if (Member->Name == this->Opts.Self)
      return Rank;
    Rank += !Member->Leaving && !Avoid.count(Member->Name);
  }
  // This node is not on the list yet and ranks after all that are.
  return Rank;
}

std::set<std::string>
Membership::firstInReaderOrder(size_t Count, const AvoidSet &Avoid) const {
  std::set<std::string> Names;
  for (const Instance *Member :
       this->treeOrder(this->Opts.DataCentre, TreeSalt)) {
    if (Names.size() >= Count)
      break;
    if (!Member->Leaving && !Avoid.count(Member->Name))
      Names.insert(Member->Name);
  }
  return Names;
}

bool Membership::isReader(const AvoidSet &Avoid) const {
  return this->topologySize(this->Opts.DataCentre) == 0 ||
         this->everyNodeReads() || this->readerRank(Avoid) < this->Opts.Readers;
}

size_t Membership::indexIn(const std::vector<const Instance *> &Order,
                           const std::string &Salt) const {
  TreeRank Own = this->treeRank(this->Opts.Service, this->Opts.Self, Salt);
  // The index of this node, or the one that it will have once it is listed: the
  // list lags, and a node that is not on it yet needs a parent as well.
  size_t Index = 0;
  while (Index < Order.size() &&
         this->treeRank(Order[Index]->Service, Order[Index]->Name, Salt) < Own)
    ++Index;
  return Index;
}

// An entry of a service that the configuration does not name may be another
// writer's, with no node at its address. It stands behind all others, where it
// is nobody's parent and no reader, unless all are such.
Membership::TreeRank Membership::treeRank(const std::string &Service,
                                          const std::string &Name,
                                          const std::string &Salt) const {
  bool IsUnnamed = !Service.empty() && !this->isNamed(Service);
  return {IsUnnamed, rendezvousScore(Salt, Name)};
}

bool Membership::isNamed(const std::string &Service) const {
  return !this->Services || this->Services->count(Service) != 0;
}

// Returns the parent, or the nearest ancestor that is not avoided. If all
// ancestors up to the root are avoided, returns the first instance of the order
// that is not: all nodes below a dead root then select the same instance, and
// that instance finds itself to be the root. The selected instance always
// precedes this node in the order, so no cycle can form.
const Instance *Membership::parentInTree(const std::string &Salt,
                                         const AvoidSet &Avoid) const {
  auto Order = this->treeOrder(this->Opts.DataCentre, Salt);
  size_t Index = this->indexIn(Order, Salt);
  for (size_t Ancestor = Index; Ancestor != 0;) {
    Ancestor = (Ancestor - 1) / this->Opts.Fanout;
    if (!Avoid.count(Order[Ancestor]->Name))
      return Order[Ancestor];
  }
  for (size_t Earlier = 0; Earlier < Index; ++Earlier)
    if (!Avoid.count(Order[Earlier]->Name))
      return Order[Earlier];
  return nullptr;
}

const Instance *Membership::parentInTree(const std::string &Salt,
                                         const AvoidSet &Avoid,
                                         const AvoidSet &PassedOver) const {
  if (PassedOver.empty())
    return this->parentInTree(Salt, Avoid);
  AvoidSet Both = Avoid;
  Both.insert(PassedOver.begin(), PassedOver.end());
  const Instance *Parent = this->parentInTree(Salt, Both);
  return Parent ? Parent : this->parentInTree(Salt, Avoid);
}

const Instance *Membership::parent(const AvoidSet &Avoid,
                                   const AvoidSet &PassedOver) const {
  return this->parentInTree(TreeSalt, Avoid, PassedOver);
}

const Instance *Membership::root(const std::string &DataCentre,
                                 const AvoidSet &Avoid) const {
  for (const Instance *Member : this->treeOrder(DataCentre, TreeSalt))
    if (!Avoid.count(Member->Name))
      return Member;
  return nullptr;
}

std::vector<Neighbour>
Membership::neighbours(const AvoidSet &Avoid,
                       const AvoidSet &PassedOver) const {
  std::vector<Neighbour> Neighbours;
  auto Add = [&](const Instance *Peer, LinkKind Kind) {
    bool Known =
        std::any_of(Neighbours.begin(), Neighbours.end(),
                    [&](const Neighbour &N) { return N.Peer == Peer; });
    if (Peer && !Known)
      Neighbours.push_back({Peer, Kind});
  };
  Add(this->parentInTree(TreeSalt, Avoid, PassedOver), LinkKind::Tree);
  Add(this->parentInTree(BackupSalt, Avoid, PassedOver), LinkKind::Backup);
  for (const Instance *Reader : this->readersBefore(Avoid))
    Add(Reader, LinkKind::Backup);
  this->addBridges(Neighbours, Avoid);
  return Neighbours;
}

// The readers and the spare readers keep a link to each reader before them in
// the order. If that reader dies while the list still names it, the next in
// line detects it at once.
std::vector<const Instance *>
Membership::readersBefore(const AvoidSet &Avoid) const {
  std::vector<const Instance *> Readers;
  for (const Instance *Member :
       this->treeOrder(this->Opts.DataCentre, TreeSalt)) {
    if (Member->Name == this->Opts.Self)
      return Readers;
    if (!Member->Leaving && !Avoid.count(Member->Name))
      Readers.push_back(Member);
    if (Readers.size() >= this->Opts.Readers + this->Opts.SpareReaders)
      break;
  }
  return {};
}

// The first few instances of each data centre's tree keep the links to the
// other data centres. Documents are only announced on these links: while the
// platform answers everywhere, the readers of each data centre get the
// documents from it, and only heartbeats cross between data centres.
void Membership::addBridges(std::vector<Neighbour> &Neighbours,
                            const AvoidSet &Avoid) const {
  auto Reachable = [&](const std::string &DataCentre) {
    auto Order = this->treeOrder(DataCentre, TreeSalt);
    std::erase_if(Order, [&](const Instance *Member) {
      return Avoid.count(Member->Name) != 0;
    });
    return Order;
  };
  auto LocalOrder = Reachable(this->Opts.DataCentre);
  for (size_t I = 0; I < LocalOrder.size() && I < this->Opts.Bridges; ++I) {
    if (LocalOrder[I]->Name != this->Opts.Self)
      continue;
    for (const auto &[Other, Members] : this->Topology) {
      if (Other <= this->Opts.DataCentre)
        continue;
      auto RemoteOrder = Reachable(Other);
      if (!RemoteOrder.empty())
        Neighbours.push_back({RemoteOrder[std::min(I, RemoteOrder.size() - 1)],
                              LinkKind::Bridge});
    }
  }
}

} // namespace hickorylift
