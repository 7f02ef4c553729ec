#ifndef HICKORYLIFT_CALLS_GATE_H
#define HICKORYLIFT_CALLS_GATE_H

#include "calls/Body.h"
#include "calls/Dialect.h"
#include "calls/Message.h"
#include "config/Config.h"
#include "gate/Admission.h"
#include "gate/KeyJudge.h"
#include "gate/RunWatch.h"
#include "gate/TransferTurns.h"

#include <functional>
#include <map>
#include <memory>

// The Gate stands in front of one upstream and takes the calls that entries
// send it. All work for the upstream goes through it.
//
//   Gate At(Options, Hooks);
//   At.configure(Config, Now);             // at each version in force
//   At.frame(Link, Frame, Now);            // from an entry
//   At.upstreamHead(Id, Head, Now);        // from the upstream
//   At.tick(Now);

namespace hickorylift {

class Gate {
public:
  using LinkId = uint64_t;

  struct Options {
    /// This instance's name, for refusals and for the keys' home.
    std::string Self;
    /// The service that the upstream serves; calls for another are refused.
    std::string Service;
    /// Header fields of the deployment.
    Dialect HeaderNames;
    /// Must differ from that of every earlier process in this place: entries
    /// tell by it whether their calls are remembered.
    uint64_t Incarnation = 1;
    /// Seed of the jitter in the advice when to come back.
    uint64_t Seed = 1;
    /// Bytes of a body that may be out without a credit, in each direction
    /// of each call. Bounds the memory for one call.
    uint64_t BodyWindowBytes = 256 * 1024;
    /// Largest piece of a body in one frame.
    size_t MaxPieceBytes = 32 * 1024;
    /// Added to a call's deadline before its id is forgotten. Must cover the
    /// longest that an entry tries to find a call again.
    Millis RetainAfterDeadline{10000};
    /// How long a call that may be repeated runs on after its link was lost.
    /// Must leave the entry time to come back over another; one that does not
    /// is gone, and so is its caller.
    Millis AbandonedGrace{500};
    /// Advice to a caller whose call the upstream turned away although it had a
    /// slot: the next upstream, or the next moment, may take it, so it comes
    /// back while its target can still be met.
    Millis ShedRetryAfter{30};
    /// Ids remembered at once. New calls are refused when full.
    size_t MaxCallRecords = 100000;
    /// All on, but in scenarios.
    Safeguards Guards;
    /// Of the upstream's slots and queue.
    Admission::Options AdmissionOpts;
    /// Of the long bodies that come to the upstream.
    TransferTurns::Options TransferOpts;
    /// Where bodies take this long, they come before the call has a slot. Less
    /// is a small part of most runs, and a body that comes first may come for
    /// nothing, for the slots may be taken when it is there: on fast links that
    /// only sends more bytes between data centres.
    Millis PrefetchThreshold{25};
    /// Of the idempotency keys.
    KeyJudge::Options IdempotencyOpts;
    /// Of what runs at the upstream when it crashes.
    RunWatch::Options CrashDetectorOpts;
    /// Advice to the caller of a suspect that found another one running here,
    /// and no other gate: about a run.
    Millis SuspectRetryAfter{100};
    /// Between two looks at an upstream that is gone.
    Millis ReprobeInterval{100};
  };

  /// What the upstream's side is to do.
  struct Hooks {
    std::function<void(LinkId, wire::CallFrameT)> Send;
    /// Starts a call at the upstream. MayRepeat: a kept connection that dies
    /// may be replaced and the call sent again.
    std::function<void(const CallId &, const RequestHead &, bool MayRepeat)>
        Start;
    std::function<void(const CallId &, std::string_view)> Body;
    std::function<void(const CallId &)> BodyEnd;
    /// Breaks the call off: the upstream sees its connection close.
    std::function<void(const CallId &)> Cancel;
    /// Stops or resumes reading the upstream's answer.
    std::function<void(const CallId &, bool Paused)> PauseAnswer;
    /// A call was answered whole: how long it waited for a slot, and ran.
    std::function<void(Clock::duration Waited, Clock::duration Ran)>
        CallFinished = [](Clock::duration, Clock::duration) {};
    std::function<std::optional<Millis>(TimePoint)> ListAge = [](TimePoint) {
      return Millis(0);
    };
    /// What is known against a request.
    std::function<Quarantine::Verdict(const Fingerprint &, TimePoint)>
        CheckQuarantine = [](const Fingerprint &, TimePoint) {
          return Quarantine::Verdict();
        };
    /// A request ran to an answer.
    std::function<void(const Fingerprint &, TimePoint)> RequestAnswered =
        [](const Fingerprint &, TimePoint) {};
    /// The upstream crashed under these.
    std::function<void(const std::vector<Quarantine::Ran> &, TimePoint)>
        UpstreamCrashed =
            [](const std::vector<Quarantine::Ran> &, TimePoint) {};
    /// Asks the upstream how it is, at this path or, where it is empty, the
    /// usual one; upstreamTold follows, within Slots.Cold.AskAgain or never.
    std::function<void(const std::string &Path)> QueryHealth =
        [](const std::string &) {};
    /// Finds out whether the upstream takes connections; upstreamProbed
    /// follows. Where there is none, no crash is told from a lost answer.
    std::function<void()> Probe;
  };

