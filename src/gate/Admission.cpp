#include "gate/Admission.h"

#include <algorithm>
#include <cmath>

// A call runs at once while a slot is free. It waits if a slot is expected to
// become free in time, and is refused at once otherwise. A call that can't be
// answered in time isn't kept waiting: a call that ends after its deadline uses
// a slot that another call could have used, and under a lasting overload such
// calls would soon be the only ones that run.
//
// The same holds for the target, after which an answer is worth less. A single
// queue in order of arrival makes every call a little too late under overload.
// So a call waits only while it can still meet its target. A call that can't
// runs if a slot is free when it arrives, and is otherwise refused with a retry
// delay: a few late calls that waited behind the others took slots from calls
// that were in time (docs/design/deciding-under-load.md has what that cost
// callers).
//
// Among the waiting calls, the one with the earliest latest start (its target
// less its run time) goes first. In order of the targets alone, the calls of a
// short route would overtake those of a long route until these could no longer
// meet their targets: at 1.5 times the capacity, 6 in 1,000 calls of the long
// route were served, and 936 in 1,000 with this order. When capacity is short,
// a run that makes several calls is lost when any of them is refused, so calls
// from some nodes are put slightly behind others, see NodeRank. A nested call
// is put ahead, because a run holds a slot elsewhere until it is answered. The
// calls that start without this lead limit how many nested calls have it;
// otherwise ordinary calls would starve where nested calls alone exceed the
// capacity.
//
// A caller that came back when it was told to and is refused again does not
// come back a second time. Where the settings say so, a returning call may
// therefore wait until its deadline. Once it can no longer meet its target, it
// is ordered by the latest start that meets its deadline, so that it does not
// overtake calls that can still meet their targets.
//
// The number of slots is the configured one, lowered while the upstream warms
// up and while it sheds. A shed multiplies it by a factor below one, and each
// answer raises it a little, as TCP does with its congestion window: the
// upstream knows its state better than its published load shows.

