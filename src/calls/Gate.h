#ifndef HICKORYLIFT_CALLS_GATE_H
#define HICKORYLIFT_CALLS_GATE_H

#include "budget/ResourceBudget.h"
#include "calls/Body.h"
#include "calls/Dialect.h"
#include "calls/Message.h"
#include "calls/UpstreamStatement.h"
#include "config/Config.h"
#include "gate/Admission.h"
#include "gate/CrashDetector.h"
#include "gate/IdempotencyChecker.h"
#include "gate/ShedDetector.h"
#include "gate/SlowdownDetector.h"
#include "gate/TransferScheduler.h"
#include "lineage/RunRegistry.h"
#include "routing/CompletionTimes.h"

#include <functional>
#include <map>
#include <memory>

// A Gate runs on the same machine as one upstream and receives the calls that
// entries (the callers' side, see Entry) send to it over links. Every call to
// the upstream passes through its gate, which decides whether the call runs
// now, waits for a slot or is refused, and which remembers each call so that
// none runs twice. It does no I/O itself: it is told of events by its methods
// and acts through its Hooks.
//
//   Gate UpstreamGate(Options, Hooks);
//   UpstreamGate.configure(Config, Now);            // each new configuration
//   UpstreamGate.handleFrame(Link, Frame, Now);     // from an entry
//   UpstreamGate.upstreamHead(Id, Head, Now);       // from the upstream
//   UpstreamGate.tick(Now);                         // at short intervals

namespace hickorylift {

class Gate {
public:
  using LinkId = uint64_t;

  struct Options {
    /// This instance's name. Refusals carry it, and it decides which
    /// idempotency keys have their home here.
    std::string Self;
    /// The service that the upstream serves; calls for another are refused.
    std::string Service;
    /// Names of the header fields that this deployment uses.
    Dialect HeaderNames;
    /// Must differ from the incarnation of every earlier process of this
    /// instance: an entry that sees it change knows that the gate has no
    /// record of earlier calls.
    uint64_t Incarnation = 1;
    /// Seed of the jitter in retry-after hints.
    uint64_t Seed = 1;
    /// Flow-control window: bytes of a body that may be sent before the
    /// receiver grants credit, in each direction of each call. Bounds the
    /// memory used for one call.
    uint64_t BodyWindowBytes = 256 * 1024;
    /// Most bytes of a body in one Data frame.
    size_t MaxPieceBytes = 32 * 1024;
    /// How long after its deadline a call's record is kept. Must be at least
    /// the time for which an entry tries to find a call again over a new link.
    Millis RetainAfterDeadline{10000};
    /// How long an idempotent call keeps running after its link was lost. Must
    /// leave the entry time to resume the call over a new link. An entry that
    /// does not resume it has died or is unreachable, and the caller has lost
    /// its connection with it.
    Millis AbandonedGrace{500};
    /// The same if the entry has announced that it will resume its calls. At
    /// least as long as it searches for them (Entry::Options::SearchTimeout):
    /// over a congested network link a new connection takes a second or two.
    Millis ReconnectGrace{3000};
    /// Retry-after hint for a call that had a slot and that the upstream shed.
    /// Another upstream, or the same one a moment later, may accept the call,
    /// so the hint is short enough for a retry to meet the call's latency
    /// target.
    Millis ShedRetryAfter{30};
    /// Bytes of a request's body that the upstream may have taken without a
    /// report by requestConsumed().
    uint64_t MaxUnreportedBytes = 4 * 1024;
    /// A call that holds a slot and whose entry has neither sent nor taken
    /// MinProgressBytes for this long is ended, if another call was refused for
    /// want of a slot. Callers take an answer in steps of up to 64 KB.
    Millis StallTimeout{5000};
    uint64_t MinProgressBytes = 4 * 1024;
    /// Calls remembered at once, some 200 bytes each once they have ended. New
    /// calls are refused above this. Only calls that may have run are
    /// remembered past their end, so this is the number that the upstream may
    /// run in the time for which they are: 3,000 a second.
    size_t MaxCallRecords = 50000;
    /// All are on, except in scenarios that show what one of them prevents.
    Safeguards Guards;
    /// Options for the upstream's slots and the queue of calls for them.
    Admission::Options AdmissionOpts;
    /// Options for scheduling the transfers of long request bodies.
    TransferScheduler::Options TransferOpts;
    /// If a body usually takes at least this long to transfer, it is fetched
    /// before its call asks for a slot. A shorter transfer is a small part of
    /// most runs. A prefetched body may have been sent for nothing, because
    /// all slots may be in use when it has arrived; on fast links prefetching
    /// would only add traffic between data centres.
    Millis PrefetchThreshold{25};
    /// Options for recording idempotency keys.
    IdempotencyChecker::Options IdempotencyOpts;
    /// Options for telling a crash of the upstream from a lost connection.
    CrashDetector::Options CrashDetectorOpts;
    /// Options for measuring how often the upstream sheds calls although it has
    /// free slots.
    ShedDetector::Options ShedDetectorOpts;
    /// Retry-after hint for a call of a suspect request that was refused
    /// because another suspect runs here, and that found no other gate. About
    /// the length of one run.
    Millis SuspectRetryAfter{100};
    /// Interval between two probes of an upstream that is gone.
    Millis ReprobeInterval{100};
    /// Whether the gate measures slowdowns of the upstream and reports them.
    bool ReportSlowdown = false;
    /// Options for measuring slowdowns.
    SlowdownDetector::Options SlowdownOpts;
    /// The upstream counts as slow if its runs take longer than this percentage
    /// of their usual time.
    uint32_t SlowPercent = 150;
    /// For this long after its last answer the upstream is taken for the one
    /// that the call was meant for.
    Millis ConfirmationPeriod{3000};
    /// Shortest time between two pongs that report a slowdown on one link.
    Millis SlowdownPongInterval{200};
  };

