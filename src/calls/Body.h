#ifndef HICKORYLIFT_CALLS_BODY_H
#define HICKORYLIFT_CALLS_BODY_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// One direction of a call's body, by offsets, so that it can go on over
// another link without a byte lost or doubled.
//
//   SendStream Out(/*Window=*/16 * 1024, /*Keep=*/32 * 1024);
//   Out.append(Bytes);
//   while (auto Piece = Out.next(32 * 1024)) send(*Piece);
//   Out.credit(Consumed);          // the receiver has it; forget it
//   Out.rewind(Received);          // new link: go on from there

namespace hickorylift {

class SendStream {
public:
  struct Piece {
    uint64_t Offset = 0;
    std::string Bytes;
    bool End = false;
  };

  /// Window: how many bytes may be out without a credit. Keep: a body is held
  /// from its first byte on until more than this has a credit, so that it can
  /// be sent again elsewhere. A source that pauses must do so at more than Keep
  /// bytes, or it would wait for ever for some to be forgotten.
  explicit SendStream(uint64_t Window, uint64_t Keep = 0)
      : Window(Window), Keep(Keep) {}

  void append(std::string_view Bytes) { this->Kept.append(Bytes); }
  void finish() { this->Finished = true; }
  bool finished() const { return this->Finished; }

  /// The next piece to send, or nothing while the window is full or there is
  /// nothing new. The last piece has End set and may be empty.
  std::optional<Piece> nextPiece(size_t MaxBytes) {
    uint64_t Held = this->Base + this->Kept.size();
    uint64_t Limit = std::min(Held, this->Credited + this->Window);
    size_t Size =
        std::min<uint64_t>(MaxBytes, Limit - std::min(Limit, this->Sent));
    bool End = this->Finished && this->Sent + Size == Held;
    if ((Size == 0 && !End) || this->EndSent)
      return std::nullopt;
    Piece Out{this->Sent, this->Kept.substr(this->Sent - this->Base, Size),
              End};
    this->Sent += Size;
    this->EndSent = End;
    return Out;
  }

  /// The receiver has consumed everything below Consumed. A value that makes
  /// no sense is ignored: it comes from another process.
  void credit(uint64_t Consumed) {
    if (Consumed <= this->Credited || Consumed > this->Sent)
      return;
    this->Credited = Consumed;
    if (Consumed <= this->Keep)
      return;
    this->Kept.erase(0, Consumed - this->Base);
    this->Base = Consumed;
  }

  /// Starts over from what the receiver says it has. False if those bytes are
  /// no longer held.
  bool rewind(uint64_t Received) {
    if (Received < this->Base || Received > this->Base + this->Kept.size())
      return false;
    this->Sent = Received;
    this->Credited = Received;
    this->EndSent = false;
    return true;
  }

  /// The body so far, while it is held from its first byte on.
  std::string_view bufferedBytes() const { return this->Kept; }
  /// Whether the body can still be sent from its first byte, to another gate.
  bool replayable() const { return this->Base == 0; }
  /// Bytes in memory; the source should pause when this passes the window.
  size_t bufferedSize() const { return this->Kept.size(); }
  /// Whether everything was sent and consumed.
  bool isComplete() const {
    return this->EndSent && this->Credited == this->Sent;
  }
  bool endSent() const { return this->EndSent; }

private:
  uint64_t Window;
  uint64_t Keep;
  // Kept holds the bytes from Base on; those below Sent are out, and those
  // below Credited have arrived.
  std::string Kept;
  uint64_t Base = 0;
  uint64_t Credited = 0;
  uint64_t Sent = 0;
  bool Finished = false;
  bool EndSent = false;
};

class ReceiveStream {
public:
  /// What is new in a piece. Nullopt for a piece that leaves a gap: the stream
  /// cannot be whole any more.
  std::optional<std::string_view> accept(uint64_t Offset,
                                         std::string_view Bytes, bool End) {
    if (Offset > this->Received)
      return std::nullopt;
    uint64_t Known = this->Received - Offset;
    std::string_view New =
        Known >= Bytes.size() ? std::string_view() : Bytes.substr(Known);
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
