#ifndef HICKORYLIFT_SCENARIO_WORLD_H
#define HICKORYLIFT_SCENARIO_WORLD_H

#include "node/NodeCore.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// A World holds a few nodes' deciding code, with fakes at the interfaces and a
// clock that only it moves: a platform, links, one upstream for each node, and
// callers. It watches the promises at every step and notes each that breaks.
//
//   World All(Options);
//   All.addNode("portal-1", "north", "portal");
//   All.publish(1, Records);
//   All.start("portal-1");
//   All.run(Millis(500));
//   for (const std::string &Broken : All.broken()) ...

namespace hickorylift::scenario {

/// Header fields of a call: how the script names it, and its key.
inline constexpr char LabelHeader[] = "X-Call-Id";
inline constexpr char KeyHeader[] = "Idempotency-Key";

/// The body with which an upstream answers a call.
std::string answerFor(const std::string &Label, const std::string &Body);

/// What a caller asks, and what came of it.
struct CallState {
  enum class End { Pending, Answered, NotRun, Unknown, Broken };

  std::string Label;
  std::string Node;
  std::string Key;
  bool Repeatable = false;
  End Now = End::Pending;
  unsigned Status = 0;
  Refusal Why;
  std::string Body;
  std::string Expected;
  TimePoint AskedAt;
  TimePoint EndedAt;
};

const char *endName(CallState::End Of);

/// An upstream process. It goes on when its node dies.
struct UpstreamState {
  bool Alive = true;
  bool Draining = false;
  Millis RunTime{20};
  /// Calls beyond this at once are shed with 503.
  uint32_t Sheds = 1000000;
  /// Closes the connection after the request has arrived.
  bool DiesOnRequest = false;
  /// A request for this path ends the process, and all that it runs, within
  /// CrashAfter; it is back BackAfter later. Empty for none.
  std::string CrashesOn;
  Millis CrashAfter{30};
  Millis BackAfter{2000};
  /// After its start it is cold for so long, and crashes where more than
  /// ColdMost calls come within a second. Zero for never.
  Millis Warmup{0};
  uint32_t ColdMost = 0;
  TimePoint ColdUntil;
  std::deque<TimePoint> ColdStarts;
  /// What its answers state: the calls per second that it takes, and that it is
  /// leaving. Both end with its process.
  std::optional<double> StatedRate;
  bool StatesLeaving = false;
  TimePoint RateStatedAt;
  std::optional<TimePoint> StatedLeavingAt;
  std::deque<TimePoint> Starts;
  std::map<std::string, unsigned> RunsByLabel;
  std::map<std::string, TimePoint> LastRunByKey;
  uint64_t Running = 0;
  uint64_t Shed = 0;
  uint64_t Answered = 0;
  std::optional<TimePoint> LastStart;
};

class World;

struct PlatformState {
  struct Value {
    uint64_t Revision = 0;
    std::string Bytes;
  };

  std::map<std::string, Value> Values;
  std::map<std::string, Value> OldCopy;
  uint64_t Revision = 0;
  uint64_t OldRevision = 0;
  bool Outage = false;
  bool Stale = false;
  uint64_t Reads = 0;
  std::list<std::function<bool(bool Always)>> Watches;
};

struct NodeState {
  std::string Name;
  std::string DataCentre;
  std::string Service;
  bool Listed = true;
  bool Leaving = false;
  bool Alive = false;
  bool Paused = false;
  uint64_t Incarnation = 0;
  std::map<std::string, int64_t> OldSchemas;
  std::unique_ptr<Platform> Source;
  std::unique_ptr<NodeCore> Core;
  /// What arrived while the process stood still.
  std::deque<std::function<void()>> Waiting;
  UpstreamState Upstream;
  // Invariants of the running incarnation.
  Stamp Floor;
  // Of all incarnations.
  Stamp EverHeld;
  std::optional<TimePoint> DrainedAt;
  /// Since when its data centre is evacuated.
  std::optional<TimePoint> EvacuatedAt;
  bool Stopped = false;
  uint64_t ControlBytes = 0;
};

class World {
public:
  struct Options {
    uint64_t Seed = 1;
    Safeguards Guards;
    Millis LinkDelay{1};
    /// Settings that all nodes share.
    NodeCore::Options Node;
  };

  explicit World(Options Opts);
  ~World();

  void addNode(const std::string &Name, const std::string &DataCentre,
               const std::string &Service);
  /// A data centre of the deployment whose list was never published.
  void addUnlistedDataCentre(const std::string &Name) {
    this->DataCentres.push_back(Name);
    this->Unlisted.insert(Name);
  }
  /// Writes the lists as they now stand to the platform.
  void publishLists();
  void publish(uint64_t Version, const std::vector<std::string> &Records);
  /// A value as it is, for broken ones.
  void put(const std::string &Key, const std::string &Bytes);

  void start(const std::string &Name);
  void kill(const std::string &Name);
  void pause(const std::string &Name);
  void resume(const std::string &Name);
  void stop(const std::string &Name);