namespace hickorylift {

namespace {

constexpr unsigned TooManyRequests = 429;
// A hedge leaves at least one slot in this many free.
constexpr size_t HedgeFreeDivisor = 4;
const char ReasonOverload[] = "overload";
const char ReasonStatedRate[] = "stated-rate";
const char ReasonReserve[] = "priority-reserve";

} // namespace

void Admission::configure(const Service &Config, TimePoint Now) {
  if (!this->Configured) {
    this->WarmupStart = Now;
    this->SlotWindow = Config.Slots;
  } else if (Config.Slots != this->ServiceConfig.Slots) {
    this->SlotWindow = Config.Slots;
  }
  this->Configured = true;
  this->ServiceConfig = Config;
  bool LimitsCold = this->Opts.Guards.SpareCold;
  this->ColdLimiter.configure(LimitsCold ? Config.ColdPerSecond : 0,
                              Config.Warmup, Now);
}

// The slots of the upstream, fewer while it warms up.
double Admission::warmSlots(TimePoint Now) const {
  double Slots = this->ServiceConfig.Slots;
  Clock::duration SinceStart = Now - this->WarmupStart;
  // If the service states the call rate that a cold upstream can handle, that
  // rate is the only limit while it is cold.
  if (SinceStart < this->ServiceConfig.Warmup &&
      this->ServiceConfig.ColdPerSecond == 0)
    return Slots * std::chrono::duration<double>(SinceStart) /
           std::chrono::duration<double>(this->ServiceConfig.Warmup);
  return Slots;
}

size_t Admission::openSlots(TimePoint Now) const {
  double Open = std::min<double>(this->SlotWindow, this->warmSlots(Now));
  return std::max<size_t>(1, static_cast<size_t>(Open));
}

// Number of slots that the allowed call rate keeps busy; all Slots if there is
// no such rate.
double Admission::slotsForRate(double Slots, TimePoint Now) const {
  std::optional<double> Rate = this->allowedRate(Now);
  if (!Rate)
    return Slots;
  using Seconds = std::chrono::duration<double>;
  Clock::duration RunTime =
      this->MeanRunTime.value_or(this->Opts.InitialLatency);
  return std::clamp(std::ceil(*Rate * Seconds(RunTime).count()), 1.0, Slots);
}

bool Admission::hasFreeSlot(TimePoint Now) const {
  double Slots = this->slotsForRate(std::max(1.0, this->warmSlots(Now)), Now);
  return static_cast<double>(this->RunningCalls.size()) < std::floor(Slots);
}

Admission::Result Admission::refuse(const std::string &Reason,
                                    Millis RetryAfter, unsigned Status) {
  Refusal Details;
  Details.Reason = Reason;
  Details.Step = "admission";
  Details.RetryAfter = RetryAfter;
  Details.Status = Status;
  return {Decision::Refuse, Details};
}

// The delay is spread at random over up to twice its length, so that calls that
// were refused together don't all return together.
Millis Admission::retryAfter(Clock::duration Wait) {
  Millis Base = std::clamp(toMillis(Wait), this->Opts.MinRetryAfter,
                           this->Opts.MaxRetryAfter);
  return Base + Millis(this->Rng() % (Base.count() + 1));
}

// A shorter delay than one run would bring the caller back before the calls
// that run now have ended.
Millis Admission::overloadRetryAfter(Clock::duration Wait,
                                     const std::string &Kind) {
  if (!this->Opts.FavoursReturning)
    return this->retryAfter(Wait);
  return this->retryAfter(std::max(Wait, this->expectedRunTime(Kind)));
}

// Both limits may hold at once: an upstream that has just started may also
// state a rate.
size_t Admission::rateCapacity(TimePoint Now) {
  return std::min(this->ColdLimiter.capacity(Now),
                  this->RateLimiter.capacity(Now));
}

Clock::duration Admission::timeUntilCapacity(TimePoint Now) {
  return std::max(this->ColdLimiter.timeUntilCapacity(Now),
                  this->RateLimiter.timeUntilCapacity(Now));
}

std::optional<double> Admission::allowedRate(TimePoint Now) const {
  std::optional<double> Rate;
  if (this->ColdLimiter.isCold(Now))
    Rate = this->ColdLimiter.allowedRate();
  if (this->RateLimiter.isLimited())
    Rate =
        std::min(Rate.value_or(HUGE_VAL), this->RateLimiter.allowedRate(Now));
  return Rate;
}

const char *Admission::overloadReason(TimePoint Now) {
  return this->RateLimiter.capacity(Now) == 0 ? ReasonStatedRate
                                              : ReasonOverload;
}

void Admission::releaseReservation() {
  this->ColdLimiter.releaseReservation();
  this->RateLimiter.releaseReservation();
}

void Admission::recordSent(bool IsCall, TimePoint Now) {
  this->ColdLimiter.recordSent(Now);
  if (IsCall)
    this->RateLimiter.recordSent(Now);
}

Clock::duration Admission::expectedWait(size_t Ahead, TimePoint Now) {
  Clock::duration MeanRun =
      this->MeanRunTime.value_or(this->Opts.InitialLatency);
  Clock::duration ForSlot = MeanRun * static_cast<int64_t>(Ahead + 1) /
                            static_cast<int64_t>(this->openSlots(Now));
  std::optional<double> Rate = this->allowedRate(Now);
  if (!Rate)
    return ForSlot;
  auto CallInterval = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1 / *Rate));
  Clock::duration ForCapacity =
      this->timeUntilCapacity(Now) + CallInterval * static_cast<int64_t>(Ahead);
  return std::max(ForSlot, ForCapacity);
}

Clock::duration Admission::expectedRunTime(const std::string &Kind) const {
  auto Found = this->RunTimeByKind.find(Kind);
  if (Found != this->RunTimeByKind.end())
    return Found->second;
  return this->MeanRunTime.value_or(Clock::duration::zero());
}

bool Admission::canMeetDeadline(const Request &Call, TimePoint Now) const {
  auto Needed = std::chrono::duration_cast<Clock::duration>(
      this->expectedRunTime(Call.Kind) * this->Opts.MinRunTimeShare);
  return Now < Call.Deadline && Call.Deadline - Now >= Needed;
}

// A call that starts after the returned time is expected to miss its target.
TimePoint Admission::latestStart(const Request &Call) const {
  TimePoint AnswerBy = std::min(Call.Target, Call.Deadline);
  auto RunTime = std::chrono::duration_cast<Clock::duration>(
      this->expectedRunTime(Call.Kind) * this->Opts.TargetMargin);
  return AnswerBy - RunTime;
}

