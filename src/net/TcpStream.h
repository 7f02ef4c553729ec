#ifndef HICKORYLIFT_NET_TCPSTREAM_H
#define HICKORYLIFT_NET_TCPSTREAM_H

#include "base/Error.h"
#include "base/NetAddress.h"
#include "base/Time.h"
#include "net/Reactor.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

// A TcpStream is one connection's bytes on the loop: it never blocks, and it
// tells an orderly end from a reset, which decides whether a message that has
// no length is whole.
//
//   std::shared_ptr<TcpStream> One = TcpStream::dial(Address, Hooks, Clock);
//   One->write("GET / HTTP/1.1\r\n\r\n");
//   One->close();                       // no hook is called after this

namespace hickorylift {

class TcpStream : public std::enable_shared_from_this<TcpStream> {
public:
  struct Hooks {
    std::function<void(TimePoint)> Connected = [](TimePoint) {};
    /// Bytes as they came; valid during the call only.
    std::function<void(std::string_view, TimePoint)> Data;
    /// The peer ended the connection: with no error in order, else by a reset
    /// or because it could not be reached. The stream is closed already.
    std::function<void(std::error_code, TimePoint)> Ended;
    /// All that was written has gone to the kernel.
    std::function<void(TimePoint)> Drained = [](TimePoint) {};
  };

  /// Takes over a connected socket.
  static std::shared_ptr<TcpStream> adopt(int Fd, Hooks Hooks,
                                          std::function<TimePoint()> Clock);
  /// Connects without waiting; Connected or Ended follows, never from within.
  static std::shared_ptr<TcpStream> dial(const NetAddress &To, Hooks Hooks,
                                         std::function<TimePoint()> Clock);
  ~TcpStream();
  TcpStream(const TcpStream &) = delete;
  TcpStream &operator=(const TcpStream &) = delete;

  /// Sends at the end of the turn what the kernel takes, and the rest as it
  /// does; no hook is called from within.
  void write(std::string_view Bytes);
  /// Sends what the kernel takes now, for one that is about to be closed.
  void flush();
  /// Bytes that the kernel has not taken yet.
  size_t pending() const { return this->Out.size() - this->Sent; }
  /// Bytes of memory that the unsent bytes take up.
  size_t reserved() const { return this->Out.capacity(); }
  void pauseReading(bool Paused);
  /// From now on a close resets the connection, also one that the kernel makes
  /// because this process ends. For a message whose only mark of its end is an
  /// orderly end of the connection: cut short, it must not look whole. Holds
  /// until finishWriting() has given all bytes to the kernel.
  void resetOnClose();
  /// Ends our direction once all is sent; the peer may go on.
  void finishWriting();
  /// What the kernel has not taken is lost.
  void close();
  bool isOpen() const { return this->Fd >= 0; }
  /// Whether bytes or an end lie in the socket, not yet seen by a hook.
  bool hasUnread();
  /// Whether the peer has ended or reset the connection and no bytes lie before
  /// that. Looks at the socket: an end is there before any hook hears of it.
  bool peerEnded();

private:
  TcpStream(int Fd, Hooks Hooks, std::function<TimePoint()> Clock);
  static std::shared_ptr<TcpStream>
  withoutSocket(std::error_code Why, Hooks Hooks,
                std::function<TimePoint()> Clock);
  void watch(uint32_t Wanted);
  void updateWatch();
  void ready(uint32_t What);
  void finishDial();
  void readOnce();
  ssize_t peek();
  void flushSoon();
  void setResetOnClose(bool On);
  void shutdownWriting();
  void dropSent();
  void end(std::error_code Why);

  int Fd;
  Hooks Hook;
  std::function<TimePoint()> Now;
  Reactor::WatchId Watch = 0;
  bool FlushPlanned = false;
  bool Connecting = false;
  bool ReadPaused = false;
  bool FinishWanted = false;
  bool ResetsOnClose = false;
  std::error_code WriteError;
  // What a look at the socket found. The kernel tells an error only once, and
  // reports an orderly end to whoever reads after that.
  std::error_code PeekError;
  std::string Out;
  size_t Sent = 0;
};

} // namespace hickorylift

#endif