  /// Actions that the gate asks its owner to perform.
  struct Hooks {
    /// Sends a frame to the entry at the other end of the link.
    std::function<void(LinkId, wire::CallFrameT)> Send;
    /// Starts a call at the upstream. With MayRepeat, the call may be sent
    /// again over a new connection if a kept-alive one fails.
    std::function<void(const CallId &, const RequestHead &, bool MayRepeat)>
        Start;
    /// Sends a part of the request body to the upstream.
    std::function<void(const CallId &, std::string_view)> Body;
    /// The request body is complete.
    std::function<void(const CallId &)> BodyEnd;
    /// Aborts the call by closing its connection to the upstream.
    std::function<void(const CallId &)> Cancel;
    /// Pauses or resumes reading the upstream's answer.
    std::function<void(const CallId &, bool Paused)> PauseAnswer;
    /// A call was answered completely. Reports how long it waited for a slot
    /// and how long it ran.
    std::function<void(Clock::duration Waited, Clock::duration Ran)>
        CallFinished = [](Clock::duration, Clock::duration) {};
    /// When the process ends, if a planned stop has begun. A call that would
    /// last longer is refused as not run.
    std::function<std::optional<TimePoint>()> StopsAt = [] {
      return std::optional<TimePoint>();
    };
    /// Age of the oldest instance list; nothing while one is unknown.
    std::function<std::optional<Millis>(TimePoint)> ListAge = [](TimePoint) {
      return Millis(0);
    };
    /// Whether a request is quarantined or suspected of crashing upstreams.
    std::function<Quarantine::Decision(const Fingerprint &, TimePoint)>
        CheckQuarantine = [](const Fingerprint &, TimePoint) {
          return Quarantine::Decision();
        };
    /// The upstream answered a request completely.
    std::function<void(const Fingerprint &, TimePoint)> RequestAnswered =
        [](const Fingerprint &, TimePoint) {};
    /// The upstream has turned away a call as meant for another one, of this
    /// name.
    std::function<void(const std::string &Upstream, TimePoint)>
        UpstreamDisowned = [](const std::string &, TimePoint) {};
    /// The upstream crashed while these requests were running.
    std::function<void(const std::vector<Quarantine::RunningRequest> &,
                       TimePoint)>
        UpstreamCrashed =
            [](const std::vector<Quarantine::RunningRequest> &, TimePoint) {};
    /// The upstream's answers state something else than before. Called before
    /// the gate closes for it, and after it opens.
    std::function<void(const UpstreamStatement &Before,
                       const UpstreamStatement &After, TimePoint)>
        StatementChanged = [](const UpstreamStatement &,
                              const UpstreamStatement &, TimePoint) {};
    /// The upstream has begun to shed calls although it has free slots, or has
    /// stopped. ShedPercent is zero if it has stopped.
    std::function<void(uint32_t ShedPercent, TimePoint)> SheddingChanged =
        [](uint32_t, TimePoint) {};
    /// A call starts at the upstream. RequestId is the id that the caller gave
    /// the request; empty if it gave none. RunEnded is called later.
    std::function<void(const CallId &, const std::string &RequestId,
                       const RunRegistry::Run &)>
        RunStarted = [](const CallId &, const std::string &,
                        const RunRegistry::Run &) {};
    /// The call has ended, or will not run. Also called for calls that were
    /// never started.
    std::function<void(const CallId &)> RunEnded = [](const CallId &) {};
    /// What usage() says of this call may have changed.
    std::function<void(const CallId &)> UsageChanged = [](const CallId &) {};
    /// The calls that a run has caused so far.
    std::function<ServiceCalls(const CallId &)> NestedCalls =
        [](const CallId &) { return ServiceCalls(); };
    /// An answer contains a statement that can't be read.
    std::function<void(const std::string &Fault, TimePoint)>
        StatementUnreadable = [](const std::string &, TimePoint) {};
    /// Calls have begun to find only reserved slots free, or no longer do.
    PriorityReserve::ChangeHook ReserveChanged =
        [](const PriorityReserve::Change &, TimePoint) {};
    /// The upstream has become slow or has recovered. Percent is how long runs
    /// take, compared with their usual time; 0 if a new start of the upstream
    /// has ended the slowdown.
    std::function<void(bool Slow, uint32_t Percent, TimePoint)>
        SlowdownChanged = [](bool, uint32_t, TimePoint) {};
    /// Queries the upstream's health endpoint at this path, or at the default
    /// one if the path is empty. The owner calls upstreamReported() with the
    /// result within ColdStartLimiter::Options::QueryInterval, or never.
    std::function<void(const std::string &Path)> QueryHealth =
        [](const std::string &) {};
    /// Checks whether the upstream accepts connections; the owner then calls
    /// upstreamProbed(). Without this hook, a crash of the upstream is treated
    /// like a lost answer.
    std::function<void()> Probe;
  };