  struct Counters {
    uint64_t Started = 0;
    uint64_t Answered = 0;
    uint64_t Unknown = 0;
    std::map<std::string, uint64_t> RefusedBy;
  };

  Gate(Options Opts, Hooks Hooks);

  void configure(const ConfigPtr &New, TimePoint Now);
  void membersChanged(const std::vector<const Instance *> &Upstreams,
                      TimePoint Now);
  void linkUp(LinkId Link, TimePoint Now);
  void linkDown(LinkId Link, TimePoint Now);
  void handleFrame(LinkId Link, const wire::CallFrameT &Frame, TimePoint Now);

  void upstreamHead(const CallId &Id, const ResponseHead &Head, TimePoint Now);
  void upstreamData(const CallId &Id, std::string_view Bytes, TimePoint Now);
  void upstreamEnd(const CallId &Id, TimePoint Now);
  /// Sent is false only where it is certain that no byte of the request
  /// reached the upstream.
  void upstreamFailed(const CallId &Id, bool Sent, const Error &Why,
                      TimePoint Now);
  void upstreamProbed(UpstreamPort Found, TimePoint Now);
  /// The upstream has said how long it stays cold.
  void upstreamReported(std::optional<Millis> ColdLeft, TimePoint Now);
  /// A request has gone out to the upstream: of this call, or nobody's, as a
  /// question how the upstream is.
  void requestSent(const CallId &Id, TimePoint Now);
  /// The upstream's side has written this much of the request's body.
  void requestConsumed(const CallId &Id, uint64_t Total, TimePoint Now);

  /// Closes the gate to new work, for one more reason. Calls of which the
  /// upstream has seen nothing are refused; those that run go on.
  void drain(const std::string &By, TimePoint Now);
  /// A reason is gone. Without any, it takes work again and tells the entries.
  void reopen(const std::string &By, TimePoint Now);
  bool draining() const { return this->AdmissionControl.draining(); }
  bool isDrainedBy(const std::string &By) const {
    return this->AdmissionControl.isDrainedBy(By);
  }
  std::string drainReasons() const {
    return this->AdmissionControl.drainedBy();
  }
  /// The upstream may have become cold unseen.
  void suspectRestart(TimePoint Now);
  bool isCold(TimePoint Now) {
    return this->AdmissionControl.coldStart().isCold(Now);
  }
  /// Whether nothing runs, waits, or still has to be told to an entry.
  bool idle() const;
  /// How far the calls are that are not over yet.
  struct UnfinishedCalls {
    size_t Waiting = 0;
    /// Have a slot, and wait for their bodies.
    size_t Admitted = 0;
    size_t Running = 0;
  };
  UnfinishedCalls unfinishedCalls() const;

  /// This process stood still, and what lies in its sockets is of unknown age.
  void processPaused(TimePoint Now);
  void tick(TimePoint Now);

  wire::Load load(TimePoint Now) { return this->AdmissionControl.load(Now); }
  const Counters &counters() const { return this->Counts; }
  size_t callRecordCount() const { return this->Calls.size(); }

private:
  enum class State {
    /// For a slot, or for its body before it asks for one.
    Waiting,
    /// Has a slot and waits for its body; the upstream has seen nothing of it.
    Admitted,
    Running,
    Finished,
    Refused,
  };

  struct CallRecord {
    State Phase = State::Waiting;
    LinkId Link = 0;
    bool Linked = false;
    RequestHead Request;
    // The upstream that the entry means; empty for whichever is there.
    std::string ExpectedUpstream;
    // The entry sends the body only once it is asked to.
    bool EntryHoldsBody = false;
    // Waits for its body, and asks for a slot when that is whole.
    bool Prefetching = false;
    Admission::Ask SlotRequest;
    std::string LimitName;
    std::string IdempotencyKey;
    bool Idempotent = false;
    TimePoint ArrivedAt;
    TimePoint StartedAt;
    TimePoint AnsweredAt;
    TimePoint Deadline;
    ReceiveStream RequestBody;
    std::string BufferedBody;
    bool HaveAnswerHead = false;
    ResponseHead AnswerHead;
    SendStream AnswerBody;
    bool AnswerPaused = false;
    uint64_t AnswerBytes = 0;
    Refusal RefusalDetails;
    // Names it while it runs.
    Fingerprint RequestFingerprint;
    // Upstreams that crashed under it elsewhere.
    unsigned CrashCount = 0;
    // May run beside no other suspect.
    bool Suspected = false;
    // Has started, and its request has not gone out yet.
    bool AwaitingSend = false;
    // Why its connection ended, while it is open whether that was a crash.
    std::optional<Error> ConnectionError;
    std::string RecordedAnswer;
    bool Recordable = true;

    explicit CallRecord(uint64_t Window) : AnswerBody(Window) {}

    /// Whether the upstream has not seen, and so not run, anything of it yet.
    bool isUnstarted() const {
      return this->Phase == State::Waiting || this->Phase == State::Admitted;
    }
  };

