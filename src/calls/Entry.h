#ifndef HICKORYLIFT_CALLS_ENTRY_H
#define HICKORYLIFT_CALLS_ENTRY_H

#include "calls/Body.h"
#include "calls/Dialect.h"
#include "calls/Message.h"
#include "config/Config.h"
#include "lineage/NestedCallEstimator.h"
#include "lineage/RunRegistry.h"
#include "membership/Membership.h"
#include "quarantine/Quarantine.h"
#include "routing/CompletionTimes.h"
#include "routing/HedgePolicy.h"
#include "routing/LoadBalancer.h"
#include "routing/NodeRank.h"
#include "routing/RequestAgeEstimator.h"
#include "routing/RetryAllocator.h"
#include "routing/RetryBudget.h"
#include "routing/StatementMemory.h"
#include "routing/TrafficSplitter.h"

#include <functional>
#include <map>

// The Entry accepts requests from callers and forwards each to a gate, which
// runs on the same machine as an upstream and controls access to it. A request
// is at one gate at a time until it is answered, proven not run, or its outcome
// is unknown; with hedging, an idempotent one may run at two gates at once. All
// input and output goes through the hooks.
//
//   Entry Requests(Options, Hooks, Fleet);
//   Requests.configure(Config);
//   Requests.request(Caller, Head, Now);    // a caller's request
//   Requests.body(Caller, Bytes, Now); Requests.bodyEnd(Caller, Now);
//   Requests.linkUp("portal-2", Now);       // after Hooks.Connect
//   Requests.handleFrame("portal-2", Frame, Now);
//   Requests.tick(Now);

namespace hickorylift {

class Entry {
public:
  /// Identifies a caller's request at this entry; chosen by the HTTP server.
  using CallerId = uint64_t;

