#ifndef HICKORYLIFT_NODE_NODECORE_H
#define HICKORYLIFT_NODE_NODECORE_H

#include "calls/Entry.h"
#include "calls/Gate.h"
#include "control/ControlPlane.h"

#include <memory>

// A NodeCore is everything that one node decides, joined together: control
// plane, entry and gate. Sockets, HTTP and the clock are outside, behind its
// hooks, so that many nodes fit in one test and a bench can drive them.
//
//   NodeCore Core(Options, Platform, Hooks);
//   Core.controlTick(Now);                     // ten times a second
//   Core.callTick(Now);                        // fifty times a second
//   Core.opened(Link, CallPurpose, "", Now);   // and so on for each event
//   Core.entry().request(Caller, Head, Now);
//
// Call observe(Now) before anything else at each event: it finds out that the
// process stood still. The events above do so themselves; what goes straight
// to entry() or gate() must.

namespace hickorylift {

/// First byte of a connection: which plane it belongs to.
constexpr char ControlPurpose = 'C';
constexpr char CallPurpose = 'D';

class NodeCore {
public:
  struct Options {
    /// Options of the three parts; setIdentity fills in what they share.
    ControlPlane::Options Control;
    Entry::Options CallEntry;
    Gate::Options CallGate;
    /// Which calls of the upstream beside this node are recognised as nested.
    RunRegistry::Options NestedCalls;
    /// A gap between two events that means that the process stood still; the
    /// call tick alone comes every 20 ms.
    Millis PauseThreshold{750};
    /// How long a planned stop may wait for what runs.
    Millis StopWithin{60000};
    /// How long a planned stop goes on taking requests after it has said that
    /// it is not ready: those who ask only now and then still send callers.
    Millis StopLinger{0};
    /// A suspension of the machine, longer than this, is a pause: the steady
    /// clock stands still meanwhile, and no gap shows.
    Millis SuspendThreshold{100};
    /// All on, but in scenarios.
    Safeguards Guards;

    /// Gives all parts the same name, place, incarnation and safeguards.
    void setIdentity(const std::string &Name, const std::string &DataCentre,
                     const std::vector<std::string> &DataCentres,
                     const std::string &Service, uint64_t Incarnation);
  };

  struct Hooks {
    std::function<void(char Purpose, const std::string &Peer,
                       const std::string &Address)>
        Dial;
    std::function<void(LinkId, std::string Bytes)> Send;
    std::function<void(LinkId)> Close;
    /// Runs a piece of work in the loop's next turn.
    std::function<void(std::function<void(TimePoint)>)> Post;
    /// Towards the callers; Connect, Send and Close are set by the core.
    Entry::Hooks Callers;
    /// Towards the upstream; Send and ListAge are set by the core.
    Gate::Hooks Upstream;
    AuditTrail::Hook Audit = [](const AuditEvent &) {};
    /// A version is in force.
    std::function<void(const ConfigPtr &)> ConfigChanged =
        [](const ConfigPtr &) {};
    /// A planned stop has begun: ask callers to go elsewhere next time.
    std::function<void()> Leaving = [] {};
    /// Close the callers' connections on which nothing is under way.
    std::function<void()> CloseIdle = [] {};
    /// Take no more connections from callers.
    std::function<void()> StopListening = [] {};
    /// Whether no caller would lose an answer if the process ended now.
    std::function<bool()> CallersServed = [] { return true; };
    /// A planned stop is complete.
    std::function<void()> Stopped = [] {};
  };

  /// Reads a platform that holds records by their hash.
  NodeCore(const Options &Opts, Platform &Source, Hooks Hooks);
  NodeCore(const Options &Opts, const SourceFactory &MakeRead, Hooks Hooks);

