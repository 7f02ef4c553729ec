#ifndef HICKORYLIFT_GATE_IDEMPOTENCYCHECKER_H
#define HICKORYLIFT_GATE_IDEMPOTENCYCHECKER_H

#include "base/Safeguards.h"
#include "calls/Message.h"
#include "membership/Membership.h"

#include <deque>
#include <map>
#include <optional>

// A KeyJudge decides whether a call with an idempotency key may run. Each key
// has one home among the upstreams of its service, by rendezvous hashing over
// the platform's list; the home's gate runs the call itself, so that the one
// that remembers is the one that runs.
//
//   KeyJudge Judge(KeyJudge::Options(), "approval-2");
//   Judge.members(Upstreams, Now);             // at each new list
//   KeyJudge::Answer A = Judge.ask(Key, Fingerprint, Window, ListAge, Now);
//   if (A.What == KeyJudge::Decision::Run) run();
//   ...
//   Judge.answered(Key, Head, Body, Now);      // or notRun(), or lost()
//
// docs/design/idempotency-keys.md says what is promised, and what is not.

namespace hickorylift {

/// The home of a key; null where there are no upstreams. Leaving ones keep
/// their keys until they are off the list.
const Instance *keyHome(const std::string &Key,
                        const std::vector<const Instance *> &Upstreams);

class IdempotencyChecker {
public:
  struct Options {
    /// A list older than this is too old to judge by: another instance may
    /// have become the home since.
    Millis MaxListAge{45000};
    /// Keys remembered at once; a call with a new key is refused when full.
    size_t MaxKeys = 200000;
    /// An answer is kept for replay up to this size, and all of them together
    /// up to MaxReplayBytes; a longer one is remembered as answered only.
    size_t MaxStoredAnswerBytes = 64 * 1024;
    size_t MaxReplayBytes = 24u << 20;
    Safeguards Guards;
  };

  enum class Decision {
    /// Not seen before within the window: it may run.
    Run,
    /// Not run by this judge, and not to be run now.
    Refuse,
    /// Seen before; the answer is given again.
    Replay,
    /// Seen before, and it is running, or nobody knows how it ended, or its
    /// answer was too long to keep.
    Conflict,
  };

  struct Result {
    Decision Action = Decision::Run;
    Refusal RefusalDetails;
    ResponseHead Head;
    std::string Body;
  };

  IdempotencyChecker(Options Opts, std::string Self)
      : Opts(Opts), Self(std::move(Self)) {}

  /// The service's upstreams of all data centres, as the newest lists say.
  void setUpstreams(const std::vector<const Instance *> &Upstreams,
                    TimePoint Now);
  /// Fingerprint tells one request from another with the same key; Window is
  /// how long the service's callers may repeat.
  Result check(const std::string &Key, uint64_t Fingerprint, Millis Window,
               std::optional<Millis> ListAge, TimePoint Now);
  void recordAnswer(const std::string &Key, const ResponseHead &Head,
                    std::string Body, TimePoint Now);
  /// No byte of it reached the upstream: it may be asked again.
  void recordNotRun(const std::string &Key);
  /// It may have run; nobody will ever know.
  void recordOutcomeUnknown(const std::string &Key, TimePoint Now);
  void expire(TimePoint Now);

  size_t size() const { return this->Keys.size(); }

private:
  enum class State { Running, Answered, OutcomeUnknown };

  struct KeyRecord {
    State CallState = State::Running;
    uint64_t Fingerprint = 0;
    ResponseHead Head;
    std::string Body;
    bool HasBody = false;
    Millis Window{0};
    TimePoint ExpiresAt = TimePoint::max();
  };

  Result refuse(Decision What, const std::string &Reason, Outcome Means,
                Millis RetryAfter, unsigned Status) const;
  std::optional<Result> checkHome(const std::string &Key, Millis Window,
                                  std::optional<Millis> ListAge,
                                  TimePoint Now) const;
  Result repeatResult(const KeyRecord &Of) const;
  void scheduleExpiry(const std::string &Key, KeyRecord &Of, TimePoint At);
  void erase(std::map<std::string, KeyRecord>::iterator At);

  /// One earlier membership, and when it was replaced.
  struct PastMembership {
    std::vector<Instance> Upstreams;
    TimePoint ReplacedAt;
  };

  Options Opts;
  std::string Self;
  std::vector<Instance> Upstreams;
  std::deque<PastMembership> PastMemberships;
  std::optional<TimePoint> FirstListAt;
  std::map<std::string, KeyRecord> Keys;
  std::multimap<TimePoint, std::string> ExpiryQueue;
  size_t ReplayBytes = 0;
};

} // namespace hickorylift

#endif
