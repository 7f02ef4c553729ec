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
constexpr size_t PieceBytes = 64 * 1024;

using RunningMap = std::map<HttpFetcher::RequestId, GCancellable *>;

struct Pending {
  HttpFetcher::RequestId Id = 0;
  std::shared_ptr<RunningMap> Running;
  HttpFetcher::GotReply Done;
  std::function<TimePoint()> Now;
  std::string Step;
  std::string Peer;
  SoupMessage *Message = nullptr;
  GCancellable *Stop = nullptr;
  guint Timer = 0;
  // Set once the head of the response has arrived.
  GInputStream *Stream = nullptr;
  TimePoint HeadAt;
  std::string Body;
  size_t MaxBytes = 0;
  Millis StallLimit{0};
  Millis MaxTransfer{0};
  unsigned InterimResponses = 0;
  unsigned MaxInterimResponses = 0;
};

gboolean onTimeout(gpointer Data) {
  auto *Call = static_cast<Pending *>(Data);
  Call->Timer = 0;
  g_cancellable_cancel(Call->Stop);
  return G_SOURCE_REMOVE;
}

void onInterimResponse(SoupMessage *, gpointer Data) {
  auto *Call = static_cast<Pending *>(Data);
  if (++Call->InterimResponses > Call->MaxInterimResponses)
    g_cancellable_cancel(Call->Stop);
}

void addHeader(const char *Name, const char *Value, gpointer Data) {
  std::string Lower = Name;
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  (*static_cast<std::map<std::string, std::string> *>(Data))[Lower] = Value;
}

void startTimer(Pending &Call, Millis Limit) {
  if (Call.Timer)
    g_source_remove(Call.Timer);
  Call.Timer =
      g_timeout_add(static_cast<guint>(Limit.count()), onTimeout, &Call);
}

// Tells a server that doesn't answer from a transfer that stopped.
Error failure(const Pending &Call, const GError *Why) {
  if (Call.InterimResponses > Call.MaxInterimResponses)
    return Error{Errc::BadMessage, Call.Step, Call.Peer,
                 "too many interim responses"};
  bool TimedOut = g_cancellable_is_cancelled(Call.Stop);
  std::string Detail = Why ? Why->message : "no answer";
  if (Call.Stream)
    Detail += ", after " + std::to_string(Call.Body.size()) + " bytes";
  return Error{TimedOut ? Errc::Timeout : Errc::Unreachable, Call.Step,
               Call.Peer, Detail};
}

Error tooLarge(const Pending &Call) {
  return Error{Errc::TooLarge, Call.Step, Call.Peer,
               "more than " + std::to_string(Call.MaxBytes) + " bytes"};
}

HttpReply makeReply(Pending &Call) {
  HttpReply Out;
  Out.Status = soup_message_get_status(Call.Message);
  Out.TransferTime = toMillis(Call.Now() - Call.HeadAt);
  Out.Body = std::move(Call.Body);
  soup_message_headers_foreach(soup_message_get_response_headers(Call.Message),
                               addHeader, &Out.Headers);
  return Out;
}

void finish(std::unique_ptr<Pending> Call, Result<HttpReply> Reply) {
  if (Call->Timer)
    g_source_remove(Call->Timer);
  Call->Running->erase(Call->Id);
  // A response that wasn't read to its end must not be waited for.
  if (!Reply)
    g_cancellable_cancel(Call->Stop);
  if (Call->Stream)
    g_input_stream_close(Call->Stream, Call->Stop, nullptr);
  g_clear_object(&Call->Stream);
  g_signal_handlers_disconnect_by_data(Call->Message, Call.get());
  g_object_unref(Call->Message);
  g_object_unref(Call->Stop);
  Call->Done(std::move(Reply), Call->Now());
}

void onPiece(GObject *Source, GAsyncResult *Outcome, gpointer Data);

void readPiece(Pending *Call) {
  g_input_stream_read_bytes_async(Call->Stream, PieceBytes, G_PRIORITY_DEFAULT,
                                  Call->Stop, onPiece, Call);
}

void onPiece(GObject *Source, GAsyncResult *Outcome, gpointer Data) {
  std::unique_ptr<Pending> Call(static_cast<Pending *>(Data));
  GError *Why = nullptr;
  GBytes *Piece =
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(Source), Outcome, &Why);
  if (!Piece) {
    Error Cause = failure(*Call, Why);
    g_clear_error(&Why);
    return finish(std::move(Call), Cause);
  }
  gsize Size = 0;
  const char *Bytes = static_cast<const char *>(g_bytes_get_data(Piece, &Size));
  if (Size > 0)
    Call->Body.append(Bytes, Size);
  g_bytes_unref(Piece);
  if (Call->Body.size() > Call->MaxBytes) {
    Error Cause = tooLarge(*Call);
    return finish(std::move(Call), Cause);
  }
  if (Size == 0) {
    HttpReply Reply = makeReply(*Call);
    return finish(std::move(Call), std::move(Reply));
  }
  Millis Left = Call->MaxTransfer - toMillis(Call->Now() - Call->HeadAt);
  startTimer(*Call, std::clamp(Left, Millis(0), Call->StallLimit));
  readPiece(Call.release());
}

void onHead(GObject *Source, GAsyncResult *Outcome, gpointer Data) {
  std::unique_ptr<Pending> Call(static_cast<Pending *>(Data));
  GError *Why = nullptr;
  Call->Stream = soup_session_send_finish(SOUP_SESSION(Source), Outcome, &Why);
  if (!Call->Stream) {
    Error Cause = failure(*Call, Why);
    g_clear_error(&Why);
    return finish(std::move(Call), Cause);
  }
  Call->HeadAt = Call->Now();
  startTimer(*Call, Call->StallLimit);
  readPiece(Call.release());
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

void HttpFetcher::cancel(RequestId Request) {
  auto Found = this->Running->find(Request);
  if (Found != this->Running->end())
    g_cancellable_cancel(Found->second);
}

HttpFetcher::RequestId HttpFetcher::fetch(const std::string &Path,
                                          const std::string &Step,
                                          Millis HeadLimit, GotReply Done) {
  std::string Url = "http://" + this->Opts.Address + Path;
  auto Call = std::make_unique<Pending>();
  Call->Id = ++this->LastRequest;
  Call->Running = this->Running;
  Call->Done = std::move(Done);
  Call->Now = this->Now;
  Call->Step = Step;
  Call->Peer = this->Opts.Address;
  Call->Message = soup_message_new("GET", Url.c_str());
  Call->Stop = g_cancellable_new();
  Call->MaxBytes = this->Opts.MaxBytes;
  Call->StallLimit = this->Opts.StallLimit;
  Call->MaxTransfer = this->Opts.MaxTransfer;
  Call->MaxInterimResponses = this->Opts.MaxInterimResponses;
  startTimer(*Call, HeadLimit);
  if (this->Opts.SilenceLimit.count() > 0)
    g_signal_connect(Call->Message, "network-event", G_CALLBACK(onNetworkEvent),
                     this);
  Pending *Raw = Call.release();
  g_signal_connect(Raw->Message, "got-informational",
                   G_CALLBACK(onInterimResponse), Raw);
  this->Running->emplace(Raw->Id, Raw->Stop);
  RequestId Id = Raw->Id;
  soup_session_send_async(this->Session, Raw->Message, G_PRIORITY_DEFAULT,
                          Raw->Stop, onHead, Raw);
  return Id;
}

} // namespace hickorylift
