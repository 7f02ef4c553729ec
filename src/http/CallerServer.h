#ifndef HICKORYLIFT_HTTP_CALLERSERVER_H
#define HICKORYLIFT_HTTP_CALLERSERVER_H

#include "base/NetAddress.h"
#include "budget/ResourceBudget.h"
#include "calls/Dialect.h"
#include "calls/Entry.h"
#include "http/MessageParser.h"
#include "net/Listen.h"
#include "net/TcpStream.h"

#include <deque>
#include <map>
#include <memory>

// The CallerServer is the HTTP side of the entry: requests come in as events,
// answers go out by calls. Bodies are passed on piece by piece. Requests that
// were sent behind others on one connection are answered in their order.
//
//   CallerServer Http(Options, Hooks, Clock);
//   Http.listen(Address);
//   Http.head(Caller, Head); Http.body(Caller, Bytes); Http.bodyEnd(Caller);
//   Http.tick(Now);                      // a few times a second: time limits

namespace hickorylift {

class CallerServer {
public:
  using CallerId = Entry::CallerId;

  struct Options {
    /// Header fields of the deployment.
    Dialect Names;
    /// Requests of one connection that may be under way together.
    size_t MaxPipelined = 16;
    /// Bytes of later requests that are read ahead on one connection.
    size_t MaxReadAhead = 64 * 1024;
    /// Bytes of an answer that wait for a slow caller before its upstream is
    /// slowed down too.
    size_t MaxUnsent = 256 * 1024;
    /// Bytes of an answer between two reports of Consumed; a short answer needs
    /// none.
    uint64_t TellEvery = 64 * 1024;
    /// How long a connection is still read, and what comes is thrown away,
    /// after the kernel has taken its last answer. A socket closed with unread
    /// bytes is reset, and the caller would lose the end of the answer.
    Millis Linger{1000};
  };

  struct Hooks {
    std::function<void(CallerId, const RequestHead &, TimePoint)> Request;
    std::function<void(CallerId, std::string_view, TimePoint)> Body;
    std::function<void(CallerId, TimePoint)> BodyEnd;
    /// Bytes of the answer's body handed to the caller's socket, in total.
    std::function<void(CallerId, uint64_t, TimePoint)> Consumed;
    std::function<void(CallerId, TimePoint)> Gone;
    /// Whether a request may start before those ahead of it on its connection
    /// are answered. Only where it may run twice: if an earlier answer breaks
    /// off, the connection ends and the caller sends all that is behind it
    /// again.
    std::function<bool(const RequestHead &)> MayOverlap =
        [](const RequestHead &) { return false; };
    /// What usage() says of this connection may have changed.
    std::function<void(uint64_t Connection)> UsageChanged = [](uint64_t) {};
    /// Bytes of memory that the entry holds for a request.
    std::function<size_t(CallerId)> HeldBytes = [](CallerId) { return 0; };
    /// Ends a request because its connection is evicted: refuse() or abort()
    /// follows from within.
    std::function<void(CallerId, TimePoint)> Evict = [](CallerId, TimePoint) {};
  };

  CallerServer(Options Opts, Hooks Hooks, std::function<TimePoint()> Clock);
  ~CallerServer();

  Result<bool> listen(const NetAddress &At);
  void stopListening();
  /// What callers may send, of the version in force.
  void setBounds(const CallerBounds &Of) { this->Bounds = Of; }
  /// From now on no request starts behind others on its connection, and the
  /// last answer of those under way closes it.
  void closeAfterAnswers() { this->Leaving = true; }
  /// Closes the connections on which nothing is under way.
  void closeIdle();
  void tick(TimePoint Now);

  void head(CallerId Caller, const ResponseHead &Head);
  void body(CallerId Caller, std::string_view Bytes);
  void bodyEnd(CallerId Caller);
  /// The answer breaks off. Cuts the connection, so that the caller does not
  /// take the answer for whole; if nothing of it has been written yet, sends
  /// Why in its place.
  void abort(CallerId Caller, const Refusal &Why);
  void refuse(CallerId Caller, const Refusal &Why);
  void pauseRequest(CallerId Caller, bool Paused);
  /// Whether every answer has gone to the kernel whole and no connection is
  /// still read after its last answer. Until then the process must not end.
  bool answersDelivered() const;
  /// What is held for a connection; nothing if it has ended.
  std::optional<ResourceBudget::Usage> usage(uint64_t Connection) const;
  /// Ends a connection because this process holds too much. A request that has
  /// no answer yet is refused first.
  void evict(uint64_t Connection, TimePoint Now);
  size_t active() const { return this->Exchanges.size(); }
  size_t connections() const { return this->Connections.size(); }
  /// Number of requests under way whose connection this server has ended.
  uint64_t requestsCutOff() const { return this->CutOff; }

private:
  struct Exchange;
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void adopt(int Fd);
  void onData(const ConnectionPtr &On, std::string_view Bytes, TimePoint At);
  void parse(const ConnectionPtr &On, TimePoint At);
  bool parseHead(const ConnectionPtr &On, TimePoint At);
  bool startRequest(const ConnectionPtr &On, TimePoint At);
  bool mayStart(const Connection &On, const RequestHead &Head) const;
  bool dropIfLeft(const ConnectionPtr &On, TimePoint At);
  bool parseBody(const ConnectionPtr &On, TimePoint At);
  void takeBody(Exchange &Of, std::string_view Piece, TimePoint At);
  void refuseUnread(const ConnectionPtr &On, unsigned Status,
                    const std::string &Reason, TimePoint At);
  void refuseBroken(const ConnectionPtr &On, TimePoint At);
  void refuseOrAbort(Exchange &Of, const Refusal &Why);
  bool endsConnection(const Exchange &Of) const;
  void updateReading(Connection &On);
  void write(Exchange &Of, std::string_view Bytes);
  void consumed(Connection &On, TimePoint At);
  void advance(const ConnectionPtr &On);
  void lingerClose(Connection &On, TimePoint At);
  void closeWhenWritten(const ConnectionPtr &On, TimePoint At);
  void drained(Connection &On, TimePoint At);
  void drop(const ConnectionPtr &On, TimePoint At);
  void letGo(Connection &On, TimePoint At);
  void judgeTime(const ConnectionPtr &On, TimePoint Now);
  static bool callerActs(const Connection &On);
  std::string refusalText(const Exchange &Of, const Refusal &Why) const;
  Exchange *find(CallerId Caller);

  Options Opts;
  Hooks Hook;
  std::function<TimePoint()> Now;
  CallerBounds Bounds;
  bool Leaving = false;
  Listener Listening;
  std::map<uint64_t, ConnectionPtr> Connections;
  std::map<CallerId, Exchange *> Exchanges;
  uint64_t LastConnection = 0;
  CallerId LastId = 0;
  uint64_t CutOff = 0;
};

} // namespace hickorylift

#endif
