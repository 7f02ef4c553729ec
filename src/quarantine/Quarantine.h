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

// A Quarantine finds the requests that crash the upstreams that run them, and
// keeps them away from further upstreams. Each node has one. What a gate sees
// when its upstream crashes is sent to all nodes.
//
//   Quarantine Requests(Options, Hooks);
//   Fingerprint Print = computeFingerprint(Head, /*Customer=*/"", Body);
//   if (Requests.check(Print, Now).RequestStatus ==
//       Quarantine::Status::Quarantined)
//     refuse();
//   Requests.upstreamCrashed({{Print, "GET host/path"}}, Now); // at its gate
//   Requests.requestAnswered(Print, Now);     // a run ended with an answer
//   Requests.receive(Link, Message, Now);     // from a neighbour
//   Requests.tick(Now);

namespace hickorylift {

/// Identifies a request by its content, so that all attempts of it are
/// recognised as the same request at any node.
struct Fingerprint {
  uint64_t Hash = 0;

  auto operator<=>(const Fingerprint &) const = default;
  /// Sixteen lower-case hexadecimal digits.
  std::string text() const;
  /// The inverse of text().
  static std::optional<Fingerprint> parse(std::string_view Text);
};

/// Computes the fingerprint of a request from its method, host, path with
/// query, customer and body. Other header fields differ between attempts. The
/// service is left out because it says where the request goes, not what it
/// contains: a route may be moved to another service or split between services
/// from one attempt to the next. Body is the whole body, or empty if the node
/// doesn't hold it completely: then only its length counts, and different
/// requests are distinguished less well.
Fingerprint computeFingerprint(const RequestHead &Head,
                               const std::string &Customer,
                               std::string_view Body);

/// Describes a request to operators as "GET host/path", cut to a maximum
/// length.
std::string describeRequest(const RequestHead &Head);

class Quarantine {
public:
  struct Options {
    /// Name of this instance; with Incarnation it makes the id of each crash
    /// unique.
    std::string Self;
    /// Service of this instance's upstream.
    std::string Service;
    uint64_t Incarnation = 1;
    /// If false, no request is refused, but records are still kept and sent to
    /// other nodes.
    bool Enabled = true;
    /// Number of crashes during which a request must have run before it is
    /// quarantined. One or two can happen to any request that runs at the same
    /// time as a crashing request and is retried at the next upstream.
    uint32_t CrashThreshold = 3;
    /// How long a request is quarantined from its last crash on. Each further
    /// crash doubles the time, up to MaxTerm. After it, one upstream at a time
    /// tries the request.
    Millis InitialTerm{10 * 60 * 1000};
    Millis MaxTerm{24 * 60 * 60 * 1000};
    /// How long a request stays a suspect after a crash. The next crash counts
    /// together with the last one only if a caller sends the request again
    /// within this time.
    Millis SuspectTerm{10 * 60 * 1000};
    /// Maximum number of records. Beyond it the least important one is removed:
    /// cleared requests first, then suspects, then quarantined requests with
    /// the oldest last crash.
    size_t MaxRecords = 1000;
    /// All enabled, except in scenarios.
    Safeguards Guards;
  };

  /// Maximum number of crashes in one record. Further crashes add no
  /// information and are left out.
  static constexpr size_t MaxCrashesPerRecord = 32;

  enum class Status {
    /// No crash counts against the request.
    Free,
    /// The request ran at an upstream when it crashed. It may run at any gate,
    /// but not at the same time as another suspect.
    Suspect,
    /// The request is one crash short of being quarantined, or its quarantine
    /// term is over. It runs at only one gate, which all nodes choose alike,
    /// and not at the same time as another suspect.
    Trial,
    /// The request must not be run.
    Quarantined,
  };

  struct Decision {
    Status RequestStatus = Status::Free;
    /// Time until a trial; only for quarantined requests.
    Millis RetryAfter{0};
  };

  /// A request that ran at an upstream when it crashed.
  struct RunningRequest {
    Fingerprint RequestFingerprint;
    /// Shown to operators, see describeRequest().
    std::string Description;
  };