  /// The reason for which the gate is closed once its upstream has stated that
  /// it is leaving.
  static constexpr char DrainedByStatement[] = "answer";

  /// Totals since the gate was created.
  struct Counters {
    uint64_t Started = 0;
    uint64_t Answered = 0;
    /// Calls that ended with an unknown outcome.
    uint64_t Unknown = 0;
    /// Calls refused as not run, by reason.
    std::map<std::string, uint64_t> RefusedBy;
    /// Pongs sent because the upstream became slow or recovered.
    uint64_t SlowdownPongs = 0;
  };

  Gate(Options GivenOpts, Hooks GivenHooks);

  void configure(const ConfigPtr &NewConfig, TimePoint Now);
  /// The instance list has changed; Upstreams are those of this service.
  void membersChanged(const std::vector<const Instance *> &Upstreams,
                      TimePoint Now);
  /// An entry has opened a link to this gate.
  void linkUp(LinkId Link, TimePoint Now);
  void linkDown(LinkId Link, TimePoint Now);
  void handleFrame(LinkId Link, const wire::CallFrameT &Frame, TimePoint Now);

  void upstreamHead(const CallId &Id, const ResponseHead &Head, TimePoint Now);
  void upstreamData(const CallId &Id, std::string_view Bytes, TimePoint Now);
  void upstreamEnd(const CallId &Id, TimePoint Now);
  /// The call ended without an answer. Sent is false only if it is certain
  /// that no byte of the request reached the upstream.
  void upstreamFailed(const CallId &Id, bool Sent, const Error &Cause,
                      TimePoint Now);
  /// The result of Hooks::Probe.
  void upstreamProbed(UpstreamProbeResult Probed, TimePoint Now);
  /// The upstream has reported how long it stays cold; nothing if it did not
  /// say.
  void upstreamReported(std::optional<Millis> ColdLeft, TimePoint Now);
  /// A request has been written to the upstream: that of this call, or a
  /// health query if the id belongs to no call.
  void requestSent(const CallId &Id, TimePoint Now);
  /// Total bytes of the call's request body written to the upstream so far.
  void requestConsumed(const CallId &Id, uint64_t Total, TimePoint Now);

