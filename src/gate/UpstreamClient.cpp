#include "gate/UpstreamClient.h"

#include "gate/RequestStream.h"

// libsoup takes a kept connection only for messages that are flagged repeatable
// or whose method is, and sends the latter (PUT and DELETE among them) again by
// itself when that connection turns out to be dead. A fresh connection for each
// call that must not repeat costs a millisecond and more (docs/design/calls.md
// has the figures). So all messages are flagged, and a call that must not
// repeat is cancelled when libsoup says that it starts over. That is soon
// enough: every write is made with the same cancellable, and GIO looks at it
// before the first byte.

namespace hickorylift {

namespace {

ResponseHead readResponse(SoupMessage *Message) {
  ResponseHead Out;
  Out.Status = soup_message_get_status(Message);
  if (const char *Reason = soup_message_get_reason_phrase(Message))
    Out.Reason = Reason;
  SoupMessageHeaders *Headers = soup_message_get_response_headers(Message);
  SoupMessageHeadersIter Iter;
  soup_message_headers_iter_init(&Iter, Headers);
  const char *Name = nullptr;
  const char *Value = nullptr;
  HeaderList All;
  while (soup_message_headers_iter_next(&Iter, &Name, &Value))
    All.push_back({Name, Value});
  Out.Headers = endToEndHeaders(All);
  if (soup_message_headers_get_encoding(Headers) ==
      SOUP_ENCODING_CONTENT_LENGTH)
    Out.Length = soup_message_headers_get_content_length(Headers);
  return Out;
}

} // namespace

struct UpstreamClient::Call {
  UpstreamClient *Owner = nullptr;
  CallId Id;
  SoupMessage *Message = nullptr;
  GInputStream *Request = nullptr;
  GInputStream *Answer = nullptr;
  GCancellable *Stop = nullptr;
  bool Sent = false;
  bool Paused = false;
  bool Reading = false;

  ~Call() {
    g_clear_object(&this->Answer);
    g_clear_object(&this->Request);
    g_clear_object(&this->Message);
    g_clear_object(&this->Stop);
  }
};

namespace {

// What an asynchronous answer finds its call by: the call may be gone.
struct Ticket {
  UpstreamClient *Owner;
  CallId Id;
};

struct HealthTicket {
  UpstreamClient *Owner;
  SoupMessage *Message;
  GCancellable *Stop;
  guint Timer;
};

gboolean onHealthTimeout(gpointer Data) {
  auto *Of = static_cast<HealthTicket *>(Data);
  Of->Timer = 0;
  g_cancellable_cancel(Of->Stop);
  return G_SOURCE_REMOVE;
}

std::string takeMessage(GError *&Why) {
  std::string Out = Why ? Why->message : "";
  g_clear_error(&Why);
  return Out;
}

} // namespace

UpstreamClient::UpstreamClient(Options Opts, Hooks Hooks,
                               std::function<TimePoint()> Clock)
    : Opts(std::move(Opts)), Hook(std::move(Hooks)), Now(std::move(Clock)) {
  // One connection more than calls may use is for the health endpoint.
  this->Session = SOUP_SESSION(g_object_new(
      SOUP_TYPE_SESSION, "max-conns", this->Opts.Connections + 1,
      "max-conns-per-host", this->Opts.Connections + 1, "idle-timeout",
      static_cast<guint>(this->Opts.KeepIdle.count()), "timeout", 0u,
      "proxy-resolver", nullptr, nullptr));
  // The answer is passed on as it is: not decoded, not authenticated for.
  soup_session_remove_feature_by_type(this->Session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(this->Session, SOUP_TYPE_AUTH_MANAGER);
}

UpstreamClient::~UpstreamClient() {
  soup_session_abort(this->Session);
  g_object_unref(this->Session);
}

UpstreamClient::Call *UpstreamClient::find(const CallId &Id) {
  auto Found = this->Calls.find(Id);
  return Found == this->Calls.end() ? nullptr : Found->second.get();
}

std::unique_ptr<UpstreamClient::Call> UpstreamClient::take(const CallId &Id) {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return nullptr;
  std::unique_ptr<Call> Out = std::move(Found->second);
  this->Calls.erase(Found);
  return Out;
}

void UpstreamClient::start(const CallId &Id, const RequestHead &Head,
                           bool MayRepeat) {
  std::string Url = "http://" + this->Opts.Address.text() + Head.Path;
  auto New = std::make_unique<Call>();
  New->Owner = this;
  New->Id = Id;
  New->Stop = g_cancellable_new();
  GUri *Uri = g_uri_parse(
      Url.c_str(),
      static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS | G_URI_FLAGS_ENCODED),
      nullptr);
  if (!Uri) {
    this->Hook.Failed(Id, /*Sent=*/false,
                      Error{Errc::Invalid, "upstream-request",
                            this->Opts.Address.text(), "path is no URI"},
                      this->Now());
    return;
  }
  New->Message = soup_message_new_from_uri(Head.Method.c_str(), Uri);
  g_uri_unref(Uri);
  soup_message_set_flags(
      New->Message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT |
                                                  SOUP_MESSAGE_IDEMPOTENT));
  SoupMessageHeaders *Headers = soup_message_get_request_headers(New->Message);
  for (const HeaderField &One : Head.Headers)
    soup_message_headers_append(Headers, One.Name.c_str(), One.Value.c_str());
  if (Head.Length != 0) {
    New->Request = requestStreamNew([this, Id](uint64_t Consumed) {
      this->Hook.Consumed(Id, Consumed, this->Now());
    });
    std::string Type = findHeader(Head.Headers, "Content-Type");
    soup_message_set_request_body(New->Message,
                                  Type.empty() ? nullptr : Type.c_str(),
                                  New->Request, Head.Length);
  }
  g_signal_connect(New->Message, "starting", G_CALLBACK(onStarting), New.get());
  // A body that streams cannot be sent again either.
  if (!MayRepeat || Head.Length != 0)
    g_signal_connect(New->Message, "restarted", G_CALLBACK(onRestarted),
                     New.get());
  Call &Of = *New;
  this->Calls[Id] = std::move(New);
  soup_session_send_async(this->Session, Of.Message, G_PRIORITY_DEFAULT,
                          Of.Stop, onSent, new Ticket{this, Id});
}

