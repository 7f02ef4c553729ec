#include "base/HttpFetch.h"

#include <algorithm>
#include <cctype>
#include <memory>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hickorylift {

namespace {

constexpr int ProbeEverySeconds = 1;
constexpr int MsInSecond = 1000;

struct Pending {
  HttpFetcher::GotReply Done;
  std::function<TimePoint()> Now;
  std::string Step;
  std::string Peer;
  SoupMessage *Message = nullptr;
  GCancellable *Stop = nullptr;
  guint Timer = 0;
  size_t MaxBytes = 0;
};

gboolean onTimeout(gpointer Data) {
  auto *Call = static_cast<Pending *>(Data);
  Call->Timer = 0;
  g_cancellable_cancel(Call->Stop);
  return G_SOURCE_REMOVE;
}

void addHeader(const char *Name, const char *Value, gpointer Data) {
  std::string Lower = Name;
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  (*static_cast<std::map<std::string, std::string> *>(Data))[Lower] = Value;
}

Result<HttpReply> judge(const Pending &Call, GBytes *Body, GError *Why) {
  if (!Body) {
    bool TimedOut = g_cancellable_is_cancelled(Call.Stop);
    return Error{TimedOut ? Errc::Timeout : Errc::Unreachable, Call.Step,
                 Call.Peer, Why ? Why->message : "no answer"};
  }
  gsize Size = 0;
  const char *Bytes = static_cast<const char *>(g_bytes_get_data(Body, &Size));
  if (Size > Call.MaxBytes)
    return Error{Errc::TooLarge, Call.Step, Call.Peer,
                 std::to_string(Size) + " bytes"};
  HttpReply Out;
  Out.Status = soup_message_get_status(Call.Message);
  Out.Body.assign(Bytes ? Bytes : "", Size);
  soup_message_headers_foreach(soup_message_get_response_headers(Call.Message),
                               addHeader, &Out.Headers);
  return Out;
}

void onReply(GObject *Source, GAsyncResult *Outcome, gpointer Data) {
  std::unique_ptr<Pending> Call(static_cast<Pending *>(Data));
  GError *Why = nullptr;
  GBytes *Body =
      soup_session_send_and_read_finish(SOUP_SESSION(Source), Outcome, &Why);
  if (Call->Timer)
    g_source_remove(Call->Timer);
  Result<HttpReply> Reply = judge(*Call, Body, Why);
  g_clear_error(&Why);
  g_clear_pointer(&Body, g_bytes_unref);
  g_object_unref(Call->Message);
  g_object_unref(Call->Stop);
  Call->Done(std::move(Reply), Call->Now());
}

} // namespace

HttpFetcher::HttpFetcher(Options Opts, std::function<TimePoint()> Now)
    : Opts(std::move(Opts)), Now(std::move(Now)),
      Session(SOUP_SESSION(
          g_object_new(SOUP_TYPE_SESSION, "max-conns", this->Opts.Connections,
                       "max-conns-per-host", this->Opts.Connections,
                       "proxy-resolver", nullptr, nullptr))) {}

HttpFetcher::~HttpFetcher() {
  soup_session_abort(this->Session);
  g_object_unref(this->Session);
}

void HttpFetcher::onNetworkEvent(SoupMessage *, GSocketClientEvent Event,
                                 GIOStream *Stream, gpointer Data) {
  auto *Self = static_cast<HttpFetcher *>(Data);
  if (Event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(Stream))
    return;
  int Fd = g_socket_get_fd(
      g_socket_connection_get_socket(G_SOCKET_CONNECTION(Stream)));
  int On = 1;
  int Every = ProbeEverySeconds;
  int Probes = std::max(1, static_cast<int>(Self->Opts.SilenceLimit.count()) -
                               ProbeEverySeconds);
  int LimitMs = static_cast<int>(Self->Opts.SilenceLimit.count()) * MsInSecond;
  setsockopt(Fd, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPIDLE, &Every, sizeof(Every));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPINTVL, &Every, sizeof(Every));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
  setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &LimitMs, sizeof(LimitMs));
}

void HttpFetcher::fetch(const std::string &Path, const std::string &Step,
                        Millis Limit, GotReply Done) {
  std::string Url = "http://" + this->Opts.Address + Path;
  auto Call = std::make_unique<Pending>();
  Call->Done = std::move(Done);
  Call->Now = this->Now;
  Call->Step = Step;
  Call->Peer = this->Opts.Address;
  Call->Message = soup_message_new("GET", Url.c_str());
  Call->Stop = g_cancellable_new();
  Call->MaxBytes = this->Opts.MaxBytes;
  Call->Timer =
      g_timeout_add(static_cast<guint>(Limit.count()), onTimeout, Call.get());
  if (this->Opts.SilenceLimit.count() > 0)
    g_signal_connect(Call->Message, "network-event", G_CALLBACK(onNetworkEvent),
                     this);
  Pending *Raw = Call.release();
  soup_session_send_and_read_async(this->Session, Raw->Message,
                                   G_PRIORITY_DEFAULT, Raw->Stop, onReply, Raw);
}

} // namespace hickorylift
