#ifndef HICKORYLIFT_MEMBERSHIP_MEMBERSHIP_H
#define HICKORYLIFT_MEMBERSHIP_MEMBERSHIP_H

#include "base/Json.h"
#include "base/Time.h"
#include "config/Document.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Membership is what a node knows of the fleet: the platform's lists, one for
// each data centre, as they came to it. It answers who reads the platform, who
// links to whom, and who serves a service. Every node that has the same lists
// gives the same answers; nodes whose lists differ for a while agree on most.
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
  /// The platform marks it as about to go.
  bool Leaving = false;
  /// The upstream process, where the platform tells one start of it from the
  /// next; else empty.
  std::string Upstream{};
  /// Calls that this upstream runs at once; 0 for what its service says.
  uint32_t Slots = 0;
  /// Tells the starts of one upstream process under the same name apart; the
  /// greater is the later. 0 where the platform does not say.
  uint64_t Incarnation = 0;
  /// How much longer it stays cold after its start, when the platform said so.
  Millis ColdLeft{0};

  /// Whether it is the same start of the same upstream process as Other.
  bool sameStart(const Instance &Other) const {
    return this->Upstream == Other.Upstream &&
           this->Incarnation == Other.Incarnation;
  }

  bool operator==(const Instance &) const = default;
};

/// The topic of a data centre's list.
std::string listTopic(const std::string &DataCentre);
/// The inverse; empty if Topic is none.
std::string dataCentreOfListTopic(const std::string &Topic);

/// An instance as a document's entry, and back.
std::string writeInstance(const Instance &One);
std::optional<Instance> readInstance(const std::string &Text,
                                     const std::string &File,
                                     FaultList &Faults);
/// The platform's value for one data centre as a document. Any fault refuses
/// the whole list.
Result<DocumentPtr> readInstanceList(const std::string &Text,
                                     const std::string &DataCentre,
                                     uint64_t Revision);

enum class LinkKind {
  /// Documents are pushed along it.
  Tree,
  /// Documents are announced along it: the second tree, the ring of data
  /// centres.
  Backup,
  Bridge,
  /// To a seed, by a node that has no list: it is told the lists, finds its
  /// neighbours, and goes to them for the rest.
  Seed,
};

struct Neighbour {
  const Instance *Peer = nullptr;
  LinkKind Kind = LinkKind::Tree;
};

/// Names of instances that this node could not reach lately. What is worked out
/// with it differs from node to node; the list alone is common to all.
using AvoidSet = std::set<std::string>;

class Membership {
public:
  struct Options {
    /// This instance's name and place.
    std::string Self;
    std::string DataCentre;
    /// Nodes that watch the platform, in each data centre.
    size_t Readers = 2;
    /// In a fleet of up to this many instances every node reads.
    size_t AllReadUpTo = 0;
    /// Nodes next in line to read, which watch over the readers by a link.
    size_t SpareReaders = 2;
    /// Children of one node in a spreading tree. More make the tree flatter
    /// and load its inner nodes more.
    size_t Fanout = 4;
    /// Nodes of each data centre that link to the other data centres.
    size_t Bridges = 2;
  };

  explicit Membership(Options Opts) : Opts(std::move(Opts)) {}

  /// Takes a newer list of one data centre.
  void update(const std::string &DataCentre, const Document &List);

  /// Takes which data centres are evacuated. False if these are the same.
  bool setEvacuated(const std::set<std::string> &DataCentres);
  const std::set<std::string> &evacuated() const { return this->Evacuated; }
  bool isEvacuated(const Instance &One) const {
    return this->Evacuated.count(One.DataCentre) != 0;
  }

  /// Whether this node is among its data centre's readers. True while its own
  /// list is empty: with nothing known, someone has to ask.
  bool isReader(const AvoidSet &Avoid = {}) const;
  /// Whether the fleet is so small that every node reads.
  bool everyNodeReads() const { return this->size() <= this->Opts.AllReadUpTo; }
  /// How many would have to be gone for this node to be the first reader.
  size_t readerRank(const AvoidSet &Avoid = {}) const;
  /// Whom this node dials. Each link is dialled by one end only: by the child
  /// in a tree, and between data centres by the one whose name sorts first.
  std::vector<Neighbour> neighbours(const AvoidSet &Avoid = {}) const;
  /// The parent in the spreading tree, to whom reports go; null at the root.
  const Instance *parent(const AvoidSet &Avoid = {}) const;
  /// The root of a data centre's tree; null if its list is unknown or empty.
  const Instance *root(const std::string &DataCentre,
                       const AvoidSet &Avoid = {}) const;

  const Instance *find(const std::string &Name) const;
  /// All of one service, of all data centres, in the order of their names.
  const std::vector<const Instance *> &
  upstreams(const std::string &Service) const;
  /// The same without those of evacuated data centres.
  const std::vector<const Instance *> &
  routableUpstreams(const std::string &Service) const;
  std::vector<std::string> dataCentres() const;
  size_t size() const { return this->ByName.size(); }
  size_t size(const std::string &DataCentre) const;
  /// Rises with every update that changed anything.
  uint64_t generation() const { return this->Generation; }

private:
  std::vector<const Instance *> ordered(const std::string &DataCentre,
                                        const std::string &Salt) const;
  size_t placeIn(const std::vector<const Instance *> &Order,
                 const std::string &Salt) const;
  const Instance *parentIn(const std::string &Salt,
                           const AvoidSet &Avoid) const;
  std::vector<const Instance *> readersAbove(const AvoidSet &Avoid) const;
  void addBridges(std::vector<Neighbour> &Out, const AvoidSet &Avoid) const;
  void rebuild();
  void sortOpen();

  struct Listed {
    uint64_t Hash = 0;
    std::shared_ptr<const Instance> Who;
  };

  Options Opts;
  std::map<std::string, std::map<std::string, Listed>> Lists;
  std::map<std::string, const Instance *> ByName;
  using ServiceMap = std::map<std::string, std::vector<const Instance *>>;
  static const std::vector<const Instance *> &
  findIn(const ServiceMap &Of, const std::string &Service);
  ServiceMap ByService;
  ServiceMap OpenByService;
  std::set<std::string> Evacuated;
  uint64_t Generation = 0;
};

} // namespace hickorylift

#endif