// Emitted when the connection is there and the request is about to be written:
// from here on the upstream may have seen some of it.
void UpstreamClient::onStarting(SoupMessage *, gpointer Data) {
  static_cast<Call *>(Data)->Sent = true;
}

// A kept connection died under the request. The upstream may have run it.
void UpstreamClient::onRestarted(SoupMessage *, gpointer Data) {
  auto *Of = static_cast<Call *>(Data);
  g_cancellable_cancel(Of->Stop);
  Of->Owner->fail(*Of, "kept connection closed");
}

void UpstreamClient::body(const CallId &Id, std::string_view Bytes) {
  Call *Of = this->find(Id);
  if (Of && Of->Request)
    requestStreamAppend(Of->Request, Bytes);
}

void UpstreamClient::bodyEnd(const CallId &Id) {
  Call *Of = this->find(Id);
  if (Of && Of->Request)
    requestStreamEnd(Of->Request);
}

void UpstreamClient::cancel(const CallId &Id) {
  if (std::unique_ptr<Call> Of = this->take(Id)) {
    g_signal_handlers_disconnect_by_data(Of->Message, Of.get());
    g_cancellable_cancel(Of->Stop);
  }
}

void UpstreamClient::onSent(GObject *Source, GAsyncResult *Outcome,
                            gpointer Data) {
  std::unique_ptr<Ticket> From(static_cast<Ticket *>(Data));
  GError *Why = nullptr;
  GInputStream *Answer =
      soup_session_send_finish(SOUP_SESSION(Source), Outcome, &Why);
  std::string Detail = takeMessage(Why);
  bool Cancelled = !Answer && Detail == "Operation was cancelled";
  if (Cancelled)
    return; // by cancel() or by the session's end: the owner may be gone
  UpstreamClient *Self = From->Owner;
  Call *Of = Self->find(From->Id);
  if (!Of) {
    g_clear_object(&Answer);
    return;
  }
  if (!Answer)
    return Self->fail(*Of, Detail);
  Of->Answer = Answer;
  Self->Hook.Head(Of->Id, readResponse(Of->Message), Self->Now());
  if (Call *Still = Self->find(From->Id))
    Self->readOn(*Still);
}

