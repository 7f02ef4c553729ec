#include "calls/Gate.h"

#include "base/Hash.h"

#include <algorithm>

// A call goes through Waiting, perhaps Admitted, Running and Finished; one that
// never ran ends in Refused. Its record stays until its deadline and
// RememberSlack have passed, and that memory carries two promises.
//
// At most once: an entry whose link went silent asks for the same id over a
// new link. A known id joins the call as it stands and is never started again.
// An unknown id is entered as Refused before the answer "not run" goes out, so
// that the first copy, should it still come out of the silent link, finds the
// record and does not run.
//
// True refusals: a call may be told "not run" only from the states Waiting,
// Admitted and Refused. Start, the only step that cannot be taken back, is the
// last thing start() does, after the deadline was checked against a fresh
// clock.

namespace hickorylift {

Gate::Gate(Options GivenOpts, Hooks Hooks)
    : Opts(std::move(GivenOpts)), Hook(std::move(Hooks)),
      AdmissionControl(this->Opts.AdmissionOpts, this->Opts.Seed),
      KeyChecker(this->Opts.IdempotencyOpts, this->Opts.Self),
      Transfers(this->Opts.TransferOpts), Runs(this->Opts.CrashDetectorOpts) {}

void Gate::configure(const ConfigPtr &New, TimePoint Now) {
  const Service *Named = New->findService(this->Opts.Service);
  // The old configuration stays alive here until the new one is set.
  ConfigPtr Old = std::exchange(this->ActiveConfig, New);
  this->ServiceConfig = Named;
  this->configureAdmission(Now);
  this->queryHealthIfNeeded(Now);
  this->advanceQueue(Now);
}

// The list knows this very upstream, the configuration only its service.
void Gate::configureAdmission(TimePoint Now) {
  if (!this->ServiceConfig)
    return;
  Service Here = *this->ServiceConfig;
  if (this->ListedSlots)
    Here.Slots = this->ListedSlots;
  this->AdmissionControl.configure(Here, Now);
}

void Gate::membersChanged(const std::vector<const Instance *> &Upstreams,
                          TimePoint Now) {
  this->KeyChecker.members(Upstreams, Now);
  for (const Instance *One : Upstreams) {
    if (One->Name != this->Opts.Self)
      continue;
    if (this->ListedInstance && !One->sameStart(*this->ListedInstance)) {
      this->AdmissionControl.restarted(Now);
      this->suspectRestart(Now);
    }
    this->ListedInstance = *One;
    this->AdmissionControl.coldStart().named(One->Upstream, Now);
    this->AdmissionControl.coldStart().listed(One->ColdLeft, Now);
    if (One->Slots == this->ListedSlots)
      continue;
    this->ListedSlots = One->Slots;
    this->configureAdmission(Now);
  }
  this->queryHealthIfNeeded(Now);
}

Gate::CallRecord *Gate::findCall(const CallId &Id) {
  auto Found = this->Calls.find(Id);
  return Found == this->Calls.end() ? nullptr : &Found->second;
}

const Limit *Gate::findLimit(const std::string &Name) const {
  return this->ActiveConfig && !Name.empty()
             ? this->ActiveConfig->findLimit(Name)
             : nullptr;
}

void Gate::handleFrame(LinkId Link, const wire::CallFrameT &Frame,
                       TimePoint Now) {
  auto Found = this->Links.find(Link);
  if (Found == this->Links.end())
    return;
  if (const auto *Hello = Frame.payload.AsCallHello()) {
    this->EntryByLink[Link] = Hello->incarnation;
    return;
  }
  if (const auto *Open = Frame.payload.AsOpen())
    return this->onOpen(Link, *Open, Now);
  if (const auto *Data = Frame.payload.AsData())
    return this->onData(Link, *Data, Now);
  if (const auto *Credit = Frame.payload.AsCredit())
    return this->onCredit(Link, *Credit, Now);
  if (const auto *Cancel = Frame.payload.AsCancel())
    return this->onCancel(Link, *Cancel, Now);
  if (const auto *Ping = Frame.payload.AsPing())
    return this->sendPong(Link, Ping->nonce, Now);
  if (const auto *Pong = Frame.payload.AsPong())
    if (Found->second.PauseBarrier == Pong->nonce)
      Found->second.PauseBarrier.reset();
}

Gate::CallRecord &Gate::addRecord(const CallId &Id, Millis Budget, LinkId Link,
                                  TimePoint Now) {
  CallRecord &One =
      this->Calls.emplace(Id, CallRecord(this->Opts.BodyWindowBytes))
          .first->second;
  One.Link = Link;
  One.Linked = true;
  One.ArrivedAt = Now;
  One.Deadline = Now + Budget;
  this->Timers.emplace(One.Deadline, Id);
  return One;
}

void Gate::onOpen(LinkId Link, const wire::OpenT &Open, TimePoint Now) {
  this->EntryByLink.try_emplace(Link, Open.entry);
  if (Open.resume)
    return this->onResume(Link, Open, Now);
  CallId Id{Open.entry, Open.seq};
  if (this->findCall(Id)) {
    if (this->Opts.Guards.RememberCalls)
      return; // the late copy of a call that was asked for again
    this->Calls.erase(Id);
  }
  CallRecord &One = this->addRecord(Id, Millis(Open.budget_ms), Link, Now);
  One.Request.Method = Open.method;
  One.Request.Path = Open.path;
  One.Request.Headers = fromWire(Open.headers);
  One.Request.Length = Open.length;
  One.ExpectedUpstream = Open.upstream;
  One.EntryHoldsBody = Open.holds_body;
  One.IdempotencyKey = Open.idempotency_key;
  One.Idempotent = Open.idempotent;
  One.CrashCount = Open.crashes;
  this->evaluate(Id, One, Open, Now);
}

void Gate::evaluate(const CallId &Id, CallRecord &One, const wire::OpenT &Open,
                    TimePoint Now) {
  auto NotRun = [&](const std::string &Reason) {
    this->refuse(
        Id, One,
        makeRefusal(Outcome::NotRun, Reason, StepAdmission, this->Opts.Self),
        Now);
  };
  // Bytes that lay in the socket while this process stood still: the budget
  // that they name ran out without being counted. Run now, the call could
  // follow one that its caller made instead.
  if (this->Links[One.Link].PauseBarrier)
    return NotRun("paused");
  if (Open.service != this->Opts.Service || !this->ServiceConfig)
    return NotRun("not-my-service");
  if (this->UpstreamGone)
    return NotRun(ReasonUpstreamGone);
  this->AdmissionControl.coldStart().named(Open.upstream, Now);
  this->queryHealthIfNeeded(Now);
  if (this->Calls.size() > this->Opts.MaxCallRecords)
    return NotRun("memory-full");
  Admission::Ask &Wanted = One.SlotRequest;
  Wanted.Id = Id;
  Wanted.Deadline = One.Deadline;
  Wanted.Priority = Open.priority;
  Wanted.Class = Open.caller_class;
  Wanted.Target = Now + Millis(Open.target_ms);
  Wanted.Kind = Open.route;
  Wanted.Rank = Open.rank;
  One.LimitName = Open.limit;
  this->shouldPrefetchBody(One, Now) ? this->prefetchBody(Id, One, Now)
                                     : this->requestSlot(Id, One, Now);
}

void Gate::requestSlot(const CallId &Id, CallRecord &One, TimePoint Now) {
  One.Prefetching = false;
  Admission::Ask Wanted = One.SlotRequest;
  Wanted.Bound = this->findLimit(One.LimitName);
  Admission::Answer Room = this->AdmissionControl.ask(Wanted, Now);
  if (Room.What == Admission::Verdict::Refuse) {
    Room.Why.Peer = this->Opts.Self;
    return this->refuse(Id, One, Room.Why, Now);
  }
  if (Room.What == Admission::Verdict::Run)
    this->onSlotGranted(Id, One, Now);
}

bool Gate::checkIdempotencyKey(const CallId &Id, CallRecord &One,
                               TimePoint Now) {
  if (One.IdempotencyKey.empty() || One.Idempotent)
    return true;
  uint64_t Fingerprint = combineHash(contentHash(One.Request.Method),
                                     contentHash(One.Request.Path));
  KeyJudge::Answer Known = this->KeyChecker.ask(One.IdempotencyKey, Fingerprint,
                                                this->ServiceConfig->KeyWindow,
                                                this->Hook.ListAge(Now), Now);
  if (Known.What == KeyJudge::Verdict::Run)
    return true;
  One.IdempotencyKey
      .clear(); // another call's: its end must not touch the record
  this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
  if (Known.What == KeyJudge::Verdict::Replay)
    this->replayAnswer(Id, One, std::move(Known), Now);
  else
    this->refuse(Id, One, Known.Why, Now);
  return false;
}

void Gate::replayAnswer(const CallId &Id, CallRecord &One,
                        KeyJudge::Answer Known, TimePoint Now) {
  One.Phase = State::Finished;
  One.HaveAnswerHead = true;
  One.AnswerHead = std::move(Known.Head);
  One.AnswerHead.Headers.push_back({"Hickorylift-Replayed", "true"});
  One.AnswerHead.Length = static_cast<int64_t>(Known.Body.size());
  One.AnswerBody.append(Known.Body);
  One.AnswerBody.finish();
  this->sendHead(Id, One, Now);
  this->sendAnswer(Id, One);
}

void Gate::startCall(const CallId &Id, CallRecord &One, TimePoint Now) {
  if (Now >= One.Deadline)
    return this->refuse(Id, One,
                        makeRefusal(Outcome::NotRun, "deadline", StepAdmission,
                                    this->Opts.Self),
                        Now);
  if (!this->checkQuarantine(Id, One, Now) ||
      !this->checkIdempotencyKey(Id, One, Now))
    return;
  if (std::optional<Admission::Answer> No = this->AdmissionControl.start(Now)) {
    if (!One.IdempotencyKey.empty())
      this->KeyChecker.notRun(One.IdempotencyKey);
    No->Why.Peer = this->Opts.Self;
    return this->refuse(Id, One, std::move(No->Why), Now);
  }
  One.Phase = State::Running;
  One.AwaitingSend = true;
  One.StartedAt = Now;
  this->Runs.started(Id, One.RequestFingerprint, One.Suspected);
  ++this->Counts.Started;
  // What the upstream calls in turn has this much left.
  setHeader(One.Request.Headers, this->Opts.HeaderNames.Budget,
            std::to_string(toMillis(One.Deadline - Now).count()));
  if (!this->Opts.HeaderNames.Expect.empty() && !One.ExpectedUpstream.empty())
    setHeader(One.Request.Headers, this->Opts.HeaderNames.Expect,
              One.ExpectedUpstream);
  this->Hook.Start(Id, One.Request, One.Idempotent);
  if (std::exchange(One.EntryHoldsBody, false) && this->Transfers.ask(Id, Now))
    this->requestBody(Id, One);
  std::string Early = std::exchange(One.BufferedBody, "");
  this->forwardBody(Id, One, Early);
}

void Gate::onCredit(LinkId Link, const wire::CreditT &Credit, TimePoint) {
  CallId Id = this->callIdOn(Link, Credit.seq);
  CallRecord *One = this->findCall(Id);
  if (!One || One->Link != Link)
    return;
  One->AnswerBody.credit(Credit.consumed);
  this->sendAnswer(Id, *One);
  if (One->AnswerPaused &&
      One->AnswerBody.buffered() <= this->Opts.BodyWindowBytes) {
    One->AnswerPaused = false;
    this->Hook.PauseAnswer(Id, false);
  }
}

void Gate::onCancel(LinkId Link, const wire::CancelT &Cancel, TimePoint Now) {
  CallId Id = this->callIdOn(Link, Cancel.seq);
  CallRecord *One = this->findCall(Id);
  if (!One)
    return;
  // Nobody takes the rest of its answer, and a stop need not wait for that.
  if (One->Phase == State::Finished)
    One->Linked = false;
  if (One->isUnstarted())
    this->refuse(Id, *One,
                 makeRefusal(Outcome::NotRun, "cancelled", StepAdmission,
                             this->Opts.Self),
                 Now);
  else if (One->Phase == State::Running)
    this->abortCall(Id, *One,
                    makeRefusal(Outcome::Unknown, "cancelled", StepUpstream,
                                this->Opts.Self),
                    Now);
  this->advanceQueue(Now);
}

void Gate::onResume(LinkId Link, const wire::OpenT &Open, TimePoint Now) {
  CallId Id{Open.entry, Open.seq};
  CallRecord *One = this->findCall(Id);
  if (!this->Opts.Guards.RememberCalls) {
    wire::FailedT Failed;
    Failed.seq = Id.Seq;
    Failed.reason = "never-arrived";
    return this->Hook.Send(Link, callFrame(std::move(Failed)));
  }
  if (!One) {
    One = &this->addRecord(Id, Millis(Open.budget_ms), Link, Now);
    return this->refuse(Id, *One,
                        makeRefusal(Outcome::NotRun, "never-arrived",
                                    StepAdmission, this->Opts.Self),
                        Now);
  }
  One->Link = Link;
  One->Linked = true;
  this->LinkLostAt.erase(Id);
  if (One->Phase == State::Refused)
    return this->sendFailed(Id, *One, Now);
  if (!One->AnswerBody.rewind(Open.answer_received)) {
    return this->abortCall(Id, *One,
                           makeRefusal(Outcome::Unknown, "answer-lost",
                                       StepAdmission, this->Opts.Self),
                           Now);
  }
  wire::AdmittedT Joined;
  Joined.seq = Id.Seq;
  Joined.request_received = One->RequestBody.received();
  this->Hook.Send(Link, callFrame(Joined));
  if (One->HaveAnswerHead && !Open.have_head)
    this->sendHead(Id, *One, Now);
  this->sendAnswer(Id, *One);
}

void Gate::refuse(const CallId &Id, CallRecord &One, Refusal Why,
                  TimePoint Now) {
  if (One.isUnstarted() || One.Phase == State::Running)
    this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
  this->releaseSendReservation(One);
  this->Transfers.forget(Id);
  this->Runs.forget(Id);
  ++this->Counts.RefusedBy[Why.Reason];
  One.Phase = State::Refused;
  One.Prefetching = false;
  One.RefusalDetails = std::move(Why);
  One.BufferedBody.clear();
  this->sendFailed(Id, One, Now);
}

// The call may have run: whatever it is told from here on is Unknown.
void Gate::abortCall(const CallId &Id, CallRecord &One, const Refusal &Why,
                     TimePoint Now) {
  if (One.Phase == State::Running) {
    this->Hook.Cancel(Id);
    this->Runs.cancelled(Id, Now);
    this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
  }
  this->releaseSendReservation(One);
  this->Transfers.forget(Id);
  if (!One.IdempotencyKey.empty())
    this->KeyChecker.lost(One.IdempotencyKey, Now);
  ++this->Counts.Unknown;
  One.Phase = State::Refused;
  One.RefusalDetails = Why;
  this->sendFailed(Id, One, Now);
}

void Gate::advanceQueue(TimePoint Now) {
  Admission::Next Turn = this->AdmissionControl.next(Now);
  for (Admission::Dropped &Late : Turn.Drop) {
    Late.Why.Peer = this->Opts.Self;
    if (CallRecord *One = this->findCall(Late.Id))
      this->refuse(Late.Id, *One, std::move(Late.Why), Now);
  }
  for (const CallId &Id : Turn.Run)
    if (CallRecord *One = this->findCall(Id))
      this->onSlotGranted(Id, *One, Now);
  this->grantTransfers(Now);
}

void Gate::refuseUnstarted(const std::string &Reason, TimePoint Now) {
  for (auto &[Id, One] : this->Calls)
    if (One.isUnstarted())
      this->refuse(
          Id, One,
          makeRefusal(Outcome::NotRun, Reason, StepAdmission, this->Opts.Self),
          Now);
}

void Gate::drain(const std::string &By, TimePoint Now) {
  if (!this->Opts.Guards.DrainClosesGate)
    return;
  bool Closed = this->draining();
  this->AdmissionControl.drain(By);
  if (Closed)
    return;
  for (const auto &[Link, State] : this->Links) {
    wire::DrainingT Said;
    Said.by = By;
    this->Hook.Send(Link, callFrame(std::move(Said)));
  }
  this->refuseUnstarted("draining", Now);
  this->advanceQueue(Now);
}

// Entries leave a gate aside that has said that it closes, send nothing there
// any more, and so would not find out: with one upstream, its callers would be
// refused for as long as the link lives.
void Gate::reopen(const std::string &By, TimePoint Now) {
  this->AdmissionControl.reopen(By);
  if (!this->draining())
    this->announceState(Now);
}

bool Gate::idle() const {
  return std::all_of(
      this->Calls.begin(), this->Calls.end(), [](const auto &One) {
        const CallRecord &Of = One.second;
        bool Told =
            !Of.Linked || Of.Phase == State::Refused || Of.AnswerBody.done();
        return Of.Phase != State::Running && !Of.isUnstarted() && Told;
      });
}

Gate::UnfinishedCalls Gate::unfinishedCalls() const {
  UnfinishedCalls Out;
  for (const auto &[Id, One] : this->Calls) {
    Out.Waiting += One.Phase == State::Waiting;
    Out.Admitted += One.Phase == State::Admitted;
    Out.Running += One.Phase == State::Running;
  }
  return Out;
}

void Gate::processPaused(TimePoint Now) {
  if (!this->Opts.Guards.PauseBarrier)
    return;
  for (auto &[Link, State] : this->Links) {
    wire::PingT Ping;
    Ping.nonce = ++this->LastNonce;
    State.PauseBarrier = Ping.nonce;
    this->Hook.Send(Link, callFrame(Ping));
  }
  this->tick(Now);
}

void Gate::tick(TimePoint Now) {
  this->AdmissionControl.coldStart().watch(Now);
  this->abortAbandonedCalls(Now);
  this->reprobeIfDue(Now);
  this->queryHealthIfNeeded(Now);
  while (!this->Timers.empty() && this->Timers.begin()->first <= Now) {
    CallId Id = this->Timers.begin()->second;
    this->Timers.erase(this->Timers.begin());
    this->onTimer(Id, Now);
  }
  this->advanceQueue(Now);
  this->KeyChecker.expire(Now);
}

void Gate::onTimer(const CallId &Id, TimePoint Now) {
  CallRecord *One = this->findCall(Id);
  if (!One)
    return;
  if (One->Prefetching || One->Phase == State::Admitted)
    this->refuse(Id, *One,
                 makeRefusal(Outcome::NotRun, "deadline", StepAdmission,
                             this->Opts.Self),
                 Now);
  if (One->Phase == State::Running)
    this->abortCall(Id, *One,
                    makeRefusal(Outcome::Unknown, "deadline", StepUpstream,
                                this->Opts.Self),
                    Now);
  TimePoint ForgetAt = One->Deadline + this->Opts.RetainAfterDeadline;
  if (Now >= ForgetAt && One->Phase != State::Waiting)
    this->Calls.erase(Id);
  else
    this->Timers.emplace(std::max(ForgetAt, Now + Millis(1)), Id);
}

} // namespace hickorylift
