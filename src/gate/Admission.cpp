#include "gate/Admission.h"

#include <algorithm>
#include <cmath>

// A call runs at once while a slot is free, waits in a short queue while its
// turn is expected to come in time, and is refused at once otherwise. Nothing
// is kept waiting that cannot be answered: a call which would end after its
// deadline uses a slot that another could have used, and under an overload
// that lasts such calls are soon the only ones that run.
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
}

size_t Admission::openSlots(TimePoint Now) const {
  double Open = std::min<double>(this->Window, this->Of.Slots);
  Clock::duration Warm = Now - this->ReadySince;
  if (Warm < this->Of.Warmup)
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

Clock::duration Admission::expectedWait(size_t Ahead, TimePoint Now) const {
  Clock::duration Mean = this->MeanRun.value_or(this->Opts.FirstLatency);
  return Mean * static_cast<int64_t>(Ahead + 1) /
         static_cast<int64_t>(this->openSlots(Now));
}

bool Admission::inTime(const Ask &One, TimePoint Now) const {
  Clock::duration Mean = this->MeanRun.value_or(Clock::duration::zero());
  auto Needed = std::chrono::duration_cast<Clock::duration>(
      Mean * this->Opts.NeededShare);
  return Now < One.Deadline && One.Deadline - Now >= Needed;
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

size_t Admission::countAhead(const QueueKey &Key) const {
  return static_cast<size_t>(
      std::distance(this->Queue.begin(), this->Queue.lower_bound(Key)));
}

Admission::Answer Admission::ask(const Ask &One, TimePoint Now) {
  if (!this->Configured)
    return this->refuse("no-configuration", this->Opts.LongestRetry / 5);
  if (this->draining())
    return this->refuse("draining", Millis(0));
  if (Now >= One.Deadline)
    return this->refuse("deadline", Millis(0));
  QueueKey Key(One.Priority, One.Deadline, One.Id);
  bool Free =
      this->Running.size() < this->openSlots(Now) && this->Queue.empty();
  size_t Ahead = this->countAhead(Key);
  Clock::duration Wait = this->expectedWait(Ahead, Now);
  if (!Free) {
    bool TooLong = this->Opts.Guards.DropLate &&
                   (Wait > this->Of.QueueWait || Now + Wait >= One.Deadline);
    if (TooLong || Ahead >= this->Of.QueueLimit)
      return this->refuse("overload", this->comeBack(Wait));
  }
  std::string Limit = this->limitKey(One);
  if (std::optional<Answer> Over = this->checkLimit(One, Limit, Now))
    return *Over;
  if (Free) {
    this->Running[One.Id] = {Now, Limit};
    return {};
  }
  // The limit belongs to a version that may be gone by the time of its turn.
  Ask Kept = One;
  Kept.Bound = nullptr;
  this->Queue[Key] = {Kept, Now, Limit};
  this->Places[One.Id] = Key;
  return {Verdict::Wait, {}};
}

void Admission::finished(const CallId &Id, bool Answered, TimePoint Now) {
  if (auto Place = this->Places.find(Id); Place != this->Places.end()) {
    auto Found = this->Queue.find(Place->second);
    this->release(Found->second.LimitKey);
    this->Queue.erase(Found);
    this->Places.erase(Place);
    return;
  }
  auto Found = this->Running.find(Id);
  if (Found == this->Running.end())
    return;
  this->release(Found->second.LimitKey);
  if (Answered) {
    auto Took =
        std::chrono::duration<double, std::nano>(Now - Found->second.Since);
    auto Mean = std::chrono::duration<double, std::nano>(
        this->MeanRun.value_or(Now - Found->second.Since));
    this->MeanRun = std::chrono::duration_cast<Clock::duration>(
        Mean * (1 - this->Opts.LatencyWeight) +
        Took * this->Opts.LatencyWeight);
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

void Admission::drain(const std::string &By) {
  if (this->DrainedBy.empty())
    this->DrainedBy = By;
}

Admission::Next Admission::next(TimePoint Now) {
  Next Out;
  auto Drop = [&](std::map<QueueKey, Waiting>::iterator At,
                  const std::string &Reason, Millis RetryAfter) {
    Out.Drop.push_back(
        {At->second.One.Id, this->refuse(Reason, RetryAfter).Why});
    this->release(At->second.LimitKey);
    this->Places.erase(At->second.One.Id);
    return this->Queue.erase(At);
  };
  for (auto At = this->Queue.begin(); At != this->Queue.end();) {
    if (this->draining())
      At = Drop(At, "draining", Millis(0));
    else if (this->Opts.Guards.DropLate && !this->inTime(At->second.One, Now))
      At = Drop(At, "deadline", Millis(0));
    else if (this->Opts.Guards.DropLate &&
             Now - At->second.Since > this->Of.QueueWait)
      At = Drop(At, "overload",
                this->comeBack(this->expectedWait(this->Queue.size(), Now)));
    else
      ++At;
  }
  // A more urgent call may have come in ahead of a full queue: the last go.
  while (this->Queue.size() > this->Of.QueueLimit)
    Drop(std::prev(this->Queue.end()), "overload",
         this->comeBack(this->expectedWait(this->Queue.size(), Now)));
  while (!this->Queue.empty() && this->Running.size() < this->openSlots(Now)) {
    auto First = this->Queue.begin();
    this->Running[First->second.One.Id] = {Now, First->second.LimitKey};
    Out.Run.push_back(First->second.One.Id);
    this->Places.erase(First->second.One.Id);
    this->Queue.erase(First);
  }
  return Out;
}

wire::Load Admission::load(TimePoint Now) const {
  auto Mean = std::chrono::duration_cast<Micros>(
      this->MeanRun.value_or(Clock::duration::zero()));
  return {static_cast<uint32_t>(this->Running.size()),
          static_cast<uint32_t>(this->Queue.size()),
          static_cast<uint32_t>(this->openSlots(Now)),
          static_cast<uint32_t>(Mean.count())};
}

} // namespace hickorylift