void UpstreamClient::readOn(Call &Of) {
  if (Of.Reading || Of.Paused || !Of.Answer)
    return;
  Of.Reading = true;
  g_input_stream_read_bytes_async(Of.Answer, this->Opts.ReadBytes,
                                  G_PRIORITY_DEFAULT, Of.Stop, onRead,
                                  new Ticket{this, Of.Id});
}

void UpstreamClient::onRead(GObject *Source, GAsyncResult *Outcome,
                            gpointer Data) {
  std::unique_ptr<Ticket> From(static_cast<Ticket *>(Data));
  GError *Why = nullptr;
  GBytes *Bytes =
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(Source), Outcome, &Why);
  if (!Bytes && g_error_matches(Why, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    return g_clear_error(&Why);
  std::string Detail = takeMessage(Why);
  UpstreamClient *Self = From->Owner;
  Call *Of = Self->find(From->Id);
  if (!Of) {
    if (Bytes)
      g_bytes_unref(Bytes);
    return;
  }
  Of->Reading = false;
  if (!Bytes)
    return Self->fail(*Of, Detail);
  gsize Size = 0;
  const char *At = static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
  if (Size == 0) {
    CallId Id = Of->Id;
    Self->take(Id);
    Self->Hook.End(Id, Self->Now());
  } else {
    Self->Hook.Body(Of->Id, std::string_view(At, Size), Self->Now());
    if (Call *Still = Self->find(From->Id))
      Self->readOn(*Still);
  }
  g_bytes_unref(Bytes);
}

void UpstreamClient::pauseAnswer(const CallId &Id, bool Paused) {
  if (Call *Of = this->find(Id)) {
    Of->Paused = Paused;
    this->readOn(*Of);
  }
}

void UpstreamClient::fail(Call &Of, const std::string &Detail) {
  std::unique_ptr<Call> Taken = this->take(Of.Id);
  g_signal_handlers_disconnect_by_data(Taken->Message, Taken.get());
  this->Hook.Failed(Taken->Id, Taken->Sent,
                    Error{Taken->Sent ? Errc::Closed : Errc::Unreachable,
                          "upstream-call", this->Opts.Address.text(), Detail},
                    this->Now());
}

void UpstreamClient::askHealth(const std::string &Path, Millis Limit) {
  std::string Url = "http://" + this->Opts.Address.text() + Path;
  auto *Of = new HealthTicket{this, soup_message_new("GET", Url.c_str()),
                              g_cancellable_new(), 0};
  Of->Timer =
      g_timeout_add(static_cast<guint>(Limit.count()), onHealthTimeout, Of);
  soup_session_send_and_read_async(this->Session, Of->Message,
                                   G_PRIORITY_DEFAULT, Of->Stop, onHealth, Of);
}

void UpstreamClient::onHealth(GObject *Source, GAsyncResult *Outcome,
                              gpointer Data) {
  std::unique_ptr<HealthTicket> Of(static_cast<HealthTicket *>(Data));
  GError *Why = nullptr;
  GBytes *Body =
      soup_session_send_and_read_finish(SOUP_SESSION(Source), Outcome, &Why);
  bool TimedOut = Of->Timer == 0;
  if (Of->Timer)
    g_source_remove(Of->Timer);
  guint Status = soup_message_get_status(Of->Message);
  g_object_unref(Of->Message);
  g_object_unref(Of->Stop);
  std::string Detail = takeMessage(Why);
  // Cancelled without a time-out: the session is going, and its owner is gone.
  if (!Body && !TimedOut && Detail == "Operation was cancelled")
    return;
  UpstreamClient *Self = Of->Owner;
  std::string Peer = Self->Opts.Address.text();
  if (!Body)
    return Self->Hook.Health(Error{TimedOut ? Errc::Timeout : Errc::Unreachable,
                                   "upstream-health", Peer, Detail},
                             Self->Now());
  gsize Size = 0;
  const char *At = static_cast<const char *>(g_bytes_get_data(Body, &Size));
  std::string Text(At ? At : "", Size);
  g_bytes_unref(Body);
  if (Status != 200 && Status != 503)
    return Self->Hook.Health(Error{Errc::Refused, "upstream-health", Peer,
                                   "status " + std::to_string(Status)},
                             Self->Now());
  Self->Hook.Health(Text, Self->Now());
}

} // namespace hickorylift
