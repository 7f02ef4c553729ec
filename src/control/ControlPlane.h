#ifndef HICKORYLIFT_CONTROL_CONTROLPLANE_H
#define HICKORYLIFT_CONTROL_CONTROLPLANE_H

#include "audit/AuditTrail.h"
#include "config/Config.h"
#include "control/FailingReaders.h"
#include "control/ReadPlan.h"
#include "membership/Membership.h"
#include "quarantine/Quarantine.h"
#include "reading/PlatformReader.h"
#include "spread/FleetView.h"
#include "spread/Spreader.h"

// ControlPlane makes all decisions of one node about configuration and
// membership: whether to read the platform, which peers to dial, and which
// version to activate. It uses neither sockets nor a clock: the owner passes in
// events with their time, and hooks perform the actions.
//
//   ControlPlane Control(Options, MakeRead, Hooks);
//   Control.tick(Now);                           // ten times a second
//   Control.linkOpened(Link, "portal-2", Now);   // a dial succeeded
//   Control.linkOpened(Link, "", Now);           // a peer dialled this node
//   Control.receiveFrame(Link, Bytes, Now);
//   ConfigPtr Active = Control.config();         // null until there is one

namespace hickorylift {

/// Increased when the frames between nodes change so much that operators need
/// to tell the builds apart.
constexpr uint32_t BuildNumber = 1;

class ControlPlane {
public:
  struct Options {
    /// This instance's name and data centre, as listed by the platform.
    std::string Self;
    std::string DataCentre;
    /// All data centres of the deployment. A gate needs the list of each before
    /// it can decide on calls with an idempotency key.
    std::vector<std::string> DataCentres;
    /// Distinguishes this process from earlier ones of the same instance.
    uint64_t Incarnation = 1;
    /// Sent to peers, and counted in the fleet reports.
    uint32_t Build = BuildNumber;
    /// Seed of all random jitter.
    uint64_t Seed = 1;
    /// Seeds: peers to dial while the platform's list is not known. Maps name
    /// to address, or address to address if the name is not known.
    std::map<std::string, std::string> Seeds;
    /// How long a starting node waits for its peers before it reads the
    /// platform. A node that others use as their seed does not wait: if it has
    /// no list either, one of them has to read.
    Millis PeerWaitTime{1000};
    /// A node that has no list yet dials one more of its seeds after each such
    /// interval. Each node has its own order of the seeds, so that many nodes
    /// that start at once spread their load over all seeds.
    Millis SeedDialInterval{150};
    /// Delay between attempts to dial a neighbour: doubles from MinRedialDelay
    /// to MaxRedialDelay, with jitter.
    Millis MinRedialDelay{100};
    Millis MaxRedialDelay{5000};
    /// Number of consecutive failed dials after which a neighbour is avoided,
    /// and for how long it is avoided if it is not dialled any more.
    unsigned AvoidAfterFailures = 2;
    Millis AvoidDuration{30000};
    /// An ancestor that has not answered a dial for this long is passed over:
    /// the next one is dialled as well, and the nearest that answers becomes
    /// the parent. A machine without power never answers, and the dial takes
    /// its full timeout. A node that has had no parent link yet waits for
    /// PeerWaitTime if that is longer, as its peers may be starting too.
    Millis DialPatience{200};
    /// Number of ancestors in each of the two trees that are passed over at the
    /// same time.
    size_t MaxPassedOver = 5;
    /// Minimum time for which a neighbour is avoided after its link was
    /// declared dead. Starts without waiting for AvoidAfterFailures failed
    /// dials, as each dial to an unreachable machine takes the full dial
    /// timeout. Does not end at the next Hello frame, as a slow machine accepts
    /// new links but forwards versions late.
    Millis AvoidUnresponsiveDuration{4000};
    /// A node that is not a reader starts reading if its configuration has not
    /// been confirmed for two watches plus this many heartbeats, plus
    /// TakeoverDelayPerRank for each node that precedes it in the order of
    /// readers. All readers may have failed without the next node in order
    /// detecting it. In normal operation the age is one watch plus one
    /// heartbeat per level of the tree. At most MaxTakeoverNodes nodes take
    /// over.
    int64_t TakeoverHeartbeats = 10;
    Millis TakeoverDelayPerRank{5000};
    size_t MaxTakeoverNodes = 8;
    /// A reader whose requests to the platform fail reports it with its
    /// heartbeats, and the next of the first MaxTakeoverNodes nodes in the
    /// order of readers reads in its place. Such a report counts for this many
    /// heartbeats.
    int64_t FailingReaderHeartbeats = 5;
    /// Once all of these nodes fail, others read in their place, drawn at
    /// random: after a time t, FallbackReaders * ln(1 + t / FallbackPeriod)
    /// nodes of each data centre have begun. The platform may turn away any set
    /// of nodes, so no order of them is enough, and in an outage a large fleet
    /// must not call it more than a small one.
    double FallbackReaders = 6;
    Millis FallbackPeriod{1000};
    /// A node that has had no link to its parent for this long reads the
    /// platform until it has a parent link again; 0 means never. It may receive
    /// none of its neighbours' versions, while it can reach the platform as
    /// well as they can.
    Millis LostParentReadDelay{0};
    /// How long the node continues to read after it has a parent link again.
    /// The parent may be a slow machine whose links are declared dead although
    /// each new link works: it forwards a version seconds after receiving it,
    /// and meanwhile its children would serve the previous version. This is one
    /// or two seconds longer than a version may take.
    Millis RegainedParentReadTime{4000};
    /// How long the link to the former parent counts as a parent link after the
    /// tree has assigned another parent, if that one is not linked yet.
    /// LostParentReadDelay starts when this ends. Less than the time within
    /// which a version must arrive, as the former parent may be disconnected as
    /// well.
    Millis FormerParentTimeout{700};
    /// Links and read duties follow the list of a data centre only once it has
    /// been complete for this long. The entries of a data centre that was cut
    /// off from the platform expire together, and are written again one after
    /// the other within a heartbeat interval of the upstreams.
    Millis RelistSettleTime{2000};
    /// They follow a list that stays incomplete after this time, unless it is
    /// empty. A node whose upstream is gone for good is never listed again.
    Millis MaxIncompleteTime{10000};
    /// For this long after its first list with entries, a node does not
    /// conclude from the list that the fleet is small. The entries of a fleet
    /// that starts are written within this time.
    Millis ListFillTime{2000};
    /// Once this many links are open, further links that peers dial are closed
    /// at the handshake, and the peer redials later. Links that this node dials
    /// are counted, but never refused.
    size_t MaxLinks = 256;
    /// Fleet reports older than this are left out of the counts.
    Millis MaxReportAge{15000};
    /// How long a changed report waits for further changes before it is sent to
    /// the parent.
    Millis ReportBatchDelay{100};
    /// A gap between two ticks longer than this counts as a process pause.
    Millis PauseThreshold{1500};
    /// Options of the components that ControlPlane contains.
    Membership::Options Members;
    Spreader::Options Spread;
    /// Options of PlatformReader. Its WatchWait (how long one watch may wait)
    /// is used with every kind of document source.
    PlatformReader::Options Read;
    CompileOptions Compile;
    /// Options of the quarantine for requests that crash upstreams. NodeCore
    /// sets Self, Service and Incarnation.
    Quarantine::Options QuarantineOpts;
    /// Number of events kept in the audit trail.
    size_t AuditCapacity = 1000;
  };

