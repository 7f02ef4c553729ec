#ifndef HICKORYLIFT_CALLS_MESSAGE_H
#define HICKORYLIFT_CALLS_MESSAGE_H

#include "base/Error.h"
#include "base/Safeguards.h"
#include "base/Time.h"
#include "calls/Calls_generated.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What a call consists of, between the HTTP ends and the two deciders, Entry
// and Gate.

namespace hickorylift {

/// A call's identity between entry and gate.
struct CallId {
  /// The entry's incarnation: another after each start of its process.
  uint64_t Entry = 0;
  uint64_t Seq = 0;

  auto operator<=>(const CallId &) const = default;
  std::string text() const;
};

struct HeaderField {
  std::string Name;
  std::string Value;
};
using HeaderList = std::vector<HeaderField>;

/// Sets one field, in place of any of that name.
void setHeader(HeaderList &Headers, const std::string &Name,
               const std::string &Value);
/// Case-insensitive; empty if absent.
std::string findHeader(const HeaderList &Headers, std::string_view Name);
/// A field that holds whole milliseconds; nothing where it does not.
std::optional<Millis> findMillisHeader(const HeaderList &Headers,
                                       std::string_view Name);
/// Without the fields that concern one connection only (RFC 9110, 7.6.1).
HeaderList endToEndHeaders(const HeaderList &Headers);

/// The header by which a caller states its deadline, as milliseconds left.
extern const char BudgetHeader[];

constexpr int64_t UnknownLength = -1;

struct RequestHead {
  std::string Method;
  /// With the query.
  std::string Path;
  HeaderList Headers;
  /// Of the body, in bytes; UnknownLength if it is chunked.
  int64_t Length = 0;
};

struct ResponseHead {
  unsigned Status = 0;
  std::string Reason;
  HeaderList Headers;
  int64_t Length = UnknownLength;
};

/// What became of a call that has no answer.
enum class Outcome {
  /// Proved: no byte of it reached an upstream.
  NotRun,
  /// It may have run, in whole or in part.
  Unknown,
};

/// Why a call has no answer, as the caller is told in the headers
/// Hickorylift-Outcome, -Reason, -Step and -Peer.
struct Refusal {
  Outcome CallOutcome = Outcome::NotRun;
  /// "no-route", "overload", "draining", "deadline", ...
  std::string Reason;
  std::string Step;
  std::string Peer;
  /// When to come back; zero for no advice.
  Millis RetryAfter{0};
  /// The HTTP status, where it is not the outcome's usual one.
  unsigned Status = 0;
};

/// What a probe finds at the address of an upstream.
enum class UpstreamProbeResult {
  Open,
  /// Connections are refused, and all that there were have ended.
  Closed,
  /// A connection is refused while another one stands: the upstream is full, or
  /// is ending just now.
  Inconclusive,
};

/// What an upstream says of itself.
struct HealthAnswer {
  unsigned Status = 0;
  std::string Body;
  /// How much longer it stays cold, as a warm one need not say.
  std::optional<Millis> ColdTimeLeft;

  bool isHealthy() const { return this->Status == 200; }
  /// Nothing where it is not known.
  std::optional<Millis> coldTimeLeft() const {
    return this->ColdTimeLeft || !this->isHealthy() ? this->ColdTimeLeft
                                                    : Millis(0);
  }
};

Refusal makeRefusal(Outcome What, const std::string &Reason,
                    const std::string &Step, const std::string &Peer);

/// 503 for what was not run, 504 for what may have run, or the refusal's own.
unsigned httpStatus(const Refusal &Why);
const char *outcomeName(Outcome What);

std::string encodeFrame(const wire::CallFrameT &Frame);
Result<wire::CallFrameT>
decodeCallFrame(std::string_view Sealed,
                const Safeguards &Guards = Safeguards());

template <typename PayloadT> wire::CallFrameT makeCallFrame(PayloadT Payload) {
  wire::CallFrameT Frame;
  Frame.payload.Set(std::move(Payload));
  return Frame;
}

std::vector<std::unique_ptr<wire::HeaderT>> toWire(const HeaderList &Headers);
HeaderList fromWire(const std::vector<std::unique_ptr<wire::HeaderT>> &Headers);

} // namespace hickorylift

#endif
