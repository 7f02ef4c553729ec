#include "node/Node.h"

#include "base/Log.h"
#include "net/Reactor.h"
#include "operator/OperatorServer.h"
#include "platform/Adapter.h"

#include <ctime>

#include <malloc.h>
#include <sys/resource.h>

namespace hickorylift {

namespace {

constexpr guint CallTickMs = 20;
constexpr guint ControlTickMs = 100;
constexpr Millis HealthTimeout{2000};
// Whether an upstream is cold is asked again after half a second, and an answer
// to the question before that must not come then. Late calls are ended in steps
// of ControlTickMs.
constexpr Millis ColdAnswerLimit{350};

constexpr Millis TrimHeapAfter{1000};
// A node's own descriptors are links to gates, connections to the upstream, to
// the platform and of the log: this share of its limit is kept for them.
constexpr size_t OwnDescriptorShare = 3;

ResourceBudget::Options budgetOptions(const Settings &Of) {
  ResourceBudget::Options Out = Of.Budget;
  size_t Descriptors = Of.Descriptors;
  rlimit Limit{};
  if (Descriptors == 0 && getrlimit(RLIMIT_NOFILE, &Limit) == 0)
    Descriptors = Limit.rlim_cur;
  if (Descriptors > 0)
    Out.MaxConnections = std::min(
        Out.MaxConnections, Descriptors - Descriptors / OwnDescriptorShare);
  return Out;
}

uint64_t positive(Millis Of) {
  return static_cast<uint64_t>(std::max<int64_t>(0, Of.count()));
}

} // namespace

Node::Node(Settings Given, uint64_t Incarnation, std::function<void()> Stopped)
    : Set(std::move(Given)), Incarnation(Incarnation),
      Stopped(std::move(Stopped)),
      Budget(budgetOptions(this->Set), this->budgetHooks()),
      StartedAt(Clock::now()) {
  this->openPlatform();
  this->makeCore();
  this->makeTransport();
  this->makeUpstream();
  this->makeCallerServer();
  this->Operators = std::make_unique<OperatorServer>(*this);
  this->addBudgetSources();
}

Node::~Node() {
  for (guint Timer : this->Timers)
    g_source_remove(Timer);
  // Their ends are reported to the budget while the rest is still there.
  this->Operators.reset();
  this->Http.reset();
  this->Net.reset();
}

// The steady clock stands still while the machine is suspended, and what lay in
// the sockets is as old as after any other pause.
TimePoint Node::now() {
  TimePoint Read = Clock::now();
  if (!this->Core)
    return Read;
  this->Core->observe(Read);
  timespec Boot{};
  clock_gettime(CLOCK_BOOTTIME, &Boot);
  Millis Ahead = toMillis(std::chrono::seconds(Boot.tv_sec) +
                          std::chrono::nanoseconds(Boot.tv_nsec) -
                          Read.time_since_epoch());
  Millis Before = this->SuspendedSoFar.value_or(Ahead);
  this->SuspendedSoFar = Ahead;
  if (Ahead > Before)
    this->Core->suspended(Ahead - Before, Read);
  return Read;
}

void Node::openPlatform() {
  auto Clock = [this] { return this->now(); };
  if (this->Set.Protocol == PlatformProtocol::Records) {
    this->Source = std::make_unique<HttpPlatform>(this->Set.Platform, Clock);
    return;
  }
  this->Names = platform::dialect();
  platform::StoreOptions Opts;
  Opts.Address = this->Set.Platform.Address;
  Opts.Timeout = this->Set.Platform.Timeout;
  this->Store = platform::openStore(Opts, Clock);
}

SourceFactory Node::storeSource() {
  return [this](const SourceHooks &Hooks) {
    platform::NodePorts Here{this->Set.Peers.Port, this->Set.Operator.Port,
                             this->Set.Upstream.Address.Port};
    return std::make_unique<SplitReader>(
        this->Set.Store, *this->Store, platform::storeLayout(Here), Hooks,
        this->Set.DataCentres, this->Incarnation);
  };
}

Result<bool> Node::start() {
  Result<bool> Peers = this->Net->listen(this->Set.Peers);
  if (!Peers)
    return Peers;
  Result<bool> Callers = this->Http->listen(this->Set.Callers);
  if (!Callers)
    return Callers;
  Result<bool> Operators = this->Operators->listen(this->Set.Operator);
  if (Operators && this->Set.Ready)
    Operators = this->Operators->listen(*this->Set.Ready);
  if (!Operators)
    return Operators;
  this->Timers.push_back(g_timeout_add(CallTickMs, onCallTick, this));
  this->Timers.push_back(g_timeout_add(ControlTickMs, onControlTick, this));
  this->startHealth();
  this->Core->controlTick(this->now());
  return true;
}

void Node::startHealth() {
  if (this->Set.HealthInterval.count() == 0)
    return this->Core->upstreamNotAsked();
  this->Timers.push_back(
      g_timeout_add(static_cast<guint>(this->Set.HealthInterval.count()),
                    onHealthTick, this));
  this->Upstream->askHealth(this->Set.HealthPath, HealthTimeout);
}

void Node::makeCore() {
  NodeCore::Options Opts = this->Set.Core;
  Opts.CallEntry.HeaderNames = this->Names;
  Opts.CallGate.HeaderNames = this->Names;
  Opts.setIdentity(this->Set.Name, this->Set.DataCentre, this->Set.DataCentres,
                   this->Set.Service, this->Incarnation);
  NodeCore::Hooks Hooks;
  Hooks.Dial = [this](char Purpose, const std::string &Peer,
                      const std::string &Address) {
    // The list was checked when it was read.
    this->Net->dial(Purpose, Peer, *parseAddress(Address));
  };
  Hooks.Send = [this](LinkId Link, const std::string &Bytes) {
    this->Net->send(Link, Bytes);
  };
  Hooks.Close = [this](LinkId Link) { this->Net->close(Link); };
  Hooks.Post = [this](std::function<void(TimePoint)> Work) {
    this->post(std::move(Work));
  };
  Hooks.Callers = this->callerHooks();
  Hooks.Upstream = this->upstreamHooks();
  Hooks.Audit = [](const AuditEvent &One) {
    LogLine(One.What)
        .add("subject", One.Subject)
        .add("source", One.Source)
        .add("outcome", One.Outcome)
        .info();
  };
  Hooks.Leaving = [this] { this->Http->closeAfterAnswers(); };
  Hooks.CloseIdle = [this] { this->Http->closeIdle(); };
  Hooks.StopListening = [this] {
    this->Http->stopListening();
    this->Http->closeIdle();
  };
  Hooks.CallersServed = [this] { return this->Http->answersDelivered(); };
  Hooks.ConfigChanged = [this](const ConfigPtr &New) {
    this->Http->setBounds(New->callerBounds());
  };
  Hooks.Stopped = [this] { this->Stopped(); };
  if (this->Store)
    this->Core = std::make_unique<NodeCore>(Opts, this->storeSource(), Hooks);
  else
    this->Core = std::make_unique<NodeCore>(Opts, *this->Source, Hooks);
}

ResourceBudget::Hooks Node::budgetHooks() {
  ResourceBudget::Hooks Hooks;
  Hooks.SettleSoon = [this] {
    this->post([this](TimePoint Now) { this->Budget.settle(Now); });
  };
  Hooks.Evicted = [this](const ResourceBudget::Eviction &Of, TimePoint Now) {
    this->logEviction(Of, Now);
  };
  return Hooks;
}

void Node::addBudgetSources() {
  using Kind = ResourceBudget::Kind;
  using Holder = ResourceBudget::Holder;
  this->Budget.addSource(
      Kind::Caller,
      {[this](const Holder &One) { return this->Http->usage(One.Low); },
       [this](const Holder &One, TimePoint Now) {
         this->Http->evict(One.Low, Now);
       }});
  this->Budget.addSource(
      Kind::Peer,
      {[this](const Holder &One) { return this->Net->usage(One.Low); },
       [this](const Holder &One, TimePoint) { this->Net->evict(One.Low); }});
  this->Budget.addSource(
      Kind::Operator,
      {[this](const Holder &One) { return this->Operators->usage(One.Low); },
       [this](const Holder &One, TimePoint) {
         this->Operators->evict(One.Low);
       }});
  this->Budget.addSource(Kind::Call,
                         {[this](const Holder &One) {
                            CallId Id{One.High, One.Low};
                            auto Out = this->Core->gate().usage(Id);
                            if (Out)
                              Out->Bytes += this->Upstream->heldBytes(Id);
                            return Out;
                          },
                          [this](const Holder &One, TimePoint Now) {
                            this->Core->gate().evict({One.High, One.Low}, Now);
                          }});
}

// The allocator keeps small pieces between those that are in use, tens of
// megabytes after a crowd. Giving them back takes milliseconds, so it waits
// until nothing has been evicted for a while.
void Node::trimHeap(TimePoint Now) {
  if (!this->TrimHeapAt || Now < *this->TrimHeapAt)
    return;
  this->TrimHeapAt.reset();
  malloc_trim(/*pad=*/0);
}

void Node::logEviction(const ResourceBudget::Eviction &Of, TimePoint Now) {
  this->TrimHeapAt = Now + TrimHeapAfter;
  if (!this->CallLog.allow(std::string("evicted ") + kindName(Of.Of.Of),
                           std::to_string(Of.Of.Low), Now))
    return;
  LogLine("evicted")
      .add("kind", kindName(Of.Of.Of))
      .add("limit", Of.Limit)
      .add("held_bytes", Of.Held.Bytes)
      .add("stalled_ms", positive(Of.StalledFor))
      .add("all_bytes", this->Budget.bytes())
      .add("all_connections", this->Budget.connections())
      .info();
}

void Node::makeTransport() {
  Transport::Hooks Hooks;
  Hooks.UsageChanged = [this](uint64_t Link) {
    this->usageChanged(ResourceBudget::Kind::Peer, Link);
  };
  Hooks.Opened = [this](uint64_t Link, char Purpose, const std::string &Dialled,
                        TimePoint Now) {
    this->Core->opened(Link, Purpose, Dialled, Now);
  };
  Hooks.DialFailed = [this](char Purpose, const std::string &Name,
                            const Error &Why, TimePoint Now) {
    LogLine("dial-failed").add("peer", Name).add("why", Why.text()).debug();
    this->Core->dialFailed(Purpose, Name, Now);
  };
  Hooks.Frame = [this](uint64_t Link, char Purpose, std::string_view Bytes,
                       TimePoint Now) {
    this->Core->frame(Link, Purpose, Bytes, Now);
  };
  Hooks.Closed = [this](uint64_t Link, char Purpose, const Error &Why,
                        TimePoint Now) {
    LogLine("link-closed").add("link", Link).add("why", Why.text()).debug();
    this->Core->closed(Link, Purpose, Now);
  };
  this->Net = std::make_unique<Transport>(Transport::Options(), Hooks,
                                          [this] { return this->now(); });
}

void Node::post(std::function<void(TimePoint)> Work) {
  Reactor::get().atTurnEnd(
      [this, Work = std::move(Work), Still = std::weak_ptr<bool>(this->Alive)] {
        if (Still.lock())
          Work(this->now());
      });
}

void Node::logCall(const Entry::CallEvent &Of, TimePoint Now) {
  std::string Kind = std::string(Of.Name) + " " + Of.Reason;
  if (!this->CallLog.allow(Kind, Of.RequestId, Now))
    return;
  std::optional<Millis> ListAge = this->Core->control().oldestListAge(Now);
  LogLine Line(Of.Name);
  Line.add("id", Of.RequestId)
      .add("route", Of.Route)
      .add("gate", Of.Gate)
      .add("reason", Of.Reason)
      .add("step", Of.Step)
      .add("version", Of.Version)
      .add("list_age_ms", ListAge ? std::to_string(ListAge->count()) : "none")
      .add("offers", Of.Offers)
      .add("age_ms", positive(Of.Age))
      .add("left_ms", positive(Of.TimeLeft));
  if (Of.Nested)
    Line.add("nested", "true");
  Line.info();
}

void Node::logSuppressed(TimePoint Now) {
  for (const LogLimit::Sum &One : this->CallLog.due(Now))
    LogLine("suppressed")
        .add("kind", One.Kind)
        .add("lines", One.Lines)
        .add("first_id", One.FirstId)
        .add("last_id", One.LastId)
        .add("dropped_total", droppedLogLines())
        .info();
}

void Node::logSpillover(const SpilloverController::Change &Of, TimePoint Now) {
  const char *Event = Of.Begins ? "spillover-begins" : "spillover-ends";
  if (!this->CallLog.allow(Event, Of.Service, Now))
    return;
  LogLine(Event)
      .add("service", Of.Service)
      .add("local_share", std::to_string(Of.LocalShare))
      .info();
}

void Node::logReserve(const PriorityReserve::Change &Of, TimePoint Now) {
  const char *Event =
      Of.Begins ? "priority-reserve-begins" : "priority-reserve-ends";
  if (!this->CallLog.allow(Event, "", Now))
    return;
  LogLine Line(Event);
  if (Of.Begins)
    Line.add("priority", Of.Priority)
        .add("reserved", Of.Reserved)
        .add("slots", Of.Slots);
  Line.info();
}

Entry::Hooks Node::callerHooks() {
  Entry::Hooks Hooks;
  Hooks.Head = [this](Entry::CallerId Caller, const ResponseHead &Head) {
    this->Http->head(Caller, Head);
  };
  Hooks.Body = [this](Entry::CallerId Caller, std::string_view Bytes) {
    this->Http->body(Caller, Bytes);
  };
  Hooks.BodyEnd = [this](Entry::CallerId Caller) {
    this->Http->bodyEnd(Caller);
  };
  Hooks.CallFinished = [this](Clock::duration Length, bool Answered) {
    this->Operators->metrics().callTook(Length, Answered);
  };
  Hooks.LogEvent = [this](const Entry::CallEvent &Of, TimePoint Now) {
    this->logCall(Of, Now);
  };
  Hooks.SpilloverChanged = [this](const SpilloverController::Change &Of,
                                  TimePoint Now) {
    this->logSpillover(Of, Now);
  };
  Hooks.Abort = [this](Entry::CallerId Caller, const Refusal &Why) {
    this->Http->abort(Caller, Why);
  };
  Hooks.Refuse = [this](Entry::CallerId Caller, const Refusal &Why) {
    this->Http->refuse(Caller, Why);
  };
  Hooks.PauseRequest = [this](Entry::CallerId Caller, bool Paused) {
    this->Http->pauseRequest(Caller, Paused);
  };
  return Hooks;
}

Gate::Hooks Node::upstreamHooks() {
  Gate::Hooks Hooks;
  Hooks.Start = [this](const CallId &Id, const RequestHead &Head,
                       bool MayRepeat) {
    LogLine("call-started").add("call", Id.text()).debug();
    this->Upstream->start(Id, Head, MayRepeat);
  };
  Hooks.Body = [this](const CallId &Id, std::string_view Bytes) {
    this->Upstream->body(Id, Bytes);
  };
  Hooks.BodyEnd = [this](const CallId &Id) { this->Upstream->bodyEnd(Id); };
  Hooks.ReserveChanged = [this](const PriorityReserve::Change &Of,
                                TimePoint Now) { this->logReserve(Of, Now); };
  Hooks.Cancel = [this](const CallId &Id) { this->Upstream->cancel(Id); };
  Hooks.PauseAnswer = [this](const CallId &Id, bool Paused) {
    this->Upstream->pauseAnswer(Id, Paused);
  };
  Hooks.UsageChanged = [this](const CallId &Id) {
    this->Budget.touch({ResourceBudget::Kind::Call, Id.Entry, Id.Seq});
  };
  Hooks.Probe = [this] { this->Upstream->probe(); };
  Hooks.QueryHealth = [this](const std::string &Path) {
    this->Upstream->askHealth(Path.empty() ? this->Set.HealthPath : Path,
                              ColdAnswerLimit);
  };
  Hooks.CallFinished = [this](Clock::duration Waited, Clock::duration Ran) {
    this->Operators->metrics().gateTook(Waited, Ran);
  };
  return Hooks;
}

void Node::makeUpstream() {
  Gate &At = this->Core->gate();
  UpstreamClient::Hooks Hooks;
  Hooks.Sent = [&At](const CallId &Id, TimePoint Now) {
    At.requestSent(Id, Now);
  };
  Hooks.Head = [&At](const CallId &Id, const ResponseHead &Head,
                     TimePoint Now) { At.upstreamHead(Id, Head, Now); };
  Hooks.Body = [&At](const CallId &Id, std::string_view Bytes, TimePoint Now) {
    At.upstreamData(Id, Bytes, Now);
  };
  Hooks.End = [&At](const CallId &Id, TimePoint Now) {
    At.upstreamEnd(Id, Now);
  };
  Hooks.Failed = [this, &At](const CallId &Id, bool Sent, const Error &Why,
                             TimePoint Now) {
    if (this->CallLog.allow("call-failed", Id.text(), Now))
      LogLine("call-failed")
          .add("call", Id.text())
          .add("sent", Sent ? "yes" : "no")
          .add("why", Why.text())
          .info();
    At.upstreamFailed(Id, Sent, Why, Now);
  };
  Hooks.Consumed = [&At](const CallId &Id, uint64_t Total, TimePoint Now) {
    At.requestConsumed(Id, Total, Now);
  };
  Hooks.Health = [this](const Result<HealthAnswer> &Said, TimePoint Now) {
    this->Core->health(Said, Now);
  };
  Hooks.Probed = [&At](UpstreamProbeResult Found, TimePoint Now) {
    At.upstreamProbed(Found, Now);
  };
  UpstreamClient::Options Opts = this->Set.Upstream;
  Opts.Names = this->Names;
  this->Upstream = std::make_unique<UpstreamClient>(
      Opts, Hooks, [this] { return this->now(); });
}

void Node::makeCallerServer() {
  Entry &From = this->Core->entry();
  CallerServer::Hooks Hooks;
  Hooks.Request = [&From](CallerServer::CallerId Caller,
                          const RequestHead &Head,
                          TimePoint Now) { From.request(Caller, Head, Now); };
  Hooks.Body = [&From](CallerServer::CallerId Caller, std::string_view Bytes,
                       TimePoint Now) { From.body(Caller, Bytes, Now); };
  Hooks.BodyEnd = [&From](CallerServer::CallerId Caller, TimePoint Now) {
    From.bodyEnd(Caller, Now);
  };
  Hooks.Consumed = [&From](CallerServer::CallerId Caller, uint64_t Total,
                           TimePoint Now) {
    From.callerConsumed(Caller, Total, Now);
  };
  Hooks.Gone = [&From](CallerServer::CallerId Caller, TimePoint Now) {
    From.callerGone(Caller, Now);
  };
  Hooks.MayOverlap = [&From](const RequestHead &Head) {
    return From.isIdempotent(Head);
  };
  Hooks.UsageChanged = [this](uint64_t Connection) {
    this->usageChanged(ResourceBudget::Kind::Caller, Connection);
  };
  Hooks.HeldBytes = [&From](CallerServer::CallerId Caller) {
    return From.heldBytes(Caller);
  };
  Hooks.Evict = [&From](CallerServer::CallerId Caller, TimePoint Now) {
    From.evict(Caller, Now);
  };
  CallerServer::Options Opts;
  Opts.Names = this->Names;
  this->Http = std::make_unique<CallerServer>(Opts, Hooks,
                                              [this] { return this->now(); });
}

gboolean Node::onCallTick(gpointer Data) {
  auto *Self = static_cast<Node *>(Data);
  Self->Core->callTick(Self->now());
  return G_SOURCE_CONTINUE;
}

gboolean Node::onControlTick(gpointer Data) {
  auto *Self = static_cast<Node *>(Data);
  TimePoint Now = Self->now();
  Self->Core->controlTick(Now);
  Self->Http->tick(Now);
  Self->logSuppressed(Now);
  Self->trimHeap(Now);
  Self->Upstream->tick(Now);
  return G_SOURCE_CONTINUE;
}

gboolean Node::onHealthTick(gpointer Data) {
  auto *Self = static_cast<Node *>(Data);
  Self->Upstream->askHealth(Self->Set.HealthPath, HealthTimeout);
  return G_SOURCE_CONTINUE;
}

void Node::reload(const Settings &New) {
  bool SamePlace = New.Name == this->Set.Name &&
                   New.Service == this->Set.Service &&
                   New.Callers.text() == this->Set.Callers.text() &&
                   New.Peers.text() == this->Set.Peers.text();
  setLogLevel(New.LogLevel);
  this->Set.LogLevel = New.LogLevel;
  LogLine("reload")
      .add("name", this->Set.Name)
      .add("log_level", New.LogLevel)
      .add("outcome", SamePlace ? "log level taken, the rest needs a restart"
                                : "another place named, which needs a restart")
      .info();
}

void Node::stop(const std::string &By) { this->Core->stop(By, this->now()); }

uint64_t Node::controlBytesSent() const {
  return this->Net->bytesSent(ControlPurpose);
}

uint64_t Node::controlBytesReceived() const {
  return this->Net->bytesReceived(ControlPurpose);
}

} // namespace hickorylift
