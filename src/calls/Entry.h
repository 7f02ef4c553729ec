#ifndef HICKORYLIFT_CALLS_ENTRY_H
#define HICKORYLIFT_CALLS_ENTRY_H

#include "calls/Body.h"
#include "calls/Dialect.h"
#include "calls/Message.h"
#include "config/Config.h"
#include "membership/Membership.h"
#include "quarantine/Quarantine.h"
#include "routing/AgeEstimate.h"
#include "routing/Chooser.h"
#include "routing/SplitTurns.h"
#include "routing/TurnRank.h"

#include <functional>
#include <map>

// The Entry takes requests from callers and carries each to one gate at a
// time, until it is answered, proved not run, or its outcome is unknown.
//
//   Entry From(Options, Hooks, Fleet);
//   From.configure(Config, Now);
//   From.request(Caller, Head, Now);        // a caller's request
//   From.body(Caller, Bytes, Now); From.bodyEnd(Caller, Now);
//   From.gateUp("portal-2", Incarnation, Now);
//   From.frame("portal-2", Frame, Now);
//   From.tick(Now);

namespace hickorylift {

class Entry {
public:
  /// A caller's request at this entry; chosen by the HTTP side.
  using CallerId = uint64_t;

  struct Options {
    /// This instance's name, for refusals and to know its own upstream.
    std::string Self;
    /// Gates of the same one are preferred.
    std::string DataCentre;
    /// The service of this instance: where requests that enter here come from.
    std::string Service;
    /// Header fields of the deployment.
    Dialect HeaderNames;
    /// Must differ from that of every earlier process in this place: gates
    /// remember calls by it.
    uint64_t Incarnation = 1;
    /// Seed of the draw among gates.
    uint64_t Seed = 1;
    /// Bytes of a request's body that are read ahead of the upstream, at most.
    /// Must be more than GatherBytes.
    uint64_t ReadAheadBytes = 256 * 1024;
    /// Bytes of a request's body that may be out without a credit. All that
    /// comes to a gate shares its machine's link, and a call of 1 KB waits
    /// there behind whatever was sent before it: 70 ms behind a body of 60 KB
    /// on a link of 7 Mbit/s. This much still fills such a link while a credit
    /// is on its way.
    uint64_t BodyWindowBytes = 16 * 1024;
    /// Largest piece of a body in one frame.
    size_t MaxPieceBytes = 32 * 1024;
    /// A body of known length up to this is read whole before the call is
    /// sent: a caller that sends slowly then holds no slot, and the gate gets
    /// the call in one piece.
    int64_t GatherBytes = 32 * 1024;
    /// A longer body is sent only once the gate has started the call. A refused
    /// call then costs no bytes, and a waiting one no memory at the gate; the
    /// upstream waits for one way there and back.
    int64_t ImmediateBodyBytes = 16 * 1024;
    /// Calls at once; more are refused as not run.
    size_t MaxCalls = 4096;
    /// Between two pings of a link that carries calls, and how long one may
    /// stay unanswered before the link is condemned and another is tried.
    Millis PingInterval{500};
    Millis LivenessTimeout{1500};
    /// A link that was condemned for its silence may be one whose way is
    /// narrow. For this long the next to the same gate gets twice the time, and
    /// four times after another: as with a sender's timeout in TCP, a limit
    /// that proved too short must grow, or every link is condemned in turn and
    /// each new one carries all the calls again.
    Millis TimeoutBackoffPeriod{10000};
    /// How long a gate that is gone is tried again, to find out what became
    /// of the calls that it had.
    Millis SearchTimeout{3000};
    /// How long after a pause a call that must not repeat is refused: its
    /// caller may have given up while the bytes lay in the socket.
    Millis PauseGrace{50};
    /// A link on which the gate has not said its name by then is given up.
    Millis ConnectTimeout{2500};
    /// A call that waits for a link to be made goes elsewhere after this. The
    /// way takes milliseconds; a machine that is gone does not answer at all.
    Millis MaxConnectWait{80};
    /// Between two attempts to reach a gate again that no call waits for, and
    /// for how long.
    Millis RedialInterval{250};
    Millis RedialPeriod{15000};
    /// A link without calls is closed after this.
    Millis IdleLinkTimeout{60000};
    /// Gates that one call may be offered to in all. Those that refuse it
    /// before it reaches an upstream count here, and not as tries of the
    /// route's own number.
    uint32_t MaxOffers = 4;
    /// Upstreams that may crash under one attempt, whatever its route allows:
    /// as many as it takes to hold its request. The last of them is its trial.
    uint32_t MaxCrashes = 3;
    /// Advice to callers that are refused before a gate is chosen.
    Millis RetryAfter{1000};
    /// When callers of a node that holds no version yet should come back, and
    /// over how long they are spread: a version is in force 0.3 to 0.9 s after
    /// a process has started, and many callers may come once again only.
    Millis StartRetryAfter{400};
    Millis StartRetryJitter{300};
    /// Retries in reserve for one service, summed over all nodes: each keeps
    /// its part of them. Zero for ten at each node, however many there are.
    double FleetRetryReserve = 0;
    /// Retries for each hundred first tries, where that is less than what the
    /// retry policy says.
    double MaxRetryPercent = 100;
    /// Calls of one lost link that are cancelled when it is back; those over
    /// this run to their deadlines.
    size_t MaxAbandonedCalls = 1000;
    /// Of the choice among gates.
    Chooser::Options ChooserOptions;
    /// Of the order of this node's calls at gates that are short of room.
    TurnRank::Options RankOptions;
    /// All on, but in scenarios.
    Safeguards Guards;
  };