  struct Hooks {
    std::function<void(const std::string &Peer, const std::string &Address)>
        Dial;
    std::function<void(LinkId, std::string Bytes)> Send;
    std::function<void(LinkId)> Close;
    std::function<void(const ConfigPtr &, TimePoint)> ConfigChanged =
        [](const ConfigPtr &, TimePoint) {};
    std::function<void(TimePoint)> MembersChanged = [](TimePoint) {};
    AuditTrail::Hook Audit = [](const AuditEvent &) {};
  };

  /// MakeRead creates the document source that reads the platform.
  ControlPlane(Options Opts, const SourceFactory &MakeRead, Hooks Hooks);

  void tick(TimePoint Now);
  /// Dialled is the name passed to Hooks::Dial, or empty if the peer dialled
  /// this node.
  void linkOpened(LinkId Link, const std::string &Dialled, TimePoint Now);
  void dialFailed(const std::string &Peer, TimePoint Now);
  void receiveFrame(LinkId Link, std::string_view Bytes, TimePoint Now);
  void linkClosed(LinkId Link, TimePoint Now);
  /// Tells all peers that this node is stopping as planned.
  void sendGoodbye();

  ConfigPtr config() const { return this->ActiveConfig; }
  /// The peer from which the active version came, or "platform".
  const std::string &configSource() const { return this->ActiveConfigSource; }
  /// The time at which the active version was activated.
  std::optional<TimePoint> configSince() const {
    return this->ActiveConfigSince;
  }
  const Membership &members() const { return this->Fleet; }
  /// See Membership. Start is an UpstreamStart, or the name of an upstream.
  template <typename T>
  bool refuteUpstream(const std::string &Name, const T &Start, TimePoint Now) {
    bool IsOtherUsed = this->Fleet.refute(Name, Start);
    this->reportContests(Now);
    return IsOtherUsed;
  }
  void setConfirmation(std::function<bool(const Instance &)> IsConfirmed) {
    this->Fleet.setConfirmation(std::move(IsConfirmed));
  }
  /// Age of the oldest list among all data centres; nullopt while any of them
  /// is unknown or was never confirmed.
  std::optional<Millis> oldestListAge(TimePoint Now) const;
  std::vector<wire::FleetReportT> fleetReports(TimePoint Now) const {
    return this->View.fleetReports(Now);
  }
  const AuditTrail &audit() const { return this->Trail; }
  AuditTrail &audit() { return this->Trail; }
  /// Records that this node's upstream crashed while these requests ran.
  void upstreamCrashed(const std::vector<Quarantine::RunningRequest> &Running,
                       TimePoint Now);
  /// The quarantine of requests that crash upstreams, shared by all nodes.
  Quarantine &quarantine() { return this->RequestQuarantine; }
  /// Number of platform items that could not be used so far.
  uint64_t unreadableItems() const { return this->UnreadableItems; }
  /// Number of nodes whose address several entries of the platform claim.
  size_t contestedAddresses() const { return this->ReportedContests.size(); }
  /// Number of restores of the platform detected by this node.
  uint64_t platformRestores() const { return this->PlatformRestores; }
  const Spreader &spreader() const { return this->Spread; }
  const DocumentSource &documentSource() const { return *this->Source; }
  /// Names of the peers with a control link.
  std::vector<std::string> peerNames() const;
  /// The root of this data centre's tree, according to this node's list and the
  /// neighbours that it avoids.
  const Instance *root() const {
    return this->Fleet.root(this->Opts.DataCentre, this->Avoided);
  }
  bool isReader() const;
  /// Number of readers of this data centre that are known to fail.
  size_t failingReaders() const { return this->Failing.size(); }

private:
  // A peer that this node keeps dialling until it is linked.
  struct Target {
    std::string Address;
    LinkKind Kind = LinkKind::Tree;
    std::optional<LinkId> Link;
    bool Dialling = false;
    TimePoint DialledAt;
    unsigned Failures = 0;
    TimePoint NextDial;
    // A seed, kept until the list names neighbours.
    bool Seed = false;
  };

