#ifndef HICKORYLIFT_GATE_IDEMPOTENCYCHECKER_H
#define HICKORYLIFT_GATE_IDEMPOTENCYCHECKER_H

#include "base/Safeguards.h"
#include "calls/Message.h"
#include "membership/Membership.h"

#include <deque>
#include <map>
#include <optional>

// An IdempotencyChecker decides whether a call with an idempotency key may run.
// Each key has one home among the upstreams of its service, which is chosen by
// rendezvous hashing over the platform's list. The gate of the home runs the
// call itself, so the gate that remembers a call is the one that ran it.
//
//   IdempotencyChecker Checker(IdempotencyChecker::Options(), "approval-2");
//   Checker.setUpstreams(Upstreams, Now);      // at each new list
//   IdempotencyChecker::Result Result =
//       Checker.check(Key, Fingerprint, Window, ListAge, Now);
//   if (Result.Action == IdempotencyChecker::Decision::Run)
//     run();
//   ...
//   Checker.recordAnswer(Key, Head, Body, Now);
//   // or recordNotRun(Key), or recordOutcomeUnknown(Key, Now)
//
// docs/design/idempotency-keys.md describes what is guaranteed and what is not.

namespace hickorylift {

/// Returns the home of a key; null if there are no upstreams. Leaving upstreams
/// keep their keys until they are removed from the list.
const Instance *keyHome(const std::string &Key,
                        const std::vector<const Instance *> &Upstreams);

class IdempotencyChecker {
public:
  struct Options {
    /// A list older than this can't be used to determine the home of a key:
    /// another instance may have become the home since.
    Millis MaxListAge{45000};
    /// Maximum number of keys remembered at once; a call with a new key is
    /// refused when the memory is full.
    size_t MaxKeys = 20000;
    /// An answer is stored for replay up to this size, its head included, and
    /// all of them together up to MaxReplayBytes. Of a longer answer only the
    /// fact that the call was answered is remembered.
    size_t MaxStoredAnswerBytes = 64 * 1024;
    size_t MaxReplayBytes = 8u << 20;
    Safeguards Guards;
  };

  enum class Decision {
    /// The key wasn't seen before within the window: the call may run.
    Run,
    /// The call wasn't run by this gate, and must not be run now.
    Refuse,
    /// The key was seen before; the stored answer is sent again.
    Replay,
    /// The key was seen before, and its call is still running, or its outcome
    /// is unknown, or its answer was too long to store.
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

  /// Sets the service's upstreams of all data centres, as the newest lists have
  /// them.
  void setUpstreams(const std::vector<const Instance *> &NewUpstreams,
                    TimePoint Now);
  /// RequestFingerprint distinguishes different requests with the same key.
  /// Window is how long the service's callers may repeat a call.
  Result check(const std::string &Key, uint64_t RequestFingerprint,
               Millis Window, std::optional<Millis> ListAge, TimePoint Now);
  void recordAnswer(const std::string &Key, const ResponseHead &Head,
                    std::string Body, TimePoint Now);
  /// No byte of the call reached the upstream: it may be called again.
  void recordNotRun(const std::string &Key);
  /// The call may have run, and its outcome can't be found out any more.
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
    // What is stored of the answer, in bytes.
    size_t StoredBytes = 0;
    Millis Window{0};
    TimePoint ExpiresAt = TimePoint::max();
  };

  Result refuse(Decision Action, const std::string &Reason, Outcome CallOutcome,
                Millis RetryAfter, unsigned Status) const;
  std::optional<Result> checkHome(const std::string &Key, Millis Window,
                                  std::optional<Millis> ListAge,
                                  TimePoint Now) const;
  Result repeatResult(const KeyRecord &Record) const;
  void scheduleExpiry(const std::string &Key, KeyRecord &Record,
                      TimePoint Expiry);
  void erase(std::map<std::string, KeyRecord>::iterator Position);

  /// A previous set of upstreams, and when it was replaced.
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