Admission::QueueKey Admission::queueKey(const Request &Call) const {
  TimePoint StartBy =
      this->latestStart(Call) + this->Opts.RankSpread * Call.Rank / UINT8_MAX;
  if (this->getsLead(Call))
    StartBy -= this->Opts.NestedLead;
  return {Call.Priority, StartBy, Call.Id};
}

bool Admission::getsLead(const Request &Call) const {
  return Call.Nested && this->NestedLeads >= 1;
}

// A call that leaves the queue without a start has not used its lead.
void Admission::returnLead(const WaitingCall &Waiting) {
  if (Waiting.HasLead)
    this->NestedLeads =
        std::min(this->Opts.MaxNestedLeads, this->NestedLeads + 1);
}

void Admission::recordStartWithoutLead() {
  this->NestedLeads =
      std::min(this->Opts.MaxNestedLeads,
               this->NestedLeads + this->Opts.NestedLeadsPerStart);
}

bool Admission::canMeetTarget(const Request &Call, Clock::duration Wait,
                              TimePoint Now) const {
  return Now + Wait <= this->latestStart(Call);
}

std::string Admission::limitKey(const Request &Call) const {
  if (!Call.RouteLimit)
    return "";
  bool HasClassLimit = Call.RouteLimit->ByClass.count(Call.CallerClass) != 0;
  return Call.RouteLimit->Name + "/" + (HasClassLimit ? Call.CallerClass : "");
}

std::optional<Admission::Result> Admission::checkLimit(const Request &Call,
                                                       const std::string &Key,
                                                       TimePoint Now) {
  if (Key.empty())
    return std::nullopt;
  auto ClassLimit = Call.RouteLimit->ByClass.find(Call.CallerClass);
  const CallerLimit &Configured = ClassLimit == Call.RouteLimit->ByClass.end()
                                      ? Call.RouteLimit->All
                                      : ClassLimit->second;
  auto [Found, Inserted] = this->Limits.try_emplace(
      Key, LimitState{TokenBucket(Configured.RatePerSecond, Configured.Burst),
                      Configured});
  LimitState &State = Found->second;
  // A new configuration version may have other limits under the same name.
  if (!Inserted && State.Configured != Configured)
    State.RateBucket = TokenBucket(Configured.RatePerSecond, Configured.Burst);
  State.Configured = Configured;
  if (Configured.Concurrency && State.Running >= Configured.Concurrency)
    return this->refuse("concurrency-limit",
                        this->retryAfter(this->expectedWait(0, Now)),
                        TooManyRequests);
  if (Configured.RatePerSecond > 0 && !State.RateBucket.take(Now))
    return this->refuse("rate-limit", State.RateBucket.wait(), TooManyRequests);
  ++State.Running;
  return std::nullopt;
}

void Admission::releaseLimit(const std::string &LimitKey) {
  auto Found = this->Limits.find(LimitKey);
  if (Found != this->Limits.end() && Found->second.Running > 0)
    --Found->second.Running;
}

bool Admission::canQueue(const Request &Call, TimePoint Now) {
  auto Ahead = static_cast<size_t>(std::distance(
      this->Queue.begin(), this->Queue.lower_bound(this->queueKey(Call))));
  if (Ahead >= this->ServiceConfig.QueueLimit)
    return false;
  if (!this->Opts.Guards.DropLate)
    return true;
  Clock::duration Wait = this->expectedWait(Ahead, Now);
  return Wait <= this->ServiceConfig.QueueWait &&
         this->canMeetTarget(Call, Wait, Now);
}

// Whether the call may wait although it can no longer meet its target.
bool Admission::mayMissTarget(const Request &Call, TimePoint Now) const {
  if (!this->Opts.FavoursReturning || !Call.Returning ||
      Call.Target >= Call.Deadline)
    return false;
  Request DeadlineOnly = Call;
  DeadlineOnly.Target = TimePoint::max();
  return this->canMeetTarget(DeadlineOnly, Clock::duration::zero(), Now);
}

// The call as it is queued. A returning call that can't meet its target but may
// wait until its deadline loses the target.
Admission::Request Admission::withoutUnreachableTarget(const Request &Call,
                                                       TimePoint Now) {
  Request Result = Call;
  if (this->mayMissTarget(Call, Now) && !this->canQueue(Call, Now))
    Result.Target = TimePoint::max();
  return Result;
}

