#include "calls/CallerServer.h"

#include "base/HttpListen.h"

#include <sys/socket.h>

// libsoup reads a request's body only while its message is not paused, and
// that is the back-pressure towards the caller. A message is paused for two
// reasons: the entry's window is full, or the body is read and the answer has
// not begun. updatePause() is the one place that weighs both.

namespace hickorylift {

namespace {

const char ExchangeKey[] = "hickorylift-exchange";

HeaderList readHeaders(SoupMessageHeaders *From) {
  HeaderList Out;
  SoupMessageHeadersIter Iter;
  soup_message_headers_iter_init(&Iter, From);
  const char *Name = nullptr;
  const char *Value = nullptr;
  while (soup_message_headers_iter_next(&Iter, &Name, &Value))
    Out.push_back({Name, Value});
  return Out;
}

int64_t bodyLength(SoupMessageHeaders *Of) {
  switch (soup_message_headers_get_encoding(Of)) {
  case SOUP_ENCODING_CONTENT_LENGTH:
    return soup_message_headers_get_content_length(Of);
  case SOUP_ENCODING_CHUNKED:
    return UnknownLength;
  default:
    return 0;
  }
}

RequestHead readRequest(SoupServerMessage *Message) {
  RequestHead Out;
  Out.Method = soup_server_message_get_method(Message);
  GUri *Uri = soup_server_message_get_uri(Message);
  Out.Path = g_uri_get_path(Uri);
  if (const char *Query = g_uri_get_query(Uri))
    Out.Path += std::string("?") + Query;
  SoupMessageHeaders *Headers =
      soup_server_message_get_request_headers(Message);
  Out.Headers = readHeaders(Headers);
  Out.Length = bodyLength(Headers);
  return Out;
}

} // namespace

struct CallerServer::Exchange {
  CallerServer *Owner = nullptr;
  CallerId Id = 0;
  SoupServerMessage *Message = nullptr;
  bool WindowFull = false;
  bool RequestRead = false;
  bool Answering = false;
  bool Paused = false;
  bool Refused = false;
  uint64_t Written = 0;
  // Bytes of body that go to the caller; UnknownLength if chunked.
  int64_t Expected = UnknownLength;
  GSource *Watch = nullptr;
};

CallerServer::CallerServer(Hooks Hooks, std::function<TimePoint()> Clock)
    : Hook(std::move(Hooks)), Now(std::move(Clock)),
      Server(soup_server_new("raw-paths", TRUE, nullptr)) {
  soup_server_add_early_handler(this->Server, nullptr, onHeaders, this,
                                nullptr);
  soup_server_add_handler(this->Server, nullptr, onRequestRead, this, nullptr);
}

CallerServer::~CallerServer() {
  while (!this->Exchanges.empty())
    this->forget(*this->Exchanges.begin()->second);
  soup_server_disconnect(this->Server);
  g_object_unref(this->Server);
}

Result<bool> CallerServer::listen(const NetAddress &At) {
  return listenHttp(this->Server, At, "listen-callers");
}

void CallerServer::stopListening() {
  GSList *Sockets = soup_server_get_listeners(this->Server);
  for (GSList *One = Sockets; One; One = One->next)
    g_socket_close(G_SOCKET(One->data), nullptr);
  g_slist_free(Sockets);
}

CallerServer::Exchange *CallerServer::find(CallerId Caller) {
  auto Found = this->Exchanges.find(Caller);
  return Found == this->Exchanges.end() ? nullptr : Found->second.get();
}

void CallerServer::onHeaders(SoupServer *, SoupServerMessage *Message,
                             const char *, GHashTable *, gpointer Data) {
  auto *Self = static_cast<CallerServer *>(Data);
  auto New = std::make_unique<Exchange>();
  Exchange &Of = *New;
  Of.Owner = Self;
  Of.Id = ++Self->LastId;
  Of.Message = SOUP_SERVER_MESSAGE(g_object_ref(Message));
  g_object_set_data(G_OBJECT(Message), ExchangeKey, &Of);
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(Message), FALSE);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(Message), FALSE);
  g_signal_connect(Message, "got-chunk", G_CALLBACK(onChunk), &Of);
  g_signal_connect(Message, "got-body", G_CALLBACK(onGotBody), &Of);
  g_signal_connect(Message, "wrote-body-data", G_CALLBACK(onWroteBodyData),
                   &Of);
  g_signal_connect(Message, "finished", G_CALLBACK(onFinished), &Of);
  CallerId Id = Of.Id;
  Self->Exchanges[Id] = std::move(New);
  Self->Hook.Request(Id, readRequest(Message), Self->Now());
}

