#include "gate/Admission.h"

#include <algorithm>
#include <cmath>

// A call runs at once while a slot is free, waits while its turn is expected to
// come in time, and is refused at once otherwise. Nothing is kept waiting that
// cannot be answered: a call which would end after its deadline uses a slot
// that another could have used, and under an overload that lasts such calls are
// soon the only ones that run.
//
// The same holds for the target, after which an answer is worth less. One queue
// in order of arrival, under an overload, makes every call a little too late.
// So a call waits only while it can still meet its target; one that cannot runs
// if a slot is free when it comes, and is told when to come back otherwise. A
// few late calls that waited behind the others took slots from calls that came
// in time (docs/design/deciding-under-load.md has what that cost callers).
//
// Among those that wait, the one that must start first goes first: its target
// less its run. In order of the targets alone, calls of a short route would go
// ahead of those of a long one until these could not meet theirs any more (at
// 1.5 times the capacity callers of the long route had 6 in 1,000 served, and
// 936 so). Where room is short for calls that runs elsewhere cannot do without,
// the calls of some nodes stand a little behind, see TurnRank.
//
// The number of slots is the configured one, lowered while the upstream warms
// up and while it sheds. A shed lowers it at once by a factor and each answer
// raises it by a little, as TCP does with its window: the upstream knows its
// state better than its published load does.

namespace hickorylift {

namespace {

constexpr unsigned TooManyRequests = 429;

} // namespace

void Admission::configure(const Service &New, TimePoint Now) {
  if (!this->Configured) {
    this->WarmupStart = Now;
    this->SlotWindow = New.Slots;
  } else if (New.Slots != this->ServiceConfig.Slots) {
    this->SlotWindow = New.Slots;
  }
  this->Configured = true;
  this->ServiceConfig = New;
  bool Spares = this->Opts.Guards.SpareCold;
  this->ColdLimiter.configure(Spares ? New.ColdPerSecond : 0, New.Warmup, Now);
}

size_t Admission::openSlots(TimePoint Now) const {
  double Open = std::min<double>(this->SlotWindow, this->ServiceConfig.Slots);
  Clock::duration Warm = Now - this->WarmupStart;
  // Where the service states what a cold upstream bears, that is the bound.
  if (Warm < this->ServiceConfig.Warmup &&
      this->ServiceConfig.ColdPerSecond == 0)
    Open = std::min(
        Open, this->ServiceConfig.Slots * std::chrono::duration<double>(Warm) /
                  std::chrono::duration<double>(this->ServiceConfig.Warmup));
  return std::max<size_t>(1, static_cast<size_t>(Open));
}

Admission::Result Admission::refuse(const std::string &Reason,
                                    Millis RetryAfter, unsigned Status) {
  Refusal Why;
  Why.Reason = Reason;
  Why.Step = "admission";
  Why.RetryAfter = RetryAfter;
  Why.Status = Status;
  return {Decision::Refuse, Why};
}

// Spread over as much again, so that those refused together do not all return
// together.
Millis Admission::retryAfter(Clock::duration Wait) {
  Millis Base = std::clamp(toMillis(Wait), this->Opts.MinRetryAfter,
                           this->Opts.MaxRetryAfter);
  return Base + Millis(this->Rng() % (Base.count() + 1));
}

Clock::duration Admission::expectedWait(size_t Ahead, TimePoint Now) {
  Clock::duration Mean = this->MeanRunTime.value_or(this->Opts.InitialLatency);
  Clock::duration ForSlot = Mean * static_cast<int64_t>(Ahead + 1) /
                            static_cast<int64_t>(this->openSlots(Now));
  if (!this->ColdLimiter.isCold(Now))
    return ForSlot;
  auto Between = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1 / this->ColdLimiter.allowedRate()));
  Clock::duration ForRoom = this->ColdLimiter.timeUntilCapacity(Now) +
                            Between * static_cast<int64_t>(Ahead);
  return std::max(ForSlot, ForRoom);
}