  /// A decision about one call, for the log.
  struct CallEvent {
    /// "call-refused", "call-retried", "call-unknown", "call-broken",
    /// "call-searching", "call-resumed", "caller-gone".
    const char *Name = "";
    /// As the caller named the attempt; empty where it did not.
    std::string RequestId;
    std::string Route;
    std::string Gate;
    /// Of the gate's refusal or of ours.
    std::string Reason;
    std::string Step;
    /// Version that the call goes by; 0 where none was in force.
    uint64_t Version = 0;
    uint32_t Offers = 0;
    /// Since the request came in, and until its deadline.
    Millis Age{0};
    Millis TimeLeft{0};
  };

  struct Hooks {
    std::function<void(const CallEvent &, TimePoint)> LogEvent =
        [](const CallEvent &, TimePoint) {};
    /// A call is over: how long its caller waited, and whether for an answer.
    std::function<void(Clock::duration, bool Answered)> CallFinished =
        [](Clock::duration, bool) {};
    /// Opens a call link to a gate; gateUp or gateDown follows.
    std::function<void(const Instance &)> Connect;
    std::function<void(const std::string &Gate, wire::CallFrameT)> Send;
    /// Closes the link to a gate; gateDown does not follow.
    std::function<void(const std::string &Gate)> Close;
    std::function<void(CallerId, const ResponseHead &)> Head;
    std::function<void(CallerId, std::string_view)> Body;
    std::function<void(CallerId)> BodyEnd;
    /// The answer breaks off after its head: cut the caller's connection.
    std::function<void(CallerId, const Refusal &)> Abort;
    std::function<void(CallerId, const Refusal &)> Refuse;
    /// Stops or resumes reading the request's body from the caller.
    std::function<void(CallerId, bool Paused)> PauseRequest;
    /// What is known against a request.
    std::function<Quarantine::Verdict(const Fingerprint &, TimePoint)>
        CheckQuarantine = [](const Fingerprint &, TimePoint) {
          return Quarantine::Verdict();
        };
  };

  struct Counters {
    uint64_t Requests = 0;
    uint64_t Answered = 0;
    uint64_t Retries = 0;
    uint64_t Resumed = 0;
    uint64_t Unknown = 0;
    uint64_t Aborted = 0;
    std::map<std::string, uint64_t> RefusedBy;
  };

  Entry(Options Opts, Hooks Hooks, const Membership &Fleet);

  void configure(const ConfigPtr &New) { this->InForce = New; }
  void membersChanged(TimePoint Now);

  void request(CallerId Caller, const RequestHead &Head, TimePoint Now);
  void body(CallerId Caller, std::string_view Bytes, TimePoint Now);
  void bodyEnd(CallerId Caller, TimePoint Now);
  /// The caller took this much of the answer's body, in total.
  void callerConsumed(CallerId Caller, uint64_t Total, TimePoint Now);
  void callerGone(CallerId Caller, TimePoint Now);

