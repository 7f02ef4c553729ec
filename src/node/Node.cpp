#include "node/Node.h"

#include "base/Log.h"
#include "operator/OperatorServer.h"

// The only place, besides the entry point, that reads the clock. Every event
// passes through now(), and the call timer alone comes fifty times a second;
// so a gap between two readings means that the process stood still, and the
// event at hand is the first after it. Entry and gate hear of the pause before
// they hear of the event.

namespace hickorylift {

namespace {

constexpr guint CallTickMs = 20;
constexpr guint ControlTickMs = 100;
constexpr Millis PauseThreshold{750};
constexpr Millis HealthTimeout{2000};
// The link to this node's own gate; the transport's numbers start at one.
constexpr uint64_t LocalLink = 0;
const char HealthDraining[] = "draining";

} // namespace

Node::Node(Settings Given, uint64_t Incarnation, std::function<void()> Stopped)
    : Set(std::move(Given)), Incarnation(Incarnation),
      Stopped(std::move(Stopped)) {
  this->StartedAt = this->now();
  this->Set.Control.Incarnation = Incarnation;
  this->Set.Control.Seed = Incarnation;
  this->Set.CallEntry.Incarnation = Incarnation;
  this->Set.CallEntry.Seed = Incarnation;
  this->Set.CallGate.Incarnation = Incarnation;
  this->Set.CallGate.Seed = Incarnation;
  auto Clock = [this] { return this->now(); };
  this->Source = std::make_unique<HttpPlatform>(this->Set.Platform, Clock);
  this->makeTransport();
  this->makeControl();
  this->makeEntry();
  this->makeGate();
  this->makeUpstream();
  this->makeCallerServer();
  this->Operators = std::make_unique<OperatorServer>(*this);
}

Node::~Node() {
  for (guint Timer : this->Timers)
    g_source_remove(Timer);
  if (this->LocalTurn)
    g_source_remove(this->LocalTurn);
}

TimePoint Node::now() {
  TimePoint Read = Clock::now();
  bool Paused = this->LastRead && Read - *this->LastRead > PauseThreshold;
  Millis Gap = this->LastRead ? toMillis(Read - *this->LastRead) : Millis(0);
  this->LastRead = Read;
  if (Paused && this->At) {
    LogLine("paused").add("ms", static_cast<uint64_t>(Gap.count())).warn();
    this->pausedAt(Read);
  }
  return Read;
}

void Node::pausedAt(TimePoint Now) {
  this->At->paused(Now);
  this->From->paused(Now);
}

Result<bool> Node::start() {
  Result<bool> Peers = this->Net->listen(this->Set.Peers);
  if (!Peers)
    return Peers;
  Result<bool> Callers = this->Http->listen(this->Set.Callers);
  if (!Callers)
    return Callers;
  Result<bool> Operators = this->Operators->listen(this->Set.Operator);
  if (!Operators)
    return Operators;
  this->Timers.push_back(g_timeout_add(CallTickMs, onCallTick, this));
  this->Timers.push_back(g_timeout_add(ControlTickMs, onControlTick, this));
  this->Timers.push_back(
      g_timeout_add(static_cast<guint>(this->Set.HealthInterval.count()),
                    onHealthTick, this));
  this->Upstream->askHealth(this->Set.HealthPath, HealthTimeout);
  this->Control->tick(this->now());
  return true;
}

void Node::makeTransport() {
  Transport::Hooks Hooks;
  Hooks.Opened = [this](uint64_t Link, char Purpose, const std::string &Dialled,
                        TimePoint Now) {
    this->onOpened(Link, Purpose, Dialled, Now);
  };
  Hooks.DialFailed = [this](char Purpose, const std::string &Name,
                            const Error &Why, TimePoint Now) {
    LogLine("dial-failed").add("peer", Name).add("why", Why.text()).debug();
    if (Purpose == ControlPurpose)
      this->Control->dialFailed(Name, Now);
    else
      this->From->gateDown(Name, Now);
  };
  Hooks.Frame = [this](uint64_t Link, char Purpose, std::string_view Bytes,
                       TimePoint Now) {
    if (Purpose == ControlPurpose)
      this->Control->frame(Link, Bytes, Now);
    else
      this->onCallFrame(Link, Bytes, Now);
  };
  Hooks.Closed = [this](uint64_t Link, char Purpose, const Error &Why,
                        TimePoint Now) {
    LogLine("link-closed").add("link", Link).add("why", Why.text()).debug();
    this->onClosed(Link, Purpose, Now);
  };
  this->Net = std::make_unique<Transport>(Transport::Options(), Hooks,
                                          [this] { return this->now(); });
}

void Node::onOpened(uint64_t Link, char Purpose, const std::string &Dialled,
                    TimePoint Now) {
  if (Purpose == ControlPurpose)
    return this->Control->linkOpened(Link, Dialled, Now);
  if (Purpose != CallPurpose)
    return this->Net->close(Link);
  if (Dialled.empty())
    return this->At->linkUp(Link, Now);
  this->GateLinks[Dialled] = Link;
  this->LinkGates[Link] = Dialled;
  this->From->gateUp(Dialled, Now);
}

void Node::onCallFrame(uint64_t Link, std::string_view Bytes, TimePoint Now) {
  Result<wire::CallFrameT> Frame = decodeCallFrame(Bytes);
  if (!Frame) {
    LogLine("link-rubbish")
        .add("link", Link)
        .add("why", Frame.error().text())
        .warn();
    this->Net->close(Link);
    return this->onClosed(Link, CallPurpose, Now);
  }
  auto Gate = this->LinkGates.find(Link);
  if (Gate == this->LinkGates.end())
    return this->At->frame(Link, *Frame, Now);
  std::string Name = Gate->second;
  this->From->frame(Name, *Frame, Now);
}

void Node::onClosed(uint64_t Link, char Purpose, TimePoint Now) {
  if (Purpose == ControlPurpose)
    return this->Control->linkClosed(Link, Now);
  auto Gate = this->LinkGates.find(Link);
  if (Gate == this->LinkGates.end())
    return this->At->linkDown(Link, Now);
  std::string Name = Gate->second;
  this->LinkGates.erase(Gate);
  this->GateLinks.erase(Name);
  this->From->gateDown(Name, Now);
}

void Node::makeControl() {
  ControlPlane::Hooks Hooks;
  Hooks.Dial = [this](const std::string &Peer, const std::string &Address) {
    // The list was checked when it was read.
    this->Net->dial(ControlPurpose, Peer, *parseAddress(Address));
  };
  Hooks.Send = [this](LinkId Link, const std::string &Bytes) {
    this->Net->send(Link, Bytes);
  };
  Hooks.Close = [this](LinkId Link) { this->Net->close(Link); };
  Hooks.ConfigChanged = [this](const ConfigPtr &New, TimePoint Now) {
    this->From->configure(New);
    this->At->configure(New, Now);
  };
  Hooks.MembersChanged = [this](TimePoint Now) { this->membersChanged(Now); };
  Hooks.Audit = [](const AuditEvent &One) {
    LogLine(One.What)
        .add("subject", One.Subject)
        .add("source", One.Source)
        .add("outcome", One.Outcome)
        .info();
  };
  this->Control =
      std::make_unique<ControlPlane>(this->Set.Control, *this->Source, Hooks);
}

void Node::membersChanged(TimePoint Now) {
  const Membership &Fleet = this->Control->members();
  this->From->membersChanged(Now);
  this->At->members(Fleet.upstreams(this->Set.Service), Now);
  const Instance *Own = Fleet.find(this->Set.Name);
  if (Own && Own->Leaving)
    this->drainGate("list");
  else if (Own && this->At->drainedBy() == "list")
    this->reopenGate();
}

// Work put off to the next turn of the loop: frames to oneself, which would
// otherwise run deep inside the sender's own tables.
void Node::post(std::function<void()> Work) {
  this->Local.push_back(std::move(Work));
  if (!this->LocalTurn)
    this->LocalTurn =
        g_idle_add_full(G_PRIORITY_DEFAULT, onLocalFrames, this, nullptr);
}

gboolean Node::onLocalFrames(gpointer Data) {
  auto *Self = static_cast<Node *>(Data);
  Self->LocalTurn = 0;
  for (const auto &Work : std::exchange(Self->Local, {}))
    Work();
  return G_SOURCE_REMOVE;
}

void Node::sendToGate(const std::string &Gate, wire::CallFrameT Frame) {
  if (Gate == this->Set.Name)
    return this->post([this, Frame = std::move(Frame)] {
      this->At->frame(LocalLink, Frame, this->now());
    });
  auto Link = this->GateLinks.find(Gate);
  if (Link != this->GateLinks.end())
    this->Net->send(Link->second, encodeFrame(Frame));
}

void Node::sendToEntry(uint64_t Link, wire::CallFrameT Frame) {
  if (Link == LocalLink)
    return this->post([this, Frame = std::move(Frame)] {
      this->From->frame(this->Set.Name, Frame, this->now());
    });
  this->Net->send(Link, encodeFrame(Frame));
}

void Node::makeEntry() {
  Entry::Hooks Hooks;
  Hooks.Connect = [this](const Instance &Gate) {
    std::string Name = Gate.Name;
    if (Name == this->Set.Name)
      return this->post([this, Name] {
        this->At->linkUp(LocalLink, this->now());
        this->From->gateUp(Name, this->now());
      });
    this->Net->dial(CallPurpose, Name, *parseAddress(Gate.Node));
  };
  Hooks.Send = [this](const std::string &Gate, wire::CallFrameT Frame) {
    this->sendToGate(Gate, std::move(Frame));
  };
  Hooks.Close = [this](const std::string &Gate) {
    auto Link = this->GateLinks.find(Gate);
    if (Link == this->GateLinks.end())
      return;
    this->Net->close(Link->second);
    this->LinkGates.erase(Link->second);
    this->GateLinks.erase(Link);
  };
  Hooks.Head = [this](Entry::CallerId Caller, const ResponseHead &Head) {
    this->Http->head(Caller, Head);
  };
  Hooks.Body = [this](Entry::CallerId Caller, std::string_view Bytes) {
    this->Http->body(Caller, Bytes);
  };
  Hooks.BodyEnd = [this](Entry::CallerId Caller) {
    this->Http->bodyEnd(Caller);
  };
  Hooks.Abort = [this](Entry::CallerId Caller, const Refusal &Why) {
    LogLine("answer-broken")
        .add("caller", Caller)
        .add("reason", Why.Reason)
        .add("step", Why.Step)
        .add("peer", Why.Peer)
        .warn();
    this->Http->abort(Caller);
  };
  Hooks.Refuse = [this](Entry::CallerId Caller, const Refusal &Why) {
    LogLine("call-refused")
        .add("caller", Caller)
        .add("outcome", outcomeName(Why.What))
        .add("reason", Why.Reason)
        .add("step", Why.Step)
        .add("peer", Why.Peer)
        .debug();
    this->Http->refuse(Caller, Why);
  };
  Hooks.PauseRequest = [this](Entry::CallerId Caller, bool Paused) {
    this->Http->pauseRequest(Caller, Paused);
  };
  this->From = std::make_unique<Entry>(this->Set.CallEntry, Hooks,
                                       this->Control->members());
}

void Node::makeGate() {
  Gate::Hooks Hooks;
  Hooks.Send = [this](uint64_t Link, wire::CallFrameT Frame) {
    this->sendToEntry(Link, std::move(Frame));
  };
  Hooks.Start = [this](const CallId &Id, const RequestHead &Head,
                       bool MayRepeat) {
    LogLine("call-started").add("call", Id.text()).debug();
    this->Upstream->start(Id, Head, MayRepeat);
  };
  Hooks.Body = [this](const CallId &Id, std::string_view Bytes) {
    this->Upstream->body(Id, Bytes);
  };
  Hooks.BodyEnd = [this](const CallId &Id) { this->Upstream->bodyEnd(Id); };
  Hooks.Cancel = [this](const CallId &Id) { this->Upstream->cancel(Id); };
  Hooks.PauseAnswer = [this](const CallId &Id, bool Paused) {
    this->Upstream->pauseAnswer(Id, Paused);
  };
  Hooks.ListAge = [this](TimePoint Now) {
    return this->Control->oldestListAge(Now);
  };
  this->At = std::make_unique<Gate>(this->Set.CallGate, Hooks);
}

void Node::makeUpstream() {
  UpstreamClient::Hooks Hooks;
  Hooks.Head = [this](const CallId &Id, const ResponseHead &Head,
                      TimePoint Now) { this->At->upstreamHead(Id, Head, Now); };
  Hooks.Body = [this](const CallId &Id, std::string_view Bytes, TimePoint Now) {
    this->At->upstreamData(Id, Bytes, Now);
  };
  Hooks.End = [this](const CallId &Id, TimePoint Now) {
    this->At->upstreamEnd(Id, Now);
  };
  Hooks.Failed = [this](const CallId &Id, bool Sent, const Error &Why,
                        TimePoint Now) {
    LogLine("call-failed")
        .add("call", Id.text())
        .add("sent", Sent ? "yes" : "no")
        .add("why", Why.text())
        .info();
    this->At->upstreamFailed(Id, Sent, Why, Now);
  };
  Hooks.Consumed = [this](const CallId &Id, uint64_t Total, TimePoint Now) {
    this->At->upstreamConsumed(Id, Total, Now);
  };
  Hooks.Health = [this](const Result<std::string> &Said, TimePoint Now) {
    this->onHealth(Said, Now);
  };
  this->Upstream = std::make_unique<UpstreamClient>(
      this->Set.Upstream, Hooks, [this] { return this->now(); });
}

// The endpoint lags and misleads, so it closes the gate when it says that the
// upstream drains, and decides nothing else.
void Node::onHealth(const Result<std::string> &Said, TimePoint Now) {
  bool Up = static_cast<bool>(Said);
  if (Up != this->UpstreamUp)
    this->Control->audit().add(Now, "upstream", Up ? "reachable" : "lost",
                               "health", Up ? *Said : Said.error().Detail);
  this->UpstreamUp = Up;
  this->UpstreamSays = Up ? Said->substr(0, 64) : "";
  if (Up && Said->rfind(HealthDraining, 0) == 0)
    this->drainGate("upstream");
  else if (Up && this->At->drainedBy() == "upstream")
    this->reopenGate();
}

void Node::makeCallerServer() {
  CallerServer::Hooks Hooks;
  Hooks.Request = [this](CallerServer::CallerId Caller, const RequestHead &Head,
                         TimePoint Now) {
    this->From->request(Caller, Head, Now);
  };
  Hooks.Body = [this](CallerServer::CallerId Caller, std::string_view Bytes,
                      TimePoint Now) { this->From->body(Caller, Bytes, Now); };
  Hooks.BodyEnd = [this](CallerServer::CallerId Caller, TimePoint Now) {
    this->From->bodyEnd(Caller, Now);
  };
  Hooks.Consumed = [this](CallerServer::CallerId Caller, uint64_t Total,
                          TimePoint Now) {
    this->From->callerConsumed(Caller, Total, Now);
  };
  Hooks.Gone = [this](CallerServer::CallerId Caller, TimePoint Now) {
    this->From->callerGone(Caller, Now);
  };
  this->Http =
      std::make_unique<CallerServer>(Hooks, [this] { return this->now(); });
}

gboolean Node::onCallTick(gpointer Data) {
  auto *Self = static_cast<Node *>(Data);
  TimePoint Now = Self->now();
  Self->At->tick(Now);
  Self->From->tick(Now);
  if (Self->StopBy)
    Self->finishStop();
  return G_SOURCE_CONTINUE;
}

gboolean Node::onControlTick(gpointer Data) {
  auto *Self = static_cast<Node *>(Data);
  Self->Control->tick(Self->now());
  return G_SOURCE_CONTINUE;
}

gboolean Node::onHealthTick(gpointer Data) {
  auto *Self = static_cast<Node *>(Data);
  Self->Upstream->askHealth(Self->Set.HealthPath, HealthTimeout);
  return G_SOURCE_CONTINUE;
}

bool Node::ready() const {
  return this->Control->config() && this->UpstreamUp && !this->StopBy &&
         !this->At->draining();
}

void Node::drainGate(const std::string &By) {
  if (this->At->draining())
    return;
  TimePoint Now = this->now();
  this->Control->audit().add(Now, "gate-draining", this->Set.Name, By,
                             "no new work");
  this->At->drain(By, Now);
}

void Node::reopenGate() {
  if (!this->At->draining() || this->StopBy)
    return;
  this->Control->audit().add(this->now(), "gate-open", this->Set.Name,
                             this->At->drainedBy(), "takes work again");
  this->At->reopen();
}

void Node::stop(const std::string &By) {
  if (this->StopBy)
    return;
  TimePoint Now = this->now();
  this->Control->audit().add(Now, "stop", this->Set.Name, By, "draining");
  this->StopBy = Now + this->Set.StopWithin;
  this->drainGate("stop");
  this->From->drain();
  this->Http->stopListening();
}

void Node::finishStop() {
  TimePoint Now = this->now();
  bool Idle =
      this->From->idle() && this->At->idle() && this->Http->active() == 0;
  if (!Idle && Now < *this->StopBy)
    return;
  this->Control->audit().add(Now, "stopped", this->Set.Name, "",
                             Idle ? "nothing cut" : "time ran out");
  this->Control->goodbye();
  this->StopBy.reset();
  if (this->Stopped)
    std::exchange(this->Stopped, nullptr)();
}

uint64_t Node::controlBytesSent() const {
  return this->Net->bytesSent(ControlPurpose);
}

uint64_t Node::controlBytesReceived() const {
  return this->Net->bytesReceived(ControlPurpose);
}

} // namespace hickorylift
