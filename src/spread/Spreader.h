#ifndef HICKORYLIFT_SPREAD_SPREADER_H
#define HICKORYLIFT_SPREAD_SPREADER_H

#include "base/Time.h"
#include "base/TokenBucket.h"
#include "config/Document.h"
#include "spread/Spread_generated.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>

// Spreader replicates documents between neighbouring nodes: it keeps one node's
// documents as new as those of its neighbours. A topic names a document whose
// successive versions are ordered by their stamps. Spreader uses neither
// sockets nor a clock: frames are sent through a hook and passed in by the
// owner.
//
//   Spreader::Hooks Hooks;
//   Hooks.Send = [&](LinkId To, wire::SpreadFrameT Frame) { ... };
//   Hooks.Accept = [&](const Spreader::ReceivedDocument &Received,
//                      TimePoint Now) {
//     return compileAndSwap(Received.Doc);   // false: keep the previous one
//   };
//   Hooks.CloseDeadLink = [&](LinkId Link, const Error &Reason) { ... };
//   Spreader Spread(Spreader::Options(), Hooks, /*Seed=*/7);
//   Spread.linkUp(Link, "node-2", /*Eager=*/true, Now);
//   Spread.publish("config", Doc, Now);      // read from the platform
//   Spread.receive(Link, Frame, Now);        // received from a neighbour
//   Spread.tick(Now);                        // a few times a second

namespace hickorylift {

using LinkId = uint64_t;

class Spreader {
public:
  struct Options {
    /// Interval between two heartbeats on one link. A heartbeat carries the
    /// stamps and ages of all stored documents. A longer interval costs fewer
    /// bytes but repairs a lost push later.
    Millis HeartbeatInterval{2000};
    /// Graft: pull a newer document that a neighbour announced. The node first
    /// waits this long for the document to be pushed over another link. A node
    /// that has no version of the document pulls at once.
    Millis GraftDelay{60};
    /// How long a pull may stay unanswered before another link is asked.
    Millis PullTimeout{1000};
    /// A link on which no frame has arrived for this long is declared dead.
    Millis LivenessTimeout{7000};
    /// Maximum size in bytes of the piece of a change set sent in one frame.
    size_t MaxPartBytes = 128 * 1024;
    /// Maximum size in bytes of a change set accepted from a neighbour.
    size_t MaxChangeSetBytes = 96u << 20;
    /// Change sets smaller than this are sent uncompressed.
    size_t MinCompressBytes = 256;
    /// Number of older versions kept as bases for deltas.
    size_t MaxDeltaBases = 8;
    /// Rate limit for sending snapshots, in bytes per second, and its burst.
    /// Bounds what many empty nodes that start at once draw from one neighbour.
    double SnapshotBytesPerSecond = 4e6;
    double SnapshotBurstBytes = 8e6;
    /// Snapshots of documents up to this size are exempt from the rate limit. A
    /// starting node needs the list of a few hundred instances before it can
    /// ask any other node, so the list must not wait behind versions sent to
    /// other nodes.
    size_t UnmeteredSnapshotBytes = 64 * 1024;
    /// The topic that a node without documents needs first, because it names
    /// the node's neighbours. It is pulled before all others.
    std::string FirstTopic;
    /// Topics with this prefix, except FirstTopic, are pulled from a seed only
    /// if no other neighbour has announced them for SeedPullDelay. All nodes
    /// that start share a few seeds, and sending the lists of all data centres
    /// to each of them would fill the seeds' network links. Empty for none.
    std::string DeferredTopicPrefix;
    Millis SeedPullDelay{300};
    /// A gap between two ticks longer than this counts as a process pause.
    Millis PauseThreshold{1500};
    Safeguards Guards;
  };

  /// A newly stored document, and the peer it came from or "platform".
  struct ReceivedDocument {
    std::string Topic;
    DocumentPtr Doc;
    std::string Source;
  };

  struct Hooks {
    std::function<void(LinkId, wire::SpreadFrameT)> Send;
    /// Checks a document and activates it if it is valid. Returns false to keep
    /// the active one; the document is still forwarded, as a node with another
    /// build may accept it.
    std::function<bool(const ReceivedDocument &, TimePoint)> Accept;
    /// Closes a link that was declared dead.
    std::function<void(LinkId, const Error &)> CloseDeadLink;
    /// A neighbour did not answer a pull within PullTimeout.
    std::function<void(const std::string &Topic, LinkId, TimePoint)>
        PullUnanswered = [](const std::string &, LinkId, TimePoint) {};
    /// Adds what other components send with a heartbeat on this link.
    std::function<void(LinkId, wire::HeartbeatT &, TimePoint)>
        CompleteHeartbeat = [](LinkId, wire::HeartbeatT &, TimePoint) {};
  };