  /// Adds a reason to close the gate to new calls. Calls of which the upstream
  /// has received nothing are refused; running calls continue.
  void drain(const std::string &Reason, TimePoint Now);
  /// Removes a reason. When none is left, the gate accepts calls again and
  /// notifies the entries.
  void reopen(const std::string &Reason, TimePoint Now);
  bool draining() const { return this->AdmissionControl.draining(); }
  bool isDrainedBy(const std::string &Reason) const {
    return this->AdmissionControl.isDrainedBy(Reason);
  }
  std::string drainReasons() const {
    return this->AdmissionControl.drainReasons();
  }
  /// The upstream may have become cold without the gate noticing.
  void suspectRestart(TimePoint Now);
  bool isCold(TimePoint Now) {
    return this->AdmissionControl.coldStart().isCold(Now);
  }
  /// What the upstream states in its answers.
  const UpstreamStatement &upstreamStatement() const { return this->Stated; }
  /// Whether no call runs or waits and no answer is still to be sent to an
  /// entry.
  bool idle() const;
  /// Whether the upstream has answered a call that was meant for this one
  /// within ConfirmationPeriod, and has not failed since.
  bool isConfirmed(const Instance &Of) const {
    return !this->AnsweredBy.empty() && this->AnsweredBy == Of.Upstream;
  }
  /// Counts of the calls that have not ended, by state.
  struct UnfinishedCalls {
    size_t Waiting = 0;
    /// Have a slot and wait for their request bodies.
    size_t Admitted = 0;
    size_t Running = 0;
  };
  /// Bytes of memory that the heads and bodies of calls take up, also of those
  /// that have ended and are still remembered.
  size_t bufferedBytes() const;
  /// What this gate holds for a call; nothing once it has ended and its answer
  /// was delivered, or if it is unknown.
  std::optional<ResourceBudget::Usage> usage(const CallId &Id) const;
  /// Ends a call because this process holds too much for others. It is refused
  /// as not run if nothing of it has reached the upstream.
  void evict(const CallId &Id, TimePoint Now);
  UnfinishedCalls unfinishedCalls() const;

  /// The process was paused: frames already in its sockets are of unknown age.
  void processPaused(TimePoint Now);
  /// Handles everything that is due: deadlines, probes, queued calls.
  void tick(TimePoint Now);

  wire::Load load(TimePoint Now) { return this->AdmissionControl.load(Now); }
  /// Share of recent calls that the upstream refused without running them while
  /// it had free slots, as a percentage; zero if there were none.
  uint32_t shedPercent(TimePoint Now) const {
    return this->Shedding.shedPercent(Now);
  }
  /// See Admission::queuedPastTarget().
  uint64_t queuedPastTarget() const {
    return this->AdmissionControl.queuedPastTarget();
  }
  PriorityReserve &priorityReserve() {
    return this->AdmissionControl.priorityReserve();
  }
  /// How long runs take at this moment, as a percentage of the usual run time;
  /// 0 if unknown or not measured.
  uint32_t slowdownPercent(TimePoint Now);
  const Counters &counters() const { return this->Counts; }
  size_t callRecordCount() const {
    return this->Calls.size() + this->Ended.size();
  }

private:
  enum class State {
    /// Waits for a slot, or for its body before it asks for a slot.
    Waiting,
    /// Has a slot and waits for its body. The upstream has received nothing.
    Admitted,
    Running,
    Finished,
    /// Ended without an answer: refused before it ran, or aborted.
    Refused,
  };

