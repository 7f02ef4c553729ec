#ifndef HICKORYLIFT_PEER_TRANSPORT_H
#define HICKORYLIFT_PEER_TRANSPORT_H

#include "base/Error.h"
#include "base/NetAddress.h"
#include "base/Time.h"
#include "budget/ResourceBudget.h"
#include "net/Listen.h"
#include "net/TcpStream.h"

#include <glib.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// A Transport carries frames between nodes over TCP. A frame is four bytes of
// length, little-endian, and that many bytes.
//
//   Transport::Hooks Hooks;
//   Hooks.Opened = [&](uint64_t Link, char Purpose, const std::string &Dialled,
//                      TimePoint Now) { ... };
//   Transport Net(Transport::Options(), Hooks, Clock);
//   Net.listen(Address);
//   Net.dial('C', "portal-2", Address);
//   Net.send(Link, Bytes);

namespace hickorylift {

class Transport {
public:
  struct Options {
    /// Longest frame that is read, in bytes; a longer one closes the link.
    size_t MaxFrameBytes = 2u << 20;
    /// Bytes that may wait to be written on one link. A peer that reads too
    /// slowly for that is closed: its heartbeats could not get through either.
    size_t MaxQueuedBytes = 32u << 20;
    /// A dial that has not connected by then has failed.
    Millis DialTimeout{2000};
    /// Connections accepted in one turn of the loop; the rest wait.
    int AcceptsPerTurn = 32;
  };

  struct Hooks {
    /// Dialled is empty where the peer dialled.
    std::function<void(uint64_t Link, char Purpose, const std::string &Dialled,
                       TimePoint)>
        Opened;
    std::function<void(char Purpose, const std::string &Dialled, const Error &,
                       TimePoint)>
        DialFailed;
    std::function<void(uint64_t Link, char Purpose, std::string_view Bytes,
                       TimePoint)>
        Frame;
    /// Not called for links that close() ended.
    std::function<void(uint64_t Link, char Purpose, const Error &, TimePoint)>
        Closed;
    /// What usage() says of this link may have changed.
    std::function<void(uint64_t Link)> UsageChanged = [](uint64_t) {};
  };

  Transport(Options Opts, Hooks Hooks, std::function<TimePoint()> Clock);
  ~Transport();

  Result<bool> listen(const NetAddress &At);
  /// Connects; Opened or DialFailed follows, never from within dial.
  void dial(char Purpose, const std::string &Name, const NetAddress &To);
  /// Queues a frame. False if the link is gone or its queue is full; it is
  /// then closed and Closed follows.
  bool send(uint64_t Link, std::string_view Bytes);
  void close(uint64_t Link);
  /// What is held for a link; nothing if it has ended.
  std::optional<ResourceBudget::Usage> usage(uint64_t Link) const;
  /// Ends a link because this process holds too much; Closed follows.
  void evict(uint64_t Link);

  uint64_t bytesSent(char Purpose) const;
  uint64_t bytesReceived(char Purpose) const;

private:
  struct Connection {
    Transport *Owner = nullptr;
    uint64_t Id = 0;
    std::shared_ptr<TcpStream> Stream;
    guint Timer = 0;
    char Purpose = 0;
    std::string Dialled;
    std::string PeerText;
    bool Connecting = false;
    // Has failed; Closed or DialFailed follows from the loop.
    bool Doomed = false;
    std::string Reading;
    // Bytes of frames that have come in for it, to be sent or received.
    uint64_t TotalBytes = 0;
  };

  static gboolean onDialTimeout(gpointer Data);
  void adopt(int Fd);
  Connection &add();
  TcpStream::Hooks streamHooks(uint64_t Id);
  void dialled(uint64_t Id, TimePoint At);
  void received(uint64_t Id, std::string_view Bytes);
  void ended(uint64_t Id, std::error_code Why, TimePoint At);
  void readFrames(uint64_t Id);
  void fail(Connection &Of, const Error &Why);
  void reap();
  void tellEnd(uint64_t Id, const Error &Why);
  void release(Connection &Of);
  Connection *find(uint64_t Id);

  Options Opts;
  Hooks Hook;
  std::function<TimePoint()> Now;
  Listener Listening;
  std::map<uint64_t, std::unique_ptr<Connection>> Links;
  // Links that failed within a call from above, told from the loop.
  std::vector<std::pair<uint64_t, Error>> Failed;
  // Alive for as long as this is: work for the end of a turn may outlive it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  uint64_t LastId = 0;
  std::map<char, uint64_t> Sent;
  std::map<char, uint64_t> Received;
};

} // namespace hickorylift

#endif
