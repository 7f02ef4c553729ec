#include "control/FailingReaders.h"

#include <algorithm>

// A report carries its age, and is passed on with the age that it has then, so
// that reports which nodes send each other in a circle expire as well.

namespace hickorylift {

bool FailingReaders::record(const std::string &Name, TimePoint ReportedAt,
                            TimePoint Now) {
  if (Now - ReportedAt >= this->Opts.Lifetime)
    return false;
  auto [Known, IsNew] = this->ReportedAt.try_emplace(Name, ReportedAt);
  Known->second = std::max(Known->second, ReportedAt);
  return IsNew;
}

bool FailingReaders::forget(const std::string &Name) {
  return this->ReportedAt.erase(Name) != 0;
}

std::vector<std::string> FailingReaders::expire(TimePoint Now) {
  std::vector<std::string> Expired;
  for (const auto &[Name, At] : this->ReportedAt)
    if (Now - At >= this->Opts.Lifetime)
      Expired.push_back(Name);
  for (const std::string &Name : Expired)
    this->ReportedAt.erase(Name);
  return Expired;
}

bool FailingReaders::containsAll(const std::set<std::string> &Names) const {
  return std::all_of(Names.begin(), Names.end(),
                     [this](const std::string &Name) {
                       return this->ReportedAt.count(Name) != 0;
                     });
}

AvoidSet FailingReaders::addedTo(AvoidSet Avoid) const {
  for (const auto &[Name, At] : this->ReportedAt)
    Avoid.insert(Name);
  return Avoid;
}

std::vector<std::unique_ptr<wire::FailingReaderT>>
FailingReaders::toWire(TimePoint Now) const {
  std::vector<std::unique_ptr<wire::FailingReaderT>> Reports;
  for (const auto &[Name, At] : this->ReportedAt) {
    auto Report = std::make_unique<wire::FailingReaderT>();
    Report->name = Name;
    Report->age_ms = static_cast<uint32_t>(toMillis(Now - At).count());
    Reports.push_back(std::move(Report));
  }
  return Reports;
}

} // namespace hickorylift
