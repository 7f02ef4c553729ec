#include "operator/OperatorServer.h"

#include "node/Node.h"

#include <unistd.h>

// The library would keep the whole body of a request, and hold any number of
// connections. No request here has a body, so bodies are thrown away as they
// come, and connections are accepted here so that they can be counted and
// ended.

namespace hickorylift {

namespace {

constexpr int AcceptsPerTurn = 16;
constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned NotAllowed = 405;
constexpr unsigned Unavailable = 503;
// Why a gate is closed.
const char ByOperator[] = "operator";

Json::Value toJson(const Stamp &Of) {
  Json::Value Out(Json::objectValue);
  Out["version"] = Json::UInt64(Of.Version);
  Out["revision"] = Json::UInt64(Of.Revision);
  Out["stamp"] = Of.text();
  return Out;
}

Json::Value toJson(const std::map<std::string, uint64_t> &Counts) {
  Json::Value Out(Json::objectValue);
  for (const auto &[Name, Count] : Counts)
    Out[Name] = Json::UInt64(Count);
  return Out;
}

Json::Value toJson(const SpilloverController &Of, TimePoint Now) {
  Json::Value Out(Json::objectValue);
  for (SpilloverController::Reason Why : SpilloverController::Reasons)
    Out["calls"][reasonName(Why)] = Json::UInt64(Of.sentCount(Why));
  for (const std::string &Service : Of.services())
    Out["probability"][Service] = Of.probability(Service, Now);
  return Out;
}

void answer(SoupServerMessage *To, unsigned Status, const char *Type,
            const std::string &Text) {
  soup_server_message_set_status(To, Status, nullptr);
  soup_server_message_set_response(To, Type, SOUP_MEMORY_COPY, Text.data(),
                                   Text.size());
}

void answerJson(SoupServerMessage *To, const Json::Value &Value,
                unsigned Status = Ok) {
  answer(To, Status, "application/json", writeJson(Value) + "\n");
}

std::string queryValue(GHashTable *Query, const char *Key,
                       const std::string &Default) {
  const char *Found =
      Query ? static_cast<const char *>(g_hash_table_lookup(Query, Key))
            : nullptr;
  return Found ? Found : Default;
}

} // namespace

OperatorServer::OperatorServer(Node &Of)
    : Of(Of), Server(soup_server_new(nullptr, nullptr)) {
  soup_server_add_early_handler(this->Server, nullptr, onHeadRead, nullptr,
                                nullptr);
  soup_server_add_handler(this->Server, nullptr, onRequest, this, nullptr);
  for (const char *End : {"request-finished", "request-aborted"})
    g_signal_connect(this->Server, End, G_CALLBACK(onRequestEnded), this);
}

OperatorServer::~OperatorServer() {
  for (auto &[Id, On] : this->Connections)
    g_object_weak_unref(G_OBJECT(On.Stream), onStreamGone, &On);
  g_signal_handlers_disconnect_by_data(this->Server, this);
  soup_server_disconnect(this->Server);
  g_object_unref(this->Server);
}

Result<bool> OperatorServer::listen(const NetAddress &At) {
  this->Listeners.emplace_back();
  return this->Listeners.back().open(At, "listen-operator", AcceptsPerTurn,
                                     [this](int Fd) { this->adopt(Fd); });
}

void OperatorServer::adopt(int Fd) {
  GSocket *Socket = g_socket_new_from_fd(Fd, nullptr);
  if (!Socket) {
    ::close(Fd);
    return;
  }
  GSocketConnection *Stream =
      g_socket_connection_factory_create_connection(Socket);
  Connection &New = this->Connections[++this->LastConnection];
  New.Owner = this;
  New.Id = this->LastConnection;
  New.Stream = Stream;
  g_object_weak_ref(G_OBJECT(Stream), onStreamGone, &New);
  this->Of.usageChanged(ResourceBudget::Kind::Operator, New.Id);
  // The other end may be gone already; the library wants both addresses.
  GSocketAddress *Local = g_socket_get_local_address(Socket, nullptr);
  GSocketAddress *Remote = g_socket_get_remote_address(Socket, nullptr);
  if (Local && Remote)
    soup_server_accept_iostream(this->Server, G_IO_STREAM(Stream), Local,
                                Remote, nullptr);
  g_clear_object(&Local);
  g_clear_object(&Remote);
  g_object_unref(Stream);
  g_object_unref(Socket);
}

void OperatorServer::onStreamGone(gpointer GivenConnection, GObject *) {
  auto *On = static_cast<Connection *>(GivenConnection);
  OperatorServer *Self = On->Owner;
  uint64_t Id = On->Id;
  Self->Connections.erase(Id);
  Self->Of.usageChanged(ResourceBudget::Kind::Operator, Id);
}

OperatorServer::Connection *OperatorServer::find(SoupServerMessage *Message) {
  GSocket *Socket = soup_server_message_get_socket(Message);
  for (auto &[Id, On] : this->Connections)
    if (g_socket_connection_get_socket(On.Stream) == Socket)
      return &On;
  return nullptr;
}

void OperatorServer::onHeadRead(SoupServer *, SoupServerMessage *Message,
                                const char *, GHashTable *, gpointer) {
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(Message), FALSE);
}

