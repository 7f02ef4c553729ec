#include "calls/Message.h"

#include "peer/Frame.h"

#include <array>
#include <charconv>

#include <strings.h>

namespace hickorylift {

namespace {

constexpr std::array<const char *, 10> ConnectionFields = {
    "Connection",     "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",        "Transfer-Encoding", "Upgrade",          "Expect",
    "Content-Length", "Proxy-Authenticate"};

bool sameName(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

bool isConnectionField(std::string_view Name) {
  for (const char *One : ConnectionFields)
    if (sameName(Name, One))
      return true;
  return false;
}

} // namespace

const char BudgetHeader[] = "Hickorylift-Budget-Ms";

void setHeader(HeaderList &Headers, const std::string &Name,
               const std::string &Value) {
  std::erase_if(Headers, [&](const HeaderField &One) {
    return sameName(One.Name, Name);
  });
  Headers.push_back({Name, Value});
}

std::string CallId::text() const {
  return std::to_string(this->Entry) + "-" + std::to_string(this->Seq);
}

std::string findHeader(const HeaderList &Headers, std::string_view Name) {
  for (const HeaderField &One : Headers)
    if (sameName(One.Name, Name))
      return One.Value;
  return "";
}

std::optional<Millis> findMillisHeader(const HeaderList &Headers,
                                       std::string_view Name) {
  std::string Text = findHeader(Headers, Name);
  uint32_t Ms = 0;
  auto [Stop, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
  if (Text.empty() || Code != std::errc() || *Stop != '\0')
    return std::nullopt;
  return Millis(Ms);
}

HeaderList endToEndHeaders(const HeaderList &Headers) {
  HeaderList Out;
  for (const HeaderField &One : Headers)
    if (!isConnectionField(One.Name))
      Out.push_back(One);
  return Out;
}

Refusal makeRefusal(Outcome What, const std::string &Reason,
                    const std::string &Step, const std::string &Peer) {
  Refusal Out;
  Out.CallOutcome = What;
  Out.Reason = Reason;
  Out.Step = Step;
  Out.Peer = Peer;
  return Out;
}

unsigned httpStatus(const Refusal &Why) {
  if (Why.Status)
    return Why.Status;
  return Why.CallOutcome == Outcome::NotRun ? 503 : 504;
}

const char *outcomeName(Outcome What) {
  return What == Outcome::NotRun ? "not-run" : "unknown";
}

std::string encodeFrame(const wire::CallFrameT &Frame) {
  return packFrame<wire::CallFrame>(Frame);
}

Result<wire::CallFrameT> decodeCallFrame(std::string_view Sealed,
                                         const Safeguards &Guards) {
  return unpackFrame<wire::CallFrame>(Sealed, Guards);
}

std::vector<std::unique_ptr<wire::HeaderT>> toWire(const HeaderList &Headers) {
  std::vector<std::unique_ptr<wire::HeaderT>> Out;
  for (const HeaderField &One : Headers) {
    Out.push_back(std::make_unique<wire::HeaderT>());
    Out.back()->name = One.Name;
    Out.back()->value = One.Value;
  }
  return Out;
}

HeaderList
fromWire(const std::vector<std::unique_ptr<wire::HeaderT>> &Headers) {
  HeaderList Out;
  for (const auto &One : Headers)
    Out.push_back({One->name, One->value});
  return Out;
}

} // namespace hickorylift