  /// Whom a request like this would go to, and why, for operators.
  struct Explanation {
    const Route *MatchedRoute = nullptr;
    std::vector<const Instance *> Candidates;
    const Instance *Chosen = nullptr;
    std::string Note;
  };
  Explanation explain(const RequestHead &Head, TimePoint Now);
  /// Whether the route of such a request says that it may run twice.
  bool isIdempotent(const RequestHead &Head) const;

  void linkUp(const std::string &Gate, TimePoint Now);
  /// The link broke or could not be made.
  void linkDown(const std::string &Gate, TimePoint Now);
  void handleFrame(const std::string &Gate, const wire::CallFrameT &Frame,
                   TimePoint Now);

  /// Refuses new requests from now on; those under way go on.
  void drain() { this->Draining = true; }
  /// Answers all calls that are left, for the process ends: those that were
  /// never sent as not run, the others as unknown.
  void failRemainingCalls(TimePoint Now);
  bool idle() const { return this->Calls.empty(); }
  size_t callCount() const { return this->Calls.size(); }
  /// This process stood still, and what lies in its sockets is of unknown age.
  void processPaused(TimePoint Now);
  void tick(TimePoint Now);
  const Counters &counters() const { return this->Counts; }
  const Chooser &chooser() const { return this->Choose; }

private:
  enum class State {
    /// Chosen a gate; nothing was sent to it.
    Connecting,
    /// Sent to a gate.
    Sent,
    /// The link is lost; waiting for another to ask about the call.
    Searching,
  };

  /// Where a call ran when its link was lost, and may still be running.
  struct LeftRun {
    std::string Gate;
    uint64_t Incarnation = 0;
    CallId Id;
    // Its gate was asked about it over the next link, and keeps it going.
    bool Asked = false;
  };

  struct Call {
    State Now = State::Connecting;
    CallId Id;
    RequestHead Head;
    ConfigPtr Under;
    const Route *Taken = nullptr;
    std::shared_ptr<const Service> Target;
    std::string Key;
    std::string Class;
    bool Idempotent = false;
    TimePoint CameAt;
    TimePoint Deadline;
    // Past this, the answer is worth less to the caller.
    TimePoint TargetAt;
    std::set<std::string> Tried;
    // Gates offered to, and those among them at which it may have reached the
    // upstream.
    uint32_t Offers = 0;
    uint32_t Attempts = 0;
    // Upstreams that crashed under it, and gates at which a suspect ran.
    uint32_t Crashes = 0;
    uint32_t Besides = 0;
    // Names its request, and that goes to the one gate that tries it.
    Fingerprint Print;
    bool OnTrial = false;
    std::string Gate;
    uint64_t GateIncarnation = 0;
    TimePoint StartedAt;
    // Of the frame that opened it, over the link of now.
    TimePoint SentAt;
    SendStream Request;
    bool RequestPaused = false;
    // Until the gate has started the call.
    bool HoldsBody = false;
    bool HaveHead = false;
    ReceiveStream Response;
    std::optional<Refusal> LastRefusal;
    std::optional<LeftRun> Left;

    explicit Call(const Options &Opts)
        : Request(Opts.BodyWindowBytes, Opts.GatherBytes) {}
  };

  struct Link {
    bool Up = false;
    // From the dial until the gate has said its name.
    std::optional<TimePoint> ConnectingSince;
    TimePoint DialledAt;
    uint64_t Incarnation = 0;
    TimePoint HeardAt;
    TimePoint UsedAt;
    std::optional<TimePoint> PingAt;
    TimePoint NextPing;
    std::optional<TimePoint> LostAt;
    // The gate has said that its upstream is gone.
    bool Gone = false;
    // Links in a row that were condemned for silence, and the last of them.
    unsigned Silences = 0;
    std::optional<TimePoint> SilentAt;
    std::set<CallerId> Calls;
    // Calls that nobody waits for any more and that may still run there: to be
    // cancelled over the next link.
    std::vector<uint64_t> Orphans;
  };