  /// What the gate knows of one call, until some time after its deadline.
  struct CallRecord {
    State Phase = State::Waiting;
    // Its Open frame has come, so no copy of it is still on its way.
    bool Arrived = false;
    // Its entry in Timers.
    std::multimap<TimePoint, CallId>::iterator Timer;
    LinkId Link = 0;
    bool Linked = false;
    RequestHead Request;
    // The upstream process that the entry chose; empty for any.
    std::string ExpectedUpstream;
    // The entry sends the body only when the gate requests it.
    bool EntryHoldsBody = false;
    // Waits for its body and asks for a slot when that is complete.
    bool Prefetching = false;
    Admission::Request SlotRequest;
    std::string LimitName;
    std::string IdempotencyKey;
    bool Idempotent = false;
    // The call, or the run that makes it, was sent to another upstream before.
    bool Repeat = false;
    TimePoint ArrivedAt;
    TimePoint StartedAt;
    TimePoint AnsweredAt;
    TimePoint Deadline;
    ReceiveStream RequestBody;
    // Bytes of the request's body that the upstream has taken.
    uint64_t BodyConsumed = 0;
    // The part of the body that arrived before the call was started.
    std::string BufferedBody;
    bool HaveAnswerHead = false;
    ResponseHead AnswerHead;
    // The upstream refused it without running it although it had a free slot.
    bool ShedWithFreeSlot = false;
    // The calls that the run had caused when its answer began.
    ServiceCalls NestedCalls;
    SendStream AnswerBody;
    bool AnswerPaused = false;
    uint64_t AnswerBytes = 0;
    Refusal RefusalDetails;
    // Identifies the request to crash detection and quarantine.
    Fingerprint RequestFingerprint;
    // Upstreams at other gates that crashed while running this call.
    unsigned CrashCount = 0;
    // Must not run at the same time as another suspect request.
    bool Suspected = false;
    // Was started, and its request has not been written to the upstream yet.
    bool AwaitingSend = false;
    // Why its connection ended, while it is not known yet whether the upstream
    // crashed.
    std::optional<Error> ConnectionError;
    // The answer's body, kept to replay it for the idempotency key.
    std::string RecordedAnswer;
    // False once the answer is too long to be replayed.
    bool Recordable = true;

    explicit CallRecord(uint64_t Window) : AnswerBody(Window) {}

    /// Whether the upstream has received nothing of the call yet, and so has
    /// not run any part of it.
    bool isUnstarted() const {
      return this->Phase == State::Waiting || this->Phase == State::Admitted;
    }
  };

  /// What is remembered of a call that may have run, after its end.
  struct EndedCall {
    Outcome CallOutcome = Outcome::Unknown;
    std::string Reason;
  };

  /// How far a call that holds a slot has got.
  struct SlotProgress {
    uint64_t Bytes = 0;
    TimePoint Since;
  };

  struct LinkState {
    // Nonce of the ping sent after a pause of this process. Until its pong
    // arrives, frames on the link may have been sent before the pause ended.
    std::optional<uint64_t> PauseBarrier;
    // Whether the last known slowdown sent on this link exceeded SlowPercent,
    // and when a pong was last sent because that changed.
    bool ReportedSlow = false;
    std::optional<TimePoint> SlowdownPongAt;
    // The entry has announced that it will resume its calls over a new link.
    bool EntryReconnects = false;
  };

