#ifndef HICKORYLIFT_NODE_NODE_H
#define HICKORYLIFT_NODE_NODE_H

#include "base/LogLimit.h"
#include "budget/ResourceBudget.h"
#include "http/CallerServer.h"
#include "node/NodeCore.h"
#include "peer/Transport.h"
#include "settings/Settings.h"

#include <memory>

// A Node joins a NodeCore to the sockets, on one GLib loop.
//
//   Node One(Settings, /*Incarnation=*/Random, /*Stopped=*/[] { ... });
//   if (Result<bool> Up = One.start(); !Up) ...
//   g_main_loop_run(Loop);

namespace hickorylift {

class OperatorServer;

class Node {
public:
  /// Stopped is called once a planned stop is complete.
  Node(Settings Given, uint64_t Incarnation, std::function<void()> Stopped);
  ~Node();

  Result<bool> start();
  /// Begins a planned stop: no new work, what runs finishes, peers are told.
  void stop(const std::string &By);
  /// Takes from newer settings what can change while running, and says in the
  /// log what cannot.
  void reload(const Settings &New);

  /// The loop's clock: the only place, besides the entry point, that reads it.
  TimePoint now();

  NodeCore &core() { return *this->Core; }
  const Dialect &names() const { return this->Names; }
  const Settings &settings() const { return this->Set; }
  uint64_t incarnation() const { return this->Incarnation; }
  uint64_t upstreamDials() const { return this->Upstream->dials(); }
  uint64_t requestsCutOff() const { return this->Http->requestsCutOff(); }
  const ResourceBudget &budget() const { return this->Budget; }
  /// What is held for a connection or call may have changed.
  void usageChanged(ResourceBudget::Kind Of, uint64_t Id) {
    this->Budget.touch({Of, 0, Id});
  }
  uint64_t controlBytesSent() const;
  uint64_t controlBytesReceived() const;
  TimePoint startedAt() const { return this->StartedAt; }

private:
  static gboolean onCallTick(gpointer Self);
  static gboolean onControlTick(gpointer Self);
  static gboolean onHealthTick(gpointer Self);

  void startHealth();
  void openPlatform();
  SourceFactory storeSource();
  void makeCore();
  void makeTransport();
  void makeUpstream();
  void makeCallerServer();
  ResourceBudget::Hooks budgetHooks();
  void addBudgetSources();
  void trimHeap(TimePoint Now);
  void logEviction(const ResourceBudget::Eviction &Of, TimePoint Now);
  void logCall(const Entry::CallEvent &Of, TimePoint Now);
  void logSpillover(const SpilloverController::Change &Of, TimePoint Now);
  void logReserve(const PriorityReserve::Change &Of, TimePoint Now);
  void logSuppressed(TimePoint Now);
  Entry::Hooks callerHooks();
  Gate::Hooks upstreamHooks();
  void post(std::function<void(TimePoint)> Work);

  Settings Set;
  uint64_t Incarnation;
  std::function<void()> Stopped;
  std::unique_ptr<HttpPlatform> Source;
  std::unique_ptr<KeyValueStore> Store;
  Dialect Names;
  // How far the clock that counts suspensions is ahead of the steady one.
  std::optional<Millis> SuspendedSoFar;
  ResourceBudget Budget;
  std::unique_ptr<NodeCore> Core;
  std::unique_ptr<Transport> Net;
  std::unique_ptr<UpstreamClient> Upstream;
  std::unique_ptr<CallerServer> Http;
  std::unique_ptr<OperatorServer> Operators;
  // Work that was posted does not outlive the node.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::vector<guint> Timers;
  // When the heap is to give back what evicted holders have used.
  std::optional<TimePoint> TrimHeapAt;
  LogLimit CallLog{LogLimit::Options()};
  TimePoint StartedAt;
};

} // namespace hickorylift

#endif