  /// Keeps two nodes apart until mend(); what is under way is delivered then.
  void cut(const std::string &A, const std::string &B);
  void cutPlatform(const std::string &Name);
  void mend();
  /// The links there are between two nodes carry nothing any more; new ones
  /// work.
  void silence(const std::string &A, const std::string &B);
  /// The links there are hold what is sent until mend(); new ones work.
  void stall(const std::string &A, const std::string &B);
  /// Breaks the links there are between two nodes.
  void breakLinks(const std::string &A, const std::string &B);
  /// Share of control frames that are lost, and that are damaged.
  void setLoss(double Lost, double Damaged);
  /// From here on a restart must not lower a node's version either: for
  /// scenarios in which someone who has the newest one can be reached.
  /// Within this time a key must not run twice.
  void setKeyWindow(Millis Window) { this->KeyWindow = Window; }
  void setStrictRestarts() { this->StrictRestarts = true; }
  /// Nodes that start from now on hedge calls: at most MaxPercent hedges for
  /// each hundred first tries of a route.
  void setHedging(double MaxPercent) {
    this->Opts.Node.CallEntry.HedgeOptions.Enabled = true;
    this->Opts.Node.CallEntry.HedgeOptions.MaxPercent = MaxPercent;
  }

  void call(const std::string &Label, const std::string &Node,
            const std::string &Method, const std::string &Path,
            const std::string &Key, size_t BodyBytes,
            std::optional<Millis> Budget);
  void hangUp(const std::string &Label);
  /// The upstream beside a node crashes.
  void crash(const std::string &Name);
  /// The upstreams of a data centre are cold for their warm-up from now on.
  void chill(const std::string &DataCentre);
  /// Operators evacuate these data centres, and no others.
  void evacuate(const std::set<std::string> &DataCentres);

  void run(Millis Length);
  /// Runs until the condition holds. False if the time is over first.
  bool runUntil(const std::function<bool()> &Holds, Millis Limit);

  TimePoint now() const { return this->Now; }
  NodeState &node(const std::string &Name);
  std::map<std::string, NodeState> &nodes() { return this->Nodes; }
  std::map<std::string, CallState> &calls() { return this->Calls; }
  PlatformState &platform() { return this->Source; }
  bool isCutFromPlatform(const std::string &Name) const {
    return this->PlatformCuts.count(Name) != 0;
  }
  std::mt19937_64 &random() { return this->Random; }
  /// Broken promises so far, each once.
  const std::vector<std::string> &broken() const { return this->Broken; }
  void note(const std::string &Promise);

  /// Runs Work at the node Delay from now; if the node stands still, when it
  /// wakes; never in another incarnation.
  void at(const std::string &Name, Clock::duration Delay,
          std::function<void(NodeState &)> Work);
  void later(Clock::duration Delay, std::function<void()> Work);
  Clock::duration delay();
  unsigned runsOf(const std::string &Label) const;
  /// Runs of the request that crashes its upstreams which began more than
  /// Within after its crash of number After.
  uint64_t lateCrashRuns(size_t After, Millis Within) const;
  size_t crashes() const { return this->Crashes.size(); }

private:
  struct Link {
    std::string Ends[2];
    char Purpose = 0;
    // As each end sees it.
    bool Open[2] = {true, true};
    bool Holding = false;
    bool Silent = false;
    TimePoint LastArrival[2];
    std::deque<std::string> Stalled[2];
  };

  void boot(NodeState &Of);
  NodeCore::Hooks nodeHooks(const std::string &Name);
  Entry::Hooks callerHooks();
  Gate::Hooks upstreamHooks(const std::string &Name);
  void dial(const std::string &From, char Purpose, const std::string &Peer);
  void send(LinkId Id, const std::string &From, std::string Bytes);
  void transmit(LinkId Id, int FromEnd, std::string Bytes);
  void transmitClose(LinkId Id, int FromEnd);
  void closeLink(LinkId Id, const std::string &From);
  void startTicks(NodeState &Of);
  void callTick(const std::string &Name, uint64_t Incarnation);
  void controlTick(const std::string &Name, uint64_t Incarnation);
  void checkConfig(NodeState &Of);
  void checkKey(UpstreamState &At, const std::string &Key);
  void upstreamStart(const std::string &Name, const CallId &Id,
                     const RequestHead &Head);
  void upstreamFinish(const std::string &Name, const CallId &Id);
  HealthAnswer healthOf(const UpstreamState &Of) const;
  bool overruns(UpstreamState &Of) const;
  void checkStatements(const std::string &Name, UpstreamState &Of);
  HeaderList statementOf(UpstreamState &Of) const;
  void endCall(uint64_t Caller, CallState::End How);
  bool isCut(const std::string &A, const std::string &B) const;
  void step();

  Options Opts;
  TimePoint Now;
  std::mt19937_64 Random;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::map<std::string, NodeState> Nodes;
  std::vector<std::string> DataCentres;
  std::set<std::string> Unlisted;
  std::map<LinkId, Link> Links;
  LinkId LastLink = 0;
  PlatformState Source;
  RecordHashes Published;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::set<std::string> PlatformCuts;
  double Lost = 0;
  double Damaged = 0;
  bool StrictRestarts = false;
  Millis KeyWindow{60000};
  std::map<std::string, CallState> Calls;
  std::map<uint64_t, std::string> Callers;
  uint64_t LastCaller = 0;
  struct Job {
    std::string Label;
    std::string Body;
    std::string Key;
    bool Shed = false;
    // It will never be answered.
    bool Crashes = false;
  };
  std::map<std::string, std::map<CallId, Job>> Jobs;
  std::vector<TimePoint> Crashes;
  std::vector<TimePoint> CrashRuns;
  std::vector<std::string> Broken;
  uint64_t LastIncarnation = 0;
};

/// One record from the short form of scripts: "service:portal:slots=2",
/// "route:status:/status:portal:timeout_ms=500", "retry:safe:methods=GET+PUT",
/// "limit:slow:rate_per_s=5". Empty if the form is wrong.
std::string recordFromShort(const std::string &Short);

} // namespace hickorylift::scenario

#endif