Clock::duration Admission::expectedRunTime(const std::string &Kind) const {
  auto Found = this->RunTimeByKind.find(Kind);
  if (Found != this->RunTimeByKind.end())
    return Found->second;
  return this->MeanRunTime.value_or(Clock::duration::zero());
}

bool Admission::canMeetDeadline(const Request &One, TimePoint Now) const {
  auto Needed = std::chrono::duration_cast<Clock::duration>(
      this->expectedRunTime(One.Kind) * this->Opts.MinRunTimeShare);
  return Now < One.Deadline && One.Deadline - Now >= Needed;
}

// A call that starts later is expected to miss its target.
TimePoint Admission::latestStart(const Request &One) const {
  TimePoint Goal = std::min(One.Target, One.Deadline);
  auto Run = std::chrono::duration_cast<Clock::duration>(
      this->expectedRunTime(One.Kind) * this->Opts.TargetMargin);
  return Goal - Run;
}

Admission::QueueKey Admission::queueKey(const Request &One) const {
  TimePoint By =
      this->latestStart(One) + this->Opts.RankSpread * One.Rank / UINT8_MAX;
  return {One.Priority, By, One.Id};
}

bool Admission::canMeetTarget(const Request &One, Clock::duration Wait,
                              TimePoint Now) const {
  return Now + Wait <= this->latestStart(One);
}

std::string Admission::limitKey(const Request &One) const {
  if (!One.RouteLimit)
    return "";
  bool OwnClass = One.RouteLimit->ByClass.count(One.CallerClass) != 0;
  return One.RouteLimit->Name + "/" + (OwnClass ? One.CallerClass : "");
}

std::optional<Admission::Result> Admission::checkLimit(const Request &One,
                                                       const std::string &Key,
                                                       TimePoint Now) {
  if (Key.empty())
    return std::nullopt;
  auto Class = One.RouteLimit->ByClass.find(One.CallerClass);
  const CallerLimit &Bound = Class == One.RouteLimit->ByClass.end()
                                 ? One.RouteLimit->All
                                 : Class->second;
  auto [Found, New] = this->Limits.try_emplace(
      Key, LimitState{TokenBucket(Bound.RatePerSecond, Bound.Burst), Bound});
  LimitState &State = Found->second;
  // A new version may have other figures under the same name.
  if (!New && State.Configured != Bound)
    State.RateBucket = TokenBucket(Bound.RatePerSecond, Bound.Burst);
  State.Configured = Bound;
  if (Bound.Concurrency && State.Running >= Bound.Concurrency)
    return this->refuse("concurrency-limit",
                        this->retryAfter(this->expectedWait(0, Now)),
                        TooManyRequests);
  if (Bound.RatePerSecond > 0 && !State.RateBucket.take(Now))
    return this->refuse("rate-limit", State.RateBucket.wait(), TooManyRequests);
  ++State.Running;
  return std::nullopt;
}

void Admission::releaseLimit(const std::string &LimitKey) {
  auto Found = this->Limits.find(LimitKey);
  if (Found != this->Limits.end() && Found->second.Running > 0)
    --Found->second.Running;
}

bool Admission::canQueue(const Request &One, TimePoint Now) {
  auto Ahead = static_cast<size_t>(std::distance(
      this->Queue.begin(), this->Queue.lower_bound(this->queueKey(One))));
  if (Ahead >= this->ServiceConfig.QueueLimit)
    return false;
  if (!this->Opts.Guards.DropLate)
    return true;
  Clock::duration Wait = this->expectedWait(Ahead, Now);
  return Wait <= this->ServiceConfig.QueueWait &&
         this->canMeetTarget(One, Wait, Now);
}

void Admission::enqueue(const Request &One, TimePoint Since,
                        const std::string &LimitKey) {
  QueueKey Key = this->queueKey(One);
  this->Queue[Key] = {One, Since, LimitKey};
  this->QueueKeys[One.Id] = Key;
}

