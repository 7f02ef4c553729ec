#ifndef HICKORYLIFT_AUDIT_AUDITTRAIL_H
#define HICKORYLIFT_AUDIT_AUDITTRAIL_H

#include "base/Time.h"

#include <deque>
#include <functional>
#include <string>

// The AuditTrail remembers what changed at a node, why, and what came of it.
// Instances have no disks, so it is bounded and in memory; the same event goes
// to the log by the hook.
//
//   AuditTrail Trail(1000, [](const AuditEvent &E) { ... });
//   Trail.add(Now, "version-in-force", "12.40.00ff...", "node-7", "taken");

namespace hickorylift {

struct AuditEvent {
  /// Rises by one with each event, so that a reader sees what it missed.
  uint64_t Number = 0;
  TimePoint At;
  /// What changed: "version-in-force", "version-refused", "drain", ...
  std::string What;
  /// The stamp, the instance or the setting concerned.
  std::string Subject;
  /// Who or what brought it about.
  std::string Source;
  std::string Outcome;
};

class AuditTrail {
public:
  using Hook = std::function<void(const AuditEvent &)>;

  explicit AuditTrail(
      size_t Capacity, Hook OnEvent = [](const AuditEvent &) {})
      : Capacity(Capacity), OnEvent(std::move(OnEvent)) {}

  void add(TimePoint Now, std::string What, std::string Subject,
           std::string Source, std::string Outcome) {
    this->Kept.push_back({++this->Last, Now, std::move(What),
                          std::move(Subject), std::move(Source),
                          std::move(Outcome)});
    if (this->Kept.size() > this->Capacity)
      this->Kept.pop_front();
    this->OnEvent(this->Kept.back());
  }

  const std::deque<AuditEvent> &events() const { return this->Kept; }

private:
  size_t Capacity;
  Hook OnEvent;
  std::deque<AuditEvent> Kept;
  uint64_t Last = 0;
};

} // namespace hickorylift

#endif
