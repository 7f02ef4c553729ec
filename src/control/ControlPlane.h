#ifndef HICKORYLIFT_CONTROL_CONTROLPLANE_H
#define HICKORYLIFT_CONTROL_CONTROLPLANE_H

#include "audit/AuditTrail.h"
#include "config/Config.h"
#include "control/ReadPlan.h"
#include "membership/Membership.h"
#include "quarantine/Quarantine.h"
#include "reading/PlatformReader.h"
#include "spread/FleetView.h"
#include "spread/Spreader.h"

// The ControlPlane is all that one node decides about configuration and
// membership: whether to read the platform, whom to dial, what to put in
// force. It has no socket and no clock.
//
//   ControlPlane Control(Options, MakeRead, Hooks);
//   Control.tick(Now);                       // ten times a second
//   Control.linkOpened(Link, "portal-2", Now);   // a dial succeeded
//   Control.linkOpened(Link, "", Now);           // a peer dialled us
//   Control.frame(Link, Bytes, Now);
//   ConfigPtr InForce = Control.config();    // null until there is one

namespace hickorylift {

/// Rises when the frames between nodes change in a way worth telling apart.
constexpr uint32_t BuildNumber = 1;

class ControlPlane {
public:
  struct Options {
    /// This instance's name and place, as the platform lists it.
    std::string Self;
    std::string DataCentre;
    /// All data centres of the deployment. A list of each is needed before an
    /// idempotency key can be judged.
    std::vector<std::string> DataCentres;
    /// Tells this process from earlier ones in its place.
    uint64_t Incarnation = 1;
    /// Told to peers, and counted in the view of the fleet.
    uint32_t Build = BuildNumber;
    /// Seed of all jitter.
    uint64_t Seed = 1;
    /// Peers to try before the platform's list is known: name to address, or
    /// address to address where the name is not known.
    std::map<std::string, std::string> Seeds;
    /// How long a starting node waits for peers before it asks the platform.
    /// One that others take for their seed does not wait: if it knows no more
    /// than they do, somebody has to ask.
    Millis PeersFirst{1000};
    /// A node tries its seeds one after the other, in an order of its own, so
    /// long after the last if it has no list by then: a herd that starts
    /// together draws on all of them alike.
    Millis NextSeedAfter{150};
    /// Between two attempts to reach a neighbour; doubles, with jitter.
    Millis FirstRedial{100};
    Millis LongestRedial{5000};
    /// Dials in a row that must fail before a neighbour is passed over, and for
    /// how long if nobody tries it any more.
    unsigned AvoidAfter = 2;
    Millis AvoidFor{30000};
    /// Minimum time for which a neighbour is avoided after its link was
    /// condemned for silence. Starts without waiting for AvoidAfter failed
    /// dials, as each dial to an unreachable machine takes the full dial
    /// timeout. Does not end at the next greeting, as a slow machine accepts
    /// new links but forwards versions late.
    Millis AvoidSilentFor{4000};
    /// A node that is not a reader becomes one when what it holds was not
    /// confirmed for two watches and this many heartbeats (in normal running
    /// the age is one watch, and a heartbeat for each level of the tree), and
    /// as much longer as TakeoverStep for each one before it in line: the
    /// readers may all be gone in a way that nobody next in line sees. No more
    /// than TakeoverMost nodes do so.
    int64_t TakeoverHeartbeats = 10;
    Millis TakeoverStep{5000};
    size_t TakeoverMost = 8;
    /// A node that has had no link to its parent for this long reads by itself,
    /// until it has one again. Zero for never. What its neighbours know may
    /// never reach it, while it can reach the platform as well as they can.
    Millis OrphanReadsAfter{0};
    /// And so long after it has a link to a parent again. A parent whose links
    /// were condemned for silence may be a slow machine, of which each new link
    /// works: it hands a version on seconds after it has taken it, and its
    /// children would serve by the old one. A second or two longer than a
    /// version may take.
    Millis OrphanReadsOn{4000};
    /// How long the link to the former parent counts as a parent link after the
    /// tree has assigned another parent, if that one is not linked yet.
    /// OrphanReadsAfter starts when this ends. Less than the time within which
    /// a version must arrive, as the former parent may be disconnected as well.
    Millis FormerParentTimeout{700};
    /// Links accepted at once. More are closed at the handshake, and the peer
    /// comes back later.
    size_t MaxLinks = 256;
    /// Reports older than this count as not heard.
    Millis ReportFreshness{15000};
    /// A changed report waits this long for others before it goes up.
    Millis ReportBatch{100};
    /// A jump of the clock between two ticks that counts as a pause.
    Millis PauseThreshold{1500};
    /// Options of the slices that this one joins.
    Membership::Options Members;
    Spreader::Options Spread;
    /// Of the reader, and how long one watch may wait, whatever reads.
    PlatformReader::Options Read;
    CompileOptions Compile;
    /// Of the requests that crash upstreams; Self and Incarnation are filled
    /// in.
    Quarantine::Options Hold;
    /// Events kept in the audit trail.
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