void OperatorServer::onRequestEnded(SoupServer *, SoupServerMessage *Message,
                                    gpointer GivenSelf) {
  auto *Self = static_cast<OperatorServer *>(GivenSelf);
  Connection *On = Self->find(Message);
  if (!On)
    return;
  On->ResponseBytes = 0;
  Self->Of.usageChanged(ResourceBudget::Kind::Operator, On->Id);
}

std::optional<ResourceBudget::Usage> OperatorServer::usage(uint64_t Id) const {
  auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return std::nullopt;
  ResourceBudget::Usage Out;
  Out.Bytes = Found->second.ResponseBytes;
  Out.Connections = 1;
  Out.TotalBytes = Found->second.TotalBytes;
  return Out;
}

// The library sees the end and lets go of the connection, before or after this
// returns.
void OperatorServer::evict(uint64_t Id) {
  auto Found = this->Connections.find(Id);
  if (Found != this->Connections.end())
    g_socket_shutdown(g_socket_connection_get_socket(Found->second.Stream),
                      TRUE, TRUE, nullptr);
}

void OperatorServer::onRequest(SoupServer *, SoupServerMessage *Message,
                               const char *PathText, GHashTable *Query,
                               gpointer Data) {
  auto *Self = static_cast<OperatorServer *>(Data);
  Self->respond(Message, PathText, Query);
  Connection *On = Self->find(Message);
  if (!On)
    return;
  On->ResponseBytes = static_cast<size_t>(
      soup_server_message_get_response_body(Message)->length);
  On->TotalBytes += 1 + On->ResponseBytes;
  Self->Of.usageChanged(ResourceBudget::Kind::Operator, On->Id);
}

void OperatorServer::respond(SoupServerMessage *Message,
                             const std::string &Path, GHashTable *Query) {
  NodeCore &Core = this->Of.core();
  std::string Method = soup_server_message_get_method(Message);
  bool Changes = Path == "/drain" || Path == "/undrain" || Path == "/release";
  if (Method != (Changes ? "POST" : "GET"))
    return answer(Message, NotAllowed, "text/plain",
                  Changes ? "use POST\n" : "use GET\n");
  if (Path == "/status")
    return answerJson(Message, this->status());
  if (Path == "/fleet")
    return answerJson(Message, this->fleet());
  if (Path == "/audit")
    return answerJson(Message, this->audit());
  if (Path == "/explain")
    return answerJson(Message, this->explain(Query));
  if (Path == "/quarantine")
    return answerJson(Message, this->quarantine());
  if (Path == "/release")
    return this->release(Message, Query);
  if (Path == "/metrics")
    return answer(Message, Ok, "text/plain; version=0.0.4",
                  this->Measured.text(this->Of));
  if (Path == "/ready" || Path == this->Of.names().ReadyPath)
    return Core.ready()
               ? answer(Message, Ok, "text/plain", "ready\n")
               : answer(Message, Unavailable, "text/plain", "not ready\n");
  if (Path == "/drain") {
    Core.drainGate(ByOperator, this->Of.now());
    return answer(Message, Ok, "text/plain", "draining\n");
  }
  if (Path == "/undrain") {
    Core.reopenGate(ByOperator, this->Of.now());
    return answer(Message, Ok, "text/plain",
                  Core.gate().draining() ? "draining\n" : "open\n");
  }
  answer(Message, NotFound, "text/plain",
         "try /status /fleet /audit /explain /quarantine /metrics /ready "
         "/drain\n");
}

