#include "spread/Spreader.h"

#include "peer/Frame.h"

#include <zstd.h>

namespace hickorylift {

namespace {

// Level 3 halves the association's bytes at a cost that one push an hour, or
// one in four seconds, does not feel; see docs/design/spread.md.
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

std::string packChanges(const ChangeSet &Changes, size_t CompressFrom,
                        uint32_t &RawSize) {
  wire::WireChangeSetT Set;
  for (const Change &One : Changes) {
    auto Wire = std::make_unique<wire::WireChangeT>();
    Wire->name = One.Name;
    Wire->removed = !One.Bytes;
    if (One.Bytes)
      Wire->bytes.assign(One.Bytes->begin(), One.Bytes->end());
    Set.changes.push_back(std::move(Wire));
  }
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::WireChangeSet::Pack(Builder, &Set));
  std::string Raw(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
                  Builder.GetSize());
  RawSize = 0;
  if (Raw.size() < CompressFrom)
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
      return badMessage("change set does not decompress");
  } else {
    Raw.assign(Bytes);
  }
  flatbuffers::Verifier Check(reinterpret_cast<const uint8_t *>(Raw.data()),
                              Raw.size(), /*max_depth=*/16,
                              /*max_tables=*/1u << 24);
  if (!Check.VerifyBuffer<wire::WireChangeSet>(nullptr))
    return badMessage("change set does not verify");
  const auto *Set = flatbuffers::GetRoot<wire::WireChangeSet>(Raw.data());
  ChangeSet Changes;
  if (!Set->changes())
    return Changes;
  for (const wire::WireChange *One : *Set->changes()) {
    if (!One->name())
      return badMessage("change without a name");
    Change Read{One->name()->str(), nullptr};
    if (!One->removed()) {
      const auto *Held = One->bytes();
      Read.Bytes = std::make_shared<const std::string>(
          Held ? std::string(Held->begin(), Held->end()) : std::string());
    }
    Changes.push_back(std::move(Read));
  }
  return Changes;
}

} // namespace hickorylift
