#include "net/Reactor.h"

#include <array>
#include <utility>

#include <sys/epoll.h>
#include <unistd.h>

// GLib looks at each of its descriptors several times in each turn of the loop,
// and a node holds hundreds: a link to and from every other node, and the
// connections of its callers. So all of them stand in one epoll set, and GLib
// sees that one descriptor. A turn then costs what has happened and not what is
// open.
//
// Work for the end of a turn runs when the loop prepares to sleep. What several
// events of one turn write to one connection goes out in one piece, and wakes
// the other end once.
//
// An event names its watch by a number that is never used again: a handler may
// close any descriptor, and the kernel may have given its number to another by
// the time that the rest of the turn's events are looked at.

namespace hickorylift {

namespace {

uint32_t epollEvents(uint32_t Wanted) {
  uint32_t Out = 0;
  if (Wanted & Reactor::Read)
    Out |= EPOLLIN;
  if (Wanted & Reactor::Write)
    Out |= EPOLLOUT;
  return Out;
}

uint32_t conditions(uint32_t Events) {
  uint32_t Out = 0;
  if (Events & EPOLLIN)
    Out |= Reactor::Read;
  if (Events & EPOLLOUT)
    Out |= Reactor::Write;
  if (Events & (EPOLLHUP | EPOLLERR))
    Out |= Reactor::Ended;
  return Out;
}

} // namespace

struct Reactor::Source {
  GSource Base;
  Reactor *Of;
};

Reactor &Reactor::get() {
  static Reactor The;
  return The;
}

Reactor::Reactor() : Epoll(epoll_create1(EPOLL_CLOEXEC)) {
  static GSourceFuncs Functions = {&Reactor::onPrepare,
                                   nullptr,
                                   &Reactor::onDispatch,
                                   nullptr,
                                   nullptr,
                                   nullptr};
  this->Attached = g_source_new(&Functions, sizeof(Source));
  reinterpret_cast<Source *>(this->Attached)->Of = this;
  g_source_add_unix_fd(this->Attached, this->Epoll, G_IO_IN);
  g_source_attach(this->Attached, nullptr);
}

Reactor::~Reactor() {
  g_source_destroy(this->Attached);
  g_source_unref(this->Attached);
  ::close(this->Epoll);
}

Reactor::WatchId Reactor::watch(int Fd, uint32_t Wanted,
                                std::function<void(uint32_t)> OnReady) {
  epoll_event Event{};
  Event.events = epollEvents(Wanted);
  Event.data.u64 = this->LastId + 1;
  if (epoll_ctl(this->Epoll, EPOLL_CTL_ADD, Fd, &Event) != 0)
    return 0;
  ++this->LastId;
  this->Watches[this->LastId] = {
      Fd, Wanted,
      std::make_shared<std::function<void(uint32_t)>>(std::move(OnReady))};
  return this->LastId;
}

void Reactor::change(WatchId Id, uint32_t Wanted) {
  auto Found = this->Watches.find(Id);
  if (Found == this->Watches.end() || Found->second.Wanted == Wanted)
    return;
  Found->second.Wanted = Wanted;
  epoll_event Event{};
  Event.events = epollEvents(Wanted);
  Event.data.u64 = Id;
  epoll_ctl(this->Epoll, EPOLL_CTL_MOD, Found->second.Fd, &Event);
}

void Reactor::forget(WatchId Id) {
  auto Found = this->Watches.find(Id);
  if (Found == this->Watches.end())
    return;
  epoll_ctl(this->Epoll, EPOLL_CTL_DEL, Found->second.Fd, nullptr);
  this->Watches.erase(Found);
}

void Reactor::atTurnEnd(std::function<void()> Work) {
  this->TurnEnd.push_back(std::move(Work));
}

gboolean Reactor::onPrepare(GSource *From, gint *Timeout) {
  bool Done = reinterpret_cast<Source *>(From)->Of->finishTurn();
  *Timeout = Done ? -1 : 0;
  return FALSE;
}

// Work may ask for more. A bound on the rounds lets events in between; what is
// left is done in the next turn, which follows at once.
bool Reactor::finishTurn() {
  for (int I = 0; I < RoundsATurn && !this->TurnEnd.empty(); ++I)
    for (const auto &Work : std::exchange(this->TurnEnd, {}))
      Work();
  return this->TurnEnd.empty();
}

gboolean Reactor::onDispatch(GSource *From, GSourceFunc, gpointer) {
  reinterpret_cast<Source *>(From)->Of->handleEvents();
  return G_SOURCE_CONTINUE;
}

void Reactor::handleEvents() {
  std::array<epoll_event, EventsATurn> Events;
  int Count = epoll_wait(this->Epoll, Events.data(), EventsATurn, 0);
  for (int I = 0; I < Count; ++I) {
    auto Found = this->Watches.find(Events[I].data.u64);
    if (Found == this->Watches.end())
      continue;
    std::shared_ptr<std::function<void(uint32_t)>> Kept = Found->second.OnReady;
    (*Kept)(conditions(Events[I].events));
  }
}

} // namespace hickorylift
