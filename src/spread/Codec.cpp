#include "spread/Spreader.h"

#include "peer/Frame.h"

#include <zstd.h>

// Encoding of spread frames and change sets. A change set is a FlatBuffer,
// compressed with zstd if that makes it smaller. Decoding trusts nothing that
// was received: the decompressed size is limited before memory is allocated,
// and the buffer is verified before it is read.

namespace hickorylift {

namespace {

// Level 3 halves the size of the association. Its CPU cost is negligible at one
// push per hour, and even at one per four seconds; see docs/design/spread.md.
constexpr int CompressionLevel = 3;

Error badMessage(const std::string &Detail) {
  return {Errc::BadMessage, "decode-frame", "", Detail};
}

std::string compress(const std::string &Raw) {
  std::string Packed(ZSTD_compressBound(Raw.size()), '\0');
  size_t Size = ZSTD_compress(Packed.data(), Packed.size(), Raw.data(),
                              Raw.size(), CompressionLevel);
  if (ZSTD_isError(Size))
    return Raw;
  Packed.resize(Size);
  return Packed;
}

} // namespace

std::string encodeFrame(const wire::SpreadFrameT &Frame) {
  return packFrame<wire::SpreadFrame>(Frame);
}

Result<wire::SpreadFrameT> decodeSpreadFrame(std::string_view Sealed,
                                             const Safeguards &Guards) {
  return unpackFrame<wire::SpreadFrame>(Sealed, Guards);
}

std::string packChanges(const ChangeSet &Changes, size_t MinCompressBytes,
                        uint32_t &RawSize) {
  wire::WireChangeSetT Set;
  for (const Change &Entry : Changes) {
    auto Wire = std::make_unique<wire::WireChangeT>();
    Wire->name = Entry.Name;
    Wire->removed = !Entry.Bytes;
    if (Entry.Bytes)
      Wire->bytes.assign(Entry.Bytes->begin(), Entry.Bytes->end());
    Set.changes.push_back(std::move(Wire));
  }
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::WireChangeSet::Pack(Builder, &Set));
  std::string Raw(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
                  Builder.GetSize());
  RawSize = 0;
  if (Raw.size() < MinCompressBytes)
    return Raw;
  std::string Packed = compress(Raw);
  if (Packed.size() >= Raw.size())
    return Raw;
  RawSize = static_cast<uint32_t>(Raw.size());
  return Packed;
}

Result<ChangeSet> unpackChanges(std::string_view Bytes, uint32_t RawSize,
                                size_t Limit) {
  std::string Raw;
  if (RawSize > Limit)
    return Error{Errc::TooLarge, "unpack-changes", "",
                 std::to_string(RawSize) + " bytes"};
  if (RawSize != 0) {
    Raw.resize(RawSize);
    size_t Size =
        ZSTD_decompress(Raw.data(), Raw.size(), Bytes.data(), Bytes.size());
    if (ZSTD_isError(Size) || Size != RawSize)
      return badMessage("change set cannot be decompressed");
  } else {
    Raw.assign(Bytes);
  }
  flatbuffers::Verifier Check(reinterpret_cast<const uint8_t *>(Raw.data()),
                              Raw.size(), /*max_depth=*/16,
                              /*max_tables=*/1u << 24);
  if (!Check.VerifyBuffer<wire::WireChangeSet>(nullptr))
    return badMessage("change set fails verification");
  const auto *Set = flatbuffers::GetRoot<wire::WireChangeSet>(Raw.data());
  ChangeSet Changes;
  if (!Set->changes())
    return Changes;
  for (const wire::WireChange *Entry : *Set->changes()) {
    if (!Entry->name())
      return badMessage("change has no name");
    Change Decoded{Entry->name()->str(), nullptr};
    if (!Entry->removed()) {
      const auto *Content = Entry->bytes();
      Decoded.Bytes = std::make_shared<const std::string>(
          Content ? std::string(Content->begin(), Content->end())
                  : std::string());
    }
    Changes.push_back(std::move(Decoded));
  }
  return Changes;
}

} // namespace hickorylift