void Admission::enqueue(const Request &Call, TimePoint QueuedAt,
                        const std::string &LimitKey) {
  QueueKey Key = this->queueKey(Call);
  bool HasLead = this->getsLead(Call);
  this->NestedLeads -= HasLead ? 1 : 0;
  this->Queue[Key] = {Call, QueuedAt, LimitKey, HasLead};
  this->QueueKeys[Call.Id] = Key;
}

bool Admission::mayTakeSlot(uint32_t Priority, TimePoint Now) {
  size_t Slots = this->openSlots(Now);
  return this->RunningCalls.size() +
             this->Reserve.reservedSlots(Priority, Slots, Now) <
         Slots;
}

// Whether a slot is free, but only for more urgent calls.
bool Admission::isBlockedByReserve(uint32_t Priority, TimePoint Now) {
  return this->Reserve.isEnabled() &&
         this->RunningCalls.size() < this->openSlots(Now) &&
         this->rateCapacity(Now) > 0 && !this->mayTakeSlot(Priority, Now);
}

const char *Admission::waitReason(uint32_t Priority, TimePoint Now) {
  return this->isBlockedByReserve(Priority, Now) ? ReasonReserve
                                                 : this->overloadReason(Now);
}

// With a reserve, less urgent calls may wait although slots are free. They do
// not hold up a more urgent call.
bool Admission::canRunNow(const Request &Call, TimePoint Now) {
  bool IsFirst =
      this->Queue.empty() ||
      (this->Reserve.isEnabled() &&
       std::get<uint32_t>(this->Queue.begin()->first) > Call.Priority);
  return IsFirst && this->mayTakeSlot(Call.Priority, Now) &&
         this->rateCapacity(Now) > 0;
}

void Admission::startRunning(const Request &Call, const std::string &LimitKey,
                             TimePoint Now) {
  this->RunningCalls[Call.Id] = {Now, LimitKey, Call.Kind, Call.Priority};
  this->Reserve.callStarted(Call.Priority, Now);
}

// The slots that shedding or the warm-up have closed count among all slots but
// not among the free ones, so that an upstream that sheds calls or warms up
// gets fewer second runs or none.
bool Admission::canRunHedge(uint32_t Priority, TimePoint Now) {
  bool MayStart = this->Queue.empty() && this->mayTakeSlot(Priority, Now) &&
                  this->rateCapacity(Now) > 0;
  if (!this->Configured || this->draining() || !MayStart)
    return false;
  size_t FreeAfter = this->openSlots(Now) - this->RunningCalls.size() - 1;
  return FreeAfter * HedgeFreeDivisor >= this->ServiceConfig.Slots;
}

std::optional<Admission::Result> Admission::wouldRefuse(const Request &Call,
                                                        TimePoint Now) {
  if (!this->Configured)
    return this->refuse("no-configuration", this->Opts.MaxRetryAfter / 5);
  if (this->draining())
    return this->refuse("draining", Millis(0));
  if (Now >= Call.Deadline)
    return this->refuse("deadline", Millis(0));
  if (this->canRunNow(Call, Now) ||
      this->canQueue(this->withoutUnreachableTarget(Call, Now), Now))
    return std::nullopt;
  if (this->isBlockedByReserve(Call.Priority, Now))
    this->Reserve.recordBlocked(Call.Priority, /*CallWaits=*/false,
                                this->openSlots(Now), Now);
  return this->refuse(
      this->waitReason(Call.Priority, Now),
      this->overloadRetryAfter(this->expectedWait(this->Queue.size(), Now),
                               Call.Kind));
}

Admission::Result Admission::admit(const Request &Call, TimePoint Now) {
  bool Blocked = this->isBlockedByReserve(Call.Priority, Now);
  if (std::optional<Result> Refused = this->wouldRefuse(Call, Now))
    return *Refused;
  bool RunsNow = this->canRunNow(Call, Now);
  std::string Key = this->limitKey(Call);
  if (std::optional<Result> LimitExceeded = this->checkLimit(Call, Key, Now))
    return *LimitExceeded;
  if (RunsNow) {
    this->startRunning(Call, Key, Now);
    this->recordStartWithoutLead();
    return {};
  }
  if (Blocked)
    this->Reserve.recordBlocked(Call.Priority, /*CallWaits=*/true,
                                this->openSlots(Now), Now);
  // The limit belongs to a configuration version that may no longer exist when
  // the call leaves the queue.
  Request Queued = this->withoutUnreachableTarget(Call, Now);
  Queued.RouteLimit = nullptr;
  this->PastTargetCount += Queued.Target != Call.Target ? 1 : 0;
  this->enqueue(Queued, Now, Key);
  return {Decision::Wait, {}};
}