Json::Value OperatorServer::status() {
  TimePoint Now = this->Of.now();
  ControlPlane &Control = this->Of.core().control();
  Json::Value Out(Json::objectValue);
  Out["name"] = this->Of.settings().Name;
  Out["data_centre"] = this->Of.settings().DataCentre;
  Out["service"] = this->Of.settings().Service;
  Out["incarnation"] = Json::UInt64(this->Of.incarnation());
  Out["build"] = BuildNumber;
  Out["up_ms"] = Json::Int64(toMillis(Now - this->Of.startedAt()).count());
  Out["ready"] = this->Of.core().ready();
  if (ConfigPtr Held = Control.config()) {
    Out["config"] = toJson(Held->stamp());
    Out["config"]["from"] = Control.configSource();
    Out["config"]["for_ms"] =
        Json::Int64(toMillis(Now - *Control.configSince()).count());
  }
  if (DocumentPtr Newest = Control.spreader().storedDocument(ConfigTopic))
    Out["newest_known"] = toJson(Newest->stamp());
  if (std::optional<Millis> Age = Control.oldestListAge(Now))
    Out["oldest_list_age_ms"] = Json::Int64(Age->count());
  Out["instances"] = Json::UInt64(Control.members().size());
  for (const std::string &One : Control.members().evacuated())
    Out["evacuated"].append(One);
  Out["reader"] = Control.isReader();
  for (const std::string &Peer : Control.peerNames())
    Out["peers"].append(Peer);
  wire::Load Load = this->Of.core().gate().load(Now);
  Json::Value &Upstream = Out["upstream"];
  Upstream["reachable"] = this->Of.core().upstreamReachable();
  Upstream["says"] = this->Of.core().upstreamSays();
  Upstream["drained_by"] = this->Of.core().gate().drainReasons();
  Upstream["running"] = Load.in_flight();
  Upstream["waiting"] = Load.queued();
  Upstream["slots"] = Load.slots();
  Upstream["cold"] = this->Of.core().gate().isCold(Now);
  const UpstreamStatement &Stated = this->Of.core().gate().upstreamStatement();
  if (Stated.CallsPerSecond)
    Upstream["stated_rate"] = *Stated.CallsPerSecond;
  Upstream["leaving"] = Stated.Leaving;
  Upstream["shed_percent"] = this->Of.core().gate().shedPercent(Now);
  Upstream["mean_run_us"] = Load.latency_us();
  if (uint32_t Percent = this->Of.core().gate().slowdownPercent(Now))
    Upstream["slowdown_percent"] = Percent;
  Out["entry"]["calls"] = Json::UInt64(this->Of.core().entry().callCount());
  Out["entry"]["refused"] =
      toJson(this->Of.core().entry().counters().RefusedBy);
  Out["nested_calls"] = this->nestedCalls();
  const Entry::Counters &Counts = this->Of.core().entry().counters();
  Out["entry"]["hedges"]["sent"] = Json::UInt64(Counts.HedgesSent);
  Out["entry"]["hedges"]["refused"] = Json::UInt64(Counts.HedgesRefused);
  Out["entry"]["hedges"]["won"] = Json::UInt64(Counts.HedgesWon);
  Out["entry"]["hedges"]["cancelled"] = Json::UInt64(Counts.HedgesCancelled);
  Out["gate"]["refused"] = toJson(this->Of.core().gate().counters().RefusedBy);
  const SpilloverController &Spillover =
      this->Of.core().entry().balancer().spillover();
  if (Spillover.isEnabled())
    Out["spillover"] = toJson(Spillover, Now);
  const PriorityReserve &Reserve = this->Of.core().gate().priorityReserve();
  if (Reserve.isEnabled()) {
    Out["priority_reserve"]["refused"] = Json::UInt64(Reserve.refusalCount());
    Out["priority_reserve"]["waited"] = Json::UInt64(Reserve.waitCount());
  }
  return Out;
}

Json::Value OperatorServer::nestedCalls() {
  const Entry::Counters &Counts = this->Of.core().entry().counters();
  Json::Value Out(Json::objectValue);
  Out["enabled"] = this->Of.core().runs().enabled();
  Out["runs"] = Json::UInt64(this->Of.core().runs().runCount());
  Out["seen"] = Json::UInt64(Counts.Nested);
  Out["of_repeats"] = Json::UInt64(Counts.NestedOfRepeats);
  return Out;
}

Json::Value OperatorServer::fleet() {
  TimePoint Now = this->Of.now();
  ControlPlane &Control = this->Of.core().control();
  const Membership &Fleet = Control.members();
  Json::Value Out(Json::objectValue);
  const Instance *Root = Control.root();
  bool IsRoot = !Root || Root->Name == this->Of.settings().Name;
  Out["complete"] = IsRoot;
  if (!IsRoot)
    Out["root"] = Root->Operator;
  for (const std::string &Name : Fleet.dataCentres())
    Out["listed"][Name] = Json::UInt64(Fleet.size(Name));
  for (const std::string &One : Fleet.evacuated())
    Out["evacuated"].append(One);
  Out["data_centres"] = Json::Value(Json::objectValue);
  for (const wire::FleetReportT &Report : Control.fleetReports(Now)) {
    Json::Value &Row = Out["data_centres"][Report.data_centre];
    Row["heard"] = Report.heard;
    for (const auto &Count : Report.counts) {
      Json::Value One = toJson(stampFromWire(Count->stamp.get()));
      One["build"] = Count->build;
      One["nodes"] = Count->nodes;
      Row["versions"].append(One);
    }
    for (const auto &Refused : Report.refusals) {
      Json::Value One = toJson(stampFromWire(Refused->stamp.get()));
      One["nodes"] = Refused->nodes;
      One["sample_node"] = Refused->sample_node;
      One["fault"] = Refused->fault;
      Row["refusals"].append(One);
    }
  }
  return Out;
}