bool Admission::canRunNow(TimePoint Now) {
  return this->RunningCalls.size() < this->openSlots(Now) &&
         this->Queue.empty() && this->ColdLimiter.capacity(Now) > 0;
}

std::optional<Admission::Result> Admission::wouldRefuse(const Request &One,
                                                        TimePoint Now) {
  if (!this->Configured)
    return this->refuse("no-configuration", this->Opts.MaxRetryAfter / 5);
  if (this->draining())
    return this->refuse("draining", Millis(0));
  if (Now >= One.Deadline)
    return this->refuse("deadline", Millis(0));
  if (!this->canRunNow(Now) && !this->canQueue(One, Now))
    return this->refuse("overload", this->retryAfter(this->expectedWait(
                                        this->Queue.size(), Now)));
  return std::nullopt;
}

Admission::Result Admission::admit(const Request &One, TimePoint Now) {
  if (std::optional<Result> Why = this->wouldRefuse(One, Now))
    return *Why;
  bool Free = this->canRunNow(Now);
  std::string Limit = this->limitKey(One);
  if (std::optional<Result> Over = this->checkLimit(One, Limit, Now))
    return *Over;
  if (Free) {
    this->RunningCalls[One.Id] = {Now, Limit, One.Kind};
    return {};
  }
  // The limit belongs to a version that may be gone by the time of its turn.
  Request Kept = One;
  Kept.RouteLimit = nullptr;
  this->enqueue(Kept, Now, Limit);
  return {Decision::Wait, {}};
}

// A body may have come for long since its call had a slot, so room is looked
// for once more.
std::optional<Admission::Result> Admission::reserveCapacity(TimePoint Now) {
  if (this->ColdLimiter.capacity(Now) == 0)
    return this->refuse(
        "overload", this->retryAfter(this->ColdLimiter.timeUntilCapacity(Now)));
  this->ColdLimiter.reserve();
  return std::nullopt;
}

void Admission::recordRunTime(const RunningCall &Of, TimePoint Now) {
  using Nanos = std::chrono::duration<double, std::nano>;
  Clock::duration Took = Now - Of.StartedAt;
  double Age = std::chrono::duration<double>(Now - this->MeanRunUpdatedAt) /
               std::chrono::duration<double>(this->Opts.LatencyHalfLife);
  double Weight = std::max(this->Opts.LatencyWeight, 1 - std::exp2(-Age));
  this->MeanRunUpdatedAt = Now;
  auto Blend = [&](Clock::duration Old) {
    return std::chrono::duration_cast<Clock::duration>(
        Nanos(Old) * (1 - Weight) + Nanos(Took) * Weight);
  };
  this->MeanRunTime = Blend(this->MeanRunTime.value_or(Took));
  auto Known = this->RunTimeByKind.find(Of.Kind);
  if (Known != this->RunTimeByKind.end())
    Known->second = Blend(Known->second);
  else if (this->RunTimeByKind.size() < this->Opts.MaxKinds)
    this->RunTimeByKind[Of.Kind] = Took;
}