  Call *find(CallerId Caller);
  void note(const char *What, const Call &Of, const Refusal &Why,
            TimePoint Now) const;
  Refusal refusal(Outcome What, const std::string &Reason,
                  const std::string &Step, const std::string &Peer) const;
  std::optional<Refusal> check(CallerId Caller, const RequestHead &Head,
                               TimePoint Now) const;
  Call makeCall(const RequestHead &Head, const Route &Taken, TimePoint Now);
  void route(CallerId Caller, TimePoint Now);
  const Route *findRoute(const RequestHead &Head) const;
  const Instance *chooseGate(const Call &One, TimePoint Now);
  const Instance *trialGate(const Call &One, TimePoint Now) const;
  Quarantine::Verdict judge(Call &One, TimePoint Now) const;
  void assign(CallerId Caller, Call &One, const Instance &Gate, TimePoint Now);
  wire::OpenT openFrame(const Call &One, const CallId &Id,
                        const std::string &Gate, TimePoint Now) const;
  void open(CallerId Caller, Call &One, bool Resume, TimePoint Now);
  void sendBody(Call &One);
  void leaveGate(CallerId Caller, Call &One, bool Answered, TimePoint Now);
  void tryAnother(CallerId Caller, const Refusal &Why, TimePoint Now);
  void moveOn(CallerId Caller, const Refusal &Why, TimePoint Now);
  RetryBudget &budgetOf(const Call &One);
  bool mayTryAnother(Call &One, const Refusal &Why, TimePoint Now);
  void refuse(CallerId Caller, const Refusal &Why);
  void giveUpInTime(CallerId Caller, const char *Reason, TimePoint Now);
  void giveUp(CallerId Caller, const Refusal &Why, TimePoint Now);
  void finish(CallerId Caller, TimePoint Now);

  void onHello(const std::string &Gate, Link &On, const wire::CallHelloT &Hello,
               TimePoint Now);
  void onHead(const std::string &Gate, const wire::HeadT &Head, TimePoint Now);
  void learnWay(const std::string &Gate, const Call &One,
                const wire::HeadT &Head, TimePoint Now);
  void onData(const std::string &Gate, const wire::DataT &Data, TimePoint Now);
  void onFailed(const std::string &Gate, const wire::FailedT &Failed,
                TimePoint Now);
  void onPong(const std::string &Gate, Link &On, const wire::PongT &Pong,
              TimePoint Now);
  void onAdmitted(const std::string &Gate, const wire::AdmittedT &Joined,
                  TimePoint Now);
  void onCredit(const std::string &Gate, const wire::CreditT &Credit,
                TimePoint Now);
  void connect(const std::string &Gate, Link &On, TimePoint Now);
  void condemn(const std::string &Gate, Link &On, TimePoint Now);
  int64_t patience(const Link &On, TimePoint Now) const;
  void loseLink(const std::string &Gate, Link &On, TimePoint Now);
  void driveLinks(TimePoint Now);
  void driveLink(const std::string &Gate, Link &On, TimePoint Now);
  void redial(const std::string &Gate, Link &On, TimePoint Now);
  void moveWaiting(const std::string &Gate, Link &On, TimePoint Now);
  void settleOrphans(const std::string &Gate, Link &On, TimePoint Now);
  Call *leftBy(const std::string &Gate, uint64_t Seq);
  void loseAsked(const std::string &Gate, Link &On);
  bool returnToLeft(CallerId Caller, Call &One, TimePoint Now);
  void rejoin(CallerId Caller, Call &One, TimePoint Now);
  void dropLeft(Call &One);
  void cancel(const std::string &Gate, uint64_t Seq, const char *Reason);
  void giveUpSearch(const std::string &Gate, Link &On, TimePoint Now);
  std::optional<CallerId> callOn(const std::string &Gate, uint64_t Seq) const;

  static constexpr char StepEntry[] = "entry";
  static constexpr char StepLink[] = "gate-link";

  Options Opts;
  Hooks Hook;
  const Membership &Fleet;
  Chooser Choose;
  ConfigPtr InForce;
  std::map<CallerId, Call> Calls;
  // When each call is to be given up; one that is over is passed over.
  std::multimap<TimePoint, CallerId> Due;
  std::map<uint64_t, CallerId> BySeq;
  // The same of runs that calls have left and may return to.
  std::map<uint64_t, CallerId> LeftBySeq;
  std::map<std::string, Link> Links;
  std::map<std::string, RetryBudget> Budgets;
  SplitTurns Turns;
  AgeEstimate Ages;
  TurnRank Rank;
  uint64_t LastSeq = 0;
  bool Draining = false;
  TimePoint GraceUntil;
  Counters Counts;
};

} // namespace hickorylift

#endif
