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
// the calls of some nodes stand a little behind, see NodeRank.
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
    this->ReadySince = Now;
    this->Window = New.Slots;
  } else if (New.Slots != this->Of.Slots) {
    this->Window = New.Slots;
  }
  this->Configured = true;
  this->Of = New;
  bool Spares = this->Opts.Guards.SpareCold;
  this->Cold.configure(Spares ? New.ColdPerSecond : 0, New.Warmup, Now);
}

size_t Admission::openSlots(TimePoint Now) const {
  double Open = std::min<double>(this->Window, this->Of.Slots);
  Clock::duration Warm = Now - this->ReadySince;
  // Where the service states what a cold upstream bears, that is the bound.
  if (Warm < this->Of.Warmup && this->Of.ColdPerSecond == 0)
    Open = std::min(Open, this->Of.Slots * std::chrono::duration<double>(Warm) /
                              std::chrono::duration<double>(this->Of.Warmup));
  return std::max<size_t>(1, static_cast<size_t>(Open));
}

Admission::Answer Admission::refuse(const std::string &Reason,
                                    Millis RetryAfter, unsigned Status) {
  Refusal Why;
  Why.Reason = Reason;
  Why.Step = "admission";
  Why.RetryAfter = RetryAfter;
  Why.Status = Status;
  return {Verdict::Refuse, Why};
}

// Spread over as much again, so that those refused together do not all return
// together.
Millis Admission::comeBack(Clock::duration Wait) {
  Millis Base = std::clamp(toMillis(Wait), this->Opts.ShortestRetry,
                           this->Opts.LongestRetry);
  return Base + Millis(this->Random() % (Base.count() + 1));
}

Clock::duration Admission::expectedWait(size_t Ahead, TimePoint Now) {
  Clock::duration Mean = this->MeanRun.value_or(this->Opts.FirstLatency);
  Clock::duration ForSlot = Mean * static_cast<int64_t>(Ahead + 1) /
                            static_cast<int64_t>(this->openSlots(Now));
  if (!this->Cold.isCold(Now))
    return ForSlot;
  auto Between = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1 / this->Cold.rate()));
  Clock::duration ForRoom =
      this->Cold.wait(Now) + Between * static_cast<int64_t>(Ahead);
  return std::max(ForSlot, ForRoom);
}

Clock::duration Admission::expectedRun(const std::string &Kind) const {
  auto Found = this->RunByKind.find(Kind);
  if (Found != this->RunByKind.end())
    return Found->second;
  return this->MeanRun.value_or(Clock::duration::zero());
}

bool Admission::inTime(const Ask &One, TimePoint Now) const {
  auto Needed = std::chrono::duration_cast<Clock::duration>(
      this->expectedRun(One.Kind) * this->Opts.NeededShare);
  return Now < One.Deadline && One.Deadline - Now >= Needed;
}

// A call that starts later is expected to miss its target.
TimePoint Admission::latestStart(const Ask &One) const {
  TimePoint Goal = std::min(One.Target, One.Deadline);
  auto Run = std::chrono::duration_cast<Clock::duration>(
      this->expectedRun(One.Kind) * this->Opts.TargetMargin);
  return Goal - Run;
}

Admission::QueueKey Admission::placeOf(const Ask &One) const {
  TimePoint By =
      this->latestStart(One) + this->Opts.RankSpread * One.Rank / UINT8_MAX;
  return {One.Priority, By, One.Id};
}

bool Admission::onTarget(const Ask &One, Clock::duration Wait,
                         TimePoint Now) const {
  return Now + Wait <= this->latestStart(One);
}

std::string Admission::limitKey(const Ask &One) const {
  if (!One.Bound)
    return "";
  bool OwnClass = One.Bound->ByClass.count(One.Class) != 0;
  return One.Bound->Name + "/" + (OwnClass ? One.Class : "");
}

std::optional<Admission::Answer>
Admission::checkLimit(const Ask &One, const std::string &Key, TimePoint Now) {
  if (Key.empty())
    return std::nullopt;
  auto Class = One.Bound->ByClass.find(One.Class);
  const CallerLimit &Bound =
      Class == One.Bound->ByClass.end() ? One.Bound->All : Class->second;
  auto [Found, New] = this->Limits.try_emplace(
      Key, LimitState{TokenBucket(Bound.RatePerSecond, Bound.Burst), Bound});
  LimitState &State = Found->second;
  // A new version may have other figures under the same name.
  if (!New && State.Bound != Bound)
    State.Rate = TokenBucket(Bound.RatePerSecond, Bound.Burst);
  State.Bound = Bound;
  if (Bound.Concurrency && State.Running >= Bound.Concurrency)
    return this->refuse("concurrency-limit",
                        this->comeBack(this->expectedWait(0, Now)),
                        TooManyRequests);
  if (Bound.RatePerSecond > 0 && !State.Rate.take(Now))
    return this->refuse("rate-limit", State.Rate.wait(), TooManyRequests);
  ++State.Running;
  return std::nullopt;
}

