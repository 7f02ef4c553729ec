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
      Slots(this->Opts.Slots, this->Opts.Seed),
      Judge(this->Opts.Keys, this->Opts.Self), Transfers(this->Opts.Transfers),
      Watch(this->Opts.Runs) {}

void Gate::configure(const ConfigPtr &New, TimePoint Now) {
  const Service *Named = New->findService(this->Opts.Service);
  // The old configuration stays alive here until the new one is set.
  ConfigPtr Old = std::exchange(this->InForce, New);
  this->Of = Named;
  this->configureSlots(Now);
  this->askWhetherCold(Now);
  this->pump(Now);
}

// The list knows this very upstream, the configuration only its service.
void Gate::configureSlots(TimePoint Now) {
  if (!this->Of)
    return;
  Service Here = *this->Of;
  if (this->ListedSlots)
    Here.Slots = this->ListedSlots;
  this->Slots.configure(Here, Now);
}

void Gate::members(const std::vector<const Instance *> &Upstreams,
                   TimePoint Now) {
  this->Judge.setUpstreams(Upstreams, Now);
  for (const Instance *One : Upstreams) {
    if (One->Name != this->Opts.Self)
      continue;
    if (this->ListedAs && !One->sameStart(*this->ListedAs)) {
      this->Slots.upstreamRestarted(Now);
      this->doubtWarm(Now);
    }
    this->ListedAs = *One;
    this->Slots.coldStart().observeUpstream(One->Upstream, Now);
    this->Slots.coldStart().listReported(One->ColdLeft, Now);
    if (One->Slots == this->ListedSlots)
      continue;
    this->ListedSlots = One->Slots;
    this->configureSlots(Now);
  }
  this->askWhetherCold(Now);
}

Gate::Call *Gate::find(const CallId &Id) {
  auto Found = this->Calls.find(Id);
  return Found == this->Calls.end() ? nullptr : &Found->second;
}

const Limit *Gate::limitNamed(const std::string &Name) const {
  return this->InForce && !Name.empty() ? this->InForce->findLimit(Name)
                                        : nullptr;
}

