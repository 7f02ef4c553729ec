#ifndef HICKORYLIFT_SPREAD_FRAMES_H
#define HICKORYLIFT_SPREAD_FRAMES_H

#include "config/Document.h"
#include "spread/Spread_generated.h"

#include <memory>

// How a Spreader's stamps and payloads look in frames. For the slice's own
// sources only.
//
//   this->Hook.Send(To, frameOf(std::move(Announce)));

namespace hickorylift {

inline wire::Stamp toWire(const Stamp &Of) {
  return {Of.Version, Of.Revision, Of.Hash};
}

inline Stamp fromWire(const wire::Stamp *Of) {
  if (!Of)
    return {};
  return {Of->version(), Of->revision(), Of->hash()};
}

inline std::unique_ptr<wire::Stamp> makeWireStamp(const Stamp &Of) {
  return std::make_unique<wire::Stamp>(toWire(Of));
}

template <typename PayloadT> wire::SpreadFrameT makeFrame(PayloadT Payload) {
  wire::SpreadFrameT Frame;
  Frame.payload.Set(std::move(Payload));
  return Frame;
}

/// Of no document, the stamp below all others.
inline Stamp stampOrNull(const DocumentPtr &Doc) {
  return Doc ? Doc->stamp() : Stamp();
}

} // namespace hickorylift

#endif
