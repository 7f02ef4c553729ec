#include "gate/RequestStream.h"

#include <algorithm>
#include <cstring>
#include <string>

namespace hickorylift {

namespace {

struct Pending {
  std::string Bytes;
  size_t Read = 0;
  uint64_t Consumed = 0;
  bool Ended = false;
  std::function<void(uint64_t)> OnConsumed;

  bool readable() const {
    return this->Ended || this->Read < this->Bytes.size();
  }
};

struct RequestStream {
  GInputStream Parent;
  Pending *State;
};

struct RequestStreamClass {
  GInputStreamClass Parent;
};

void pollableInit(gpointer Table, gpointer);

GType requestStreamType();

Pending &stateOf(gpointer Stream) {
  return *static_cast<RequestStream *>(Stream)->State;
}

gssize readNow(GPollableInputStream *Stream, void *To, gsize Count,
               GError **Why) {
  Pending &Of = stateOf(Stream);
  if (!Of.readable()) {
    g_set_error_literal(Why, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "no bytes");
    return -1;
  }
  size_t Size = std::min<size_t>(Count, Of.Bytes.size() - Of.Read);
  std::memcpy(To, Of.Bytes.data() + Of.Read, Size);
  Of.Read += Size;
  Of.Consumed += Size;
  if (Of.Read == Of.Bytes.size()) {
    Of.Bytes.clear();
    Of.Read = 0;
  }
  if (Size)
    Of.OnConsumed(Of.Consumed);
  return static_cast<gssize>(Size);
}

gssize readBlocking(GInputStream *, void *, gsize, GCancellable *,
                    GError **Why) {
  g_set_error_literal(Why, G_IO_ERROR, G_IO_ERROR_NOT_SUPPORTED,
                      "this stream is read without blocking only");
  return -1;
}

// A source that is ready when its stream is. All runs on one thread, and bytes
// are appended from the loop, so looking in each turn is enough.
struct ReadySource {
  GSource Parent;
  GObject *Stream;
};

gboolean readyPrepare(GSource *Source, gint *Timeout) {
  *Timeout = -1;
  return stateOf(reinterpret_cast<ReadySource *>(Source)->Stream).readable();
}

gboolean readyCheck(GSource *Source) {
  return stateOf(reinterpret_cast<ReadySource *>(Source)->Stream).readable();
}

gboolean readyDispatch(GSource *, GSourceFunc Callback, gpointer Data) {
  return Callback ? Callback(Data) : G_SOURCE_CONTINUE;
}

void readyFinalize(GSource *Source) {
  g_object_unref(reinterpret_cast<ReadySource *>(Source)->Stream);
}

GSource *createSource(GPollableInputStream *Stream, GCancellable *Stop) {
  static GSourceFuncs Functions = {readyPrepare,  readyCheck, readyDispatch,
                                   readyFinalize, nullptr,    nullptr};
  GSource *Ready = g_source_new(&Functions, sizeof(ReadySource));
  reinterpret_cast<ReadySource *>(Ready)->Stream =
      G_OBJECT(g_object_ref(Stream));
  GSource *Out = g_pollable_source_new_full(Stream, Ready, Stop);
  g_source_unref(Ready);
  return Out;
}

gboolean canPoll(GPollableInputStream *) { return TRUE; }

gboolean isReadable(GPollableInputStream *Stream) {
  return stateOf(Stream).readable();
}

void pollableInit(gpointer Table, gpointer) {
  auto *Interface = static_cast<GPollableInputStreamInterface *>(Table);
  Interface->can_poll = canPoll;
  Interface->is_readable = isReadable;
  Interface->create_source = createSource;
  Interface->read_nonblocking = readNow;
}

void finalize(GObject *Object) {
  delete reinterpret_cast<RequestStream *>(Object)->State;
  G_OBJECT_CLASS(g_type_class_peek_parent(G_OBJECT_GET_CLASS(Object)))
      ->finalize(Object);
}

void classInit(gpointer Class, gpointer) {
  G_OBJECT_CLASS(Class)->finalize = finalize;
  G_INPUT_STREAM_CLASS(Class)->read_fn = readBlocking;
}

void instanceInit(GTypeInstance *Instance, gpointer) {
  reinterpret_cast<RequestStream *>(Instance)->State = new Pending;
}

GType requestStreamType() {
  static GType Type = [] {
    GType New = g_type_register_static_simple(
        G_TYPE_INPUT_STREAM, "HickoryliftRequestStream",
        sizeof(RequestStreamClass), classInit, sizeof(RequestStream),
        instanceInit, static_cast<GTypeFlags>(0));
    GInterfaceInfo Pollable = {pollableInit, nullptr, nullptr};
    g_type_add_interface_static(New, G_TYPE_POLLABLE_INPUT_STREAM, &Pollable);
    return New;
  }();
  return Type;
}

} // namespace

GInputStream *requestStreamNew(std::function<void(uint64_t)> OnConsumed) {
  auto *Out = G_INPUT_STREAM(g_object_new(requestStreamType(), nullptr));
  stateOf(Out).OnConsumed = std::move(OnConsumed);
  return Out;
}

void requestStreamAppend(GInputStream *Of, std::string_view Bytes) {
  stateOf(Of).Bytes.append(Bytes);
}

void requestStreamEnd(GInputStream *Of) { stateOf(Of).Ended = true; }

} // namespace hickorylift
