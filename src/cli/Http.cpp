#include "cli/Http.h"

#include "base/Json.h"

#include <libsoup/soup.h>

namespace hickorylift {

Result<std::string> fetch(const std::string &Method, const std::string &Address,
                          const std::string &Path, unsigned TimeoutSeconds) {
  SoupSession *Session =
      SOUP_SESSION(g_object_new(SOUP_TYPE_SESSION, "proxy-resolver", nullptr,
                                "timeout", TimeoutSeconds, nullptr));
  std::string Url = "http://" + Address + Path;
  SoupMessage *Message = soup_message_new(Method.c_str(), Url.c_str());
  if (!Message) {
    g_object_unref(Session);
    return Error{Errc::Invalid, "operator", Address, "not an address"};
  }
  GError *Why = nullptr;
  GBytes *Body = soup_session_send_and_read(Session, Message, nullptr, &Why);
  unsigned Status = soup_message_get_status(Message);
  bool StatesLength = soup_message_headers_get_encoding(
                          soup_message_get_response_headers(Message)) ==
                      SOUP_ENCODING_CONTENT_LENGTH;
  g_object_unref(Message);
  g_object_unref(Session);
  if (!Body) {
    Error Out{Errc::Unreachable, "operator", Address, Why->message};
    g_clear_error(&Why);
    return Out;
  }
  gsize Size = 0;
  const char *At = static_cast<const char *>(g_bytes_get_data(Body, &Size));
  std::string Text(At ? At : "", Size);
  g_bytes_unref(Body);
  // A node states the length of each answer. Where it is missing, the node's
  // connection ended within the head, which the library takes for its end.
  if (!StatesLength)
    return Error{Errc::BadMessage, "operator", Address, "answer broke off"};
  if (Status != SOUP_STATUS_OK)
    return Error{
        Status == SOUP_STATUS_NOT_FOUND ? Errc::NotFound : Errc::Refused,
        "operator", Address, "status " + std::to_string(Status) + ": " + Text};
  return Text;
}

Result<Json::Value> fetchJson(const std::string &Address,
                              const std::string &Path,
                              unsigned TimeoutSeconds) {
  Result<std::string> Text = fetch("GET", Address, Path, TimeoutSeconds);
  if (!Text)
    return Text.error();
  FaultList Faults;
  std::optional<Json::Value> Root = parseJson(*Text, Path, Faults);
  if (!Root)
    return Error{Errc::BadMessage, "operator", Address, "answer is not JSON"};
  return *Root;
}

} // namespace hickorylift