  // The other end of an open link.
  struct Peer {
    std::string Name;
    // The key in Targets that was dialled; empty if the peer dialled this node.
    // A seed may be configured by its address alone, and then its name differs
    // from this key.
    std::string DialledName;
    bool HelloReceived = false;
    LinkKind Kind = LinkKind::Tree;
  };

  void retarget(TimePoint Now);
  void addSeedTargets(std::map<std::string, Target> &Wanted,
                      TimePoint Now) const;
  void avoid(const std::string &Name, TimePoint Now);
  void stopAvoiding(const std::string &Name);
  void expireAvoided(TimePoint Now);
  void updatePassedOver(TimePoint Now);
  const Instance *parent() const {
    return this->Fleet.parent(this->Avoided, this->PassedOver);
  }
  bool shouldTakeOverReading(TimePoint Now) const;
  bool replacesReader() const;
  bool sendsFailingReaders(const Peer &To) const;
  bool allCandidatesFail() const;
  void updateFallback(TimePoint Now);
  TimePoint drawFallbackTime(TimePoint Now);
  void updateFailingReaders(TimePoint Now);
  void reportFailingReader(const std::string &Name, TimePoint ReportedAt,
                           const std::string &Source, TimePoint Now);
  void onFailingReaders(LinkId Link, const wire::HeartbeatT &Beat,
                        TimePoint Now);
  std::set<std::string> readerCandidates() const;
  bool hasParentLink() const;
  void auditParentChange(TimePoint Now);
  bool isAwaitingParentLink() const;
  bool isListIncomplete(const std::string &DataCentre) const;
  void updateTopology(TimePoint Now);
  bool everyNodeReads(TimePoint Now);
  void closeOrKeepLink(LinkId Link, TimePoint Now);
  void closeFormerLinks(TimePoint Now);
  bool hasLostParent(TimePoint Now);
  bool parentMayBeSlow(TimePoint Now) const;
  void dialTargets(TimePoint Now);
  void scheduleRedial(const std::string &Name, Target &Failed, TimePoint Now);
  void sendHello(LinkId Link, const Peer &To);
  void onHello(LinkId Link, Peer &From, const wire::HelloT &Hello,
               TimePoint Now);
  void onSeedRequest(TimePoint Now);
  void onReport(LinkId Link, const wire::FleetReportT &Report, TimePoint Now);
  void onGoodbye(LinkId Link, TimePoint Now);
  void closeLink(LinkId Link, TimePoint Now);
  bool accept(const Spreader::ReceivedDocument &Received, TimePoint Now);
  bool acceptConfig(const Spreader::ReceivedDocument &Received, TimePoint Now);
  void acceptList(const Spreader::ReceivedDocument &Received, TimePoint Now);
  void acceptEvacuations(const Spreader::ReceivedDocument &Received,
                         TimePoint Now);
  bool hasList() const;
  bool hasSeedLink() const;
  ReadSituation readSituation(TimePoint Now);
  void updateReadDuty(TimePoint Now);
  void exchangeReports(TimePoint Now);
  void scheduleReport(TimePoint Now);
  std::optional<LinkId> parentLink() const;
  Spreader::Hooks spreadHooks();
  SourceHooks sourceHooks();
  void addReportHooks(SourceHooks &Hooks);
  void reportContests(TimePoint Now);
  Quarantine::Hooks quarantineHooks();

