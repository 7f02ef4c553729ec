#include "calls/Gate.h"

#include "base/Hash.h"

#include <algorithm>

// Each call is a state machine: Waiting, possibly Admitted, then Running and
// Finished; a call that never runs ends in Refused. Its record is kept until
// its deadline and RetainAfterDeadline have passed, in short form once it has
// ended (GateRecords.cpp). Two guarantees depend on these records.
//
// A call runs at most once. An entry whose link became unresponsive asks for
// the same call id over a new link. If the id is known, the entry resumes the
// call in its present state, and the call is never started again. If the id is
// unknown, it is recorded as Refused before the answer "not run" is sent. If
// the first copy of the call still arrives over the old link, it finds this
// record and does not run.
//
// A refusal is true. Only calls in the states Waiting, Admitted and Refused may
// be reported as "not run". Starting a call at the upstream cannot be undone,
// so startCall() does it last, after checking the deadline against a fresh
// clock reading.

namespace hickorylift {

Gate::Gate(Options GivenOpts, Hooks GivenHooks)
    : Opts(std::move(GivenOpts)), Hook(std::move(GivenHooks)),
      AdmissionControl(this->Opts.AdmissionOpts, this->Opts.Seed),
      KeyChecker(this->Opts.IdempotencyOpts, this->Opts.Self),
      Transfers(this->Opts.TransferOpts), Runs(this->Opts.CrashDetectorOpts),
      Shedding(this->Opts.ShedDetectorOpts),
      Slowdowns(this->Opts.SlowdownOpts) {
  this->AdmissionControl.priorityReserve().setChangeHook(
      this->Hook.ReserveChanged);
}

void Gate::configure(const ConfigPtr &NewConfig, TimePoint Now) {
  const Service *NewService = NewConfig->findService(this->Opts.Service);
  // Keeps the old configuration alive until ServiceConfig, which points into
  // it, has been replaced.
  ConfigPtr OldConfig = std::exchange(this->ActiveConfig, NewConfig);
  this->ServiceConfig = NewService;
  this->configureAdmission(Now);
  this->queryHealthIfNeeded(Now);
  this->advanceQueue(Now);
}

// The instance list may state the slots of this particular upstream, which
// override those that the configuration gives for its service.
void Gate::configureAdmission(TimePoint Now) {
  if (!this->ServiceConfig)
    return;
  Service Effective = *this->ServiceConfig;
  if (this->ListedSlots)
    Effective.Slots = this->ListedSlots;
  this->AdmissionControl.configure(Effective, Now);
}

void Gate::membersChanged(const std::vector<const Instance *> &Upstreams,
                          TimePoint Now) {
  this->KeyChecker.setUpstreams(Upstreams, Now);
  this->forgetUnlistedUpstream(Upstreams, Now);
  for (const Instance *Upstream : Upstreams) {
    if (Upstream->Name != this->Opts.Self)
      continue;
    std::pair<std::string, uint64_t> Start(Upstream->Upstream,
                                           Upstream->Incarnation);
    if (this->ListedInstance && !Upstream->sameStart(*this->ListedInstance)) {
      this->AdmissionControl.upstreamRestarted(Now);
      this->Shedding.upstreamRestarted();
      this->forgetSlowdown(Now);
      this->forgetStatement(Now);
      this->suspectRestart(Now);
    } else if (this->RememberedStart && *this->RememberedStart != Start) {
      this->forgetStatement(Now);
    }
    this->ListedInstance = *Upstream;
    this->AdmissionControl.coldStart().observeUpstream(Upstream->Upstream, Now);
    this->AdmissionControl.coldStart().listReported(Upstream->ColdLeft, Now);
    if (Upstream->Slots == this->ListedSlots)
      continue;
    this->ListedSlots = Upstream->Slots;
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
    return this->takeRemembered(*Hello, Now);
  }
  if (const auto *Open = Frame.payload.AsOpen())
    return this->onOpen(Link, *Open, Now);
  if (const auto *Data = Frame.payload.AsData())
    return this->onData(Link, *Data, Now);
  if (const auto *Credit = Frame.payload.AsCredit())
    return this->onCredit(Link, *Credit, Now);
  if (const auto *Cancel = Frame.payload.AsCancel())
    return this->onCancel(Link, *Cancel, Now);
  if (const auto *Ping = Frame.payload.AsPing()) {
    Found->second.EntryReconnects |= Ping->reconnects;
    return this->sendPong(Link, Ping->nonce, Now);
  }
  if (const auto *Pong = Frame.payload.AsPong())
    if (Found->second.PauseBarrier == Pong->nonce)
      Found->second.PauseBarrier.reset();
}

Gate::CallRecord &Gate::addRecord(const CallId &Id, Millis Budget, LinkId Link,
                                  TimePoint Now) {
  CallRecord &Call =
      this->Calls.emplace(Id, CallRecord(this->Opts.BodyWindowBytes))
          .first->second;
  Call.Link = Link;
  Call.Linked = true;
  Call.ArrivedAt = Now;
  Call.Deadline = Now + Budget;
  Call.Timer = this->Timers.emplace(Call.Deadline, Id);
  this->Hook.UsageChanged(Id);
  return Call;
}

void Gate::onOpen(LinkId Link, const wire::OpenT &Open, TimePoint Now) {
  this->EntryByLink.try_emplace(Link, Open.entry);
  if (Open.resume)
    return this->onResume(Link, Open, Now);
  CallId Id{Open.entry, Open.seq};
  if (this->isKnown(Id)) {
    if (this->Opts.Guards.RememberCalls)
      return; // a late copy; the entry has resumed this call already
    if (CallRecord *Call = this->findCall(Id))
      this->Timers.erase(Call->Timer);
    this->Calls.erase(Id);
    this->Ended.erase(Id);
    this->Hook.RunEnded(Id);
  }
  CallRecord &Call = this->addRecord(Id, Millis(Open.budget_ms), Link, Now);
  Call.Arrived = true;
  Call.Request.Method = Open.method;
  Call.Request.Path = Open.path;
  Call.Request.Headers = fromWire(Open.headers);
  Call.Request.Length = Open.length;
  Call.ExpectedUpstream = Open.upstream;
  Call.EntryHoldsBody = Open.holds_body;
  Call.IdempotencyKey = Open.idempotency_key;
  Call.Idempotent = Open.idempotent;
  Call.CrashCount = Open.crashes;
  Call.Repeat = Open.repeat;
  this->evaluate(Id, Call, Open, Now);
}

void Gate::evaluate(const CallId &Id, CallRecord &Call, const wire::OpenT &Open,
                    TimePoint Now) {
  auto RefuseNotRun = [&](const std::string &Reason) {
    this->refuse(
        Id, Call,
        makeRefusal(Outcome::NotRun, Reason, StepAdmission, this->Opts.Self),
        Now);
  };
  // The frame was in the socket while this process was paused, and its budget
  // kept running out uncounted. If the call ran now, it could run after a call
  // that the caller has made in its place.
  if (this->Links[Call.Link].PauseBarrier)
    return RefuseNotRun("paused");
  if (Open.service != this->Opts.Service || !this->ServiceConfig)
    return RefuseNotRun("not-my-service");
  if (this->UpstreamGone)
    return RefuseNotRun(ReasonUpstreamGone);
  if (!this->canEndBeforeStop(Open.route, Call, Now))
    return RefuseNotRun(ReasonStopping);
  this->AdmissionControl.coldStart().observeUpstream(Open.upstream, Now);
  this->queryHealthIfNeeded(Now);
  if (this->callRecordCount() > this->Opts.MaxCallRecords)
    return RefuseNotRun("memory-full");
  if (Open.hedge && !this->AdmissionControl.canRunHedge(Open.priority, Now))
    return RefuseNotRun(ReasonHedgeRefused);
  Admission::Request &SlotRequest = Call.SlotRequest;
  SlotRequest.Id = Id;
  SlotRequest.Deadline = Call.Deadline;
  SlotRequest.Priority = Open.priority;
  SlotRequest.CallerClass = Open.caller_class;
  SlotRequest.Target = Now + Millis(Open.target_ms);
  SlotRequest.Kind = Open.route;
  SlotRequest.Rank = Open.rank;
  SlotRequest.Returning = Open.returning;
  SlotRequest.Nested = Open.nested;
  Call.LimitName = Open.limit;
  this->shouldPrefetchBody(Call, Now) ? this->prefetchBody(Id, Call, Now)
                                      : this->requestSlot(Id, Call, Now);
}

bool Gate::canEndBeforeStop(const std::string &Route, const CallRecord &Call,
                            TimePoint Now) const {
  std::optional<TimePoint> StopsAt = this->Hook.StopsAt();
  return !StopsAt ||
         this->Completions.endsBy(Route, Call.Deadline, *StopsAt, Now);
}

void Gate::requestSlot(const CallId &Id, CallRecord &Call, TimePoint Now) {
  Call.Prefetching = false;
  Admission::Request SlotRequest = Call.SlotRequest;
  SlotRequest.RouteLimit = this->findLimit(Call.LimitName);
  Admission::Result Result = this->AdmissionControl.admit(SlotRequest, Now);
  if (Result.Action == Admission::Decision::Refuse) {
    Result.RefusalDetails.Peer = this->Opts.Self;
    return this->refuse(Id, Call, Result.RefusalDetails, Now);
  }
  if (Result.Action == Admission::Decision::Run)
    this->onSlotGranted(Id, Call, Now);
}

bool Gate::checkIdempotencyKey(const CallId &Id, CallRecord &Call,
                               TimePoint Now) {
  if (Call.IdempotencyKey.empty() || Call.Idempotent)
    return true;
  uint64_t RequestHash = combineHash(contentHash(Call.Request.Method),
                                     contentHash(Call.Request.Path));
  IdempotencyChecker::Result KeyResult = this->KeyChecker.check(
      Call.IdempotencyKey, RequestHash, this->ServiceConfig->KeyWindow,
      this->Hook.ListAge(Now), Now);
  if (KeyResult.Action == IdempotencyChecker::Decision::Run)
    return true;
  // Another call owns the record of this key, and the end of this call must not
  // change it.
  Call.IdempotencyKey.clear();
  this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
  if (KeyResult.Action == IdempotencyChecker::Decision::Replay)
    this->replayAnswer(Id, Call, std::move(KeyResult), Now);
  else
    this->refuse(Id, Call, KeyResult.RefusalDetails, Now);
  return false;
}

void Gate::replayAnswer(const CallId &Id, CallRecord &Call,
                        IdempotencyChecker::Result Recorded, TimePoint Now) {
  Call.Phase = State::Finished;
  Call.HaveAnswerHead = true;
  Call.AnswerHead = std::move(Recorded.Head);
  // What the upstream stated when the call ran doesn't hold now.
  removeStatement(Call.AnswerHead.Headers, this->Opts.HeaderNames);
  Call.AnswerHead.Headers.push_back({"Hickorylift-Replayed", "true"});
  Call.AnswerHead.Length = static_cast<int64_t>(Recorded.Body.size());
  Call.AnswerBody.append(Recorded.Body);
  Call.AnswerBody.finish();
  this->sendHead(Id, Call, Now);
  this->sendAnswer(Id, Call);
}

void Gate::startCall(const CallId &Id, CallRecord &Call, TimePoint Now) {
  if (Now >= Call.Deadline)
    return this->refuse(Id, Call,
                        makeRefusal(Outcome::NotRun, "deadline", StepAdmission,
                                    this->Opts.Self),
                        Now);
  // It may have waited for its slot or its body since the stop began.
  if (!this->canEndBeforeStop(Call.SlotRequest.Kind, Call, Now))
    return this->refuse(Id, Call,
                        makeRefusal(Outcome::NotRun, ReasonStopping,
                                    StepAdmission, this->Opts.Self),
                        Now);
  if (!this->checkQuarantine(Id, Call, Now) ||
      !this->checkIdempotencyKey(Id, Call, Now))
    return;
  if (std::optional<Admission::Result> Refused =
          this->AdmissionControl.reserveCapacity(Now)) {
    if (!Call.IdempotencyKey.empty())
      this->KeyChecker.recordNotRun(Call.IdempotencyKey);
    Refused->RefusalDetails.Peer = this->Opts.Self;
    return this->refuse(Id, Call, std::move(Refused->RefusalDetails), Now);
  }
  Call.Phase = State::Running;
  Call.AwaitingSend = true;
  Call.StartedAt = Now;
  this->Runs.runStarted(Id, Call.RequestFingerprint, Call.Suspected);
  this->Hook.RunStarted(
      Id, findHeader(Call.Request.Headers, this->Opts.HeaderNames.RequestId),
      {Call.SlotRequest.Priority, Call.Repeat});
  this->noteRunStarted(Id, Call, Now);
  ++this->Counts.Started;
  // The time left for the calls that the upstream makes for this one.
  setHeader(Call.Request.Headers, this->Opts.HeaderNames.Budget,
            std::to_string(toMillis(Call.Deadline - Now).count()));
  if (!this->Opts.HeaderNames.ExpectedUpstream.empty() &&
      !Call.ExpectedUpstream.empty())
    setHeader(Call.Request.Headers, this->Opts.HeaderNames.ExpectedUpstream,
              Call.ExpectedUpstream);
  this->Hook.Start(Id, Call.Request, Call.Idempotent);
  if (std::exchange(Call.EntryHoldsBody, false) &&
      this->Transfers.request(Id, Now))
    this->requestBody(Id, Call);
  std::string Buffered = std::exchange(Call.BufferedBody, "");
  this->forwardBody(Id, Call, Buffered);
}

void Gate::onCredit(LinkId Link, const wire::CreditT &Credit, TimePoint) {
  CallId Id = this->callIdOn(Link, Credit.seq);
  CallRecord *Call = this->findCall(Id);
  if (!Call || Call->Link != Link)
    return;
  Call->AnswerBody.credit(Credit.consumed);
  this->Hook.UsageChanged(Id);
  this->sendAnswer(Id, *Call);
  if (Call->Phase == State::Finished && Call->AnswerBody.isComplete())
    this->noteEnded(Id);
  if (Call->AnswerPaused &&
      Call->AnswerBody.bufferedSize() <= this->Opts.BodyWindowBytes) {
    Call->AnswerPaused = false;
    this->Hook.PauseAnswer(Id, false);
  }
}

void Gate::onCancel(LinkId Link, const wire::CancelT &Cancel, TimePoint Now) {
  CallId Id = this->callIdOn(Link, Cancel.seq);
  CallRecord *Call = this->findCall(Id);
  if (!Call)
    return;
  // The entry no longer wants the rest of the answer, so a stopping node need
  // not wait until it is sent, and nothing of it need be kept.
  if (Call->Phase == State::Finished) {
    Call->Linked = false;
    this->dropAnswer(Id, *Call, "cancelled", Now);
  }
  if (Call->isUnstarted())
    this->refuse(Id, *Call,
                 makeRefusal(Outcome::NotRun, "cancelled", StepAdmission,
                             this->Opts.Self),
                 Now);
  else if (Call->Phase == State::Running)
    this->abortCall(Id, *Call,
                    makeRefusal(Outcome::Unknown, "cancelled", StepUpstream,
                                this->Opts.Self),
                    Now);
  this->advanceQueue(Now);
}

void Gate::onResume(LinkId Link, const wire::OpenT &Open, TimePoint Now) {
  CallId Id{Open.entry, Open.seq};
  CallRecord *Call = this->findCall(Id);
  if (!this->Opts.Guards.RememberCalls) {
    wire::FailedT Failed;
    Failed.seq = Id.Seq;
    Failed.reason = "never-arrived";
    return this->Hook.Send(Link, makeCallFrame(std::move(Failed)));
  }
  if (!Call && this->resumeEnded(Link, Id))
    return;
  if (!Call) {
    Call = &this->addRecord(Id, Millis(Open.budget_ms), Link, Now);
    return this->refuse(Id, *Call,
                        makeRefusal(Outcome::NotRun, "never-arrived",
                                    StepAdmission, this->Opts.Self),
                        Now);
  }
  Call->Link = Link;
  Call->Linked = true;
  this->AbandonAt.erase(Id);
  if (Call->Phase == State::Refused)
    return this->sendFailed(Id, *Call, Now);
  if (!Call->AnswerBody.rewind(Open.answer_received)) {
    return this->abortCall(Id, *Call,
                           makeRefusal(Outcome::Unknown, "answer-lost",
                                       StepAdmission, this->Opts.Self),
                           Now);
  }
  wire::AdmittedT Resumed;
  Resumed.seq = Id.Seq;
  Resumed.request_received = Call->RequestBody.received();
  this->Hook.Send(Link, makeCallFrame(Resumed));
  if (Call->HaveAnswerHead && !Open.have_head)
    this->sendHead(Id, *Call, Now);
  this->sendAnswer(Id, *Call);
}

void Gate::refuse(const CallId &Id, CallRecord &Call, Refusal Details,
                  TimePoint Now) {
  if (Call.isUnstarted() || Call.Phase == State::Running)
    this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
  this->releaseSendReservation(Call);
  this->Transfers.cancel(Id);
  this->Runs.removeRun(Id);
  this->Hook.RunEnded(Id);
  this->noteRunEnded(Id, SlowdownDetector::RunEnd::Excluded, Now);
  ++this->Counts.RefusedBy[Details.Reason];
  this->CapacityRefusals += Details.Reason == ReasonOverload;
  Call.Phase = State::Refused;
  Call.Prefetching = false;
  Call.RefusalDetails = std::move(Details);
  this->releaseContents(Call);
  this->noteEnded(Id);
  this->Hook.UsageChanged(Id);
  this->sendFailed(Id, Call, Now);
}

// Ends a call that may have run: its outcome is reported as Unknown from now
// on.
void Gate::abortCall(const CallId &Id, CallRecord &Call, const Refusal &Details,
                     TimePoint Now) {
  this->noteRunEnded(Id,
                     Call.Phase == State::Running
                         ? SlowdownDetector::RunEnd::Cancelled
                         : SlowdownDetector::RunEnd::Excluded,
                     Now);
  if (Call.Phase == State::Running) {
    this->Hook.Cancel(Id);
    this->Runs.runCancelled(Id, Now);
    this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
  }
  this->Hook.RunEnded(Id);
  this->releaseSendReservation(Call);
  this->Transfers.cancel(Id);
  if (!Call.IdempotencyKey.empty())
    this->KeyChecker.recordOutcomeUnknown(Call.IdempotencyKey, Now);
  ++this->Counts.Unknown;
  Call.Phase = State::Refused;
  Call.RefusalDetails = Details;
  this->releaseContents(Call);
  this->noteEnded(Id);
  this->Hook.UsageChanged(Id);
  this->sendFailed(Id, Call, Now);
}

// Frees the contents of a call that has failed: no byte of them is sent any
// more, while its record is kept for seconds. Upstreams whose answers never end
// would otherwise fill the memory call by call, and so would callers with large
// heads.
void Gate::releaseContents(CallRecord &Call) const {
  // An empty string that is assigned would leave the old memory in place.
  std::string().swap(Call.BufferedBody);
  std::string().swap(Call.RecordedAnswer);
  SendStream Empty(this->Opts.BodyWindowBytes);
  std::swap(Call.AnswerBody, Empty);
  Call.Request = RequestHead();
  Call.AnswerHead = ResponseHead();
}

size_t Gate::contentBytes(const CallRecord &Call) {
  return heldBytes(Call.Request) + heldBytes(Call.AnswerHead) +
         Call.BufferedBody.capacity() + Call.RecordedAnswer.capacity() +
         Call.AnswerBody.reservedSize();
}

size_t Gate::bufferedBytes() const {
  size_t Bytes = 0;
  for (const auto &[Id, Call] : this->Calls)
    Bytes += contentBytes(Call);
  return Bytes;
}

// Whether the call goes on only once its entry has sent or taken something.
bool Gate::entryActs(const CallRecord &Call) const {
  switch (Call.Phase) {
  case State::Waiting:
    return Call.Prefetching;
  case State::Admitted:
    return true;
  case State::Running: {
    if (Call.HaveAnswerHead)
      return Call.AnswerPaused;
    uint64_t AtUpstream = Call.RequestBody.received() - Call.BodyConsumed;
    return !Call.RequestBody.ended() && Call.Request.Length != 0 &&
           AtUpstream < this->Opts.MaxUnreportedBytes;
  }
  case State::Finished:
    return true;
  case State::Refused:
    return false;
  }
  return false;
}

std::optional<ResourceBudget::Usage> Gate::usage(const CallId &Id) const {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return std::nullopt;
  const CallRecord &Call = Found->second;
  bool Delivered =
      Call.Phase == State::Finished && Call.AnswerBody.isComplete();
  if (Call.Phase == State::Refused || Delivered)
    return std::nullopt;
  ResourceBudget::Usage Out;
  Out.Bytes = contentBytes(Call);
  Out.TotalBytes = Call.RequestBody.received() + Call.AnswerBytes;
  Out.OtherSideActs = this->entryActs(Call);
  return Out;
}

void Gate::evict(const CallId &Id, TimePoint Now) {
  CallRecord *Call = this->findCall(Id);
  if (!Call)
    return;
  if (Call->isUnstarted())
    this->refuse(Id, *Call,
                 makeRefusal(Outcome::NotRun, ReasonEvicted, StepAdmission,
                             this->Opts.Self),
                 Now);
  else if (Call->Phase == State::Running)
    this->abortCall(Id, *Call,
                    makeRefusal(Outcome::Unknown, ReasonEvicted, StepUpstream,
                                this->Opts.Self),
                    Now);
  else if (Call->Phase == State::Finished)
    this->dropAnswer(Id, *Call, ReasonEvicted, Now);
  this->advanceQueue(Now);
}

// Ends a call that has run and whose answer is not delivered any more.
void Gate::dropAnswer(const CallId &Id, CallRecord &Call, const char *Reason,
                      TimePoint Now) {
  Call.Phase = State::Refused;
  Call.RefusalDetails =
      makeRefusal(Outcome::Unknown, Reason, StepUpstream, this->Opts.Self);
  this->releaseContents(Call);
  this->noteEnded(Id);
  this->Hook.UsageChanged(Id);
  this->sendFailed(Id, Call, Now);
}

void Gate::advanceQueue(TimePoint Now) {
  Admission::QueueUpdate Update = this->AdmissionControl.advanceQueue(Now);
  for (Admission::DroppedCall &Dropped : Update.ToDrop) {
    Dropped.RefusalDetails.Peer = this->Opts.Self;
    if (CallRecord *Call = this->findCall(Dropped.Id))
      this->refuse(Dropped.Id, *Call, std::move(Dropped.RefusalDetails), Now);
  }
  for (const CallId &Id : Update.ToRun)
    if (CallRecord *Call = this->findCall(Id))
      this->onSlotGranted(Id, *Call, Now);
  this->grantTransfers(Now);
}

void Gate::refuseUnstarted(const std::string &Reason, TimePoint Now) {
  for (auto &[Id, Call] : this->Calls)
    if (Call.isUnstarted())
      this->refuse(
          Id, Call,
          makeRefusal(Outcome::NotRun, Reason, StepAdmission, this->Opts.Self),
          Now);
}

void Gate::drain(const std::string &Reason, TimePoint Now) {
  if (!this->Opts.Guards.DrainClosesGate)
    return;
  bool WasDraining = this->draining();
  this->AdmissionControl.drain(Reason);
  if (WasDraining)
    return;
  for (const auto &[Link, State] : this->Links) {
    wire::DrainingT Notice;
    Notice.by = Reason;
    this->Hook.Send(Link, makeCallFrame(std::move(Notice)));
  }
  this->refuseUnstarted("draining", Now);
  this->advanceQueue(Now);
}

// Entries send no calls to a gate that has announced that it is draining, so
// none of its answers would show them that it is open again. Without an
// announcement, the callers of a service with one upstream would be refused for
// as long as the link lives.
void Gate::reopen(const std::string &Reason, TimePoint Now) {
  this->AdmissionControl.reopen(Reason);
  if (!this->draining())
    this->announceState(Now);
}

bool Gate::idle() const {
  return std::all_of(
      this->Calls.begin(), this->Calls.end(), [](const auto &Item) {
        const CallRecord &Call = Item.second;
        bool AnswerDelivered = !Call.Linked || Call.Phase == State::Refused ||
                               Call.AnswerBody.isComplete();
        return Call.Phase != State::Running && !Call.isUnstarted() &&
               AnswerDelivered;
      });
}

Gate::UnfinishedCalls Gate::unfinishedCalls() const {
  UnfinishedCalls Counts;
  for (const auto &[Id, Call] : this->Calls) {
    Counts.Waiting += Call.Phase == State::Waiting;
    Counts.Admitted += Call.Phase == State::Admitted;
    Counts.Running += Call.Phase == State::Running;
  }
  return Counts;
}

void Gate::processPaused(TimePoint Now) {
  this->Slowdowns.processPaused();
  if (!this->Opts.Guards.PauseBarrier)
    return;
  for (auto &[Link, State] : this->Links) {
    wire::PingT Ping;
    Ping.nonce = ++this->LastNonce;
    State.PauseBarrier = Ping.nonce;
    this->Hook.Send(Link, makeCallFrame(Ping));
  }
  this->tick(Now);
}

void Gate::tick(TimePoint Now) {
  if (Now - this->AnsweredAt > this->Opts.ConfirmationPeriod)
    this->AnsweredBy.clear();
  this->AdmissionControl.coldStart().startCounting(Now);
  this->abortAbandonedCalls(Now);
  this->endStalledCalls(Now);
  this->compactRecords(Now);
  this->reprobeIfDue(Now);
  this->noteShedding(Now);
  this->queryHealthIfNeeded(Now);
  while (!this->Timers.empty() && this->Timers.begin()->first <= Now) {
    CallId Id = this->Timers.begin()->second;
    this->Timers.erase(this->Timers.begin());
    this->onTimer(Id, Now);
  }
  this->advanceQueue(Now);
  this->checkSlowdown(/*Retry=*/true, Now);
  this->KeyChecker.expire(Now);
}

void Gate::onTimer(const CallId &Id, TimePoint Now) {
  CallRecord *Call = this->findCall(Id);
  if (!Call) {
    this->Ended.erase(Id);
    return;
  }
  Call->Timer = this->Timers.end();
  if (Call->Prefetching || Call->Phase == State::Admitted)
    this->refuse(Id, *Call,
                 makeRefusal(Outcome::NotRun, "deadline", StepAdmission,
                             this->Opts.Self),
                 Now);
  if (Call->Phase == State::Running)
    this->abortCall(Id, *Call,
                    makeRefusal(Outcome::Unknown, "deadline", StepUpstream,
                                this->Opts.Self),
                    Now);
  TimePoint RemoveAt = Call->Deadline + this->Opts.RetainAfterDeadline;
  if (Now >= RemoveAt && Call->Phase != State::Waiting) {
    this->Calls.erase(Id);
    this->Hook.UsageChanged(Id);
  } else {
    Call->Timer = this->Timers.emplace(std::max(RemoveAt, Now + Millis(1)), Id);
  }
}

} // namespace hickorylift
