#ifndef HICKORYLIFT_NODE_NODE_H
#define HICKORYLIFT_NODE_NODE_H

#include "calls/CallerServer.h"
#include "control/ControlPlane.h"
#include "peer/Transport.h"
#include "settings/Settings.h"

#include <memory>

// A Node joins the deciding slices to the sockets, on one GLib loop.
//
//   Node One(Settings, /*Incarnation=*/Random);
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
  /// Closes the gate in front of the upstream; the node itself goes on.
  void drainGate(const std::string &By);
  /// Takes a drain command back.
  void reopenGate();

  /// The loop's clock. Finds out, before anything is decided, that this
  /// process stood still.
  TimePoint now();

  ControlPlane &control() { return *this->Control; }
  Entry &entry() { return *this->From; }
  Gate &gate() { return *this->At; }
  const Settings &settings() const { return this->Set; }
  bool ready() const;
  bool upstreamReachable() const { return this->UpstreamUp; }
  const std::string &upstreamSays() const { return this->UpstreamSays; }
  uint64_t incarnation() const { return this->Incarnation; }
  uint64_t controlBytesSent() const;
  uint64_t controlBytesReceived() const;
  TimePoint startedAt() const { return this->StartedAt; }

private:
  static gboolean onCallTick(gpointer Self);
  static gboolean onControlTick(gpointer Self);
  static gboolean onHealthTick(gpointer Self);
  static gboolean onLocalFrames(gpointer Self);

  void makeTransport();
  void makeControl();
  void makeEntry();
  void makeGate();
  void makeUpstream();
  void makeCallerServer();
  void pausedAt(TimePoint Now);
  void onHealth(const Result<std::string> &Said, TimePoint Now);
  void onOpened(uint64_t Link, char Purpose, const std::string &Dialled,
                TimePoint Now);
  void onCallFrame(uint64_t Link, std::string_view Bytes, TimePoint Now);
  void onClosed(uint64_t Link, char Purpose, TimePoint Now);
  void sendToGate(const std::string &Gate, wire::CallFrameT Frame);
  void sendToEntry(uint64_t Link, wire::CallFrameT Frame);
  void post(std::function<void()> Work);
  void membersChanged(TimePoint Now);
  void finishStop();

  Settings Set;
  uint64_t Incarnation;
  std::function<void()> Stopped;
  std::unique_ptr<HttpPlatform> Source;
  std::unique_ptr<Transport> Net;
  std::unique_ptr<ControlPlane> Control;
  std::unique_ptr<Entry> From;
  std::unique_ptr<Gate> At;
  std::unique_ptr<UpstreamClient> Upstream;
  std::unique_ptr<CallerServer> Http;
  std::unique_ptr<OperatorServer> Operators;
  // Call links: those that we dialled, by gate, and those of other entries.
  std::map<std::string, uint64_t> GateLinks;
  std::map<uint64_t, std::string> LinkGates;
  // Frames between this node's own entry and gate wait for the next turn of
  // the loop, as if they had come over a link.
  std::vector<std::function<void()>> Local;
  guint LocalTurn = 0;
  std::vector<guint> Timers;
  std::optional<TimePoint> LastRead;
  TimePoint StartedAt;
  bool UpstreamUp = false;
  std::string UpstreamSays;
  std::optional<TimePoint> StopBy;
};

} // namespace hickorylift

#endif