  struct Options {
    /// This instance's name, for refusals and to recognise the local upstream.
    std::string Self;
    /// This instance's data centre; gates in it are preferred.
    std::string DataCentre;
    /// The service of this instance, forwarded as the origin of its requests.
    std::string Service;
    /// Header fields of the deployment.
    Dialect HeaderNames;
    /// Must differ from that of every earlier process of this instance: gates
    /// remember calls by it.
    uint64_t Incarnation = 1;
    /// Seed of the random choice among gates.
    uint64_t Seed = 1;
    /// Maximum bytes of a request's body that are read ahead of the upstream.
    /// Must be more than GatherBytes.
    uint64_t ReadAheadBytes = 256 * 1024;
    /// Maximum bytes of a request's body that are sent but not yet credited.
    /// All traffic to a gate shares the link of the gate's machine, and a call
    /// of 1 KB waits there behind whatever was sent before it: 70 ms behind a
    /// body of 60 KB on a link of 7 Mbit/s. This window still fills such a link
    /// while a credit is on its way.
    uint64_t BodyWindowBytes = 16 * 1024;
    /// Largest piece of a body in one frame.
    size_t MaxPieceBytes = 32 * 1024;
    /// A body up to this is read completely before the call is sent: a caller
    /// that sends slowly then occupies no slot, and the gate gets the call in
    /// one piece. Of a longer one whose length is not known, so much is read
    /// first.
    int64_t GatherBytes = 32 * 1024;
    /// A body longer than this is sent only once the gate has started the call.
    /// A refused call then costs no body bytes, and a waiting call no memory at
    /// the gate. In return the upstream waits one round trip for the body.
    int64_t ImmediateBodyBytes = 16 * 1024;
    /// Maximum calls in progress; further requests are refused as not run.
    size_t MaxCalls = 4096;
    /// Interval between pings on a link that carries calls, and how long a ping
    /// may stay unanswered before the link is declared dead and a new one is
    /// opened.
    Millis PingInterval{500};
    Millis LivenessTimeout{1500};
    /// A link that was declared dead may only have been slow. For this long
    /// afterwards the next link to the same gate gets twice the time limits,
    /// and four times after a second one. As with the retransmission timeout of
    /// TCP, a limit that proved too short must grow. Otherwise every link is
    /// declared dead in turn, and each new one carries all the calls again.
    Millis TimeoutBackoffPeriod{10000};
    /// How long reconnecting to a lost gate is attempted, to find out what
    /// became of the calls that were sent to it.
    Millis SearchTimeout{3000};
    /// For this long after a process pause, calls that must not run twice are
    /// refused: their callers may have given up while the bytes lay in the
    /// socket.
    Millis PauseGrace{50};
    /// A link on which the gate has not sent its hello by then is closed.
    Millis ConnectTimeout{2500};
    /// A call that waits this long for a link to be established goes to another
    /// gate. Connecting takes milliseconds, and a machine that is down does not
    /// answer at all.
    Millis MaxConnectWait{80};
    /// Interval between attempts to reconnect to a lost gate for which no call
    /// is waiting, and for how long they go on.
    Millis RedialInterval{250};
    Millis RedialPeriod{15000};
    /// A link without calls is closed after this.
    Millis IdleLinkTimeout{60000};
    /// For this long after its last answer an upstream is taken for the one
    /// that the list named then, whatever other entries at its address say.
    Millis ConfirmationPeriod{3000};
    /// Maximum number of gates that one call is offered to. Gates that refuse
    /// it before it reaches an upstream count here, but not as attempts within
    /// the limit of the route.
    uint32_t MaxOffers = 4;
    /// Maximum number of upstreams that may crash while running one call,
    /// whatever its route allows. Equals the number of crashes after which the
    /// request is quarantined; the last of them is the request's trial.
    uint32_t MaxCrashes = 3;
    /// When callers that are refused before a gate is chosen should retry.
    Millis RetryAfter{1000};
    /// When callers of a node that has no configuration yet should retry, and
    /// the range over which their retries are spread. Configuration is active
    /// 0.3 to 0.9 s after the start of a process, and many callers may retry
    /// only once.
    Millis StartRetryAfter{400};
    Millis StartRetryJitter{300};
    /// Retries in reserve for one service, summed over all nodes; each node
    /// uses its part of them, which may be a fraction of a retry. Spent ones
    /// come back within half of RetryWindow. Zero for ten at each node, however
    /// many nodes there are.
    double FleetRetryReserve = 0;
    /// The time over which the deployment counts retries.
    Millis RetryWindow{10000};
    /// Retries for each hundred first tries of a route without a retry policy.
    double DefaultRetryPercent = 10;
    /// Retries for each hundred first tries, if that is less than the retry
    /// policy allows.
    double MaxRetryPercent = 100;
    /// Maximum number of abandoned calls of a lost link that are cancelled once
    /// there is a new one; further ones run until their deadlines.
    size_t MaxAbandonedCalls = 1000;
    /// Options of the load balancer, which chooses among gates.
    LoadBalancer::Options BalancerOptions;
    /// Options of the allocator, which decides which calls get retries while
    /// upstreams shed calls although they have free slots.
    RetryAllocator::Options AllocatorOptions;
    /// Marks the calls of callers that retry after a refusal, and limits the
    /// retry time that callers are told on a refusal for lack of capacity to a
    /// third of their remaining time.
    bool FavoursReturning = false;
    /// A request counts as returning (sent before, refused, and sent again as
    /// told) if its caller has waited for it at least this long. A caller that
    /// repeats a refused request at once has waited less.
    Millis MinReturningAge{30};
    /// Options of the rank that this node's calls have at gates that lack
    /// capacity.
    NodeRank::Options RankOptions;
    /// Options of hedging: when a second gate is asked to run a slow call.
    HedgePolicy::Options HedgeOptions;
    /// All on, except in scenarios.
    Safeguards Guards;
  };