// Checks the capacity again, because the body of the call may have taken long
// to arrive since the call got its slot.
std::optional<Admission::Result> Admission::reserveCapacity(TimePoint Now) {
  if (this->rateCapacity(Now) == 0)
    return this->refuse(this->overloadReason(Now),
                        this->overloadRetryAfter(this->timeUntilCapacity(Now),
                                                 /*Kind=*/""));
  this->ColdLimiter.reserve();
  this->RateLimiter.reserve();
  return std::nullopt;
}

void Admission::recordRunTime(const RunningCall &Call, TimePoint Now) {
  using Nanos = std::chrono::duration<double, std::nano>;
  Clock::duration RunTime = Now - Call.StartedAt;
  double Age = std::chrono::duration<double>(Now - this->MeanRunUpdatedAt) /
               std::chrono::duration<double>(this->Opts.LatencyHalfLife);
  double Weight = std::max(this->Opts.LatencyWeight, 1 - std::exp2(-Age));
  this->MeanRunUpdatedAt = Now;
  auto Blend = [&](Clock::duration Mean) {
    return std::chrono::duration_cast<Clock::duration>(
        Nanos(Mean) * (1 - Weight) + Nanos(RunTime) * Weight);
  };
  this->MeanRunTime = Blend(this->MeanRunTime.value_or(RunTime));
  auto Known = this->RunTimeByKind.find(Call.Kind);
  if (Known != this->RunTimeByKind.end())
    Known->second = Blend(Known->second);
  else if (this->RunTimeByKind.size() < this->Opts.MaxKinds)
    this->RunTimeByKind[Call.Kind] = RunTime;
}

void Admission::finished(const CallId &Id, bool Answered, TimePoint Now) {
  if (auto Found = this->QueueKeys.find(Id); Found != this->QueueKeys.end()) {
    auto Position = this->Queue.find(Found->second);
    this->releaseLimit(Position->second.LimitKey);
    this->returnLead(Position->second);
    this->Queue.erase(Position);
    this->QueueKeys.erase(Found);
    return;
  }
  auto Found = this->RunningCalls.find(Id);
  if (Found == this->RunningCalls.end())
    return;
  this->releaseLimit(Found->second.LimitKey);
  if (Answered) {
    this->recordRunTime(Found->second, Now);
    this->SlotWindow =
        std::min<double>(this->ServiceConfig.Slots,
                         this->SlotWindow + this->Opts.IncreasePerAnswer);
  }
  this->Reserve.callEnded(Found->second.Priority, Now);
  this->RunningCalls.erase(Found);
}

void Admission::upstreamShed(TimePoint Now) {
  double SlotsInUse = std::min<double>(
      this->openSlots(Now), static_cast<double>(this->RunningCalls.size()));
  this->SlotWindow = std::max(1.0, SlotsInUse * this->Opts.ShedFactor);
}

void Admission::upstreamRestarted(TimePoint Now) {
  this->WarmupStart = Now;
  this->SlotWindow = this->ServiceConfig.Slots;
  this->MeanRunTime.reset();
  this->RunTimeByKind.clear();
}

std::string Admission::drainReasons() const {
  std::string Joined;
  for (const std::string &Reason : this->DrainReasons)
    Joined += (Joined.empty() ? "" : ",") + Reason;
  return Joined;
}

Admission::QueueMap::iterator Admission::dropQueued(QueueMap::iterator Position,
                                                    const std::string &Reason,
                                                    Millis RetryAfter,
                                                    QueueUpdate &Update) {
  Update.ToDrop.push_back({Position->second.Call.Id,
                           this->refuse(Reason, RetryAfter).RefusalDetails});
  this->releaseLimit(Position->second.LimitKey);
  this->returnLead(Position->second);
  this->QueueKeys.erase(Position->second.Call.Id);
  return this->Queue.erase(Position);
}