// libsoup calls this once the body is read. The answer comes later.
void CallerServer::onRequestRead(SoupServer *, SoupServerMessage *Message,
                                 const char *, GHashTable *, gpointer) {
  auto *Of = static_cast<Exchange *>(
      g_object_get_data(G_OBJECT(Message), ExchangeKey));
  if (!Of)
    return;
  Of->RequestRead = true;
  Of->Owner->updatePause(*Of);
  if (!Of->Answering)
    Of->Owner->watchSocket(*Of);
}

void CallerServer::onChunk(SoupServerMessage *, GBytes *Bytes, gpointer Data) {
  auto *Of = static_cast<Exchange *>(Data);
  gsize Size = 0;
  const char *At = static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
  if (Size && !Of->Refused)
    Of->Owner->Hook.Body(Of->Id, std::string_view(At, Size), Of->Owner->Now());
}

void CallerServer::onGotBody(SoupServerMessage *, gpointer Data) {
  auto *Of = static_cast<Exchange *>(Data);
  if (!Of->Refused)
    Of->Owner->Hook.BodyEnd(Of->Id, Of->Owner->Now());
}

void CallerServer::onWroteBodyData(SoupServerMessage *, guint Size,
                                   gpointer Data) {
  auto *Of = static_cast<Exchange *>(Data);
  Of->Written += Size;
  Of->Owner->Hook.Consumed(Of->Id, Of->Written, Of->Owner->Now());
}

// Emitted when the caller's connection breaks, and also when an answer of
// known length is written, which may be before its end has come from the gate.
// The second is no reason to cancel anything.
void CallerServer::onFinished(SoupServerMessage *, gpointer Data) {
  auto *Of = static_cast<Exchange *>(Data);
  CallerServer *Self = Of->Owner;
  CallerId Id = Of->Id;
  bool Whole = Of->Answering && Of->Expected >= 0 &&
               Of->Written >= static_cast<uint64_t>(Of->Expected);
  Self->forget(*Of);
  if (!Whole)
    Self->Hook.Gone(Id, Self->Now());
}

// While a message is paused libsoup does not look at its socket, so a caller
// that goes away would be noticed only when the answer is written, and its
// call would run on for nobody.
void CallerServer::watchSocket(Exchange &Of) {
  GSocket *Socket = soup_server_message_get_socket(Of.Message);
  if (!Socket || Of.Watch)
    return;
  Of.Watch = g_socket_create_source(Socket, G_IO_IN, nullptr);
  g_source_set_callback(Of.Watch, G_SOURCE_FUNC(onReadable), &Of, nullptr);
  g_source_attach(Of.Watch, nullptr);
}

gboolean CallerServer::onReadable(GSocket *Socket, GIOCondition,
                                  gpointer Data) {
  auto *Of = static_cast<Exchange *>(Data);
  char Byte = 0;
  ssize_t Got =
      recv(g_socket_get_fd(Socket), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Got < 0)
    return G_SOURCE_CONTINUE;
  g_source_unref(std::exchange(Of->Watch, nullptr));
  // Another request on the same connection waits its turn.
  if (Got > 0 || Of->Answering)
    return G_SOURCE_REMOVE;
  CallerServer *Self = Of->Owner;
  CallerId Id = Of->Id;
  Self->abort(Id);
  Self->Hook.Gone(Id, Self->Now());
  return G_SOURCE_REMOVE;
}

void CallerServer::forget(Exchange &Of) {
  if (Of.Watch) {
    g_source_destroy(Of.Watch);
    g_source_unref(Of.Watch);
  }
  g_signal_handlers_disconnect_by_data(Of.Message, &Of);
  g_object_set_data(G_OBJECT(Of.Message), ExchangeKey, nullptr);
  g_object_unref(Of.Message);
  this->Exchanges.erase(Of.Id);
}