  /// A decision about one call, for the log.
  struct CallEvent {
    /// "call-refused", "call-retried", "call-unknown", "call-broken",
    /// "call-searching", "call-resumed", "caller-gone", "hedge-won".
    const char *Name = "";
    /// The id that the caller gave the attempt; empty if it gave none.
    std::string RequestId;
    std::string Route;
    std::string Gate;
    /// Of the refusal by the gate or by this entry.
    std::string Reason;
    std::string Step;
    /// Version of the configuration that the call uses; 0 if none was active.
    uint64_t Version = 0;
    uint32_t Offers = 0;
    /// A run of the upstream beside this entry makes the call.
    bool Nested = false;
    /// Since the request was received, and until its deadline.
    Millis Age{0};
    Millis TimeLeft{0};
  };

  struct Hooks {
    std::function<void(const CallEvent &, TimePoint)> LogEvent =
        [](const CallEvent &, TimePoint) {};
    /// A call has ended: how long its caller waited, and whether it got an
    /// answer.
    std::function<void(Clock::duration, bool Answered)> CallFinished =
        [](Clock::duration, bool) {};
    /// Calls of a service begin or cease to leave the data centre because of
    /// its load.
    SpilloverController::ChangeHook SpilloverChanged =
        [](const SpilloverController::Change &, TimePoint) {};
    /// Opens a call link to a gate; linkUp or linkDown follows.
    std::function<void(const Instance &)> Connect;
    std::function<void(const std::string &Gate, wire::CallFrameT)> Send;
    /// Closes the link to a gate; linkDown does not follow.
    std::function<void(const std::string &Gate)> Close;
    std::function<void(CallerId, const ResponseHead &)> Head;
    std::function<void(CallerId, std::string_view)> Body;
    std::function<void(CallerId)> BodyEnd;
    /// The answer breaks off after its head: closes the caller's connection.
    std::function<void(CallerId, const Refusal &)> Abort;
    std::function<void(CallerId, const Refusal &)> Refuse;
    /// Stops or resumes reading the request's body from the caller.
    std::function<void(CallerId, bool Paused)> PauseRequest;
    /// The quarantine's decision about a request.
    std::function<Quarantine::Decision(const Fingerprint &, TimePoint)>
        CheckQuarantine = [](const Fingerprint &, TimePoint) {
          return Quarantine::Decision();
        };
    /// A call that was meant for this start of the gate's upstream was turned
    /// away as meant for another. Returns whether the list names another one
    /// that calls are meant for from now on.
    std::function<bool(const std::string &Gate, const UpstreamStart &,
                       TimePoint)>
        RefuteUpstream = [](const std::string &, const UpstreamStart &,
                            TimePoint) { return false; };
    /// When the process ends, if a planned stop has begun. A call that would
    /// last longer is refused as not run.
    std::function<std::optional<TimePoint>()> StopsAt = [] {
      return std::optional<TimePoint>();
    };
    /// The run of the upstream beside this entry that makes the request with
    /// this id; nothing if none does. Without this hook no call is nested, and
    /// Open frames do not say which calls are repeats.
    std::function<std::optional<RunRegistry::Run>(const std::string &RequestId)>
        FindParentRun;
    /// The nested request with this id causes these calls for the run that
    /// makes it: one to its own service, and those that its own run will make.
    std::function<void(const std::string &RequestId, const ServiceCalls &)>
        RecordNestedCall = [](const std::string &, const ServiceCalls &) {};
  };

  struct Counters {
    uint64_t Requests = 0;
    uint64_t Answered = 0;
    uint64_t Retries = 0;
    uint64_t Resumed = 0;
    uint64_t Unknown = 0;
    uint64_t Aborted = 0;
    /// Nested calls, and those of them whose run is a repeat.
    uint64_t Nested = 0;
    uint64_t NestedOfRepeats = 0;
    /// Calls sent to a second gate; of these, the ones that the second gate
    /// refused to run, that it answered first, and that were cancelled because
    /// the first gate answered or the call ended.
    uint64_t HedgesSent = 0;
    uint64_t HedgesRefused = 0;
    uint64_t HedgesWon = 0;
    uint64_t HedgesCancelled = 0;
    std::map<std::string, uint64_t> RefusedBy;
  };

