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

// A Spreader keeps one node's documents as new as those of its neighbours. It
// has no socket and no clock: frames go out by a hook and come in by a call.
//
//   Spreader::Hooks Hooks;
//   Hooks.Send = [&](LinkId To, wire::SpreadFrameT Frame) { ... };
//   Hooks.Accept = [&](const Spreader::Arrival &A, TimePoint Now) {
//     return compileAndSwap(A.Held);      // false: refused, the old one stays
//   };
//   Spreader Spread(Spreader::Options(), Hooks, /*Seed=*/7);
//   Spread.linkUp(Link, "node-2", /*Eager=*/true, Now);
//   Spread.publish("config", Doc, Now);   // read from the platform
//   Spread.receive(Link, Frame, Now);     // came from a neighbour
//   Spread.tick(Now);                     // a few times a second

namespace hickorylift {

using LinkId = uint64_t;

class Spreader {
public:
  struct Options {
    /// Between two heartbeats on one link. Longer costs fewer control bytes
    /// and repairs a lost push later.
    Millis HeartbeatInterval{2000};
    /// How long an announced document may still come by another link before
    /// it is asked for.
    Millis GraftDelay{60};
    /// How long a pull may stay unanswered before another link is asked.
    Millis PullTimeout{1000};
    /// A link on which nothing came for this long is condemned.
    Millis LivenessTimeout{7000};
    /// Largest piece of a change set in one frame, in bytes.
    size_t MaxPartBytes = 128 * 1024;
    /// Largest change set that is taken from a neighbour, in bytes.
    size_t MaxChangeSetBytes = 96u << 20;
    /// Change sets smaller than this are sent as they are.
    size_t MinCompressBytes = 256;
    /// Older versions kept as bases for deltas.
    size_t MaxDeltaBases = 8;
    /// Snapshots handed out: bytes a second, and the burst. Sets how fast a
    /// herd of empty nodes may draw on one neighbour.
    double SnapshotBytesPerSecond = 4e6;
    double SnapshotBurstBytes = 8e6;
    /// Documents up to this length are outside that budget: a list of a few
    /// hundred instances, which whoever starts needs before it can turn to
    /// anybody else, must not wait behind versions for others.
    size_t UnmeteredSnapshotBytes = 64 * 1024;
    /// A jump of the clock between two ticks that counts as a pause.
    Millis PauseThreshold{1500};
    Safeguards Guards;
  };

  /// A document that was taken, and from whom.
  struct ReceivedDocument {
    std::string Topic;
    DocumentPtr Doc;
    std::string Source;
  };

  struct Hooks {
    std::function<void(LinkId, wire::SpreadFrameT)> Send;
    /// Judges a document. True puts it in force. False keeps what is in force;
    /// the document is still handed on, for another build may accept it.
    std::function<bool(const ReceivedDocument &, TimePoint)> Accept;
    /// Closes a link that went silent.
    std::function<void(LinkId, const Error &)> CloseDeadLink;
    /// Fills the report on this node's subtree for the link's heartbeat, or
    /// leaves it null.
    std::function<std::unique_ptr<wire::FleetReportT>(LinkId)> MakeReport =
        [](LinkId) { return nullptr; };
  };

  /// What was sent, for the metrics.
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

  /// Takes a document read from the platform. False if it is not newer than
  /// the one held, which then stays.
  bool publish(const std::string &Topic, const DocumentPtr &Doc, TimePoint Now);
  /// The platform, asked at AskedAt, still named this version and revision.
  void confirm(const std::string &Topic, uint64_t Version, uint64_t Revision,
               TimePoint AskedAt);

  /// All that the platform said up to this revision was published here.
  void markComplete(uint64_t Revision);
  /// Up to which revision of the platform nothing is missing from what is held;
  /// 0 where that is not known. It never falls: what is held only grows newer.
  uint64_t completeRevision() const { return this->CompleteRevision; }

  /// Records an era of the platform that this node or another has seen.
  void recordEra(uint64_t Era);
  /// The earliest platform era known to any node; nothing if none is known. It
  /// never rises, and heartbeats spread it to all connected nodes.
  std::optional<uint64_t> earliestEra() const { return this->EarliestEra; }

  void linkUp(LinkId Link, const std::string &Peer, bool Eager, TimePoint Now);
  void linkDown(LinkId Link);
  void receive(LinkId Link, const wire::SpreadFrameT &Frame, TimePoint Now);
  void tick(TimePoint Now);
  /// Tells all neighbours what is held, at once: after a pause, when whatever
  /// they told us is of unknown age and what we told them may be old.
  void resync(TimePoint Now);
  /// Brings the next heartbeat on a link forward to At.
  void sendHeartbeatBy(LinkId Link, TimePoint At);