  /// A crash of an upstream during which a request ran.
  struct Crash {
    uint64_t Id = 0;
    TimePoint At;
    /// No other suspect ran there at the time.
    bool OnlySuspect = false;
    /// The request was answered after the crash, or released by an operator:
    /// the crash no longer counts.
    bool Cleared = false;
    /// Hash of the upstream's service. On a route that is split between
    /// services, an answer from another service says nothing about this crash.
    uint64_t ServiceHash = 0;
  };

  struct Record {
    Fingerprint RequestFingerprint;
    std::string Description;
    /// The oldest crash first.
    std::vector<Crash> Crashes;

    /// The crashes that count, that is, those that weren't cleared.
    std::vector<Crash> activeCrashes() const;
  };

  /// A change of a request's status, for the audit trail.
  struct Event {
    /// "request-held" or "request-cleared".
    const char *Name = "";
    const Record *AffectedRecord = nullptr;
    std::string Source;
    Millis Term{0};
  };

  struct Hooks {
    /// Sends records to all neighbours except the one on the given link.
    std::function<void(const wire::SpreadFrameT &,
                       std::optional<uint64_t> ExceptLink)>
        SendRecords =
            [](const wire::SpreadFrameT &, std::optional<uint64_t>) {};
    std::function<void(const Event &, TimePoint)> StatusChanged =
        [](const Event &, TimePoint) {};
  };

  struct Counters {
    /// Crashes of this node's upstream while it ran calls.
    uint64_t Crashes = 0;
    /// Requests that became quarantined, and requests that were cleared after
    /// that.
    uint64_t Quarantined = 0;
    uint64_t Released = 0;
  };

  Quarantine(Options Opts, Hooks Hooks);

  Decision check(const Fingerprint &RequestFingerprint, TimePoint Now) const;
  /// This node's upstream crashed while these requests ran. All of them become
  /// suspects. The crash is attributed to a single request (OnlySuspect) if
  /// exactly one of them was a suspect before, or if only one ran.
  void upstreamCrashed(const std::vector<RunningRequest> &Running,
                       TimePoint Now);
  /// A run of the request ended with an answer here, so the request doesn't
  /// crash this service's upstreams.
  void requestAnswered(const Fingerprint &RequestFingerprint, TimePoint Now);
  /// An operator releases the request. Returns false if there is no record of
  /// it.
  bool release(const Fingerprint &RequestFingerprint, TimePoint Now);

  /// All records, for a new neighbour; nothing if there are none.
  std::optional<wire::SpreadFrameT> snapshot(TimePoint Now) const;
  /// Merges the records of a neighbour. New information is passed on to the
  /// other neighbours.
  void receive(uint64_t Link, const wire::QuarantineT &Received, TimePoint Now);
  void tick(TimePoint Now);

  const std::map<Fingerprint, Record> &records() const { return this->Records; }
  Decision evaluate(const Record &Request, TimePoint Now) const;
  const Counters &counters() const { return this->Counts; }

private:
  bool meetsThreshold(const std::vector<Crash> &Active) const;
  Millis quarantineTerm(size_t Crashes) const;
  bool isExpired(const Record &Request, TimePoint Now) const;
  bool merge(const Record &Update, TimePoint Now, const std::string &Source);
  bool clearCrashes(const Fingerprint &RequestFingerprint,
                    std::optional<uint64_t> ServiceHash,
                    const std::string &Source, TimePoint Now);
  void sendRecords(const std::vector<Fingerprint> &Fingerprints,
                   std::optional<uint64_t> ExceptLink, TimePoint Now);
  void enforceLimit();

  Options Opts;
  Hooks Hook;
  std::map<Fingerprint, Record> Records;
  uint64_t LastCrashNumber = 0;
  Counters Counts;
};

const char *statusName(Quarantine::Status RequestStatus);

/// Converts records to a message for a link, with times as ages, and back.
/// Values beyond their bounds are cut or left out.
wire::SpreadFrameT
encodeRecords(const std::vector<const Quarantine::Record *> &Records,
              TimePoint Now);
std::vector<Quarantine::Record> decodeRecords(const wire::QuarantineT &Received,
                                              TimePoint Now);

} // namespace hickorylift

#endif
