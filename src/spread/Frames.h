#ifndef HICKORYLIFT_SPREAD_FRAMES_H
#define HICKORYLIFT_SPREAD_FRAMES_H

#include "config/Document.h"
#include "spread/Spread_generated.h"

#include <memory>

// Conversions between Spreader's stamps and payloads and the frames on the
// wire. For the sources of this folder and for tests that build frames.
//
//   this->Hook.Send(To, makeFrame(std::move(Announce)));

namespace hickorylift {

inline wire::Stamp toWire(const Stamp &Value) {
  return {Value.Version, Value.Revision, Value.Hash};
}

/// Returns the null stamp if Value is null.
inline Stamp fromWire(const wire::Stamp *Value) {
  if (!Value)
    return {};
  return {Value->version(), Value->revision(), Value->hash()};
}

inline std::unique_ptr<wire::Stamp> makeWireStamp(const Stamp &Value) {
  return std::make_unique<wire::Stamp>(toWire(Value));
}

template <typename PayloadT> wire::SpreadFrameT makeFrame(PayloadT Payload) {
  wire::SpreadFrameT Frame;
  Frame.payload.Set(std::move(Payload));
  return Frame;
}

/// Returns the document's stamp. A null document has the null stamp, which
/// orders before all others.
inline Stamp stampOrNull(const DocumentPtr &Doc) {
  return Doc ? Doc->stamp() : Stamp();
}

} // namespace hickorylift

#endif