void Gate::frame(LinkId Link, const wire::CallFrameT &Frame, TimePoint Now) {
  auto Found = this->Links.find(Link);
  if (Found == this->Links.end())
    return;
  if (const auto *Hello = Frame.payload.AsCallHello()) {
    this->Entries[Link] = Hello->incarnation;
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
    if (Found->second.Barrier == Pong->nonce)
      Found->second.Barrier.reset();
}

Gate::Call &Gate::enter(const CallId &Id, Millis Budget, LinkId Link,
                        TimePoint Now) {
  Call &One = this->Calls.emplace(Id, Call(this->Opts.Window)).first->second;
  One.Link = Link;
  One.Linked = true;
  One.CameAt = Now;
  One.Deadline = Now + Budget;
  this->Due.emplace(One.Deadline, Id);
  return One;
}

void Gate::onOpen(LinkId Link, const wire::OpenT &Open, TimePoint Now) {
  this->Entries.try_emplace(Link, Open.entry);
  if (Open.resume)
    return this->onResume(Link, Open, Now);
  CallId Id{Open.entry, Open.seq};
  if (this->find(Id)) {
    if (this->Opts.Guards.RememberCalls)
      return; // the late copy of a call that was asked for again
    this->Calls.erase(Id);
  }
  Call &One = this->enter(Id, Millis(Open.budget_ms), Link, Now);
  One.Head.Method = Open.method;
  One.Head.Path = Open.path;
  One.Head.Headers = fromWire(Open.headers);
  One.Head.Length = Open.length;
  One.Upstream = Open.upstream;
  One.BodyHeld = Open.holds_body;
  One.Key = Open.idempotency_key;
  One.Idempotent = Open.idempotent;
  One.Crashes = Open.crashes;
  this->judge(Id, One, Open, Now);
}

void Gate::judge(const CallId &Id, Call &One, const wire::OpenT &Open,
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
  if (this->Links[One.Link].Barrier)
    return NotRun("paused");
  if (Open.service != this->Opts.Service || !this->Of)
    return NotRun("not-my-service");
  if (this->Gone)
    return NotRun(UpstreamIsGone);
  this->Slots.coldStart().observeUpstream(Open.upstream, Now);
  this->askWhetherCold(Now);
  if (this->Calls.size() > this->Opts.MaxRemembered)
    return NotRun("memory-full");
  Admission::Request &Wanted = One.Wanted;
  Wanted.Id = Id;
  Wanted.Deadline = One.Deadline;
  Wanted.Priority = Open.priority;
  Wanted.CallerClass = Open.caller_class;
  Wanted.Target = Now + Millis(Open.target_ms);
  Wanted.Kind = Open.route;
  Wanted.Rank = Open.rank;
  One.LimitName = Open.limit;
  this->fetchesFirst(One, Now) ? this->fetch(Id, One, Now)
                               : this->admit(Id, One, Now);
}

void Gate::admit(const CallId &Id, Call &One, TimePoint Now) {
  One.Fetching = false;
  Admission::Request Wanted = One.Wanted;
  Wanted.RouteLimit = this->limitNamed(One.LimitName);
  Admission::Result Room = this->Slots.admit(Wanted, Now);
  if (Room.Action == Admission::Decision::Refuse) {
    Room.RefusalDetails.Peer = this->Opts.Self;
    return this->refuse(Id, One, Room.RefusalDetails, Now);
  }
  if (Room.Action == Admission::Decision::Run)
    this->takeSlot(Id, One, Now);
}

bool Gate::judgeKey(const CallId &Id, Call &One, TimePoint Now) {
  if (One.Key.empty() || One.Idempotent)
    return true;
  uint64_t Fingerprint =
      combineHash(contentHash(One.Head.Method), contentHash(One.Head.Path));
  IdempotencyChecker::Result Known = this->Judge.check(
      One.Key, Fingerprint, this->Of->KeyWindow, this->Hook.ListAge(Now), Now);
  if (Known.Action == IdempotencyChecker::Decision::Run)
    return true;
  One.Key.clear(); // another call's: its end must not touch the record
  this->Slots.finished(Id, /*Answered=*/false, Now);
  if (Known.Action == IdempotencyChecker::Decision::Replay)
    this->replay(Id, One, std::move(Known), Now);
  else
    this->refuse(Id, One, Known.RefusalDetails, Now);
  return false;
}

void Gate::replay(const CallId &Id, Call &One, IdempotencyChecker::Result Known,
                  TimePoint Now) {
  One.Now = State::Finished;
  One.HaveHead = true;
  One.Answer = std::move(Known.Head);
  One.Answer.Headers.push_back({"Hickorylift-Replayed", "true"});
  One.Answer.Length = static_cast<int64_t>(Known.Body.size());
  One.Response.append(Known.Body);
  One.Response.finish();
  this->sendHead(Id, One, Now);
  this->sendAnswer(Id, One);
}

void Gate::start(const CallId &Id, Call &One, TimePoint Now) {
  if (Now >= One.Deadline)
    return this->refuse(Id, One,
                        makeRefusal(Outcome::NotRun, "deadline", StepAdmission,
                                    this->Opts.Self),
                        Now);
  if (!this->mayRun(Id, One, Now) || !this->judgeKey(Id, One, Now))
    return;
  if (std::optional<Admission::Result> No = this->Slots.reserveCapacity(Now)) {
    if (!One.Key.empty())
      this->Judge.recordNotRun(One.Key);
    No->RefusalDetails.Peer = this->Opts.Self;
    return this->refuse(Id, One, std::move(No->RefusalDetails), Now);
  }
  One.Now = State::Running;
  One.Unsent = true;
  One.StartedAt = Now;
  this->Watch.runStarted(Id, One.Print, One.Suspected);
  ++this->Counts.Started;
  // What the upstream calls in turn has this much left.
  setHeader(One.Head.Headers, this->Opts.Names.Budget,
            std::to_string(toMillis(One.Deadline - Now).count()));
  if (!this->Opts.Names.ExpectedUpstream.empty() && !One.Upstream.empty())
    setHeader(One.Head.Headers, this->Opts.Names.ExpectedUpstream,
              One.Upstream);
  this->Hook.Start(Id, One.Head, One.Idempotent);
  if (std::exchange(One.BodyHeld, false) && this->Transfers.request(Id, Now))
    this->askForBody(Id, One);
  std::string Early = std::exchange(One.EarlyBody, "");
  this->forwardBody(Id, One, Early);
}

void Gate::onCredit(LinkId Link, const wire::CreditT &Credit, TimePoint) {
  CallId Id = this->idOn(Link, Credit.seq);
  Call *One = this->find(Id);
  if (!One || One->Link != Link)
    return;
  One->Response.credit(Credit.consumed);
  this->sendAnswer(Id, *One);
  if (One->AnswerPaused && One->Response.bufferedSize() <= this->Opts.Window) {
    One->AnswerPaused = false;
    this->Hook.PauseAnswer(Id, false);
  }
}

void Gate::onCancel(LinkId Link, const wire::CancelT &Cancel, TimePoint Now) {
  CallId Id = this->idOn(Link, Cancel.seq);
  Call *One = this->find(Id);
  if (!One)
    return;
  // Nobody takes the rest of its answer, and a stop need not wait for that.
  if (One->Now == State::Finished)
    One->Linked = false;
  if (One->isUnseen())
    this->refuse(Id, *One,
                 makeRefusal(Outcome::NotRun, "cancelled", StepAdmission,
                             this->Opts.Self),
                 Now);
  else if (One->Now == State::Running)
    this->breakOff(Id, *One,
                   makeRefusal(Outcome::Unknown, "cancelled", StepUpstream,
                               this->Opts.Self),
                   Now);
  this->pump(Now);
}

void Gate::onResume(LinkId Link, const wire::OpenT &Open, TimePoint Now) {
  CallId Id{Open.entry, Open.seq};
  Call *One = this->find(Id);
  if (!this->Opts.Guards.RememberCalls) {
    wire::FailedT Failed;
    Failed.seq = Id.Seq;
    Failed.reason = "never-arrived";
    return this->Hook.Send(Link, makeCallFrame(std::move(Failed)));
  }
  if (!One) {
    One = &this->enter(Id, Millis(Open.budget_ms), Link, Now);
    return this->refuse(Id, *One,
                        makeRefusal(Outcome::NotRun, "never-arrived",
                                    StepAdmission, this->Opts.Self),
                        Now);
  }
  One->Link = Link;
  One->Linked = true;
  this->Unlinked.erase(Id);
  if (One->Now == State::Refused)
    return this->sendFailed(Id, *One, Now);
  if (!One->Response.rewind(Open.answer_received)) {
    return this->breakOff(Id, *One,
                          makeRefusal(Outcome::Unknown, "answer-lost",
                                      StepAdmission, this->Opts.Self),
                          Now);
  }
  wire::AdmittedT Joined;
  Joined.seq = Id.Seq;
  Joined.request_received = One->Request.received();
  this->Hook.Send(Link, makeCallFrame(Joined));
  if (One->HaveHead && !Open.have_head)
    this->sendHead(Id, *One, Now);
  this->sendAnswer(Id, *One);
}

void Gate::refuse(const CallId &Id, Call &One, Refusal Why, TimePoint Now) {
  if (One.isUnseen() || One.Now == State::Running)
    this->Slots.finished(Id, /*Answered=*/false, Now);
  this->settleSend(One);
  this->Transfers.cancel(Id);
  this->Watch.removeRun(Id);
  ++this->Counts.RefusedBy[Why.Reason];
  One.Now = State::Refused;
  One.Fetching = false;
  One.Why = std::move(Why);
  One.EarlyBody.clear();
  this->sendFailed(Id, One, Now);
}

// The call may have run: whatever it is told from here on is Unknown.
void Gate::breakOff(const CallId &Id, Call &One, const Refusal &Why,
                    TimePoint Now) {
  if (One.Now == State::Running) {
    this->Hook.Cancel(Id);
    this->Watch.runCancelled(Id, Now);
    this->Slots.finished(Id, /*Answered=*/false, Now);
  }
  this->settleSend(One);
  this->Transfers.cancel(Id);
  if (!One.Key.empty())
    this->Judge.recordOutcomeUnknown(One.Key, Now);
  ++this->Counts.Unknown;
  One.Now = State::Refused;
  One.Why = Why;
  this->sendFailed(Id, One, Now);
}

void Gate::pump(TimePoint Now) {
  Admission::QueueUpdate Turn = this->Slots.advanceQueue(Now);
  for (Admission::DroppedCall &Late : Turn.ToDrop) {
    Late.RefusalDetails.Peer = this->Opts.Self;
    if (Call *One = this->find(Late.Id))
      this->refuse(Late.Id, *One, std::move(Late.RefusalDetails), Now);
  }
  for (const CallId &Id : Turn.ToRun)
    if (Call *One = this->find(Id))
      this->takeSlot(Id, *One, Now);
  this->grantTransfers(Now);
}

void Gate::refuseUnseen(const std::string &Reason, TimePoint Now) {
  for (auto &[Id, One] : this->Calls)
    if (One.isUnseen())
      this->refuse(
          Id, One,
          makeRefusal(Outcome::NotRun, Reason, StepAdmission, this->Opts.Self),
          Now);
}

void Gate::drain(const std::string &By, TimePoint Now) {
  if (!this->Opts.Guards.DrainClosesGate)
    return;
  bool Closed = this->draining();
  this->Slots.drain(By);
  if (Closed)
    return;
  for (const auto &[Link, State] : this->Links) {
    wire::DrainingT Said;
    Said.by = By;
    this->Hook.Send(Link, makeCallFrame(std::move(Said)));
  }
  this->refuseUnseen("draining", Now);
  this->pump(Now);
}

// Entries leave a gate aside that has said that it closes, send nothing there
// any more, and so would not find out: with one upstream, its callers would be
// refused for as long as the link lives.
void Gate::reopen(const std::string &By, TimePoint Now) {
  this->Slots.reopen(By);
  if (!this->draining())
    this->tellLinks(Now);
}

bool Gate::idle() const {
  return std::all_of(
      this->Calls.begin(), this->Calls.end(), [](const auto &One) {
        const Call &Of = One.second;
        bool Told =
            !Of.Linked || Of.Now == State::Refused || Of.Response.isComplete();
        return Of.Now != State::Running && !Of.isUnseen() && Told;
      });
}

Gate::Held Gate::held() const {
  Held Out;
  for (const auto &[Id, One] : this->Calls) {
    Out.Waiting += One.Now == State::Waiting;
    Out.Admitted += One.Now == State::Admitted;
    Out.Running += One.Now == State::Running;
  }
  return Out;
}

void Gate::paused(TimePoint Now) {
  if (!this->Opts.Guards.PauseBarrier)
    return;
  for (auto &[Link, State] : this->Links) {
    wire::PingT Ping;
    Ping.nonce = ++this->LastNonce;
    State.Barrier = Ping.nonce;
    this->Hook.Send(Link, makeCallFrame(Ping));
  }
  this->tick(Now);
}

void Gate::tick(TimePoint Now) {
  this->Slots.coldStart().startCounting(Now);
  this->endOrphans(Now);
  this->lookForUpstream(Now);
  this->askWhetherCold(Now);
  while (!this->Due.empty() && this->Due.begin()->first <= Now) {
    CallId Id = this->Due.begin()->second;
    this->Due.erase(this->Due.begin());
    this->onDue(Id, Now);
  }
  this->pump(Now);
  this->Judge.expire(Now);
}

void Gate::onDue(const CallId &Id, TimePoint Now) {
  Call *One = this->find(Id);
  if (!One)
    return;
  if (One->Fetching || One->Now == State::Admitted)
    this->refuse(Id, *One,
                 makeRefusal(Outcome::NotRun, "deadline", StepAdmission,
                             this->Opts.Self),
                 Now);
  if (One->Now == State::Running)
    this->breakOff(Id, *One,
                   makeRefusal(Outcome::Unknown, "deadline", StepUpstream,
                               this->Opts.Self),
                   Now);
  TimePoint ForgetAt = One->Deadline + this->Opts.RememberSlack;
  if (Now >= ForgetAt && One->Now != State::Waiting)
    this->Calls.erase(Id);
  else
    this->Due.emplace(std::max(ForgetAt, Now + Millis(1)), Id);
}

} // namespace hickorylift