  Entry(Options Opts, Hooks Hooks, const Membership &Fleet);

  void configure(const ConfigPtr &NewConfig);
  void membersChanged(TimePoint Now);
  /// Whether the instance's upstream has answered a call of this entry within
  /// ConfirmationPeriod, and has not failed since.
  bool isConfirmed(const Instance &Of) const;

  void request(CallerId Caller, const RequestHead &Head, TimePoint Now);
  void body(CallerId Caller, std::string_view Bytes, TimePoint Now);
  void bodyEnd(CallerId Caller, TimePoint Now);
  /// The caller has read this much of the answer's body, in total.
  void callerConsumed(CallerId Caller, uint64_t Total, TimePoint Now);
  void callerGone(CallerId Caller, TimePoint Now);
  /// Gives up a call because this process holds too much for others.
  void evict(CallerId Caller, TimePoint Now);
  /// Bytes of memory that are held for a call; zero if it has ended.
  size_t heldBytes(CallerId Caller) const;

  /// Which gate a request would be sent to, and why, for operators.
  struct Explanation {
    const Route *MatchedRoute = nullptr;
    std::vector<const Instance *> Candidates;
    const Instance *Chosen = nullptr;
    std::string Note;
  };
  Explanation explain(const RequestHead &Head, TimePoint Now);
  /// Whether the route of such a request allows it to run twice.
  bool isIdempotent(const RequestHead &Head) const;

  void linkUp(const std::string &Gate, TimePoint Now);
  /// The link broke or could not be established.
  void linkDown(const std::string &Gate, TimePoint Now);
  void handleFrame(const std::string &Gate, const wire::CallFrameT &Frame,
                   TimePoint Now);

  /// Refuses new requests from now on; calls in progress continue.
  void drain() { this->Draining = true; }
  /// Answers all remaining calls because the process ends: those that were
  /// never sent as not run, the others as unknown.
  void failRemainingCalls(TimePoint Now);
  bool idle() const { return this->Calls.empty(); }
  size_t callCount() const { return this->Calls.size(); }
  /// This process was paused, so the data in its sockets is of unknown age.
  void processPaused(TimePoint Now);
  void tick(TimePoint Now);
  const Counters &counters() const { return this->Counts; }
  const RetryAllocator::Counters &shedRetries() const {
    return this->ShedRetries.counters();
  }
  const LoadBalancer &balancer() const { return this->Balancer; }

private:
  enum class State {
    /// A gate is chosen; nothing was sent to it.
    Connecting,
    /// Sent to a gate.
    Sent,
    /// The link is lost; waiting for another one to ask about the call.
    Searching,
  };

  /// The run of an idempotent call at a gate whose link was lost, or that has
  /// not answered before the call was hedged, while the call is offered to
  /// other gates. The run may still be in progress, and the call may return to
  /// it.
  struct DetachedRun {
    std::string Gate;
    uint64_t Incarnation = 0;
    CallId Id;
    // The gate was asked about the run over its next link, and keeps it going.
    bool Queried = false;
    // The call was hedged and the link of this run works: the run counts as
    // outstanding, and its answer is used if it is the first.
    bool Hedged = false;
    TimePoint AssignedAt{};
    TimePoint SentAt{};
    UpstreamStart SentTo{};
  };

