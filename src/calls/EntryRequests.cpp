#include "calls/Entry.h"

#include "base/Hash.h"

// What callers ask: whether a request is taken at all, and the call that is
// made of it.

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
  for (const HeaderField &One : Head.Headers)
    Sum += One.Name.size() + One.Value.size();
  return Sum;
}

} // namespace

const Route *Entry::findRoute(const RequestHead &Head) const {
  return this->InForce->findRoute(Head.Method, Head.Path,
                                  hostName(findHeader(Head.Headers, "Host")));
}

bool Entry::isIdempotent(const RequestHead &Head) const {
  const Route *Taken = this->InForce ? this->findRoute(Head) : nullptr;
  return Taken && Taken->isIdempotent(Head.Method);
}

std::optional<Refusal> Entry::check(CallerId, const RequestHead &Head,
                                    TimePoint Now) const {
  auto NotRun = [&](const char *Reason, unsigned Status) {
    Refusal Why = this->refusal(Outcome::NotRun, Reason, StepEntry, "");
    Why.Status = Status;
    if (!Status)
      Why.RetryAfter = this->Opts.RetryAfter;
    return Why;
  };
  if (this->Draining)
    return NotRun("entry-draining", 0);
  if (!this->InForce) {
    Refusal Why = NotRun("no-configuration", 0);
    uint64_t Draw =
        contentHash(findHeader(Head.Headers, this->Opts.HeaderNames.RequestId));
    Why.RetryAfter = this->Opts.StartRetryAfter +
                     Millis(Draw % (this->Opts.StartRetryJitter.count() + 1));
    return Why;
  }
  if (this->Calls.size() >= this->Opts.MaxCalls)
    return NotRun("entry-full", 0);
  if (Head.Headers.size() > MaxHeaderFields ||
      headerBytes(Head) > MaxHeaderBytes)
    return NotRun("headers-too-large", TooLargeStatus);
  const Route *Taken = this->findRoute(Head);
  if (!Taken)
    return NotRun("no-route", NotFoundStatus);
  std::string Key = findHeader(Head.Headers, KeyHeader);
  bool NeedsKey = Taken->Key == KeyRule::Required &&
                  !Taken->isIdempotent(Head.Method) && Key.empty();
  if (NeedsKey)
    return NotRun("idempotency-key-required", BadRequestStatus);
  if (Key.size() > MaxKeyLength)
    return NotRun("idempotency-key-too-long", BadRequestStatus);
  if (Now < this->GraceUntil && !Taken->isIdempotent(Head.Method))
    return NotRun("paused", 0);
  return std::nullopt;
}

Entry::Call Entry::makeCall(const RequestHead &Head, const Route &Taken,
                            TimePoint Now) {
  Call One(this->Opts);
  One.Head = Head;
  One.Head.Headers = endToEndHeaders(Head.Headers);
  One.Under = this->InForce;
  One.Taken = &Taken;
  One.Target = Taken.Parts[this->Turns.next(Taken)].Target;
  if (!this->Opts.HeaderNames.Origin.empty())
    setHeader(One.Head.Headers, this->Opts.HeaderNames.Origin,
              this->Opts.Service);
  One.Key = findHeader(Head.Headers, KeyHeader);
  One.Class = findHeader(Head.Headers, ClassHeader);
  One.Idempotent = Taken.isIdempotent(Head.Method);
  Millis Budget = Taken.Timeout;
  Millis Target = Taken.TargetLatency;
  // Unreadable is no deadline: the route's own holds.
  if (std::optional<Millis> Asked =
          findMillisHeader(Head.Headers, this->Opts.HeaderNames.Budget)) {
    Budget = std::min(Budget, *Asked);
    Target -= std::min(Target, this->Ages.age(Taken.Name, *Asked, Now));
  }
  One.CameAt = Now;
  One.Deadline = Now + Budget;
  One.TargetAt = Taken.TargetLatency.count() > 0 ? Now + Target : One.Deadline;
  return One;
}

void Entry::request(CallerId Caller, const RequestHead &Head, TimePoint Now) {
  ++this->Counts.Requests;
  if (std::optional<Refusal> Why = this->check(Caller, Head, Now)) {
    ++this->Counts.RefusedBy[Why->Reason];
    Call Unmade(this->Opts);
    Unmade.Head = Head;
    Unmade.Under = this->InForce;
    Unmade.CameAt = Unmade.Deadline = Now;
    this->note("call-refused", Unmade, *Why, Now);
    return this->Hook.Refuse(Caller, *Why);
  }
  const Route *Taken = this->findRoute(Head);
  Call &One = this->Calls.emplace(Caller, this->makeCall(Head, *Taken, Now))
                  .first->second;
  this->Due.emplace(One.Deadline, Caller);
  this->budgetOf(One).firstTry(
      std::min(Taken->Retry->BudgetPercent, this->Opts.MaxRetryPercent));
  if (Head.Length == 0)
    One.Request.finish();
  bool Gathers = Head.Length > 0 && Head.Length <= this->Opts.GatherBytes;
  if (!Gathers)
    this->route(Caller, Now);
}

Entry::Explanation Entry::explain(const RequestHead &Head, TimePoint Now) {
  Explanation Out;
  if (std::optional<Refusal> Why = this->check(0, Head, Now)) {
    Out.Note = "refused here: " + Why->Reason;
    return Out;
  }
  Out.MatchedRoute = this->findRoute(Head);
  Call One = this->makeCall(Head, *Out.MatchedRoute, Now);
  if (Head.Length == 0 &&
      this->judge(One, Now).What == Quarantine::Standing::Held) {
    Out.Note = "refused here: quarantined";
    return Out;
  }
  Out.Candidates = this->Fleet.upstreams(One.Target->Name);
  Out.Chosen = this->chooseGate(One, Now);
  if (!Out.Chosen)
    Out.Note = "no upstream can take it now";
  else if (!One.Key.empty() && !One.Idempotent)
    Out.Note = "home of the idempotency key";
  else if (Out.Chosen->Name == this->Opts.Self)
    Out.Note = "this node's own upstream has room";
  else if (Out.Chosen->DataCentre == this->Opts.DataCentre)
    Out.Note = "drawn within the data centre";
  else
    Out.Note = "no upstream of this data centre can take it";
  return Out;
}

} // namespace hickorylift
