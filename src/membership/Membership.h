#ifndef HICKORYLIFT_MEMBERSHIP_MEMBERSHIP_H
#define HICKORYLIFT_MEMBERSHIP_MEMBERSHIP_H

#include "base/Json.h"
#include "base/Time.h"
#include "config/Document.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Membership is a node's view of the fleet: the instance lists of the platform,
// one for each data centre, as the node has received them. From them it derives
// which nodes read the platform, which nodes link to each other, and which
// instances serve a service. Nodes with the same lists derive the same; nodes
// whose lists differ for a while agree on most. Where several entries of the
// platform claim one node's address, each node chooses for itself which one
// describes the upstream there (Claims.h).
//
//   Membership Fleet({.Self = "portal-3", .DataCentre = "north"});
//   Fleet.update("north", *ListDocument);
//   if (Fleet.isReader()) ...
//   for (const Neighbour &N : Fleet.neighbours()) dial(N.Peer->Node);

namespace hickorylift {

/// One upstream with its node.
struct Instance {
  std::string Name;
  std::string DataCentre;
  std::string Service;
  /// "ip:port" where the node accepts its peers.
  std::string Node;
  /// "ip:port" of the node's operator interface.
  std::string Operator;
  /// The platform marks the instance as about to be removed.
  bool Leaving = false;
  /// Identifies the upstream process, if the platform tells its starts apart;
  /// else empty.
  std::string Upstream{};
  /// Number of calls that this upstream runs at once; 0 if the value of its
  /// service applies.
  uint32_t Slots = 0;
  /// Distinguishes the starts of an upstream process under the same name; the
  /// greater is the later. 0 if the platform gives none.
  uint64_t Incarnation = 0;
  /// How much longer the upstream stays cold after its start, as of the moment
  /// when the platform reported it.
  Millis ColdLeft{0};

  /// Whether both are the same start of the same upstream process.
  bool sameStart(const Instance &Other) const {
    return this->Upstream == Other.Upstream &&
           this->Incarnation == Other.Incarnation;
  }

  bool operator==(const Instance &) const = default;
};

/// Name and incarnation of an upstream, which identify one of its starts.
using UpstreamStart = std::pair<std::string, uint64_t>;

/// Bounds of what a list can hold of an instance.
constexpr uint32_t MaxInstanceSlots = 100000;
constexpr Millis MaxColdLeft{3600 * 1000};
constexpr uint64_t MaxIncarnation = INT64_MAX;

/// Returns the topic of a data centre's instance list.
std::string listTopic(const std::string &DataCentre);
/// Returns the data centre of a list topic; empty if Topic is not one.
std::string dataCentreOfListTopic(const std::string &Topic);

/// Converts an instance to the text of a document entry, and back.
std::string writeInstance(const Instance &Source);
std::optional<Instance> readInstance(const std::string &Text,
                                     const std::string &File,
                                     FaultList &Faults);
/// Parses the platform's value for one data centre into a document. Any fault
/// rejects the whole list.
Result<DocumentPtr> readInstanceList(const std::string &Text,
                                     const std::string &DataCentre,
                                     uint64_t Revision);

/// The purpose of a control link between two nodes.
enum class LinkKind {
  /// Link to the parent in the spreading tree. Documents are pushed along it.
  Tree,
  /// Documents are only announced along it: links of the second tree and links
  /// to readers.
  Backup,
  /// Link to another data centre. Documents are only announced along it.
  Bridge,
  /// Link to a seed, dialled by a node that has no list. The seed sends the
  /// lists; the node then finds its neighbours in them and gets all other
  /// documents from these.
  Seed,
};

struct Neighbour {
  const Instance *Peer = nullptr;
  LinkKind Kind = LinkKind::Tree;
};

/// Names of instances that this node could not reach lately. Results that
/// depend on it differ from node to node; results of the lists alone do not.
using AvoidSet = std::set<std::string>;

class Membership {
public:
  struct Options {
    /// Name and data centre of this instance.
    std::string Self;
    std::string DataCentre;
    /// Service of the upstream beside this node; empty if that is not known.
    std::string Service{};
    /// Number of nodes in each data centre that watch the platform.
    size_t Readers = 2;
    /// In a fleet of up to this many instances every node reads the platform.
    size_t AllReadUpTo = 0;
    /// Number of nodes next in line to read. They keep links to the readers to
    /// detect their failure.
    size_t SpareReaders = 2;
    /// Children of one node in a spreading tree. A greater value makes the tree
    /// flatter and puts more load on its inner nodes.
    size_t Fanout = 4;
    /// Nodes of each data centre that link to the other data centres.
    size_t Bridges = 2;
  };

  explicit Membership(Options Opts) : Opts(std::move(Opts)) {}

  /// Replaces the list of one data centre, and lets the topology follow it.
  void update(const std::string &DataCentre, const Document &List);
  /// Replaces the list of one data centre. Upstreams are looked up in it at
  /// once; the topology (readers, parents and bridges) stays as it is until
  /// adoptTopology().
  void updateList(const std::string &DataCentre, const Document &List);
  /// Lets the topology follow the data centre's list. Returns false if it does
  /// already.
  bool adoptTopology(const std::string &DataCentre);
  /// Number of instances of a data centre from which the topology is derived.
  size_t topologySize(const std::string &DataCentre) const;