void Admission::finished(const CallId &Id, bool Answered, TimePoint Now) {
  if (auto Found = this->QueueKeys.find(Id); Found != this->QueueKeys.end()) {
    auto At = this->Queue.find(Found->second);
    this->releaseLimit(At->second.LimitKey);
    this->Queue.erase(At);
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
  this->RunningCalls.erase(Found);
}

void Admission::upstreamShed(TimePoint Now) {
  double Used = std::min<double>(
      this->openSlots(Now), static_cast<double>(this->RunningCalls.size()));
  this->SlotWindow = std::max(1.0, Used * this->Opts.ShedFactor);
}

void Admission::upstreamRestarted(TimePoint Now) {
  this->WarmupStart = Now;
  this->SlotWindow = this->ServiceConfig.Slots;
  this->MeanRunTime.reset();
  this->RunTimeByKind.clear();
}

std::string Admission::drainReasons() const {
  std::string Out;
  for (const std::string &One : this->DrainReasons)
    Out += (Out.empty() ? "" : ",") + One;
  return Out;
}

Admission::QueueMap::iterator Admission::dropQueued(QueueMap::iterator At,
                                                    const std::string &Reason,
                                                    Millis RetryAfter,
                                                    QueueUpdate &Out) {
  Out.ToDrop.push_back(
      {At->second.Call.Id, this->refuse(Reason, RetryAfter).RefusalDetails});
  this->releaseLimit(At->second.LimitKey);
  this->QueueKeys.erase(At->second.Call.Id);
  return this->Queue.erase(At);
}

void Admission::sweepQueue(QueueUpdate &Out, TimePoint Now) {
  Millis ComeBack =
      this->retryAfter(this->expectedWait(this->Queue.size(), Now));
  for (auto At = this->Queue.begin(); At != this->Queue.end();) {
    const Request &One = At->second.Call;
    bool DropsLate = this->Opts.Guards.DropLate;
    bool Long = Now - At->second.QueuedAt > this->ServiceConfig.QueueWait;
    bool Missed = One.Target < One.Deadline &&
                  !this->canMeetTarget(One, Clock::duration::zero(), Now);
    if (this->draining())
      At = this->dropQueued(At, "draining", Millis(0), Out);
    else if (DropsLate && !this->canMeetDeadline(One, Now))
      At = this->dropQueued(At, "deadline", Millis(0), Out);
    else if (DropsLate && (Long || Missed))
      At = this->dropQueued(At, "overload", ComeBack, Out);
    else
      ++At;
  }
}

Admission::QueueUpdate Admission::advanceQueue(TimePoint Now) {
  QueueUpdate Out;
  this->sweepQueue(Out, Now);
  // A more urgent call may have come in ahead of a full queue: the last go.
  Millis ComeBack =
      this->retryAfter(this->expectedWait(this->Queue.size(), Now));
  while (this->Queue.size() > this->ServiceConfig.QueueLimit)
    this->dropQueued(std::prev(this->Queue.end()), "overload", ComeBack, Out);
  // Those that are returned start after this, one by one.
  size_t Room = this->ColdLimiter.capacity(Now);
  while (!this->Queue.empty() && Room > Out.ToRun.size() &&
         this->RunningCalls.size() < this->openSlots(Now)) {
    auto First = this->Queue.begin();
    this->RunningCalls[First->second.Call.Id] = {Now, First->second.LimitKey,
                                                 First->second.Call.Kind};
    Out.ToRun.push_back(First->second.Call.Id);
    this->QueueKeys.erase(First->second.Call.Id);
    this->Queue.erase(First);
  }
  return Out;
}

wire::Load Admission::load(TimePoint Now) {
  auto Mean = std::chrono::duration_cast<Micros>(
      this->MeanRunTime.value_or(Clock::duration::zero()));
  double Slots = static_cast<double>(this->openSlots(Now));
  double Waiting = static_cast<double>(this->waitingCount());
  if (this->ColdLimiter.isCold(Now)) {
    using Seconds = std::chrono::duration<double>;
    Clock::duration Run = this->MeanRunTime.value_or(this->Opts.InitialLatency);
    double Busy =
        std::ceil(this->ColdLimiter.allowedRate() * Seconds(Run).count());
    Slots = std::clamp(Busy, 1.0, Slots);
    Waiting +=
        std::ceil(this->ColdLimiter.allowedRate() *
                  Seconds(this->ColdLimiter.timeUntilCapacity(Now)).count());
  }
  return {static_cast<uint32_t>(this->RunningCalls.size()),
          static_cast<uint32_t>(Waiting), static_cast<uint32_t>(Slots),
          static_cast<uint32_t>(Mean.count())};
}

} // namespace hickorylift