  struct PendingCall {
    State CurrentState = State::Connecting;
    CallId Id;
    RequestHead Head;
    ConfigPtr PinnedConfig;
    const Route *MatchedRoute = nullptr;
    std::shared_ptr<const Service> TargetService;
    std::string IdempotencyKey;
    std::string CallerClass;
    bool Idempotent = false;
    TimePoint ReceivedAt;
    TimePoint Deadline;
    // Its entry in Deadlines.
    std::multimap<TimePoint, CallerId>::iterator DeadlineEntry;
    // After this time the answer is worth less to the caller.
    TimePoint LatencyTargetAt;
    // The deadline that the caller states, which may be later than Deadline.
    std::optional<TimePoint> CallerDeadline;
    // The caller was refused before and has sent the request again.
    bool Returning = false;
    std::set<std::string> TriedGates;
    // Gates that the call was offered to, and how many of them may have passed
    // it to their upstream.
    uint32_t Offers = 0;
    uint32_t Attempts = 0;
    // Upstreams that crashed while running it, and gates that refused it
    // because another suspect was running there.
    uint32_t Crashes = 0;
    uint32_t SuspectRefusals = 0;
    // The run that makes the call, if it is nested.
    std::optional<RunRegistry::Run> ParentRun;
    // What the last retry was charged to the budgets of the services that its
    // run calls.
    ServiceCalls ChargedCalls;
    // Identifies the request to the quarantine. A request on trial goes only
    // to the one gate that tries it.
    Fingerprint RequestFingerprint;
    bool OnTrial = false;
    std::string Gate;
    uint64_t GateIncarnation = 0;
    // The start of the gate's upstream that was listed when the call was sent.
    UpstreamStart SentTo;
    TimePoint AssignedAt;
    // When the Open frame was sent over the current link.
    TimePoint SentAt;
    SendStream Request;
    bool RequestPaused = false;
    // The body is not sent until the gate has started the call.
    bool WithholdsBody = false;
    bool HaveHead = false;
    ReceiveStream Response;
    std::optional<Refusal> LastRefusal;
    std::optional<DetachedRun> Detached;
    // The call was hedged, and its present run is the hedge.
    bool HedgeSent = false;
    bool AtHedge = false;

    explicit PendingCall(const Options &Opts)
        : Request(Opts.BodyWindowBytes, Opts.GatherBytes) {}
  };

  struct GateLink {
    bool Up = false;
    // Set from the dial until the gate's hello arrives.
    std::optional<TimePoint> ConnectingSince;
    TimePoint DialledAt;
    uint64_t Incarnation = 0;
    TimePoint LastFrameAt;
    TimePoint LastUsedAt;
    std::optional<TimePoint> PingSentAt;
    TimePoint NextPingAt;
    std::optional<TimePoint> LostAt;
    // The gate has reported that its upstream is gone.
    bool UpstreamGone = false;
    // The start of the upstream that has answered last, and when.
    std::optional<UpstreamStart> AnsweredBy;
    TimePoint AnsweredAt;
    // Consecutive links that were declared dead for a liveness timeout, and
    // when the last of them was.
    unsigned LivenessTimeouts = 0;
    std::optional<TimePoint> LastTimeoutAt;
    std::set<CallerId> Calls;
    // Detached runs of hedged calls at the gate, which are not among Calls.
    size_t HedgedRuns = 0;
    // Calls that may still run at the gate, but that no caller waits for there:
    // to be cancelled, or asked about, over the next link.
    std::vector<uint64_t> AbandonedSeqs;

    bool carriesCalls() const {
      return !this->Calls.empty() || this->HedgedRuns > 0;
    }
  };

