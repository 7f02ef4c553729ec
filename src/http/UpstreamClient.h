#ifndef HICKORYLIFT_HTTP_UPSTREAMCLIENT_H
#define HICKORYLIFT_HTTP_UPSTREAMCLIENT_H

#include "base/NetAddress.h"
#include "calls/Dialect.h"
#include "http/MessageParser.h"
#include "net/TcpStream.h"

#include <deque>
#include <map>
#include <memory>

// The UpstreamClient is the HTTP side of the gate: it carries calls to the one
// upstream beside this node.
//
//   UpstreamClient Http(Options, Hooks, Clock);
//   Http.start(Id, Head, /*MayRepeat=*/false);
//   Http.body(Id, Bytes); Http.bodyEnd(Id);
//   Http.tick(Now);                         // a few times a second

namespace hickorylift {

class UpstreamClient {
public:
  struct Options {
    NetAddress Address;
    /// Header fields of the deployment.
    Dialect Names;
    /// Connections to the upstream at once.
    unsigned Connections = 100;
    /// A kept connection of which the upstream has not said how long it keeps
    /// it is closed after this long without a call.
    Millis KeepIdle{2000};
    /// A connection is not used again within this of the time at which the
    /// upstream closes it: the request could cross the close.
    Millis CloseMargin{500};
    /// The same for calls that must not repeat, where a crossed close is an
    /// unknown outcome and not another try.
    Millis SafeCloseMargin{1500};
    /// A kept connection that ends within this of the request's last byte was
    /// closed before the upstream read it, and the request may go over another;
    /// one that ends later ends a run. The way to an upstream on the same
    /// machine takes under a millisecond, but a node that has used up its share
    /// of the processor sees the close up to a tenth of a second later, or two.
    Millis CrossedWithin{250};
    /// A connection that is not made by then counts as refused.
    Millis DialTimeout{1000};
    /// An answer up to this many bytes is handed on when it is whole, so that
    /// one that breaks off is never begun towards the caller.
    size_t HoldBytes = 256 * 1024;
    /// The body of a call that may be sent again is kept up to this many bytes.
    /// A call with a longer one is sent once.
    size_t MaxReplayBytes = 256 * 1024;
    /// Bytes of a request's body between two reports of Consumed. At most half
    /// of what an entry sends ahead of them, or it would wait for one that
    /// never comes.
    uint64_t TellEvery = 4 * 1024;
    /// Largest head of an answer.
    size_t MaxHeaderBytes = 64 * 1024;
    /// Answers to earlier requests that are passed over on one connection
    /// before it is given up, and how many bytes of these and of interim
    /// answers are passed over before one answer.
    unsigned MaxStrayAnswers = 4;
    size_t MaxStrayBytes = 256 * 1024;
    /// Interim answers (1xx) to one request. Each is parsed as a message of its
    /// own, and thousands fit into one read, for which all other calls of the
    /// node would wait.
    unsigned MaxInterimAnswers = 32;
  };

  struct Hooks {
    std::function<void(const CallId &, const ResponseHead &, TimePoint)> Head;
    std::function<void(const CallId &, std::string_view, TimePoint)> Body;
    std::function<void(const CallId &, TimePoint)> End;
    std::function<void(const CallId &, bool Sent, const Error &, TimePoint)>
        Failed;
    /// A request goes out on a connection, whether a call's, once more a
    /// call's, or a question how the upstream is.
    std::function<void(const CallId &, TimePoint)> Sent = [](const CallId &,
                                                             TimePoint) {};
    /// Bytes of the request's body written, in total.
    std::function<void(const CallId &, uint64_t, TimePoint)> Consumed;
    /// What the upstream's own health endpoint says, or that it said nothing.
    std::function<void(const Result<HealthAnswer> &, TimePoint)> Health;
    /// After probe().
    std::function<void(UpstreamProbeResult, TimePoint)> Probed =
        [](UpstreamProbeResult, TimePoint) {};
  };

  UpstreamClient(Options Opts, Hooks Hooks, std::function<TimePoint()> Clock);
  ~UpstreamClient();

  /// MayRepeat: a kept connection that dies as the call is written to it may
  /// be replaced and the call sent again.
  void start(const CallId &Id, const RequestHead &Head, bool MayRepeat);
  void body(const CallId &Id, std::string_view Bytes);
  void bodyEnd(const CallId &Id);
  void cancel(const CallId &Id);
  void pauseAnswer(const CallId &Id, bool Paused);
  /// Asks the health endpoint once; Hooks.Health follows.
  void askHealth(const std::string &Path, Millis Limit);
  /// Finds out whether anybody takes connections at the upstream's address;
  /// Hooks.Probed follows. A connection that is made serves the next call.
  void probe();
  void tick(TimePoint Now);
  /// Bytes of memory that are held for a call; zero if it has ended.
  size_t heldBytes(const CallId &Id) const;
  /// Connections made so far.
  uint64_t dials() const { return this->Dials; }

private:
  struct Call;
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  using CallPtr = std::shared_ptr<Call>;

  void startCall(const CallPtr &Of);
  ConnectionPtr takeIdle(bool MayRepeat, TimePoint At);
  ConnectionPtr dial();
  void sendRequest(const ConnectionPtr &On);
  std::string requestHead(const Call &Of) const;
  void writeBody(Connection &On, std::string_view Bytes);
  void onData(const ConnectionPtr &On, std::string_view Bytes, TimePoint At);
  bool parse(const ConnectionPtr &On, TimePoint At);
  bool headArrived(const ConnectionPtr &On, TimePoint At);
  void passOn(Call &Of, const ResponseParser &Parser, TimePoint At);
  void bodyWritten(Call &Of, TimePoint At);
  void finishAnswer(const ConnectionPtr &On, TimePoint At);
  void onEnded(const ConnectionPtr &On, std::error_code Why, TimePoint At);
  void probed(const ConnectionPtr &On, bool Refused, TimePoint At);
  bool hasLiveConnection() const;
  void fail(const ConnectionPtr &On, Errc Code, const std::string &Detail,
            TimePoint At);
  void keep(const ConnectionPtr &On, const ResponseParser &Last, TimePoint At);
  void discard(const ConnectionPtr &On);
  void forget(const CallPtr &Of);
  CallPtr find(const CallId &Id) const;

  Options Opts;
  Hooks Hook;
  std::function<TimePoint()> Now;
  std::map<CallId, CallPtr> Calls;
  std::map<uint64_t, ConnectionPtr> Open;
  // Last used last.
  std::deque<ConnectionPtr> Idle;
  uint64_t LastConnection = 0;
  uint64_t HealthCalls = 0;
  uint64_t Dials = 0;
};

} // namespace hickorylift

#endif
