#ifndef HICKORYLIFT_GATE_REQUESTSTREAM_H
#define HICKORYLIFT_GATE_REQUESTSTREAM_H

#include <gio/gio.h>

#include <functional>
#include <string_view>

// A request's body as libsoup wants it: a GInputStream whose bytes arrive from
// elsewhere. It is pollable, so reading it needs no thread.
//
//   GInputStream *Body = requestStreamNew([](uint64_t Consumed) { ... });
//   requestStreamAppend(Body, Bytes);
//   requestStreamEnd(Body);

namespace hickorylift {

/// OnConsumed is told how many bytes were read in all.
GInputStream *requestStreamNew(std::function<void(uint64_t)> OnConsumed);
void requestStreamAppend(GInputStream *Of, std::string_view Bytes);
void requestStreamEnd(GInputStream *Of);

} // namespace hickorylift

#endif