  void onOpen(LinkId Link, const wire::OpenT &Open, TimePoint Now);
  void onResume(LinkId Link, const wire::OpenT &Open, TimePoint Now);
  void evaluate(const CallId &Id, CallRecord &Call, const wire::OpenT &Open,
                TimePoint Now);
  bool checkIdempotencyKey(const CallId &Id, CallRecord &Call, TimePoint Now);
  void replayAnswer(const CallId &Id, CallRecord &Call,
                    IdempotencyChecker::Result Recorded, TimePoint Now);
  void onSlotGranted(const CallId &Id, CallRecord &Call, TimePoint Now);
  void startCall(const CallId &Id, CallRecord &Call, TimePoint Now);
  bool checkQuarantine(const CallId &Id, CallRecord &Call, TimePoint Now);
  void onConnectionLost(const CallId &Id, CallRecord &Call, const Error &Cause,
                        TimePoint Now);
  void failDisconnected(const CallId &Id, const char *Reason, TimePoint Now);
  void queryHealthIfNeeded(TimePoint Now);
  void releaseSendReservation(CallRecord &Call);
  void markUpstreamGone(TimePoint Now);
  void markUpstreamBack(TimePoint Now);
  void noteStatement(const ResponseHead &Head, TimePoint Now);
  void setStatement(const UpstreamStatement &New, TimePoint Now);
  void forgetStatement(TimePoint Now);
  void forgetUnlistedUpstream(const std::vector<const Instance *> &Listed,
                              TimePoint Now);
  void takeRemembered(const wire::CallHelloT &Hello, TimePoint Now);
  void reprobeIfDue(TimePoint Now);
  void startProbe();
  void announceState(TimePoint Now);
  void onData(LinkId Link, const wire::DataT &Data, TimePoint Now);
  bool canBufferBody(const CallRecord &Call) const;
  bool shouldPrefetchBody(const CallRecord &Call, TimePoint Now) const;
  void prefetchBody(const CallId &Id, CallRecord &Call, TimePoint Now);
  bool canEndBeforeStop(const std::string &Route, const CallRecord &Call,
                        TimePoint Now) const;
  void requestSlot(const CallId &Id, CallRecord &Call, TimePoint Now);
  void requestBody(const CallId &Id, const CallRecord &Call);
  void grantTransfers(TimePoint Now);
  // GateRecords.cpp.
  void noteEnded(const CallId &Id);
  void compactRecords(TimePoint Now);
  void compactRecord(const CallId &Id, CallRecord &Call);
  bool isKnown(const CallId &Id) const;
  bool resumeEnded(LinkId Link, const CallId &Id);
  // GateStalls.cpp.
  void endStalledCalls(TimePoint Now);
  void noteProgress(TimePoint Now);
  void endStalledCall(const CallId &Id, CallRecord &Call, TimePoint Now);
  void releaseContents(CallRecord &Call) const;
  void dropAnswer(const CallId &Id, CallRecord &Call, const char *Reason,
                  TimePoint Now);
  bool entryActs(const CallRecord &Call) const;
  static size_t contentBytes(const CallRecord &Call);
  void sendBodyCredit(const CallId &Id, const CallRecord &Call);
  void onBufferedBody(const CallId &Id, CallRecord &Call, bool Complete,
                      TimePoint Now);
  void forwardBody(const CallId &Id, CallRecord &Call, std::string_view Bytes);
  void onCredit(LinkId Link, const wire::CreditT &Credit, TimePoint Now);
  void onCancel(LinkId Link, const wire::CancelT &Cancel, TimePoint Now);
  void refuse(const CallId &Id, CallRecord &Call, Refusal Details,
              TimePoint Now);
  void refuseUnstarted(const std::string &Reason, TimePoint Now);
  void abortCall(const CallId &Id, CallRecord &Call, const Refusal &Details,
                 TimePoint Now);
  CallRecord &addRecord(const CallId &Id, Millis Budget, LinkId Link,
                        TimePoint Now);
  void advanceQueue(TimePoint Now);
  bool handleUpstreamRefusal(const CallId &Id, CallRecord &Call,
                             const ResponseHead &Head, TimePoint Now);
  bool isMarkedNotRun(const ResponseHead &Head) const;
  void recordShedding(CallRecord &Call, const ResponseHead &Head,
                      TimePoint Now);
  void noteShedding(TimePoint Now);
  void configureAdmission(TimePoint Now);
  void sendHead(const CallId &Id, const CallRecord &Call, TimePoint Now);
  void sendAnswer(const CallId &Id, CallRecord &Call);
  void sendFailed(const CallId &Id, const CallRecord &Call, TimePoint Now);
  void sendPong(LinkId Link, uint64_t Nonce, TimePoint Now);
  void noteRunStarted(const CallId &Id, const CallRecord &Call, TimePoint Now);
  void noteRunEnded(const CallId &Id, SlowdownDetector::RunEnd End,
                    TimePoint Now);
  uint32_t reportSlowdown(LinkId Link, TimePoint Now);
  void checkSlowdown(bool Retry, TimePoint Now);
  void announceSlowdown(TimePoint Now);
  void forgetSlowdown(TimePoint Now);
  void abortAbandonedCalls(TimePoint Now);
  void onTimer(const CallId &Id, TimePoint Now);
  CallRecord *findCall(const CallId &Id);
  CallId callIdOn(LinkId Link, uint64_t Seq) const;
  const Limit *findLimit(const std::string &Name) const;

