#ifndef HICKORYLIFT_CALLS_BODY_H
#define HICKORYLIFT_CALLS_BODY_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Transfers one direction of a call's body with flow control. Each piece
// carries its byte offset, so the transfer can continue over another link
// without losing or duplicating a byte. SendStream is the sender's side,
// ReceiveStream the receiver's.
//
//   SendStream Stream(/*Window=*/16 * 1024, /*ReplayBytes=*/32 * 1024);
//   Stream.append(Bytes);
//   while (auto Piece = Stream.nextPiece(32 * 1024)) send(*Piece);
//   Stream.credit(Consumed);     // the receiver has consumed these bytes
//   Stream.rewind(Received);     // new link: continue from this offset

namespace hickorylift {

class SendStream {
public:
  struct Piece {
    uint64_t Offset = 0;
    std::string Bytes;
    bool End = false;
  };

  /// Window limits the bytes that are sent but not yet credited by the
  /// receiver. The body is kept from its first byte until more than ReplayBytes
  /// have been credited, so that it can be sent again to another receiver. A
  /// source that pauses when the buffer is full must allow more than
  /// ReplayBytes in it: up to there nothing is removed, so a source that pauses
  /// earlier would never resume.
  explicit SendStream(uint64_t Window, uint64_t ReplayBytes = 0)
      : Window(Window), ReplayBytes(ReplayBytes) {}

  void append(std::string_view Bytes) { this->Buffer.append(Bytes); }
  void finish() { this->Finished = true; }
  bool finished() const { return this->Finished; }

  /// The next piece to send, or nullopt while the window is full or there is
  /// nothing new. The last piece has End set and may be empty.
  std::optional<Piece> nextPiece(size_t MaxBytes) {
    uint64_t BufferEnd = this->Base + this->Buffer.size();
    uint64_t Limit = std::min(BufferEnd, this->Credited + this->Window);
    size_t Size =
        std::min<uint64_t>(MaxBytes, Limit - std::min(Limit, this->Sent));
    bool End = this->Finished && this->Sent + Size == BufferEnd;
    if ((Size == 0 && !End) || this->EndSent)
      return std::nullopt;
    Piece Next{this->Sent, this->Buffer.substr(this->Sent - this->Base, Size),
               End};
    this->Sent += Size;
    this->EndSent = End;
    return Next;
  }

  /// Records that the receiver has consumed all bytes below offset Consumed.
  /// The value comes from another process; an impossible one is ignored.
  void credit(uint64_t Consumed) {
    this->EndCredited |= this->EndSent && Consumed == this->Sent;
    if (Consumed <= this->Credited || Consumed > this->Sent)
      return;
    this->Credited = Consumed;
    if (Consumed <= this->ReplayBytes)
      return;
    this->Buffer.erase(0, Consumed - this->Base);
    this->Base = Consumed;
    if (this->EndCredited)
      this->Buffer.shrink_to_fit();
  }

  /// Continues from the offset up to which the receiver reports to have the
  /// body. Returns false if the bytes from there on are no longer buffered.
  bool rewind(uint64_t Received) {
    if (Received < this->Base || Received > this->Base + this->Buffer.size())
      return false;
    this->Sent = Received;
    this->Credited = Received;
    this->EndSent = false;
    this->EndCredited = false;
    return true;
  }

  /// The buffered bytes: the whole body so far, as long as replayable() holds.
  std::string_view bufferedBytes() const { return this->Buffer; }
  /// Whether the body can still be sent from its first byte, to another gate.
  bool replayable() const { return this->Base == 0; }
  /// Bytes in memory; the source should pause when this exceeds its limit.
  size_t bufferedSize() const { return this->Buffer.size(); }
  /// Bytes of memory that the buffer takes up, used or not.
  size_t reservedSize() const { return this->Buffer.capacity(); }
  /// Bytes that the receiver has consumed.
  uint64_t credited() const { return this->Credited; }
  /// Whether everything was sent and the receiver has confirmed it. An empty
  /// body is confirmed by a credit too.
  bool isComplete() const { return this->EndCredited; }
  bool endSent() const { return this->EndSent; }

private:
  uint64_t Window;
  uint64_t ReplayBytes;
  // Buffer holds the bytes from offset Base on. Bytes below Sent have been
  // sent, and bytes below Credited have been consumed by the receiver.
  std::string Buffer;
  uint64_t Base = 0;
  uint64_t Credited = 0;
  uint64_t Sent = 0;
  bool Finished = false;
  bool EndSent = false;
  bool EndCredited = false;
};

class ReceiveStream {
public:
  /// Returns the bytes of a piece that were not received before. Nullopt if
  /// there is a gap before the piece: the stream cannot be completed any more.
  std::optional<std::string_view> accept(uint64_t Offset,
                                         std::string_view Bytes, bool End) {
    if (Offset > this->Received)
      return std::nullopt;
    uint64_t Duplicate = this->Received - Offset;
    std::string_view New = Duplicate >= Bytes.size() ? std::string_view()
                                                     : Bytes.substr(Duplicate);
    this->Received += New.size();
    if (End && Offset + Bytes.size() == this->Received)
      this->Ended = true;
    return New;
  }

  uint64_t received() const { return this->Received; }
  bool ended() const { return this->Ended; }

private:
  uint64_t Received = 0;
  bool Ended = false;
};

} // namespace hickorylift

#endif
