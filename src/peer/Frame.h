#ifndef HICKORYLIFT_PEER_FRAME_H
#define HICKORYLIFT_PEER_FRAME_H

#include "peer/Seal.h"

#include <flatbuffers/flatbuffers.h>

namespace hickorylift {

/// A frame of a FlatBuffers table as sealed bytes.
template <typename TableT>
std::string packFrame(const typename TableT::NativeTableType &Frame) {
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(TableT::Pack(Builder, &Frame));
  return sealFrame({reinterpret_cast<const char *>(Builder.GetBufferPointer()),
                    Builder.GetSize()});
}

/// The inverse. Every offset is checked before anything is read; a payload
/// type that this build does not know is kept as such, with no value.
template <typename TableT>
Result<typename TableT::NativeTableType> unpackFrame(std::string_view Sealed,
                                                     const Safeguards &Guards) {
  Result<std::string_view> Bytes = openSealed(Sealed, Guards);
  if (!Bytes)
    return Bytes.error();
  flatbuffers::Verifier Check(reinterpret_cast<const uint8_t *>(Bytes->data()),
                              Bytes->size());
  if (!Check.VerifyBuffer<TableT>(nullptr))
    return Error{Errc::BadMessage, "decode-frame", "", "frame does not verify"};
  typename TableT::NativeTableType Frame;
  flatbuffers::GetRoot<TableT>(Bytes->data())->UnPackTo(&Frame);
  return Frame;
}

} // namespace hickorylift

#endif