  /// Counts of frames and events, for the metrics.
  struct Counters {
    uint64_t Parts = 0;
    uint64_t Snapshots = 0;
    uint64_t Announces = 0;
    uint64_t Heartbeats = 0;
    uint64_t Pulls = 0;
    uint64_t Duplicates = 0;
    uint64_t StalePublishes = 0;
    uint64_t Damaged = 0;
  };

  Spreader(Options Opts, Hooks Hooks, uint64_t Seed);

  /// Stores and forwards a document read from the platform. Returns false if
  /// it is not newer than the stored one, which is then kept, or if a neighbour
  /// is known to have a newer one.
  bool publish(const std::string &Topic, const DocumentPtr &Doc, TimePoint Now);
  /// Records that the platform, asked at AskedAt, still named this version and
  /// revision.
  void confirm(const std::string &Topic, uint64_t Version, uint64_t Revision,
               TimePoint AskedAt);

  /// Records that all changes of the platform up to this revision were
  /// published here. Ignored while a neighbour has a newer document.
  void markComplete(uint64_t Revision);
  /// The platform revision up to which the stored documents contain all
  /// changes; 0 if it is not known. Never decreases, as stored documents are
  /// only replaced by newer ones.
  uint64_t completeRevision() const { return this->CompleteRevision; }

  /// Records an era of the platform that this node or another has seen. The era
  /// changes when the platform is restored from an older copy.
  void recordEra(uint64_t Era);
  /// The earliest platform era known to any node; nullopt if none is known. It
  /// never increases, and heartbeats send it to all connected nodes.
  std::optional<uint64_t> earliestEra() const { return this->EarliestEra; }

  /// Adds a link. Documents are pushed at once over an eager link; over a lazy
  /// one only their stamps are announced. IsSeed: the peer is a seed of this
  /// node, which other starting nodes use as well.
  void linkUp(LinkId Link, const std::string &Peer, bool Eager, TimePoint Now,
              bool IsSeed = false);
  void linkDown(LinkId Link);
  void receive(LinkId Link, const wire::SpreadFrameT &Frame, TimePoint Now);
  void tick(TimePoint Now);
  /// Sends the stamps of all stored documents to all neighbours at once. Needed
  /// after a process pause, when the state received from neighbours is of
  /// unknown age and the state sent to them may be outdated.
  void resync(TimePoint Now);
  /// Sends the next heartbeat on a link at At, unless it is due earlier.
  void sendHeartbeatBy(LinkId Link, TimePoint At);
  /// The same on all links.
  void sendHeartbeatsBy(TimePoint At);

  /// The newest document known, accepted or not; null if none.
  DocumentPtr storedDocument(const std::string &Topic) const;
  /// The newest document for which Accept returned true; null if none.
  DocumentPtr acceptedDocument(const std::string &Topic) const;
  /// Time since the platform was last known to have the stored document;
  /// nullopt if that was never confirmed.
  std::optional<Millis> age(const std::string &Topic, TimePoint Now) const;
  /// When the platform was last known to have the stored document; nullopt if
  /// that was never confirmed.
  std::optional<TimePoint> confirmedAt(const std::string &Topic) const;
  const Counters &counters() const { return this->Counts; }
  /// Whether any neighbour has sent the stamps of its documents.
  bool hasNeighbourState() const;
  size_t linkCount() const { return this->Links.size(); }

private:
  struct TopicState {
    DocumentPtr Stored;
    DocumentPtr Accepted;
    std::deque<DocumentPtr> DeltaBases;
    std::optional<TimePoint> ConfirmedAt;
    // The current pull, if any. NextPullAt is when the pull is sent or, if
    // PullSent is true, when another link is asked instead.
    std::optional<TimePoint> NextPullAt;
    LinkId PullFrom = 0;
    bool PullSent = false;
  };

  // A change set of which some parts have arrived.
  struct PartialChangeSet {
    Stamp Base;
    Stamp Target;
    uint32_t PartCount = 0;
    uint32_t NextPart = 0;
    uint32_t RawSize = 0;
    std::string Bytes;
  };

  struct TopicOnLink {
    // The newest stamp that the neighbour is known to have.
    Stamp NeighbourStamp;
    // Overrides the link's Eager flag for this topic, if set.
    std::optional<bool> Lazy;
    PartialChangeSet Incoming;
  };

