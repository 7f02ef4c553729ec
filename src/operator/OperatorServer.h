#ifndef HICKORYLIFT_OPERATOR_OPERATORSERVER_H
#define HICKORYLIFT_OPERATOR_OPERATORSERVER_H

#include "base/Error.h"
#include "base/NetAddress.h"
#include "budget/ResourceBudget.h"
#include "net/Listen.h"
#include "operator/Metrics.h"

#include <json/value.h>
#include <libsoup/soup.h>

#include <list>
#include <map>

// The OperatorServer answers operators over HTTP: /status, /fleet, /audit,
// /explain, /quarantine, /metrics, /ready, and by POST /drain, /undrain and
// /release. The bodies are
// JSON but for /metrics; docs/OPERATIONS.md describes them.

namespace hickorylift {

class Node;

class OperatorServer {
public:
  explicit OperatorServer(Node &Of);
  ~OperatorServer();

  Metrics &metrics() { return this->Measured; }
  Result<bool> listen(const NetAddress &At);
  /// What is held for a connection; nothing if it has ended.
  std::optional<ResourceBudget::Usage> usage(uint64_t Id) const;
  /// Ends a connection because this process holds too much.
  void evict(uint64_t Id);

private:
  struct Connection {
    OperatorServer *Owner = nullptr;
    uint64_t Id = 0;
    GSocketConnection *Stream = nullptr;
    // Of the response that is being written.
    size_t ResponseBytes = 0;
    uint64_t TotalBytes = 0;
  };

  void adopt(int Fd);
  Connection *find(SoupServerMessage *Message);
  static void onStreamGone(gpointer GivenConnection, GObject *);
  static void onHeadRead(SoupServer *, SoupServerMessage *Message, const char *,
                         GHashTable *, gpointer);
  static void onRequestEnded(SoupServer *, SoupServerMessage *Message,
                             gpointer GivenSelf);
  void respond(SoupServerMessage *Message, const std::string &Path,
               GHashTable *Query);
  static void onRequest(SoupServer *, SoupServerMessage *Message,
                        const char *Path, GHashTable *Query, gpointer Self);

  Json::Value status();
  Json::Value nestedCalls();
  Json::Value fleet();
  Json::Value audit();
  Json::Value explain(GHashTable *Query);
  Json::Value quarantine();
  void release(SoupServerMessage *Message, GHashTable *Query);

  Node &Of;
  Metrics Measured;
  SoupServer *Server;
  std::list<Listener> Listeners;
  std::map<uint64_t, Connection> Connections;
  uint64_t LastConnection = 0;
};

} // namespace hickorylift

#endif
