#include "calls/Entry.h"

#include "base/Hash.h"

// Admission of callers' requests: the checks that refuse a request before a
// gate is chosen, and the creation of its call. Requests are checked against
// the limits of this node and the active configuration; explain() runs the same
// steps without sending anything.

namespace hickorylift {

namespace {

const char KeyHeader[] = "Idempotency-Key";
const char ClassHeader[] = "Hickorylift-Caller-Class";
constexpr size_t MaxKeyLength = 256;
constexpr size_t MaxHeaderFields = 128;
constexpr size_t MaxHeaderBytes = 64 * 1024;
constexpr unsigned NotFoundStatus = 404;
constexpr unsigned BadRequestStatus = 400;
constexpr unsigned TooLargeStatus = 431;

size_t headerBytes(const RequestHead &Head) {
  size_t Sum = Head.Path.size();
  for (const HeaderField &Field : Head.Headers)
    Sum += Field.Name.size() + Field.Value.size();
  return Sum;
}

} // namespace

const Route *Entry::findRoute(const RequestHead &Head) const {
  return this->ActiveConfig->findRoute(
      Head.Method, Head.Path, hostName(findHeader(Head.Headers, "Host")));
}

bool Entry::isIdempotent(const RequestHead &Head) const {
  const Route *MatchedRoute =
      this->ActiveConfig ? this->findRoute(Head) : nullptr;
  return MatchedRoute && MatchedRoute->isIdempotent(Head.Method);
}

// Whether a run of the upstream beside this entry makes the request. Such a run
// may go on after callers are no longer taken, and would fail without it.
bool Entry::isNested(const RequestHead &Head) const {
  return this->Hook.FindParentRun &&
         this->Hook.FindParentRun(
             findHeader(Head.Headers, this->Opts.HeaderNames.RequestId));
}

std::optional<Refusal> Entry::check(CallerId, const RequestHead &Head,
                                    TimePoint Now) const {
  auto NotRun = [&](const char *Reason, unsigned Status) {
    Refusal Cause = this->refusal(Outcome::NotRun, Reason, StepEntry, "");
    Cause.Status = Status;
    if (!Status)
      Cause.RetryAfter = this->Opts.RetryAfter;
    return Cause;
  };
  if (this->Draining && !this->isNested(Head))
    return NotRun("entry-draining", 0);
  if (!this->ActiveConfig) {
    Refusal Cause = NotRun("no-configuration", 0);
    uint64_t IdHash =
        contentHash(findHeader(Head.Headers, this->Opts.HeaderNames.RequestId));
    Cause.RetryAfter =
        this->Opts.StartRetryAfter +
        Millis(IdHash % (this->Opts.StartRetryJitter.count() + 1));
    return Cause;
  }
  if (this->Calls.size() >= this->Opts.MaxCalls)
    return NotRun("entry-full", 0);
  if (Head.Headers.size() > MaxHeaderFields ||
      headerBytes(Head) > MaxHeaderBytes)
    return NotRun("headers-too-large", TooLargeStatus);
  const Route *MatchedRoute = this->findRoute(Head);
  if (!MatchedRoute)
    return NotRun("no-route", NotFoundStatus);
  std::string Key = findHeader(Head.Headers, KeyHeader);
  bool NeedsKey = MatchedRoute->Key == KeyRule::Required &&
                  !MatchedRoute->isIdempotent(Head.Method) && Key.empty();
  if (NeedsKey)
    return NotRun("idempotency-key-required", BadRequestStatus);
  if (Key.size() > MaxKeyLength)
    return NotRun("idempotency-key-too-long", BadRequestStatus);
  if (Now < this->PauseGraceUntil && !MatchedRoute->isIdempotent(Head.Method))
    return NotRun("paused", 0);
  return std::nullopt;
}

Entry::PendingCall Entry::makeCall(const RequestHead &Head,
                                   const Route &MatchedRoute, TimePoint Now) {
  PendingCall Call(this->Opts);
  Call.Head = Head;
  Call.Head.Headers = endToEndHeaders(Head.Headers);
  Call.PinnedConfig = this->ActiveConfig;
  Call.MatchedRoute = &MatchedRoute;
  Call.TargetService =
      MatchedRoute.Parts[this->SplitSchedule.next(MatchedRoute)].Target;
  if (!this->Opts.HeaderNames.Origin.empty())
    setHeader(Call.Head.Headers, this->Opts.HeaderNames.Origin,
              this->Opts.Service);
  Call.IdempotencyKey = findHeader(Head.Headers, KeyHeader);
  Call.CallerClass = findHeader(Head.Headers, ClassHeader);
  Call.Idempotent = MatchedRoute.isIdempotent(Head.Method);
  Millis Budget = MatchedRoute.Timeout;
  Millis Target = MatchedRoute.TargetLatency;
  // A budget that is not a number sets no deadline, and the route's timeout
  // applies.
  if (std::optional<Millis> StatedBudget =
          findMillisHeader(Head.Headers, this->Opts.HeaderNames.Budget)) {
    Budget = std::min(Budget, *StatedBudget);
    Millis Age = this->CallAges.age(MatchedRoute.Name, *StatedBudget, Now);
    Target -= std::min(Target, Age);
    Call.CallerDeadline = Now + *StatedBudget;
    Call.Returning = Age >= this->Opts.MinReturningAge;
  }
  Call.ReceivedAt = Now;
  Call.Deadline = Now + Budget;
  Call.LatencyTargetAt =
      MatchedRoute.TargetLatency.count() > 0 ? Now + Target : Call.Deadline;
  return Call;
}

// Whether the body is read before a gate is chosen. One of unknown length is
// until it ends or proves to be too long: a caller that stops in the middle
// would otherwise hold a slot of the upstream meanwhile.
bool Entry::gathersBody(const RequestHead &Head) const {
  if (Head.Length == UnknownLength)
    return this->Opts.GatherBytes > 0;
  return Head.Length > 0 && Head.Length <= this->Opts.GatherBytes;
}

void Entry::request(CallerId Caller, const RequestHead &Head, TimePoint Now) {
  ++this->Counts.Requests;
  if (std::optional<Refusal> Cause = this->check(Caller, Head, Now)) {
    ++this->Counts.RefusedBy[Cause->Reason];
    PendingCall RefusedCall(this->Opts);
    RefusedCall.Head = Head;
    RefusedCall.PinnedConfig = this->ActiveConfig;
    RefusedCall.ReceivedAt = RefusedCall.Deadline = Now;
    this->logEvent("call-refused", RefusedCall, *Cause, Now);
    return this->Hook.Refuse(Caller, *Cause);
  }
  const Route *MatchedRoute = this->findRoute(Head);
  PendingCall &Call =
      this->Calls.emplace(Caller, this->makeCall(Head, *MatchedRoute, Now))
          .first->second;
  Call.DeadlineEntry = this->Deadlines.emplace(Call.Deadline, Caller);
  this->findParentRun(Call);
  this->recordFirstTry(Call);
  this->Hedges.recordFirstTry(MatchedRoute->Name);
  if (Head.Length == 0)
    Call.Request.finish();
  if (!this->gathersBody(Head))
    this->routeCall(Caller, Now);
}

Entry::Explanation Entry::explain(const RequestHead &Head, TimePoint Now) {
  Explanation Result;
  if (std::optional<Refusal> Cause = this->check(0, Head, Now)) {
    Result.Note = "refused by this entry: " + Cause->Reason;
    return Result;
  }
  Result.MatchedRoute = this->findRoute(Head);
  PendingCall Call = this->makeCall(Head, *Result.MatchedRoute, Now);
  if (Head.Length == 0 && this->checkQuarantine(Call, Now).RequestStatus ==
                              Quarantine::Status::Quarantined) {
    Result.Note = "refused by this entry: quarantined";
    return Result;
  }
  Result.Candidates = this->Fleet.upstreams(Call.TargetService->Name);
  Result.Chosen = this->chooseGate(Call, Now);
  if (!Result.Chosen)
    Result.Note = "no upstream can take the call now";
  else if (!Call.IdempotencyKey.empty() && !Call.Idempotent)
    Result.Note = "home gate of the idempotency key";
  else if (Result.Chosen->Name == this->Opts.Self)
    Result.Note = "the local upstream has capacity";
  else if (Result.Chosen->DataCentre == this->Opts.DataCentre)
    Result.Note = "chosen within the local data centre";
  else
    Result.Note = "no upstream of the local data centre can take the call";
  return Result;
}

} // namespace hickorylift