  void observe(TimePoint Now);
  /// The machine was suspended for so long, and the steady clock with it.
  void suspended(Millis For, TimePoint Now);
  void opened(LinkId Link, char Purpose, const std::string &Dialled,
              TimePoint Now);
  void dialFailed(char Purpose, const std::string &Peer, TimePoint Now);
  void frame(LinkId Link, char Purpose, std::string_view Bytes, TimePoint Now);
  void closed(LinkId Link, char Purpose, TimePoint Now);
  void callTick(TimePoint Now);
  void controlTick(TimePoint Now);
  /// What the upstream's own health endpoint said.
  void health(const Result<HealthAnswer> &Said, TimePoint Now);

  void drainGate(const std::string &By, TimePoint Now);
  void reopenGate(const std::string &By, TimePoint Now);
  void stop(const std::string &By, TimePoint Now);

  bool ready() const;
  /// Nothing will ask the upstream how it is: it counts as reachable.
  void upstreamNotAsked() { this->AsksUpstream = false; }
  bool upstreamReachable() const { return this->UpstreamUp; }
  const std::string &upstreamSays() const { return this->UpstreamSays; }

  ControlPlane &control() { return *this->Control; }
  Entry &entry() { return *this->From; }
  Gate &gate() { return *this->At; }
  /// The requests that run at the upstream beside this node.
  const RunRegistry &runs() const { return this->Runs; }

private:
  /// What the list says of this node's own upstream.
  enum class OwnEntry { Missing, Live, Leaving };

  ControlPlane::Hooks controlHooks();
  Entry::Hooks entryHooks();
  Gate::Hooks gateHooks();
  void membersChanged(TimePoint Now);
  template <typename T>
  bool refuteUpstream(const std::string &Name, const T &Start, TimePoint Now);
  void noteOwnEntry(const Instance *Own, TimePoint Now);
  void followEvacuation(TimePoint Now);
  void auditDrain(const std::string &By, TimePoint Now);
  void auditReopen(const std::string &By, TimePoint Now);
  void noteStatement(const UpstreamStatement &Before,
                     const UpstreamStatement &After, TimePoint Now);
  void noteShedding(uint32_t ShedPercent, TimePoint Now);
  void noteSlowdown(bool Slow, uint32_t Percent, TimePoint Now);
  void sendToGate(const std::string &Gate, wire::CallFrameT Frame);
  void sendToEntry(LinkId Link, wire::CallFrameT Frame);
  void finishStop(TimePoint Now);

  Options Opts;
  Hooks Hook;
  RunRegistry Runs;
  std::unique_ptr<ControlPlane> Control;
  std::unique_ptr<Entry> From;
  std::unique_ptr<Gate> At;
  // Call links that we dialled, by gate and back.
  std::map<std::string, LinkId> GateLinks;
  std::map<LinkId, std::string> LinkGates;
  std::optional<TimePoint> LastEvent;
  OwnEntry SeenAs = OwnEntry::Missing;
  bool UpstreamUp = false;
  std::string UpstreamSays;
  // Limits audit events about what the upstream states, as each answer may
  // state something else.
  TokenBucket StatementLog{/*Rate=*/1, /*Burst=*/5};
  // Limits audit events about shedding, to one a second after a burst: a share
  // near zero may begin and end often.
  TokenBucket SheddingLog{/*Rate=*/1, /*Burst=*/5};
  bool LoggedShedding = false;
  // Limits audit events about slowdowns of the upstream, to one in five seconds
  // after a burst. If the start of a slowdown is not logged, its end is not
  // logged either.
  TokenBucket SlowdownLog{/*Rate=*/0.2, /*Burst=*/5};
  bool LoggedSlow = false;
  void endLinger(TimePoint Now);
  void stopListening();
  void pausedFor(Millis Gap, TimePoint Now);

  std::optional<TimePoint> StopBy;
  std::optional<TimePoint> LingerUntil;
  bool ListeningEnded = false;
  // Whether anything asks the upstream how it is.
  bool AsksUpstream = true;
  // The calls that were left when the time for a planned stop ran out have been
  // answered.
  bool Abandoned = false;
  bool StopDone = false;
};

} // namespace hickorylift

#endif
