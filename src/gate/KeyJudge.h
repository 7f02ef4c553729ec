#ifndef HICKORYLIFT_GATE_KEYJUDGE_H
#define HICKORYLIFT_GATE_KEYJUDGE_H

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
//   if (A.What == KeyJudge::Verdict::Run) run();
//   ...
//   Judge.answered(Key, Head, Body, Now);      // or notRun(), or lost()
//
// docs/design/idempotency-keys.md says what is promised, and what is not.

namespace hickorylift {

/// The home of a key; null where there are no upstreams. Leaving ones keep
/// their keys until they are off the list.
const Instance *keyHome(const std::string &Key,
                        const std::vector<const Instance *> &Upstreams);

class KeyJudge {
public:
  struct Options {
    /// A list older than this is too old to judge by: another instance may
    /// have become the home since.
    Millis MaxListAge{45000};
    /// Keys remembered at once; a call with a new key is refused when full.
    size_t MaxKeys = 200000;
    /// An answer is kept for replay up to this size, and all of them together
    /// up to MaxReplayBytes; a longer one is remembered as answered only.
    size_t MaxAnswerBytes = 64 * 1024;
    size_t MaxReplayBytes = 24u << 20;
    Safeguards Guards;
  };

  enum class Verdict {
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

  struct Answer {
    Verdict What = Verdict::Run;
    Refusal Why;
    ResponseHead Head;
    std::string Body;
  };

  KeyJudge(Options Opts, std::string Self)
      : Opts(Opts), Self(std::move(Self)) {}

  /// The service's upstreams of all data centres, as the newest lists say.
  void members(const std::vector<const Instance *> &Upstreams, TimePoint Now);
  /// Fingerprint tells one request from another with the same key; Window is
  /// how long the service's callers may repeat.
  Answer ask(const std::string &Key, uint64_t Fingerprint, Millis Window,
             std::optional<Millis> ListAge, TimePoint Now);
  void answered(const std::string &Key, const ResponseHead &Head,
                std::string Body, TimePoint Now);
  /// No byte of it reached the upstream: it may be asked again.
  void notRun(const std::string &Key);
  /// It may have run; nobody will ever know.
  void lost(const std::string &Key, TimePoint Now);
  void expire(TimePoint Now);

  size_t size() const { return this->Keys.size(); }

private:
  enum class State { Running, Answered, Lost };

  struct Known {
    State Now = State::Running;
    uint64_t Fingerprint = 0;
    ResponseHead Head;
    std::string Body;
    bool HasBody = false;
    Millis Window{0};
    TimePoint ForgetAt = TimePoint::max();
  };

  Answer refuse(Verdict What, const std::string &Reason, Outcome Means,
                Millis RetryAfter, unsigned Status) const;
  std::optional<Answer> settle(const std::string &Key, Millis Window,
                               std::optional<Millis> ListAge,
                               TimePoint Now) const;
  Answer known(const Known &Of) const;
  void forgetAt(const std::string &Key, Known &Of, TimePoint At);
  void forget(std::map<std::string, Known>::iterator At);

  /// One earlier membership, and when it was replaced.
  struct Past {
    std::vector<Instance> Upstreams;
    TimePoint Until;
  };

  Options Opts;
  std::string Self;
  std::vector<Instance> Upstreams;
  std::deque<Past> Earlier;
  std::optional<TimePoint> FirstList;
  std::map<std::string, Known> Keys;
  std::multimap<TimePoint, std::string> Forget;
  size_t ReplayBytes = 0;
};

} // namespace hickorylift

#endif
