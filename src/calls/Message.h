#ifndef HICKORYLIFT_CALLS_MESSAGE_H
#define HICKORYLIFT_CALLS_MESSAGE_H

#include "base/Error.h"
#include "base/Safeguards.h"
#include "base/Time.h"
#include "calls/Calls_generated.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The parts of a call as Entry, Gate and the HTTP code exchange them: request
// and response heads, header lists, refusals, health responses, and the frames
// between entry and gate.

namespace hickorylift {

/// Identifies a call between entry and gate.
struct CallId {
  /// The entry's incarnation, which differs after each start of its process.
  uint64_t Entry = 0;
  uint64_t Seq = 0;

  auto operator<=>(const CallId &) const = default;
  std::string text() const;
};

/// Number of calls by the name of the service that they are sent to. Means over
/// several runs are fractions.
using ServiceCalls = std::map<std::string, double>;

struct HeaderField {
  std::string Name;
  std::string Value;
};
using HeaderList = std::vector<HeaderField>;

/// Sets a header field and removes all earlier fields of that name.
void setHeader(HeaderList &Headers, const std::string &Name,
               const std::string &Value);
/// Whether the field has this name, compared without regard to case.
bool isHeader(const HeaderField &Field, std::string_view Name);
/// The value of the first field of that name, compared without regard to case.
/// Empty if there is none.
std::string findHeader(const HeaderList &Headers, std::string_view Name);
/// The value of a field that holds whole milliseconds. Nullopt if the field is
/// missing or is not such a number.
std::optional<Millis> findMillisHeader(const HeaderList &Headers,
                                       std::string_view Name);
/// The list without the fields that concern one connection only (RFC 9110,
/// 7.6.1).
HeaderList endToEndHeaders(const HeaderList &Headers);

/// The header by which a caller states its deadline, as milliseconds left.
extern const char BudgetHeader[];

constexpr int64_t UnknownLength = -1;

struct RequestHead {
  std::string Method;
  /// Includes the query.
  std::string Path;
  HeaderList Headers;
  /// Length of the body in bytes; UnknownLength if it is chunked.
  int64_t Length = 0;
};

struct ResponseHead {
  unsigned Status = 0;
  std::string Reason;
  HeaderList Headers;
  int64_t Length = UnknownLength;
};

/// Bytes of memory that the texts of a head take up.
size_t heldBytes(const RequestHead &Head);
size_t heldBytes(const ResponseHead &Head);

/// What is known about the execution of a call that has no answer.
enum class Outcome {
  /// Proven not executed: no byte of the call reached an upstream.
  NotRun,
  /// The call may have been executed, in whole or in part.
  Unknown,
};

/// Why a call has no answer. The caller receives it in the response headers
/// Hickorylift-Outcome, -Reason, -Step and -Peer.
struct Refusal {
  Outcome CallOutcome = Outcome::NotRun;
  /// "no-route", "overload", "draining", "deadline", ...
  std::string Reason;
  /// The processing step that failed, such as "entry" or "gate-link".
  std::string Step;
  /// The instance at which it failed.
  std::string Peer;
  /// When the caller should retry; zero for no advice.
  Millis RetryAfter{0};
  /// The HTTP status if it is not the usual one of the outcome, otherwise zero.
  unsigned Status = 0;
};

/// The result of a connection attempt to the address of an upstream.
enum class UpstreamProbeResult {
  /// The connection was accepted.
  Open,
  /// The connection was refused, and all earlier connections have ended.
  Closed,
  /// The connection was refused while an earlier one is still open: the
  /// upstream has no capacity for another, or is just terminating.
  Inconclusive,
};

/// The response of an upstream's health endpoint.
struct HealthAnswer {
  unsigned Status = 0;
  std::string Body;
  /// How much longer the upstream reports that it stays cold. A warm upstream
  /// may leave this out.
  std::optional<Millis> ColdTimeLeft;

  bool isHealthy() const { return this->Status == 200; }
  /// The reported time, or zero for a healthy upstream that reports none.
  /// Nullopt if it is not known.
  std::optional<Millis> coldTimeLeft() const {
    return this->ColdTimeLeft || !this->isHealthy() ? this->ColdTimeLeft
                                                    : Millis(0);
  }
};

Refusal makeRefusal(Outcome CallOutcome, const std::string &Reason,
                    const std::string &Step, const std::string &Peer);

/// The status that the refusal sets, or else 503 for a call that was not run
/// and 504 for one that may have run.
unsigned httpStatus(const Refusal &Cause);
const char *outcomeName(Outcome CallOutcome);

std::string encodeFrame(const wire::CallFrameT &Frame);
Result<wire::CallFrameT>
decodeCallFrame(std::string_view SealedFrame,
                const Safeguards &Guards = Safeguards());

template <typename PayloadT> wire::CallFrameT makeCallFrame(PayloadT Payload) {
  wire::CallFrameT Frame;
  Frame.payload.Set(std::move(Payload));
  return Frame;
}

std::vector<std::unique_ptr<wire::HeaderT>> toWire(const HeaderList &Headers);
HeaderList
fromWire(const std::vector<std::unique_ptr<wire::HeaderT>> &WireHeaders);
std::vector<std::unique_ptr<wire::ServiceCallsT>>
toWire(const ServiceCalls &Calls);
ServiceCalls
fromWire(const std::vector<std::unique_ptr<wire::ServiceCallsT>> &WireCalls);

} // namespace hickorylift

#endif
