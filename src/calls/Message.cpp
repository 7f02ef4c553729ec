#include "calls/Message.h"

#include "peer/Frame.h"

#include <array>
#include <charconv>

#include <strings.h>

namespace hickorylift {

namespace {

constexpr std::array<const char *, 10> HopByHopFields = {
    "Connection",     "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",        "Transfer-Encoding", "Upgrade",          "Expect",
    "Content-Length", "Proxy-Authenticate"};

bool sameName(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

bool isHopByHopField(std::string_view Name) {
  for (const char *Field : HopByHopFields)
    if (sameName(Name, Field))
      return true;
  return false;
}

} // namespace

namespace {

size_t heldBytes(const HeaderList &Headers) {
  size_t Sum = Headers.capacity() * sizeof(HeaderField);
  for (const HeaderField &Field : Headers)
    Sum += Field.Name.capacity() + Field.Value.capacity();
  return Sum;
}

} // namespace

size_t heldBytes(const RequestHead &Head) {
  return Head.Method.capacity() + Head.Path.capacity() +
         heldBytes(Head.Headers);
}

size_t heldBytes(const ResponseHead &Head) {
  return Head.Reason.capacity() + heldBytes(Head.Headers);
}

const char BudgetHeader[] = "Hickorylift-Budget-Ms";

void setHeader(HeaderList &Headers, const std::string &Name,
               const std::string &Value) {
  std::erase_if(Headers, [&](const HeaderField &Field) {
    return sameName(Field.Name, Name);
  });
  Headers.push_back({Name, Value});
}

std::string CallId::text() const {
  return std::to_string(this->Entry) + "-" + std::to_string(this->Seq);
}

bool isHeader(const HeaderField &Field, std::string_view Name) {
  return sameName(Field.Name, Name);
}

std::string findHeader(const HeaderList &Headers, std::string_view Name) {
  for (const HeaderField &Field : Headers)
    if (sameName(Field.Name, Name))
      return Field.Value;
  return "";
}

std::optional<Millis> findMillisHeader(const HeaderList &Headers,
                                       std::string_view Name) {
  std::string Text = findHeader(Headers, Name);
  uint32_t Ms = 0;
  auto [End, ErrorCode] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
  if (Text.empty() || ErrorCode != std::errc() || *End != '\0')
    return std::nullopt;
  return Millis(Ms);
}

HeaderList endToEndHeaders(const HeaderList &Headers) {
  HeaderList Result;
  for (const HeaderField &Field : Headers)
    if (!isHopByHopField(Field.Name))
      Result.push_back(Field);
  return Result;
}

Refusal makeRefusal(Outcome CallOutcome, const std::string &Reason,
                    const std::string &Step, const std::string &Peer) {
  Refusal Result;
  Result.CallOutcome = CallOutcome;
  Result.Reason = Reason;
  Result.Step = Step;
  Result.Peer = Peer;
  return Result;
}

unsigned httpStatus(const Refusal &Cause) {
  if (Cause.Status)
    return Cause.Status;
  return Cause.CallOutcome == Outcome::NotRun ? 503 : 504;
}

const char *outcomeName(Outcome CallOutcome) {
  return CallOutcome == Outcome::NotRun ? "not-run" : "unknown";
}

std::string encodeFrame(const wire::CallFrameT &Frame) {
  return packFrame<wire::CallFrame>(Frame);
}

Result<wire::CallFrameT> decodeCallFrame(std::string_view SealedFrame,
                                         const Safeguards &Guards) {
  return unpackFrame<wire::CallFrame>(SealedFrame, Guards);
}

std::vector<std::unique_ptr<wire::HeaderT>> toWire(const HeaderList &Headers) {
  std::vector<std::unique_ptr<wire::HeaderT>> WireHeaders;
  for (const HeaderField &Field : Headers) {
    WireHeaders.push_back(std::make_unique<wire::HeaderT>());
    WireHeaders.back()->name = Field.Name;
    WireHeaders.back()->value = Field.Value;
  }
  return WireHeaders;
}

HeaderList
fromWire(const std::vector<std::unique_ptr<wire::HeaderT>> &WireHeaders) {
  HeaderList Headers;
  for (const auto &Field : WireHeaders)
    Headers.push_back({Field->name, Field->value});
  return Headers;
}

std::vector<std::unique_ptr<wire::ServiceCallsT>>
toWire(const ServiceCalls &Calls) {
  std::vector<std::unique_ptr<wire::ServiceCallsT>> WireCalls;
  for (const auto &[Service, Count] : Calls) {
    WireCalls.push_back(std::make_unique<wire::ServiceCallsT>());
    WireCalls.back()->service = Service;
    WireCalls.back()->count = static_cast<float>(Count);
  }
  return WireCalls;
}

ServiceCalls
fromWire(const std::vector<std::unique_ptr<wire::ServiceCallsT>> &WireCalls) {
  ServiceCalls Calls;
  for (const auto &Counted : WireCalls)
    if (Counted->count > 0)
      Calls[Counted->service] += Counted->count;
  return Calls;
}

} // namespace hickorylift