  struct Link {
    std::string Peer;
    bool Eager = false;
    bool IsSeed = false;
    TimePoint LastReceivedAt;
    TimePoint NextHeartbeatAt;
    uint64_t LastSentDigest = 0;
    // The topics of the last heartbeat received with stamps. Later heartbeats
    // list ages alone, in this order.
    std::vector<std::string> AgeTopics;
    std::map<std::string, TopicOnLink> Topics;
    // Send times of the latest heartbeats, the newest last. SentSeq is the
    // sequence number of the newest.
    std::deque<TimePoint> HeartbeatsSentAt;
    uint32_t SentSeq = 0;
    uint32_t ReceivedSeq = 0;
  };

  bool neighbourHasNewer(const std::string &Topic, const Stamp &Than) const;
  bool hasAllDocumentsOf(const Link &Neighbour) const;
  bool isOutdated(const Stamp &New, const DocumentPtr &Current) const;
  void storeDocument(const std::string &Name, const DocumentPtr &Doc,
                     const std::string &From, std::optional<LinkId> Source,
                     TimePoint Now);
  void forwardDocument(const std::string &Name, std::optional<LinkId> Source,
                       TimePoint Now);
  void offerForAcceptance(const std::string &Name, TopicState &State,
                          const DocumentPtr &Doc, const std::string &From,
                          TimePoint Now);
  void sendDocument(LinkId To, const std::string &Name, const DocumentPtr &Doc,
                    const Stamp &Have, bool Asked, TimePoint Now);
  bool takeSnapshotBudget(size_t Bytes, TimePoint Now);
  DocumentPtr findDeltaBase(const TopicState &State, const Stamp &Have) const;
  /// A change set encoded for sending.
  struct PackedChangeSet {
    Stamp Base;
    Stamp Target;
    uint32_t RawSize = 0;
    std::string Bytes;
  };
  const PackedChangeSet &packOrReuse(const std::string &Name,
                                     const DocumentPtr &Base,
                                     const DocumentPtr &Target);
  /// Sends the changes from Base to Target; Base is null for a snapshot.
  void sendParts(LinkId To, const std::string &Name, const DocumentPtr &Base,
                 const DocumentPtr &Target);
  void sendHeartbeat(LinkId To, Link &LinkState, TimePoint Now);
  void onNeighbourStamp(LinkId From, const std::string &Name,
                        const Stamp &Reported, TimePoint Now);
  Millis pullDelay(const Link &From, const std::string &Name,
                   const TopicState &State) const;
  void schedulePull(LinkId From, const std::string &Name, TimePoint At);
  void advancePull(const std::string &Name, TopicState &State, TimePoint Now);
  void sendPull(LinkId To, const std::string &Name, const TopicState &State);
  void onHeartbeat(LinkId From, Link &LinkState, const wire::HeartbeatT &Beat,
                   TimePoint Now);
  void onPull(LinkId From, const wire::PullT &Pull, TimePoint Now);
  void onPart(LinkId From, Link &LinkState, const wire::PartT &Part,
              TimePoint Now);
  void applyChangeSet(LinkId From, Link &LinkState, const std::string &Name,
                      const PartialChangeSet &Whole, TimePoint Now);
  void updateConfirmedAt(const std::string &Name, const Stamp &Reported,
                         uint32_t AgeMs, TimePoint ComposedAfter);
  std::optional<LinkId> chooseLinkWithNewer(const TopicState &State,
                                            const std::string &Name,
                                            LinkId Excluded);
  uint64_t digest() const;

  Options Opts;
  Hooks Hook;
  std::mt19937_64 Random;
  std::map<std::string, TopicState> Topics;
  std::map<LinkId, Link> Links;
  Counters Counts;
  // The change set packed last for each topic.
  std::map<std::string, PackedChangeSet> LastPacked;
  uint64_t CompleteRevision = 0;
  std::optional<uint64_t> EarliestEra;
  TokenBucket SnapshotBudget;
  std::optional<TimePoint> LastTick;
};

/// Encodes a frame.
std::string encodeFrame(const wire::SpreadFrameT &Frame);
/// Decodes a frame. Checks every offset and refuses a frame that does not
/// verify. A frame with an unknown payload type is decoded and keeps that type.
Result<wire::SpreadFrameT>
decodeSpreadFrame(std::string_view Sealed,
                  const Safeguards &Guards = Safeguards());

/// Encodes a change set, compressed if it has at least MinCompressBytes and
/// compression makes it smaller. RawSize is set to the size before compression,
/// or to 0 if it is not compressed.
std::string packChanges(const ChangeSet &Changes, size_t MinCompressBytes,
                        uint32_t &RawSize);
/// Decodes a change set. Refuses one whose RawSize exceeds Limit.
Result<ChangeSet> unpackChanges(std::string_view Bytes, uint32_t RawSize,
                                size_t Limit);

} // namespace hickorylift

#endif
