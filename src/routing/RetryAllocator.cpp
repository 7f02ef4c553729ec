#include "routing/RetryAllocator.h"

namespace hickorylift {

namespace {

RetryAllocator::CallClass classify(const RetryAllocator::Call &Shed) {
  if (Shed.Nested)
    return RetryAllocator::CallClass::Nested;
  return Shed.Returning ? RetryAllocator::CallClass::Returning
                        : RetryAllocator::CallClass::FirstTime;
}

} // namespace

void RetryAllocator::recordReport(const std::string &Service,
                                  uint32_t ShedPercent, TimePoint Now) {
  if (!this->Opts.Enabled || ShedPercent == 0)
    return;
  auto Known = this->ReportedAt.find(Service);
  if (Known != this->ReportedAt.end())
    Known->second = Now;
  else if (this->ReportedAt.size() < this->Opts.MaxServices)
    this->ReportedAt.emplace(Service, Now);
}

bool RetryAllocator::isShedding(const std::string &Service,
                                TimePoint Now) const {
  auto Known = this->ReportedAt.find(Service);
  return Known != this->ReportedAt.end() &&
         Now - Known->second < this->Opts.ReportLifetime;
}

bool RetryAllocator::spendRetry(const Call &Shed, RetryBudget &Budget,
                                TimePoint Now,
                                const std::vector<RetryBudget::Cost> &Others) {
  CallClass Class = classify(Shed);
  double Kept = Class == CallClass::FirstTime
                    ? this->Opts.ReservedShare * Budget.capacity()
                    : 0;
  bool Granted = Budget.spendRetry(Now, Kept, Others);
  auto &Counted = Granted ? this->Counts.Granted : this->Counts.Withheld;
  ++Counted[static_cast<size_t>(Class)];
  return Granted;
}

Millis RetryAllocator::drawUpTo(Millis Limit) {
  auto Choices = static_cast<uint64_t>(Limit.count() + 1);
  return Millis(static_cast<int64_t>(this->Rng() % Choices));
}

Millis RetryAllocator::shedRetryAfter() {
  return this->Opts.ShedRetryAfter + this->drawUpTo(this->Opts.ShedRetrySpread);
}

Millis RetryAllocator::spread(Millis Length) {
  return Length + this->drawUpTo(Length);
}

} // namespace hickorylift
