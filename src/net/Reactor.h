#ifndef HICKORYLIFT_NET_REACTOR_H
#define HICKORYLIFT_NET_REACTOR_H

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

// The Reactor watches the sockets of this process for the GLib loop, and runs
// what is to be done once at the end of a turn.
//
//   Reactor &Loop = Reactor::get();
//   Reactor::WatchId Id = Loop.watch(Fd, Reactor::Read, [](uint32_t What) {});
//   Loop.change(Id, Reactor::Read | Reactor::Write);
//   Loop.forget(Id);                       // before the descriptor is closed
//   Loop.atTurnEnd([] { flushAll(); });

namespace hickorylift {

class Reactor {
public:
  using WatchId = uint64_t;

  /// What is wanted of a descriptor. An end or an error is reported always, as
  /// Ended.
  enum Condition : uint32_t { None = 0, Read = 1, Write = 2, Ended = 4 };

  /// Events handled in one turn; the rest wait for the next, so that timers
  /// run in between.
  static constexpr int EventsATurn = 128;
  /// Rounds of work that makes more work, in one turn.
  static constexpr int RoundsATurn = 32;

  /// The one of the default main context, which is the only one used here.
  static Reactor &get();
  ~Reactor();
  Reactor(const Reactor &) = delete;
  Reactor &operator=(const Reactor &) = delete;

  /// Calls OnReady from the loop whenever something of Wanted holds. Zero
  /// where the kernel does not take the descriptor.
  WatchId watch(int Fd, uint32_t Wanted,
                std::function<void(uint32_t What)> OnReady);
  void change(WatchId Id, uint32_t Wanted);
  /// OnReady is not called again, also within the turn under way.
  void forget(WatchId Id);

  /// Runs Work after the events of this turn and before the loop sleeps.
  void atTurnEnd(std::function<void()> Work);

private:
  struct Watch {
    int Fd = -1;
    uint32_t Wanted = 0;
    // Shared, since a handler may forget itself.
    std::shared_ptr<std::function<void(uint32_t)>> OnReady;
  };
  struct Source;

  Reactor();
  static gboolean onPrepare(GSource *, gint *Timeout);
  static gboolean onDispatch(GSource *, GSourceFunc, gpointer);
  void handleEvents();
  bool finishTurn();

  int Epoll = -1;
  GSource *Attached = nullptr;
  std::unordered_map<WatchId, Watch> Watches;
  WatchId LastId = 0;
  std::vector<std::function<void()>> TurnEnd;
};

} // namespace hickorylift

#endif