// Lets a call that can no longer meet its target wait on, ordered by its
// deadline.
Admission::QueueMap::iterator
Admission::releaseTarget(QueueMap::iterator Position) {
  WaitingCall Waiting = std::move(Position->second);
  this->returnLead(Waiting);
  auto Next = this->Queue.erase(Position);
  Waiting.Call.Target = TimePoint::max();
  ++this->PastTargetCount;
  this->enqueue(Waiting.Call, Waiting.QueuedAt, Waiting.LimitKey);
  return Next;
}

void Admission::sweepQueue(QueueUpdate &Update, TimePoint Now) {
  Clock::duration ExpectedWait = this->expectedWait(this->Queue.size(), Now);
  Millis RetryAfter = this->retryAfter(ExpectedWait);
  for (auto Position = this->Queue.begin(); Position != this->Queue.end();) {
    const Request &Call = Position->second.Call;
    bool DropsLate = this->Opts.Guards.DropLate;
    bool WaitedTooLong =
        Now - Position->second.QueuedAt > this->ServiceConfig.QueueWait;
    bool MissesTarget =
        Call.Target < Call.Deadline &&
        !this->canMeetTarget(Call, Clock::duration::zero(), Now);
    if (this->draining())
      Position = this->dropQueued(Position, "draining", Millis(0), Update);
    else if (DropsLate && !this->canMeetDeadline(Call, Now))
      Position = this->dropQueued(Position, "deadline", Millis(0), Update);
    else if (DropsLate && !WaitedTooLong && MissesTarget &&
             this->mayMissTarget(Call, Now))
      Position = this->releaseTarget(Position);
    else if (DropsLate && (WaitedTooLong || MissesTarget))
      Position = this->dropQueued(
          Position, this->waitReason(Call.Priority, Now),
          this->Opts.FavoursReturning
              ? this->overloadRetryAfter(ExpectedWait, Call.Kind)
              : RetryAfter,
          Update);
    else
      ++Position;
  }
}

Admission::QueueUpdate Admission::advanceQueue(TimePoint Now) {
  QueueUpdate Update;
  this->Reserve.expire(Now);
  this->sweepQueue(Update, Now);
  // A more urgent call may have been queued ahead of a full queue: the last
  // calls are dropped.
  Millis RetryAfter =
      this->retryAfter(this->expectedWait(this->Queue.size(), Now));
  while (this->Queue.size() > this->ServiceConfig.QueueLimit)
    this->dropQueued(std::prev(this->Queue.end()), this->overloadReason(Now),
                     RetryAfter, Update);
  // The returned calls reserve their capacity only later, one by one, when they
  // are sent.
  size_t Capacity = this->rateCapacity(Now);
  // The first call is the most urgent one. Slots that it must leave free must
  // be left free by all others too.
  while (!this->Queue.empty() && Capacity > Update.ToRun.size() &&
         this->mayTakeSlot(this->Queue.begin()->second.Call.Priority, Now)) {
    auto First = this->Queue.begin();
    this->startRunning(First->second.Call, First->second.LimitKey, Now);
    if (!First->second.HasLead)
      this->recordStartWithoutLead();
    Update.ToRun.push_back(First->second.Call.Id);
    this->QueueKeys.erase(First->second.Call.Id);
    this->Queue.erase(First);
  }
  return Update;
}

wire::Load Admission::load(TimePoint Now) {
  auto Mean = std::chrono::duration_cast<Micros>(
      this->MeanRunTime.value_or(Clock::duration::zero()));
  double Slots = static_cast<double>(this->openSlots(Now));
  double Waiting = static_cast<double>(this->waitingCount());
  if (std::optional<double> Rate = this->allowedRate(Now)) {
    using Seconds = std::chrono::duration<double>;
    Slots = this->slotsForRate(Slots, Now);
    Waiting += std::ceil(*Rate * Seconds(this->timeUntilCapacity(Now)).count());
  }
  return {static_cast<uint32_t>(this->RunningCalls.size()),
          static_cast<uint32_t>(Waiting), static_cast<uint32_t>(Slots),
          static_cast<uint32_t>(Mean.count())};
}

} // namespace hickorylift
