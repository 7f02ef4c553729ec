#ifndef HICKORYLIFT_QUARANTINE_QUARANTINE_H
#define HICKORYLIFT_QUARANTINE_QUARANTINE_H

#include "base/Safeguards.h"
#include "base/Time.h"
#include "calls/Message.h"
#include "spread/Spread_generated.h"

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// A Quarantine keeps requests that crash the upstreams which run them from
// upstreams. Each node holds one; what a gate sees when its upstream crashes
// is told to all of them.
//
//   Quarantine Of(Options, Hooks);
//   Fingerprint Print = fingerprintOf("portal", Head, "", Body);
//   if (Of.judge(Print, Now).What == Quarantine::Status::Held) refuse();
//   Of.upstreamCrashed({{Print, "GET host/path"}}, Now);   // at its gate
//   Of.answered(Print, Now);                               // a run ended well
//   Of.receive(Link, Frame, Now);                          // from a neighbour
//   Of.tick(Now);

namespace hickorylift {

/// Names a request by what it asks, so that attempts of it at any node are
/// known to be the same one.
struct Fingerprint {
  uint64_t Hash = 0;

  auto operator<=>(const Fingerprint &) const = default;
  /// Sixteen lower-case hexadecimal digits.
  std::string text() const;
  /// The inverse of text().
  static std::optional<Fingerprint> parse(std::string_view Text);
};

/// Of method, host, path with query, customer and body. The other header fields
/// differ from attempt to attempt, and the service is where it goes and not
/// what it asks: a route may be moved or split between attempts. Body is all of
/// it, or empty where it is not held whole: then its length alone counts, and
/// such requests are told apart less well.
Fingerprint computeFingerprint(const RequestHead &Head,
                               const std::string &Customer,
                               std::string_view Body);

/// What a request asks, for operators: "GET host/path", cut to a bound.
std::string describeRequest(const RequestHead &Head);

class Quarantine {
public:
  struct Options {
    /// This instance's name and start: no two crashes have the same id.
    std::string Self;
    /// What its upstream serves.
    std::string Service;
    uint64_t Incarnation = 1;
    /// Off, nothing is refused; what is known is still kept and passed on.
    bool Enabled = true;
    /// Crashes under which a request must have run before it is held. One or
    /// two befall any request that runs beside another that crashes, and is
    /// sent on to the next upstream.
    uint32_t CrashThreshold = 3;
    /// How long a request is held, from its last crash; doubled with each crash
    /// after that, up to LongestTerm. Then one upstream at a time tries it.
    Millis InitialTerm{10 * 60 * 1000};
    Millis MaxTerm{24 * 60 * 60 * 1000};
    /// A request is suspected for so long after a crash. Its caller, or another
    /// one, must come again within this for the next crash to count with the
    /// last.
    Millis SuspectTerm{10 * 60 * 1000};
    /// Requests remembered. Beyond this the one that matters least goes: those
    /// that were cleared, then suspects, then the longest held.
    size_t MaxRecords = 1000;
    /// All on, but in scenarios.
    Safeguards Guards;
  };

  /// Crashes kept of one request. More say nothing new, and are left out.
  static constexpr size_t MaxCrashesPerRecord = 32;

  enum class Status {
    /// Nothing is known against it.
    Free,
    /// Ran at an upstream that crashed. It may run at any gate, beside no other
    /// suspect than itself.
    Suspect,
    /// One crash short of being held, or held for its term: it runs at one
    /// gate, which all nodes choose alike, and beside no other suspect.
    Trial,
    /// Not to be run.
    Quarantined,
  };

  struct Decision {
    Status RequestStatus = Status::Free;
    /// Until a trial; only where it is held.
    Millis RetryAfter{0};
  };

  /// What ran at an upstream when it crashed.
  struct RunningRequest {
    Fingerprint RequestFingerprint;
    /// For operators.
    std::string Description;
  };

  /// A crash under which a request ran.
  struct Crash {
    uint64_t Id = 0;
    TimePoint At;
    /// No other suspect ran there.
    bool OnlySuspect = false;
    /// The request was answered since, or released: it does not count.
    bool Cleared = false;
    /// Hash of the upstream's service. An answer of another service, on a split
    /// route, says nothing about this crash.
    uint64_t ServiceHash = 0;
  };

  struct Record {
    Fingerprint RequestFingerprint;
    std::string Description;
    /// The oldest first.
    std::vector<Crash> Crashes;

    /// Those that count.
    std::vector<Crash> activeCrashes() const;
  };

  /// A change of what is believed, for the audit trail.
  struct Event {
    /// "request-held", "request-cleared".
    const char *Name = "";
    const Record *AffectedRecord = nullptr;
    std::string Source;
    Millis Term{0};
  };

  struct Hooks {
    /// Tells these records to all neighbours but the one on a link.
    std::function<void(const wire::SpreadFrameT &,
                       std::optional<uint64_t> ButLink)>
        SendRecords =
            [](const wire::SpreadFrameT &, std::optional<uint64_t>) {};
    std::function<void(const Event &, TimePoint)> StatusChanged =
        [](const Event &, TimePoint) {};
  };

  struct Counters {
    /// Crashes of this node's own upstream under runs.
    uint64_t Crashes = 0;
    /// Requests that came to be held, and that were cleared after that.
    uint64_t Quarantined = 0;
    uint64_t Released = 0;
  };

  Quarantine(Options Opts, Hooks Hooks);

  Decision check(const Fingerprint &Of, TimePoint Now) const;
  /// This node's upstream crashed while these ran. All of them are suspects
  /// now; the only one that was before is to blame by itself.
  void upstreamCrashed(const std::vector<RunningRequest> &Running,
                       TimePoint Now);
  /// A run of it ended with an answer here, so it does not crash what runs it.
  void requestAnswered(const Fingerprint &Of, TimePoint Now);
  /// An operator takes it out. False if nothing is known of it.
  bool release(const Fingerprint &Of, TimePoint Now);

  /// All that a new neighbour is to know; nothing where nothing is known.
  std::optional<wire::SpreadFrameT> snapshot(TimePoint Now) const;
  /// What a neighbour knows. News are passed on to the others.
  void receive(uint64_t Link, const wire::QuarantineT &Said, TimePoint Now);
  void tick(TimePoint Now);

  const std::map<Fingerprint, Record> &records() const { return this->Records; }
  Decision evaluate(const Record &Of, TimePoint Now) const;
  const Counters &counters() const { return this->Counts; }

private:
  bool meetsThreshold(const std::vector<Crash> &By) const;
  Millis quarantineTerm(size_t Crashes) const;
  bool isExpired(const Record &Of, TimePoint Now) const;
  bool merge(const Record &Said, TimePoint Now, const std::string &Source);
  bool clearCrashes(const Fingerprint &Of, std::optional<uint64_t> OfService,
                    const std::string &Source, TimePoint Now);
  void sendRecords(const std::vector<Fingerprint> &Which,
                   std::optional<uint64_t> ButLink, TimePoint Now);
  void enforceLimit();

  Options Opts;
  Hooks Hook;
  std::map<Fingerprint, Record> Records;
  uint64_t LastCrashNumber = 0;
  Counters Counts;
};

const char *statusName(Quarantine::Status Of);

/// Records as they go over a link, with times as ages, and back. What is out of
/// bounds is cut or left out.
wire::SpreadFrameT
encodeRecords(const std::vector<const Quarantine::Record *> &Which,
              TimePoint Now);
std::vector<Quarantine::Record> decodeRecords(const wire::QuarantineT &Said,
                                              TimePoint Now);

} // namespace hickorylift

#endif