  struct LinkState {
    // Set while what arrives was sent before the end of our pause.
    std::optional<uint64_t> PauseBarrier;
  };

  void onOpen(LinkId Link, const wire::OpenT &Open, TimePoint Now);
  void onResume(LinkId Link, const wire::OpenT &Open, TimePoint Now);
  void evaluate(const CallId &Id, CallRecord &One, const wire::OpenT &Open,
                TimePoint Now);
  bool checkIdempotencyKey(const CallId &Id, CallRecord &One, TimePoint Now);
  void replayAnswer(const CallId &Id, CallRecord &One, KeyJudge::Answer Known,
                    TimePoint Now);
  void onSlotGranted(const CallId &Id, CallRecord &One, TimePoint Now);
  void startCall(const CallId &Id, CallRecord &One, TimePoint Now);
  bool checkQuarantine(const CallId &Id, CallRecord &One, TimePoint Now);
  void onConnectionLost(const CallId &Id, CallRecord &One, const Error &Why,
                        TimePoint Now);
  void failDisconnected(const CallId &Id, const char *Reason, TimePoint Now);
  void queryHealthIfNeeded(TimePoint Now);
  void releaseSendReservation(CallRecord &One);
  void markUpstreamGone(TimePoint Now);
  void markUpstreamBack(TimePoint Now);
  void reprobeIfDue(TimePoint Now);
  void startProbe();
  void announceState(TimePoint Now);
  void onData(LinkId Link, const wire::DataT &Data, TimePoint Now);
  bool canBufferBody(const CallRecord &One) const;
  bool shouldPrefetchBody(const CallRecord &One, TimePoint Now) const;
  void prefetchBody(const CallId &Id, CallRecord &One, TimePoint Now);
  void requestSlot(const CallId &Id, CallRecord &One, TimePoint Now);
  void requestBody(const CallId &Id, const CallRecord &One);
  void grantTransfers(TimePoint Now);
  void sendBodyCredit(const CallId &Id, const CallRecord &One);
  void onBufferedBody(const CallId &Id, CallRecord &One, bool Whole,
                      TimePoint Now);
  void forwardBody(const CallId &Id, CallRecord &One, std::string_view Bytes);
  void onCredit(LinkId Link, const wire::CreditT &Credit, TimePoint Now);
  void onCancel(LinkId Link, const wire::CancelT &Cancel, TimePoint Now);
  void refuse(const CallId &Id, CallRecord &One, Refusal Why, TimePoint Now);
  void refuseUnstarted(const std::string &Reason, TimePoint Now);
  void abortCall(const CallId &Id, CallRecord &One, const Refusal &Why,
                 TimePoint Now);
  CallRecord &addRecord(const CallId &Id, Millis Budget, LinkId Link,
                        TimePoint Now);
  void advanceQueue(TimePoint Now);
  bool handleUpstreamRefusal(const CallId &Id, CallRecord &One,
                             const ResponseHead &Head, TimePoint Now);
  void configureAdmission(TimePoint Now);
  void sendHead(const CallId &Id, const CallRecord &One, TimePoint Now);
  void sendAnswer(const CallId &Id, CallRecord &One);
  void sendFailed(const CallId &Id, const CallRecord &One, TimePoint Now);
  void sendPong(LinkId Link, uint64_t Nonce, TimePoint Now);
  void abortAbandonedCalls(TimePoint Now);
  void onTimer(const CallId &Id, TimePoint Now);
  CallRecord *findCall(const CallId &Id);
  CallId callIdOn(LinkId Link, uint64_t Seq) const;
  const Limit *findLimit(const std::string &Name) const;

  static constexpr char StepAdmission[] = "admission";
  static constexpr char StepUpstream[] = "upstream";
  static constexpr char ReasonUpstreamGone[] = "upstream-gone";

  Options Opts;
  Hooks Hook;
  Admission AdmissionControl;
  KeyJudge KeyChecker;
  TransferTurns Transfers;
  RunWatch Runs;
  // Nobody takes connections at the upstream's address.
  bool UpstreamGone = false;
  // A probe is under way, or found nothing clear and is to be repeated.
  bool ProbePending = false;
  bool ProbeAgain = false;
  TimePoint NextProbe;
  ConfigPtr ActiveConfig;
  const Service *ServiceConfig = nullptr;
  // Of this upstream, by the list; 0 where it does not say.
  uint32_t ListedSlots = 0;
  // The upstream that the list named last, where it named one.
  std::optional<Instance> ListedInstance;
  // Calls whose link was lost, and when.
  std::map<CallId, TimePoint> LinkLostAt;
  std::map<CallId, CallRecord> Calls;
  // When each call is to be looked at next: first at its deadline, then when
  // it may be forgotten.
  std::multimap<TimePoint, CallId> Timers;
  std::map<LinkId, LinkState> Links;
  // The entry at the other end of each link.
  std::map<LinkId, uint64_t> EntryByLink;
  uint64_t LastNonce = 0;
  Counters Counts;
};

} // namespace hickorylift

#endif