  Options Opts;
  Hooks Hook;
  AuditTrail Trail;
  uint64_t UnreadableItems = 0;
  // The addresses that several entries claim, each with what was reported.
  std::map<std::string, std::string> ReportedContests;
  uint64_t PlatformRestores = 0;
  // The era after the last detected restore; empty if there was none.
  std::optional<uint64_t> PlatformEra;
  // Limits audit events about unreadable items, as a faulty writer may write
  // them often, and about addresses that several items claim.
  TokenBucket ContestLog{/*Rate=*/1, /*Burst=*/1000};
  TokenBucket UnreadableLog{/*Rate=*/1, /*Burst=*/1000};
  TokenBucket RecordIssueLog{/*Rate=*/1, /*Burst=*/20};
  Membership Fleet;
  FleetView View;
  Spreader Spread;
  Quarantine RequestQuarantine;
  std::unique_ptr<DocumentSource> Source;
  Compiler ConfigCompiler;
  std::mt19937_64 Random;
  std::map<std::string, Target> Targets;
  AvoidSet Avoided;
  // Ancestors that have not answered a dial for DialPatience.
  AvoidSet PassedOver;
  std::map<std::string, TimePoint> AvoidedSince;
  // Earliest time at which a neighbour whose link was declared dead may be used
  // again, even if it answers before.
  std::map<std::string, TimePoint> AvoidUnresponsiveUntil;
  std::map<LinkId, Peer> Peers;
  ConfigPtr ActiveConfig;
  std::string ActiveConfigSource;
  std::optional<TimePoint> ActiveConfigSince;
  std::optional<TimePoint> StartedAt;
  std::optional<TimePoint> LastTick;
  // Parent and link state in the last "parent" audit event.
  std::string AuditedParent;
  bool AuditedParentLinked = false;
  // The last time at which the node had a link to its parent, and whether it
  // has ever had one.
  std::optional<TimePoint> ParentLastLinkedAt;
  bool HadParentLink = false;
  // The last parent announced that it stops, and there is no other one yet.
  bool ParentLeft = false;
  // The node reads the platform until this time although it has a parent link
  // again.
  std::optional<TimePoint> KeepReadingUntil;
  // Links to former neighbours, kept open until the new parent is linked.
  std::set<LinkId> FormerLinks;
  // The link to the former parent, and until when it counts as a parent link.
  std::optional<LinkId> FormerParentLink;
  TimePoint FormerParentValidUntil;
  bool NeedsRetarget = true;
  // Whether this node has ever been listed.
  bool WasListed = false;
  // Since when the list of a data centre has been incomplete, and when it last
  // was found to be.
  struct IncompleteList {
    TimePoint Since;
    TimePoint LastFound;
  };
  std::map<std::string, IncompleteList> IncompleteLists;
  bool EveryNodeReads = false;
  // When the node received its first list with entries.
  std::optional<TimePoint> ListedSince;
  // A node that has no list opened a link to this node as its seed.
  bool UsedAsSeed = false;
  ReadDuty LastDuty = ReadDuty::None;
  TimePoint NextExchange;
  TimePoint NowForHooks;
  std::string LastReaderError;
  FailingReaders Failing;
  // When this node begins to read because all that should read fail. Drawn
  // each time at which that begins.
  std::optional<TimePoint> FallbackReadAt;
  bool ReadsAsFallback = false;
};

} // namespace hickorylift

#endif