void Admission::release(const std::string &LimitKey) {
  auto Found = this->Limits.find(LimitKey);
  if (Found != this->Limits.end() && Found->second.Running > 0)
    --Found->second.Running;
}

bool Admission::hasPlace(const Ask &One, TimePoint Now) {
  auto Ahead = static_cast<size_t>(std::distance(
      this->Queue.begin(), this->Queue.lower_bound(this->placeOf(One))));
  if (Ahead >= this->Of.QueueLimit)
    return false;
  if (!this->Opts.Guards.DropLate)
    return true;
  Clock::duration Wait = this->expectedWait(Ahead, Now);
  return Wait <= this->Of.QueueWait && this->onTarget(One, Wait, Now);
}

void Admission::wait(const Ask &One, TimePoint Since,
                     const std::string &LimitKey) {
  QueueKey Key = this->placeOf(One);
  this->Queue[Key] = {One, Since, LimitKey};
  this->Places[One.Id] = Key;
}

bool Admission::isFree(TimePoint Now) {
  return this->Running.size() < this->openSlots(Now) && this->Queue.empty() &&
         this->Cold.room(Now) > 0;
}

std::optional<Admission::Answer> Admission::wouldRefuse(const Ask &One,
                                                        TimePoint Now) {
  if (!this->Configured)
    return this->refuse("no-configuration", this->Opts.LongestRetry / 5);
  if (this->draining())
    return this->refuse("draining", Millis(0));
  if (Now >= One.Deadline)
    return this->refuse("deadline", Millis(0));
  if (!this->isFree(Now) && !this->hasPlace(One, Now))
    return this->refuse("overload", this->comeBack(this->expectedWait(
                                        this->Queue.size(), Now)));
  return std::nullopt;
}

Admission::Answer Admission::ask(const Ask &One, TimePoint Now) {
  if (std::optional<Answer> Why = this->wouldRefuse(One, Now))
    return *Why;
  bool Free = this->isFree(Now);
  std::string Limit = this->limitKey(One);
  if (std::optional<Answer> Over = this->checkLimit(One, Limit, Now))
    return *Over;
  if (Free) {
    this->Running[One.Id] = {Now, Limit, One.Kind};
    return {};
  }
  // The limit belongs to a version that may be gone by the time of its turn.
  Ask Kept = One;
  Kept.Bound = nullptr;
  this->wait(Kept, Now, Limit);
  return {Verdict::Wait, {}};
}

// A body may have come for long since its call had a slot, so room is looked
// for once more.
std::optional<Admission::Answer> Admission::start(TimePoint Now) {
  if (this->Cold.room(Now) == 0)
    return this->refuse("overload", this->comeBack(this->Cold.wait(Now)));
  this->Cold.begun();
  return std::nullopt;
}

void Admission::learnRun(const RunningCall &Of, TimePoint Now) {
  using Nanos = std::chrono::duration<double, std::nano>;
  Clock::duration Took = Now - Of.Since;
  double Age = std::chrono::duration<double>(Now - this->RunLearntAt) /
               std::chrono::duration<double>(this->Opts.LatencyHalfLife);
  double Weight = std::max(this->Opts.LatencyWeight, 1 - std::exp2(-Age));
  this->RunLearntAt = Now;
  auto Blend = [&](Clock::duration Old) {
    return std::chrono::duration_cast<Clock::duration>(
        Nanos(Old) * (1 - Weight) + Nanos(Took) * Weight);
  };
  this->MeanRun = Blend(this->MeanRun.value_or(Took));
  auto Known = this->RunByKind.find(Of.Kind);
  if (Known != this->RunByKind.end())
    Known->second = Blend(Known->second);
  else if (this->RunByKind.size() < this->Opts.MaxKinds)
    this->RunByKind[Of.Kind] = Took;
}