  /// The newest document known, accepted or not; null if none.
  DocumentPtr storedDocument(const std::string &Topic) const;
  /// The newest document that Accept took; null if none.
  DocumentPtr acceptedDocument(const std::string &Topic) const;
  /// Time since the platform was last known to hold what we hold. Nullopt if
  /// it never was.
  std::optional<Millis> age(const std::string &Topic, TimePoint Now) const;
  const Counters &counters() const { return this->Counts; }
  /// Whether any neighbour has told what it holds.
  bool hasNeighbourState() const;
  size_t linkCount() const { return this->Links.size(); }

private:
  struct TopicState {
    DocumentPtr Stored;
    DocumentPtr Accepted;
    std::deque<DocumentPtr> DeltaBases;
    std::optional<TimePoint> ConfirmedAt;
    // The pull under way, if any.
    std::optional<TimePoint> NextPullAt;
    LinkId PullFrom = 0;
    bool PullSent = false;
  };

  struct PartialChangeSet {
    Stamp Base;
    Stamp Target;
    uint32_t PartCount = 0;
    uint32_t NextPart = 0;
    uint32_t RawSize = 0;
    std::string Bytes;
  };

  struct TopicOnLink {
    Stamp NeighbourStamp;
    // Unset: as the link is.
    std::optional<bool> Lazy;
    PartialChangeSet Incoming;
  };

  struct Link {
    std::string Peer;
    bool Eager = false;
    TimePoint LastReceivedAt;
    TimePoint NextHeartbeatAt;
    uint64_t LastSentDigest = 0;
    std::vector<std::string> AgeTopics;
    std::map<std::string, TopicOnLink> Topics;
    // Heartbeats sent, the newest last; SentSeq is the newest one's.
    std::deque<TimePoint> HeartbeatsSentAt;
    uint32_t SentSeq = 0;
    uint32_t ReceivedSeq = 0;
  };

  bool neighbourHasNewer(const std::string &Topic, const Stamp &Than) const;
  bool hasAllDocumentsOf(const Link &On) const;
  bool isOutdated(const Stamp &New, const DocumentPtr &Than) const;
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
  /// A change set as it goes over the links.
  struct PackedChangeSet {
    Stamp Base;
    Stamp Target;
    uint32_t RawSize = 0;
    std::string Bytes;
  };
  const PackedChangeSet &packOrReuse(const std::string &Name,
                                     const DocumentPtr &Base,
                                     const DocumentPtr &Target);
  /// Base is null for a snapshot.
  void sendParts(LinkId To, const std::string &Name, const DocumentPtr &Base,
                 const DocumentPtr &Target);
  void sendHeartbeat(LinkId To, Link &On, TimePoint Now);
  void onNeighbourStamp(LinkId From, const std::string &Name,
                        const Stamp &Theirs, TimePoint Now);
  void schedulePull(LinkId From, const std::string &Name, TimePoint At);
  void advancePull(const std::string &Name, TopicState &State, TimePoint Now);
  void sendPull(LinkId To, const std::string &Name, const TopicState &State);
  void onHeartbeat(LinkId From, Link &On, const wire::HeartbeatT &Beat,
                   TimePoint Now);
  void onPull(LinkId From, const wire::PullT &Pull, TimePoint Now);
  void onPart(LinkId From, Link &On, const wire::PartT &Part, TimePoint Now);
  void applyChangeSet(LinkId From, Link &On, const std::string &Name,
                      const PartialChangeSet &Whole, TimePoint Now);
  void updateConfirmedAt(const std::string &Name, const Stamp &Theirs,
                         uint32_t AgeMs, TimePoint ComposedAfter);
  std::optional<LinkId> chooseLinkWithNewer(const TopicState &State,
                                            const std::string &Name,
                                            LinkId NotThis);
  uint64_t digest() const;

  Options Opts;
  Hooks Hook;
  std::mt19937_64 Random;
  std::map<std::string, TopicState> Topics;
  std::map<LinkId, Link> Links;
  Counters Counts;
  // What was sent last of each topic.
  std::map<std::string, PackedChangeSet> LastPacked;
  uint64_t CompleteRevision = 0;
  std::optional<uint64_t> EarliestEra;
  TokenBucket SnapshotBudget;
  std::optional<TimePoint> LastTick;
};

/// The bytes of a frame, and back. Decoding checks every offset and refuses
/// what does not verify; an unknown payload type is kept as such.
std::string encodeFrame(const wire::SpreadFrameT &Frame);
Result<wire::SpreadFrameT>
decodeSpreadFrame(std::string_view Sealed,
                  const Safeguards &Guards = Safeguards());

/// A change set as bytes, compressed where that pays, and back.
std::string packChanges(const ChangeSet &Changes, size_t CompressFrom,
                        uint32_t &RawSize);
Result<ChangeSet> unpackChanges(std::string_view Bytes, uint32_t RawSize,
                                size_t Limit);

} // namespace hickorylift

#endif