  static constexpr char StepAdmission[] = "admission";
  static constexpr char StepUpstream[] = "upstream";
  static constexpr char ReasonUpstreamGone[] = "upstream-gone";
  static constexpr char ReasonStopping[] = "stopping";
  static constexpr char ReasonStalled[] = "caller-stalled";
  static constexpr char ReasonOverload[] = "overload";
  static constexpr char ReasonEvicted[] = "evicted";
  static constexpr char ReasonHedgeRefused[] = "hedge-refused";

  Options Opts;
  Hooks Hook;
  Admission AdmissionControl;
  IdempotencyChecker KeyChecker;
  // From the start of a call to the end of its answer.
  CompletionTimes Completions;
  // The upstream that the last answered call was meant for, and when it was
  // answered; empty if that is too long ago.
  std::string AnsweredBy;
  TimePoint AnsweredAt;
  TransferScheduler Transfers;
  CrashDetector Runs;
  ShedDetector Shedding;
  // Whether the upstream was last reported as shedding.
  bool ReportedShedding = false;
  SlowdownDetector Slowdowns;
  // Whether the last known slowdown exceeded SlowPercent.
  bool UpstreamSlow = false;
  // Nothing accepts connections at the upstream's address.
  bool UpstreamGone = false;
  // A probe is in progress.
  bool ProbePending = false;
  // The last probe was inconclusive and is to be repeated.
  bool ProbeAgain = false;
  TimePoint NextProbe;
  ConfigPtr ActiveConfig;
  const Service *ServiceConfig = nullptr;
  // This upstream's slots according to the instance list; 0 if not listed.
  uint32_t ListedSlots = 0;
  // This instance's entry in the last list that contained one.
  std::optional<Instance> ListedInstance;
  // What the upstream states, by its answers or as an entry remembers it.
  UpstreamStatement Stated;
  // Whether an answer of this start of the upstream has been read.
  bool HeardUpstream = false;
  // The start to which a remembered statement belongs, until an answer is read.
  std::optional<std::pair<std::string, uint64_t>> RememberedStart;
  // Running idempotent calls whose link was lost, and when they are aborted if
  // no entry has resumed them by then.
  std::map<CallId, TimePoint> AbandonAt;
  std::map<CallId, CallRecord> Calls;
  // Calls that have ended and whose records were compacted.
  std::map<CallId, EndedCall> Ended;
  // Calls that have ended since the last tick.
  std::vector<CallId> EndedSinceTick;
  // Calls that have got a slot; those that have ended since are removed by the
  // next tick.
  std::map<CallId, SlotProgress> SlotHolders;
  // Calls refused for want of capacity since the last tick.
  size_t CapacityRefusals = 0;
  // When each call is checked next: first at its deadline, then when its
  // record may be removed.
  std::multimap<TimePoint, CallId> Timers;
  std::map<LinkId, LinkState> Links;
  // Incarnation of the entry at the other end of each link.
  std::map<LinkId, uint64_t> EntryByLink;
  uint64_t LastNonce = 0;
  Counters Counts;
};

} // namespace hickorylift

#endif
