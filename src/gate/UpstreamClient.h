#ifndef HICKORYLIFT_GATE_UPSTREAMCLIENT_H
#define HICKORYLIFT_GATE_UPSTREAMCLIENT_H

#include "base/NetAddress.h"
#include "calls/Message.h"

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>

// The UpstreamClient is the HTTP side of the gate: it carries calls to the one
// upstream beside this node.
//
//   UpstreamClient Http(Options, Hooks, Clock);
//   Http.start(Id, Head, /*MayRepeat=*/false);
//   Http.body(Id, Bytes); Http.bodyEnd(Id);

namespace hickorylift {

class UpstreamClient {
public:
  struct Options {
    NetAddress Address;
    /// Connections to the upstream at once.
    unsigned Connections = 100;
    /// A kept connection is closed after this long without a call. Shorter
    /// than what upstreams allow, so that we seldom send on one that the
    /// upstream is just closing.
    std::chrono::seconds KeepIdle{2};
    size_t ReadBytes = 32 * 1024;
  };

  struct Hooks {
    std::function<void(const CallId &, const ResponseHead &, TimePoint)> Head;
    std::function<void(const CallId &, std::string_view, TimePoint)> Body;
    std::function<void(const CallId &, TimePoint)> End;
    std::function<void(const CallId &, bool Sent, const Error &, TimePoint)>
        Failed;
    /// Bytes of the request's body written, in total.
    std::function<void(const CallId &, uint64_t, TimePoint)> Consumed;
    /// What the upstream's own health endpoint says, as it says it.
    std::function<void(Result<std::string>, TimePoint)> Health;
  };

  UpstreamClient(Options Opts, Hooks Hooks, std::function<TimePoint()> Clock);
  ~UpstreamClient();

  void start(const CallId &Id, const RequestHead &Head, bool MayRepeat);
  void body(const CallId &Id, std::string_view Bytes);
  void bodyEnd(const CallId &Id);
  void cancel(const CallId &Id);
  void pauseAnswer(const CallId &Id, bool Paused);
  /// Asks the health endpoint once; Hooks.Health follows.
  void askHealth(const std::string &Path, Millis Limit);

private:
  struct Call;

  static void onSent(GObject *Source, GAsyncResult *Outcome, gpointer Data);
  static void onRead(GObject *Source, GAsyncResult *Outcome, gpointer Data);
  static void onStarting(SoupMessage *, gpointer Data);
  static void onRestarted(SoupMessage *, gpointer Data);
  static void onHealth(GObject *Source, GAsyncResult *Outcome, gpointer Data);

  Call *find(const CallId &Id);
  void readOn(Call &Of);
  void fail(Call &Of, const std::string &Detail);
  std::unique_ptr<Call> take(const CallId &Id);

  Options Opts;
  Hooks Hook;
  std::function<TimePoint()> Now;
  SoupSession *Session;
  std::map<CallId, std::unique_ptr<Call>> Calls;
};

} // namespace hickorylift

#endif