  PendingCall *findCall(CallerId Caller);
  void logEvent(const char *Name, const PendingCall &Call, const Refusal &Cause,
                TimePoint Now) const;
  Refusal refusal(Outcome CallOutcome, const std::string &Reason,
                  const std::string &Step, const std::string &Peer) const;
  std::optional<Refusal> check(CallerId Caller, const RequestHead &Head,
                               TimePoint Now) const;
  PendingCall makeCall(const RequestHead &Head, const Route &MatchedRoute,
                       TimePoint Now);
  void routeCall(CallerId Caller, TimePoint Now);
  bool canEndBeforeStop(const PendingCall &Call, TimePoint Now) const;
  bool isNested(const RequestHead &Head) const;
  const Route *findRoute(const RequestHead &Head) const;
  bool gathersBody(const RequestHead &Head) const;
  const Instance *chooseGate(const PendingCall &Call, TimePoint Now);
  const Instance *trialGate(const PendingCall &Call, TimePoint Now) const;
  Quarantine::Decision checkQuarantine(PendingCall &Call, TimePoint Now) const;
  void assign(CallerId Caller, PendingCall &Call, const Instance &Gate,
              TimePoint Now);
  wire::OpenT makeOpenFrame(const PendingCall &Call, const CallId &Id,
                            const std::string &Gate, TimePoint Now) const;
  void sendOpen(CallerId Caller, PendingCall &Call, bool Resume, TimePoint Now);
  void sendBody(PendingCall &Call);
  void leaveGate(CallerId Caller, PendingCall &Call, bool Answered,
                 TimePoint Now);
  void retryOrGiveUp(CallerId Caller, const Refusal &Cause, TimePoint Now);
  void retryElsewhere(CallerId Caller, const Refusal &Cause, TimePoint Now);
  RetryBudget &retryBudget(const std::string &Service);
  double retryReserve() const;
  void findParentRun(PendingCall &Call);
  void recordFirstTry(const PendingCall &Call);
  std::vector<RetryBudget::Cost> nestedCosts(const PendingCall &Call);
  void noteCharged(PendingCall &Call,
                   const std::vector<RetryBudget::Cost> &Costs);
  void refundNestedCosts(PendingCall &Call);
  void setLineage(const PendingCall &Call, wire::OpenT &Open) const;
  bool mayRetry(PendingCall &Call, const Refusal &Cause, TimePoint Now);
  bool spendRetry(PendingCall &Call, const Refusal &Cause, TimePoint Now);
  bool isServiceShedding(const PendingCall &Call, const Refusal &Cause,
                         TimePoint Now) const;
  bool blamesGate(const PendingCall &Call, const Refusal &Cause,
                  TimePoint Now) const;
  Millis retryAfter(const PendingCall &Call, const Refusal &Cause,
                    TimePoint Now);
  Millis waitForFreeGate(const PendingCall &Call, Millis NextFree);
  void recordShedding(const std::string &Gate, uint32_t ShedPercent,
                      TimePoint Now);
  bool countFailure(PendingCall &Call, const Refusal &Cause) const;
  void refuse(CallerId Caller, const Refusal &Cause);
  void cancelAndGiveUp(CallerId Caller, const char *Reason, TimePoint Now);
  void giveUp(CallerId Caller, const Refusal &Cause, TimePoint Now);
  void finish(CallerId Caller, TimePoint Now);
  void removeCall(CallerId Caller);