  /// MakeRead makes what reads the platform.
  ControlPlane(Options Opts, const SourceFactory &MakeRead, Hooks Hooks);

  void tick(TimePoint Now);
  /// Dialled is the peer's name where this node dialled; else empty.
  void linkOpened(LinkId Link, const std::string &Dialled, TimePoint Now);
  void dialFailed(const std::string &Peer, TimePoint Now);
  void frame(LinkId Link, std::string_view Bytes, TimePoint Now);
  void linkClosed(LinkId Link, TimePoint Now);
  /// Tells the peers that this node stops as planned.
  void goodbye();

  ConfigPtr config() const { return this->InForce; }
  /// Where the version in force came from, and when.
  const std::string &configSource() const { return this->InForceFrom; }
  std::optional<TimePoint> configSince() const { return this->InForceSince; }
  const Membership &members() const { return this->Fleet; }
  /// Age of the oldest list among all data centres; nullopt while any of them
  /// is unknown or was never confirmed.
  std::optional<Millis> oldestListAge(TimePoint Now) const;
  std::vector<wire::FleetReportT> fleet(TimePoint Now) const {
    return this->View.fleet(Now);
  }
  const AuditTrail &audit() const { return this->Trail; }
  AuditTrail &audit() { return this->Trail; }
  /// This node's own upstream crashed while these requests ran.
  void upstreamCrashed(const std::vector<Quarantine::Ran> &Running,
                       TimePoint Now);
  /// Requests that crash upstreams, as all nodes know them.
  Quarantine &quarantine() { return this->Hold; }
  /// Items of the platform that could not be used, so far.
  uint64_t unreadableItems() const { return this->UnreadableItems; }
  /// Number of restores of the platform detected by this node.
  uint64_t platformRestores() const { return this->PlatformRestores; }
  const Spreader &spreader() const { return this->Spread; }
  const DocumentSource &reader() const { return *this->Read; }
  /// Names of the peers with a control link.
  std::vector<std::string> peers() const;
  /// The root of this data centre's tree, as this node sees it.
  const Instance *root() const {
    return this->Fleet.root(this->Opts.DataCentre, this->Avoid);
  }
  bool isReader() const { return this->Fleet.isReader(this->Avoid); }

private:
  struct Target {
    std::string Address;
    Tie Kind = Tie::Tree;
    std::optional<LinkId> Link;
    bool Dialling = false;
    unsigned Failures = 0;
    TimePoint NextDial;
    // A seed, kept until the list names neighbours.
    bool Seed = false;
  };

  struct Peer {
    std::string Name;
    // The target that was dialled; empty where the peer dialled us. A seed may
    // be known by its address alone, and then has another name than its target.
    std::string Target;
    bool Greeted = false;
    Tie Kind = Tie::Tree;
  };