  /// Sets the services that the configuration names. Until the first call all
  /// are taken to be named. Returns false if no instance changes.
  bool setServices(std::set<std::string> Names);
  const std::optional<std::set<std::string>> &services() const {
    return this->Services;
  }
  /// The upstream beside a node has turned away a call that was meant for this
  /// start, or the node is not one of its service. Returns whether another
  /// claim on the node's address is used from now on that has not been turned
  /// away as well.
  bool refute(const std::string &Name, const UpstreamStart &Start);
  /// The same for whatever start of Upstream is used.
  bool refute(const std::string &Name, const std::string &Upstream);
  /// Sets what tells whether an instance's upstream has just answered a call
  /// that was meant for it.
  void setConfirmation(std::function<bool(const Instance &)> IsConfirmed) {
    this->IsConfirmed = std::move(IsConfirmed);
  }
  /// The names that several entries of the platform claim, each with the
  /// upstream that is used and the others.
  std::map<std::string, std::string> contests() const;

  /// Sets which data centres are evacuated. Returns false if nothing changes.
  bool setEvacuated(const std::set<std::string> &DataCentres);
  const std::set<std::string> &evacuated() const { return this->Evacuated; }
  bool isEvacuated(const Instance &Member) const {
    return this->Evacuated.count(Member.DataCentre) != 0;
  }

  /// Whether this node is a reader of its data centre. True while the list of
  /// its data centre is empty: a node that knows nothing has to ask the
  /// platform itself.
  bool isReader(const AvoidSet &Avoid = {}) const;
  /// Whether the fleet is so small that every node reads the platform.
  bool everyNodeReads() const;
  /// The number of nodes that would have to fail before this node becomes the
  /// first reader.
  size_t readerRank(const AvoidSet &Avoid = {}) const;
  /// The names of the first Count nodes in the order in which the nodes of this
  /// data centre become readers.
  std::set<std::string> firstInReaderOrder(size_t Count,
                                           const AvoidSet &Avoid = {}) const;
  /// The nodes that this node dials. Only one end dials a link: the child in a
  /// tree; between data centres, the node of the data centre whose name sorts
  /// first.
  /// PassedOver: names that are not chosen as a parent while another ancestor
  /// can be. They count in the order of readers and as roots all the same.
  std::vector<Neighbour> neighbours(const AvoidSet &Avoid = {},
                                    const AvoidSet &PassedOver = {}) const;
  /// The parent in the spreading tree, to which this node reports; null at the
  /// root.
  const Instance *parent(const AvoidSet &Avoid = {},
                         const AvoidSet &PassedOver = {}) const;
  /// The root of a data centre's tree; null if its list is unknown or empty.
  const Instance *root(const std::string &DataCentre,
                       const AvoidSet &Avoid = {}) const;

  const Instance *find(const std::string &Name) const;
  /// The upstream beside this node, as it is listed; null if it is not, though
  /// another writer's entry may stand at this node's address.
  const Instance *ownUpstream() const;
  /// All instances of a service in all data centres, sorted by name.
  const std::vector<const Instance *> &
  upstreams(const std::string &Service) const;
  /// The same without the instances of evacuated data centres.
  const std::vector<const Instance *> &
  routableUpstreams(const std::string &Service) const;
  std::vector<std::string> dataCentres() const;
  size_t size() const { return this->ByName.size(); }
  size_t size(const std::string &DataCentre) const;
  /// Increases with every update() that changes an instance.
  uint64_t generation() const { return this->Generation; }

private:
  std::vector<const Instance *> treeOrder(const std::string &DataCentre,
                                          const std::string &Salt) const;
  // Place in a spreading tree; the least is the root.
  using TreeRank = std::pair<bool, uint64_t>;
  TreeRank treeRank(const std::string &Service, const std::string &Name,
                    const std::string &Salt) const;
  bool isNamed(const std::string &Service) const;
  size_t indexIn(const std::vector<const Instance *> &Order,
                 const std::string &Salt) const;
  const Instance *parentInTree(const std::string &Salt,
                               const AvoidSet &Avoid) const;
  const Instance *parentInTree(const std::string &Salt, const AvoidSet &Avoid,
                               const AvoidSet &PassedOver) const;
  std::vector<const Instance *> readersBefore(const AvoidSet &Avoid) const;
  void addBridges(std::vector<Neighbour> &Neighbours,
                  const AvoidSet &Avoid) const;
  void rebuild();
  void rebuildRoutable();

  struct ListedNode {
    // Hash of the document entry from which the claims were read.
    uint64_t Hash = 0;
    // The claims on the node's address in the order of the list; none if the
    // entry can't be read.
    std::vector<std::shared_ptr<const Instance>> Claims;
    // The claim that is used. Null if there is none, or if it is of another
    // data centre, in whose list it counts.
    std::shared_ptr<const Instance> Used;
  };
  ListedNode readNode(const DocumentEntry &Entry,
                      const std::string &Name) const;
  std::shared_ptr<const Instance> choose(const ListedNode &Of) const;
  bool chooseAgain();
  const ListedNode *findListed(const std::string &Name) const;
  void forgetRefutations();

  Options Opts;
  std::map<std::string, std::map<std::string, ListedNode>> Lists;
  // The services that the configuration names; nothing before the first.
  std::optional<std::set<std::string>> Services;
  // By name, the starts that the upstream there has disowned. Only of names
  // with several claims, and only as long as the claim is listed.
  std::map<std::string, std::set<UpstreamStart>> Refuted;
  std::function<bool(const Instance &)> IsConfirmed = [](const Instance &) {
    return false;
  };
  // The instances of each data centre from which the topology is derived, and
  // the data centres whose list has changed since.
  std::map<std::string, std::vector<std::shared_ptr<const Instance>>> Topology;
  std::set<std::string> NotAdopted;
  std::map<std::string, const Instance *> ByName;
  using ServiceMap = std::map<std::string, std::vector<const Instance *>>;
  static const std::vector<const Instance *> &
  findIn(const ServiceMap &Services, const std::string &Service);
  ServiceMap ByService;
  ServiceMap RoutableByService;
  std::set<std::string> Evacuated;
  uint64_t Generation = 0;
};

} // namespace hickorylift

#endif