  void onHello(const std::string &Gate, GateLink &Link,
               const wire::CallHelloT &Hello, TimePoint Now);
  void onHead(const std::string &Gate, const wire::HeadT &Head, TimePoint Now);
  void confirmUpstream(const std::string &Gate, const PendingCall &Call,
                       TimePoint Now);
  bool refuteUpstream(const std::string &Gate, const UpstreamStart &Start,
                      const std::string &Reason, TimePoint Now);
  void noteStatement(const std::string &Gate, const PendingCall &Call,
                     const ResponseHead &Answer);
  void recordRoundTrip(const std::string &Gate, const PendingCall &Call,
                       const wire::HeadT &Head, TimePoint Now);
  void onData(const std::string &Gate, const wire::DataT &Data, TimePoint Now);
  void onFailed(const std::string &Gate, const wire::FailedT &Failed,
                TimePoint Now);
  void onPong(const std::string &Gate, GateLink &Link, const wire::PongT &Pong,
              TimePoint Now);
  void onAdmitted(const std::string &Gate, const wire::AdmittedT &Admitted,
                  TimePoint Now);
  void onCredit(const std::string &Gate, const wire::CreditT &Credit,
                TimePoint Now);
  void connect(const std::string &Gate, GateLink &Link, TimePoint Now);
  void declareLinkDead(const std::string &Gate, GateLink &Link, TimePoint Now);
  int64_t timeoutFactor(const GateLink &Link, TimePoint Now) const;
  void loseLink(const std::string &Gate, GateLink &Link, TimePoint Now);
  void maintainLinks(TimePoint Now);
  void maintainLink(const std::string &Gate, GateLink &Link, TimePoint Now);
  void redial(const std::string &Gate, GateLink &Link, TimePoint Now);
  void reassignWaitingCalls(const std::string &Gate, GateLink &Link,
                            TimePoint Now);
  void settleAbandoned(const std::string &Gate, GateLink &Link, TimePoint Now);
  PendingCall *findDetachedCall(const std::string &Gate, uint64_t Seq);
  void requeueQueriedRuns(const std::string &Gate, GateLink &Link,
                          TimePoint Now);
  bool returnToDetachedRun(CallerId Caller, PendingCall &Call, TimePoint Now);
  void reattach(CallerId Caller, PendingCall &Call, TimePoint Now);
  void dropDetachedRun(PendingCall &Call, TimePoint Now);
  // EntryHedges.cpp.
  bool allowsHedge(const PendingCall &Call) const;
  void armHedge(const PendingCall &Call, TimePoint Now);
  void sendDueHedges(TimePoint Now);
  void sendHedge(CallerId Caller, PendingCall &Call, TimePoint Now);
  bool rejoinFirstRun(const std::string &Gate, PendingCall &Call,
                      TimePoint Now);
  void returnToFirstRun(CallerId Caller, PendingCall &Call, TimePoint Now);
  bool continueFirstRun(CallerId Caller, PendingCall &Call,
                        const Refusal &Cause, bool Answered, TimePoint Now);
  void endFirstRun(PendingCall &Call, const Refusal &Cause, TimePoint Now);
  void loseFirstRun(PendingCall &Call, TimePoint Now);
  void releaseFirstRun(const DetachedRun &Run, bool Answered, TimePoint Now);
  void noteRunFailure(PendingCall &Call, const Refusal &Cause);
  void recordAnswerTime(const PendingCall &Call, TimePoint Now);
  void cancel(const std::string &Gate, uint64_t Seq, const char *Reason);
  void giveUpSearch(const std::string &Gate, GateLink &Link, TimePoint Now);
  std::optional<CallerId> findCallAtGate(const std::string &Gate,
                                         uint64_t Seq) const;

  static constexpr char StepEntry[] = "entry";
  static constexpr char ReasonStopping[] = "stopping";
  static constexpr char StepLink[] = "gate-link";
  static constexpr char ReasonHedgeRefused[] = "hedge-refused";

  Options Opts;
  Hooks Hook;
  const Membership &Fleet;
  LoadBalancer Balancer;
  StatementMemory Statements;
  ConfigPtr ActiveConfig;
  std::map<CallerId, PendingCall> Calls;
  // When each call is to be given up.
  std::multimap<TimePoint, CallerId> Deadlines;
  std::map<uint64_t, CallerId> CallerBySeq;
  // The callers of detached runs, by the sequence number of the run.
  std::map<uint64_t, CallerId> DetachedBySeq;
  std::map<std::string, GateLink> Links;
  std::map<std::string, RetryBudget> RetryBudgets;
  NestedCallEstimator NestedCalls{NestedCallEstimator::Options()};
  TrafficSplitter SplitSchedule;
  RequestAgeEstimator CallAges;
  RetryAllocator ShedRetries;
  NodeRank CallRank;
  HedgePolicy Hedges;
  // From the offer of a call to the end of its answer.
  CompletionTimes Completions;
  // When each run without an answer is to be hedged, by its sequence number;
  // entries of ended runs are skipped.
  std::multimap<TimePoint, uint64_t> HedgeTimers;
  uint64_t LastSeq = 0;
  bool Draining = false;
  TimePoint PauseGraceUntil;
  Counters Counts;
};

} // namespace hickorylift

#endif