void CallerServer::updatePause(Exchange &Of) {
  bool Wanted = !Of.Answering && (Of.WindowFull || Of.RequestRead);
  if (Wanted == Of.Paused)
    return;
  Of.Paused = Wanted;
  if (Wanted)
    soup_server_message_pause(Of.Message);
  else
    soup_server_message_unpause(Of.Message);
}

void CallerServer::pauseRequest(CallerId Caller, bool Paused) {
  if (Exchange *Of = this->find(Caller)) {
    Of->WindowFull = Paused;
    this->updatePause(*Of);
  }
}

void CallerServer::head(CallerId Caller, const ResponseHead &Head) {
  Exchange *Of = this->find(Caller);
  if (!Of)
    return;
  soup_server_message_set_status(Of->Message, Head.Status, Head.Reason.c_str());
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Of->Message);
  for (const HeaderField &One : Head.Headers)
    soup_message_headers_append(Headers, One.Name.c_str(), One.Value.c_str());
  // Also where the upstream passes on what it was told further down.
  soup_message_headers_replace(Headers, "Hickorylift-Outcome", "answered");
  if (Head.Length >= 0)
    soup_message_headers_set_content_length(Headers, Head.Length);
  else
    soup_message_headers_set_encoding(Headers, SOUP_ENCODING_CHUNKED);
  bool NoBody =
      soup_server_message_get_method(Of->Message) == SOUP_METHOD_HEAD ||
      Head.Status == SOUP_STATUS_NO_CONTENT ||
      Head.Status == SOUP_STATUS_NOT_MODIFIED;
  Of->Expected = NoBody ? 0 : Head.Length;
  Of->Answering = true;
  this->updatePause(*Of);
}

void CallerServer::body(CallerId Caller, std::string_view Bytes) {
  Exchange *Of = this->find(Caller);
  if (!Of)
    return;
  soup_message_body_append(soup_server_message_get_response_body(Of->Message),
                           SOUP_MEMORY_COPY, Bytes.data(), Bytes.size());
  soup_server_message_unpause(Of->Message);
}

void CallerServer::bodyEnd(CallerId Caller) {
  Exchange *Of = this->find(Caller);
  if (!Of)
    return;
  soup_message_body_complete(
      soup_server_message_get_response_body(Of->Message));
  soup_server_message_unpause(Of->Message);
}

void CallerServer::abort(CallerId Caller) {
  Exchange *Of = this->find(Caller);
  if (!Of)
    return;
  GSocket *Socket = soup_server_message_get_socket(Of->Message);
  SoupServerMessage *Message = SOUP_SERVER_MESSAGE(g_object_ref(Of->Message));
  this->forget(*Of);
  if (Socket)
    g_socket_shutdown(Socket, TRUE, TRUE, nullptr);
  soup_server_message_unpause(Message);
  g_object_unref(Message);
}

void CallerServer::refuse(CallerId Caller, const Refusal &Why) {
  Exchange *Of = this->find(Caller);
  if (!Of)
    return;
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Of->Message);
  auto Add = [&](const char *Name, const std::string &Value) {
    if (!Value.empty())
      soup_message_headers_append(Headers, Name, Value.c_str());
  };
  Add("Hickorylift-Outcome", outcomeName(Why.What));
  Add("Hickorylift-Reason", Why.Reason);
  Add("Hickorylift-Step", Why.Step);
  Add("Hickorylift-Peer", Why.Peer);
  if (Why.RetryAfter.count() > 0) {
    // The standard field counts whole seconds; ours is exact.
    Add("Retry-After", std::to_string((Why.RetryAfter.count() + 999) / 1000));
    Add("Hickorylift-Retry-After-Ms", std::to_string(Why.RetryAfter.count()));
  }
  // The rest of the request is not read.
  if (!Of->RequestRead)
    soup_message_headers_replace(Headers, "Connection", "close");
  std::string Text =
      std::string(outcomeName(Why.What)) + ": " + Why.Reason + "\n";
  soup_server_message_set_response(Of->Message, "text/plain", SOUP_MEMORY_COPY,
                                   Text.data(), Text.size());
  soup_server_message_set_status(Of->Message, statusOf(Why), nullptr);
  Of->Refused = true;
  Of->Answering = true;
  this->updatePause(*Of);
}

} // namespace hickorylift