  void retarget(TimePoint Now);
  void wantSeeds(std::map<std::string, Target> &Wanted, TimePoint Now) const;
  void avoid(const std::string &Name, TimePoint Now);
  void stopAvoiding(const std::string &Name);
  void forgetAvoided(TimePoint Now);
  bool takesOver(TimePoint Now) const;
  bool hasParentLink() const;
  void auditParentChange(TimePoint Now);
  bool isAwaitingParentLink() const;
  void dropOrKeepLink(LinkId Link, TimePoint Now);
  void dropFormerLinks(TimePoint Now);
  bool isOrphan(TimePoint Now);
  bool distrustsParent(TimePoint Now) const;
  void dialTargets(TimePoint Now);
  void greet(LinkId Link, const Peer &To);
  void onHello(LinkId Link, Peer &From, const wire::HelloT &Hello,
               TimePoint Now);
  void introduce(TimePoint Now);
  void onReport(LinkId Link, const wire::FleetReportT &Report, TimePoint Now);
  void drop(LinkId Link, TimePoint Now);
  bool accept(const Spreader::Arrival &Arrived, TimePoint Now);
  bool acceptConfig(const Spreader::Arrival &Arrived, TimePoint Now);
  void acceptList(const Spreader::Arrival &Arrived, TimePoint Now);
  void acceptEvacuations(const Spreader::Arrival &Arrived, TimePoint Now);
  bool hasList() const;
  bool hasSeedLink() const;
  ReadSituation situation(TimePoint Now);
  void read(TimePoint Now);
  void exchangeReports(TimePoint Now);
  void reportSoon(TimePoint Now);
  std::optional<LinkId> parentLink() const;
  Spreader::Hooks spreadHooks();
  SourceHooks readHooks();
  Quarantine::Hooks quarantineHooks();

  Options Opts;
  Hooks Hook;
  AuditTrail Trail;
  uint64_t UnreadableItems = 0;
  uint64_t PlatformRestores = 0;
  // The era after the last detected restore; empty if there was none.
  std::optional<uint64_t> PlatformEra;
  // Whoever writes rubbish may do so often.
  TokenBucket UnreadableLog{/*Rate=*/1, /*Burst=*/10};
  Membership Fleet;
  FleetView View;
  Spreader Spread;
  Quarantine Hold;
  std::unique_ptr<DocumentSource> Read;
  Compiler Compile;
  std::mt19937_64 Random;
  std::map<std::string, Target> Targets;
  AvoidSet Avoid;
  std::map<std::string, TimePoint> AvoidedAt;
  // Earliest time at which a neighbour condemned for silence may be used again,
  // even if it answers before.
  std::map<std::string, TimePoint> AvoidSilentUntil;
  std::map<LinkId, Peer> Peers;
  ConfigPtr InForce;
  std::string InForceFrom;
  std::optional<TimePoint> InForceSince;
  std::optional<TimePoint> StartedAt;
  std::optional<TimePoint> LastTick;
  // Parent and link state in the last "parent" audit event.
  std::string AuditedParent;
  bool AuditedParentLinked = false;
  // When the node was last seen to have a link to its parent.
  std::optional<TimePoint> ParentSeen;
  // Until when it reads by itself though it has one again.
  std::optional<TimePoint> ReadsOnUntil;
  // Links to former neighbours, kept open until the new parent is linked.
  std::set<LinkId> FormerLinks;
  // The link to the former parent, and until when it counts as a parent link.
  std::optional<LinkId> FormerParentLink;
  TimePoint FormerParentValidUntil;
  bool NeedRetarget = true;
  // Somebody who has no list has turned to this node.
  bool TakenForSeed = false;
  ReadDuty LastDuty = ReadDuty::None;
  TimePoint NextExchange;
  TimePoint NowForHooks;
  std::string LastReaderError;
};

} // namespace hickorylift

#endif
