#ifndef HICKORYLIFT_CALLS_CALLERSERVER_H
#define HICKORYLIFT_CALLS_CALLERSERVER_H

#include "base/NetAddress.h"
#include "calls/Entry.h"

#include <libsoup/soup.h>

#include <map>
#include <memory>

// The CallerServer is the HTTP side of the entry: requests come in as events,
// answers go out by calls. Bodies are passed on piece by piece.
//
//   CallerServer Http(Hooks, Clock);
//   Http.listen(Address);
//   Http.head(Caller, Head); Http.body(Caller, Bytes); Http.bodyEnd(Caller);

namespace hickorylift {

class CallerServer {
public:
  using CallerId = Entry::CallerId;

  struct Hooks {
    std::function<void(CallerId, const RequestHead &, TimePoint)> Request;
    std::function<void(CallerId, std::string_view, TimePoint)> Body;
    std::function<void(CallerId, TimePoint)> BodyEnd;
    /// Bytes of the answer's body handed to the caller's socket, in total.
    std::function<void(CallerId, uint64_t, TimePoint)> Consumed;
    std::function<void(CallerId, TimePoint)> Gone;
  };

  CallerServer(Hooks Hooks, std::function<TimePoint()> Clock);
  ~CallerServer();

  Result<bool> listen(const NetAddress &At);
  /// Closes the listening socket; requests under way go on.
  void stopListening();

  void head(CallerId Caller, const ResponseHead &Head);
  void body(CallerId Caller, std::string_view Bytes);
  void bodyEnd(CallerId Caller);
  /// Cuts the connection, so that the caller sees a broken answer.
  void abort(CallerId Caller);
  void refuse(CallerId Caller, const Refusal &Why);
  void pauseRequest(CallerId Caller, bool Paused);
  size_t active() const { return this->Exchanges.size(); }

private:
  struct Exchange;

  static void onHeaders(SoupServer *, SoupServerMessage *Message,
                        const char *Path, GHashTable *, gpointer Self);
  static void onRequestRead(SoupServer *, SoupServerMessage *Message,
                            const char *Path, GHashTable *, gpointer Self);
  static void onChunk(SoupServerMessage *, GBytes *Bytes, gpointer Data);
  static void onGotBody(SoupServerMessage *, gpointer Data);
  static void onWroteBodyData(SoupServerMessage *, guint Size, gpointer Data);
  static void onFinished(SoupServerMessage *, gpointer Data);
  static gboolean onReadable(GSocket *, GIOCondition, gpointer Data);

  Exchange *find(CallerId Caller);
  void updatePause(Exchange &Of);
  void watchSocket(Exchange &Of);
  void forget(Exchange &Of);

  Hooks Hook;
  std::function<TimePoint()> Now;
  SoupServer *Server;
  std::map<CallerId, std::unique_ptr<Exchange>> Exchanges;
  CallerId LastId = 0;
};

} // namespace hickorylift

#endif