Json::Value OperatorServer::audit() {
  TimePoint Now = this->Of.now();
  Json::Value Out(Json::arrayValue);
  for (const AuditEvent &One : this->Of.core().control().audit().events()) {
    Json::Value Row(Json::objectValue);
    Row["number"] = Json::UInt64(One.Number);
    Row["ago_ms"] = Json::Int64(toMillis(Now - One.At).count());
    Row["what"] = One.What;
    Row["subject"] = One.Subject;
    Row["source"] = One.Source;
    Row["outcome"] = One.Outcome;
    Out.append(Row);
  }
  return Out;
}

Json::Value OperatorServer::explain(GHashTable *Query) {
  RequestHead Head;
  Head.Method = queryValue(Query, "method", "GET");
  Head.Path = queryValue(Query, "path", "/");
  std::string Host = queryValue(Query, "host", "");
  if (!Host.empty())
    Head.Headers.push_back({"Host", Host});
  std::string Key = queryValue(Query, "key", "");
  if (!Key.empty())
    Head.Headers.push_back({"Idempotency-Key", Key});
  Entry::Explanation Found =
      this->Of.core().entry().explain(Head, this->Of.now());
  Json::Value Out(Json::objectValue);
  Out["method"] = Head.Method;
  Out["path"] = Head.Path;
  Out["note"] = Found.Note;
  if (ConfigPtr Held = this->Of.core().control().config()) {
    Out["config"] = toJson(Held->stamp());
    Out["config"]["from"] = this->Of.core().control().configSource();
  }
  if (Found.MatchedRoute) {
    Out["route"] = Found.MatchedRoute->Name;
    for (const SplitPart &Part : Found.MatchedRoute->Parts)
      Out["services"][Part.Target->Name] = Part.Weight;
    Out["idempotent"] = Found.MatchedRoute->isIdempotent(Head.Method);
    Out["timeout_ms"] = Json::Int64(Found.MatchedRoute->Timeout.count());
  }
  for (const Instance *One : Found.Candidates) {
    Json::Value Row(Json::objectValue);
    Row["name"] = One->Name;
    Row["data_centre"] = One->DataCentre;
    Row["leaving"] = One->Leaving;
    Row["ejected"] =
        this->Of.core().entry().balancer().isEjected(One->Name, this->Of.now());
    Out["candidates"].append(Row);
  }
  if (Found.Chosen)
    Out["chosen"] = Found.Chosen->Name;
  return Out;
}

// What is held first, then trials and suspects.
Json::Value OperatorServer::quarantine() {
  TimePoint Now = this->Of.now();
  const Quarantine &All = this->Of.core().control().quarantine();
  Json::Value Out(Json::arrayValue);
  using Standing = Quarantine::Status;
  for (Standing Wanted :
       {Standing::Quarantined, Standing::Trial, Standing::Suspect})
    for (const auto &[Print, One] : All.records()) {
      Quarantine::Decision Known = All.evaluate(One, Now);
      if (Known.RequestStatus != Wanted)
        continue;
      Json::Value Row(Json::objectValue);
      Row["fingerprint"] = Print.text();
      Row["request"] = One.Description;
      Row["standing"] = statusName(Known.RequestStatus);
      std::vector<Quarantine::Crash> By = One.activeCrashes();
      Row["crashes"] = Json::UInt64(By.size());
      Row["last_crash_ago_ms"] =
          Json::Int64(toMillis(Now - By.back().At).count());
      Row["come_back_ms"] = Json::Int64(Known.RetryAfter.count());
      Out.append(Row);
    }
  return Out;
}

void OperatorServer::release(SoupServerMessage *Message, GHashTable *Query) {
  std::optional<Fingerprint> Print =
      Fingerprint::parse(queryValue(Query, "fingerprint", ""));
  if (!Print)
    return answer(Message, BadRequest, "text/plain",
                  "fingerprint: expected sixteen hex digits\n");
  bool Known =
      this->Of.core().control().quarantine().release(*Print, this->Of.now());
  answer(Message, Known ? Ok : NotFound, "text/plain",
         Known ? "released\n" : "nothing is known against it here\n");
}

} // namespace hickorylift