void Admission::finished(const CallId &Id, bool Answered, TimePoint Now) {
  if (auto Found = this->Places.find(Id); Found != this->Places.end()) {
    auto At = this->Queue.find(Found->second);
    this->release(At->second.LimitKey);
    this->Queue.erase(At);
    this->Places.erase(Found);
    return;
  }
  auto Found = this->Running.find(Id);
  if (Found == this->Running.end())
    return;
  this->release(Found->second.LimitKey);
  if (Answered) {
    this->learnRun(Found->second, Now);
    this->Window = std::min<double>(this->Of.Slots,
                                    this->Window + this->Opts.RegainPerAnswer);
  }
  this->Running.erase(Found);
}

void Admission::shed(TimePoint Now) {
  double Used = std::min<double>(this->openSlots(Now),
                                 static_cast<double>(this->Running.size()));
  this->Window = std::max(1.0, Used * this->Opts.ShedFactor);
}

void Admission::restarted(TimePoint Now) {
  this->ReadySince = Now;
  this->Window = this->Of.Slots;
  this->MeanRun.reset();
  this->RunByKind.clear();
}

std::string Admission::drainedBy() const {
  std::string Out;
  for (const std::string &One : this->Closed)
    Out += (Out.empty() ? "" : ",") + One;
  return Out;
}

Admission::QueueMap::iterator Admission::drop(QueueMap::iterator At,
                                              const std::string &Reason,
                                              Millis RetryAfter, Next &Out) {
  Out.Drop.push_back({At->second.One.Id, this->refuse(Reason, RetryAfter).Why});
  this->release(At->second.LimitKey);
  this->Places.erase(At->second.One.Id);
  return this->Queue.erase(At);
}

void Admission::sweepQueue(Next &Out, TimePoint Now) {
  Millis ComeBack = this->comeBack(this->expectedWait(this->Queue.size(), Now));
  for (auto At = this->Queue.begin(); At != this->Queue.end();) {
    const Ask &One = At->second.One;
    bool DropsLate = this->Opts.Guards.DropLate;
    bool Long = Now - At->second.Since > this->Of.QueueWait;
    bool Missed = One.Target < One.Deadline &&
                  !this->onTarget(One, Clock::duration::zero(), Now);
    if (this->draining())
      At = this->drop(At, "draining", Millis(0), Out);
    else if (DropsLate && !this->inTime(One, Now))
      At = this->drop(At, "deadline", Millis(0), Out);
    else if (DropsLate && (Long || Missed))
      At = this->drop(At, "overload", ComeBack, Out);
    else
      ++At;
  }
}

Admission::Next Admission::next(TimePoint Now) {
  Next Out;
  this->sweepQueue(Out, Now);
  // A more urgent call may have come in ahead of a full queue: the last go.
  Millis ComeBack = this->comeBack(this->expectedWait(this->Queue.size(), Now));
  while (this->Queue.size() > this->Of.QueueLimit)
    this->drop(std::prev(this->Queue.end()), "overload", ComeBack, Out);
  // Those that are returned start after this, one by one.
  size_t Room = this->Cold.room(Now);
  while (!this->Queue.empty() && Room > Out.Run.size() &&
         this->Running.size() < this->openSlots(Now)) {
    auto First = this->Queue.begin();
    this->Running[First->second.One.Id] = {Now, First->second.LimitKey,
                                           First->second.One.Kind};
    Out.Run.push_back(First->second.One.Id);
    this->Places.erase(First->second.One.Id);
    this->Queue.erase(First);
  }
  return Out;
}

wire::Load Admission::load(TimePoint Now) {
  auto Mean = std::chrono::duration_cast<Micros>(
      this->MeanRun.value_or(Clock::duration::zero()));
  double Slots = static_cast<double>(this->openSlots(Now));
  double Waiting = static_cast<double>(this->waiting());
  if (this->Cold.isCold(Now)) {
    using Seconds = std::chrono::duration<double>;
    Clock::duration Run = this->MeanRun.value_or(this->Opts.FirstLatency);
    double Busy = std::ceil(this->Cold.rate() * Seconds(Run).count());
    Slots = std::clamp(Busy, 1.0, Slots);
    Waiting +=
        std::ceil(this->Cold.rate() * Seconds(this->Cold.wait(Now)).count());
  }
  return {static_cast<uint32_t>(this->Running.size()),
          static_cast<uint32_t>(Waiting), static_cast<uint32_t>(Slots),
          static_cast<uint32_t>(Mean.count())};
}

} // namespace hickorylift
