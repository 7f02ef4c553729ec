#include "operator/Metrics.h"

#include "node/Node.h"

#include "base/Log.h"

#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace hickorylift {

namespace {

// Around the targets of calls: from a millisecond on the way to the ten seconds
// after which nobody waits any more.
const prometheus::Histogram::BucketBoundaries Seconds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2.5, 10};

double seconds(Clock::duration Of) {
  return std::chrono::duration<double>(Of).count();
}

} // namespace

Metrics::Metrics() : Registry(std::make_shared<prometheus::Registry>()) {
  auto &Calls = prometheus::BuildHistogram()
                    .Name("hickorylift_call_seconds")
                    .Help("Time that callers waited, by outcome")
                    .Register(*this->Registry);
  this->AnsweredCalls = &Calls.Add({{"outcome", "answered"}}, Seconds);
  this->OtherCalls = &Calls.Add({{"outcome", "none"}}, Seconds);
  this->GateWaits = &prometheus::BuildHistogram()
                         .Name("hickorylift_gate_wait_seconds")
                         .Help("Time that calls waited for a slot")
                         .Register(*this->Registry)
                         .Add({}, Seconds);
  this->UpstreamRuns = &prometheus::BuildHistogram()
                            .Name("hickorylift_upstream_seconds")
                            .Help("Time from a call's start to its answer")
                            .Register(*this->Registry)
                            .Add({}, Seconds);
}

void Metrics::callTook(Clock::duration Length, bool Answered) {
  (Answered ? this->AnsweredCalls : this->OtherCalls)->Observe(seconds(Length));
}

void Metrics::gateTook(Clock::duration Waited, Clock::duration Ran) {
  this->GateWaits->Observe(seconds(Waited));
  this->UpstreamRuns->Observe(seconds(Ran));
}

void Metrics::set(const std::string &Name, const std::string &Help,
                  double Value,
                  const std::map<std::string, std::string> &Labels) {
  auto [Found, New] = this->Families.try_emplace(Name, nullptr);
  if (New)
    Found->second = &prometheus::BuildGauge().Name(Name).Help(Help).Register(
        *this->Registry);
  Found->second->Add(Labels).Set(Value);
}

void Metrics::setSpread(const Spreader::Counters &Spread) {
  auto Set = [&](const char *Name, const char *Help, uint64_t Value) {
    this->set(Name, Help, static_cast<double>(Value));
  };
  Set("hickorylift_spread_parts_sent", "Pieces of documents sent",
      Spread.Parts);
  Set("hickorylift_spread_snapshots_sent", "Whole documents sent",
      Spread.Snapshots);
  Set("hickorylift_spread_announces_sent", "Announcements sent",
      Spread.Announces);
  Set("hickorylift_spread_heartbeats_sent", "Heartbeats sent",
      Spread.Heartbeats);
  Set("hickorylift_spread_pulls_sent", "Pulls sent", Spread.Pulls);
  Set("hickorylift_spread_duplicates", "Documents that came twice",
      Spread.Duplicates);
  Set("hickorylift_spread_damaged", "Pieces thrown away", Spread.Damaged);
}

void Metrics::setQuarantine(const Quarantine &Hold, TimePoint Now) {
  auto Set = [&](const char *Name, const char *Help, uint64_t Value) {
    this->set(Name, Help, static_cast<double>(Value));
  };
  Set("hickorylift_upstream_crashes", "Crashes of this node's upstream",
      Hold.counters().Crashes);
  Set("hickorylift_quarantine_held", "Requests that came to be held",
      Hold.counters().Quarantined);
  Set("hickorylift_quarantine_released",
      "Requests that were held and are not any more", Hold.counters().Released);
  using Standing = Quarantine::Status;
  std::map<Standing, unsigned> ByStanding = {
      {Standing::Suspect, 0}, {Standing::Trial, 0}, {Standing::Quarantined, 0}};
  for (const auto &[Print, One] : Hold.records())
    ++ByStanding[Hold.evaluate(One, Now).RequestStatus];
  ByStanding.erase(Standing::Free);
  for (const auto &[What, Count] : ByStanding)
    this->set("hickorylift_quarantine_requests",
              "Requests that may crash upstreams, by what stands against them",
              Count, {{"standing", statusName(What)}});
}

void Metrics::setSpillover(const SpilloverController &Of, TimePoint Now) {
  if (!Of.isEnabled())
    return;
  for (SpilloverController::Reason Why : SpilloverController::Reasons)
    this->set("hickorylift_spillover_calls",
              "Calls sent to other data centres, by reason",
              static_cast<double>(Of.sentCount(Why)),
              {{"reason", reasonName(Why)}});
  for (const std::string &Service : Of.services())
    this->set("hickorylift_spillover_probability",
              "Probability with which remote gates are candidates for a call",
              Of.probability(Service, Now), {{"service", Service}});
}

void Metrics::setGate(Gate &At, TimePoint Now) {
  auto Set = [this](const char *Name, const char *Help, auto Value) {
    this->set(Name, Help, static_cast<double>(Value), {});
  };
  const Gate::Counters &Gated = At.counters();
  Set("hickorylift_gate_started", "Calls started at the upstream",
      Gated.Started);
  Set("hickorylift_gate_answered", "Calls answered by the upstream",
      Gated.Answered);
  for (const auto &[Reason, Count] : Gated.RefusedBy)
    this->set("hickorylift_gate_refused", "Calls refused, by cause",
              static_cast<double>(Count), {{"reason", Reason}});
  Set("hickorylift_gate_buffered_bytes",
      "Bytes of memory that the bodies of the gate's calls take up",
      At.bufferedBytes());
  wire::Load Load = At.load(Now);
  Set("hickorylift_gate_running", "Calls at the upstream", Load.in_flight());
  Set("hickorylift_gate_waiting", "Calls that wait", Load.queued());
  Set("hickorylift_gate_slots", "Slots open", Load.slots());
  Set("hickorylift_gate_cold", "1 while the upstream counts as cold",
      At.isCold(Now));
  const PriorityReserve &Reserve = At.priorityReserve();
  Set("hickorylift_priority_reserve_refused",
      "Calls refused at once because the free slots are reserved",
      Reserve.refusalCount());
  Set("hickorylift_priority_reserve_waits",
      "Calls that waited because the free slots are reserved",
      Reserve.waitCount());
  Set("hickorylift_upstream_slowdown_percent",
      "Run time of calls at the upstream as a percentage of the usual, 0 if "
      "unknown",
      At.slowdownPercent(Now));
  Set("hickorylift_gate_slowdown_pongs",
      "Pongs sent because the upstream became slow or recovered",
      Gated.SlowdownPongs);
  const UpstreamStatement &Stated = At.upstreamStatement();
  this->set("hickorylift_upstream_stated_rate",
            "Calls per second that the upstream takes by its own word, -1 "
            "without one",
            Stated.CallsPerSecond.value_or(-1), {});
  Set("hickorylift_upstream_leaving",
      "1 once the upstream states that it leaves", Stated.Leaving);
}

void Metrics::setBudget(const ResourceBudget &Of) {
  auto Set = [this](const char *Name, const char *Help, size_t Value) {
    this->set(Name, Help, static_cast<double>(Value));
  };
  for (ResourceBudget::Kind Kind : ResourceBudget::Kinds) {
    this->set("hickorylift_held_bytes",
              "Bytes of memory held for others, by kind of holder",
              static_cast<double>(Of.bytes(Kind)), {{"kind", kindName(Kind)}});
    this->set(
        "hickorylift_holders", "Connections and calls that memory is held for",
        static_cast<double>(Of.holders(Kind)), {{"kind", kindName(Kind)}});
    auto Evicted = Of.counters().Evicted.find(Kind);
    this->set("hickorylift_evicted",
              "Holders ended because a limit was reached",
              Evicted == Of.counters().Evicted.end()
                  ? 0
                  : static_cast<double>(Evicted->second),
              {{"kind", kindName(Kind)}});
  }
  Set("hickorylift_held_bytes_peak", "Most bytes held for others at once",
      Of.counters().PeakBytes);
  Set("hickorylift_held_bytes_limit", "Bytes that may be held for others",
      Of.options().MaxBytes);
  Set("hickorylift_held_connections", "Connections that others have open",
      Of.connections());
  Set("hickorylift_held_connections_limit",
      "Connections that others may have open", Of.options().MaxConnections);
}

void Metrics::setShedding(Node &Of, TimePoint Now) {
  const Gate &At = Of.core().gate();
  this->set("hickorylift_upstream_shed_percent",
            "Percentage of calls that the upstream refuses with free slots",
            At.shedPercent(Now));
  this->set("hickorylift_gate_queued_past_target",
            "Returning calls that waited although they missed their targets",
            static_cast<double>(At.queuedPastTarget()));
  const RetryAllocator::Counters &Retries = Of.core().entry().shedRetries();
  for (size_t Class = 0; Class < RetryAllocator::ClassCount; ++Class)
    for (bool Granted : {true, false}) {
      const auto &Counted = Granted ? Retries.Granted : Retries.Withheld;
      this->set("hickorylift_entry_shed_retries",
                "Retries of calls that a shedding upstream refused",
                static_cast<double>(Counted[Class]),
                {{"class", RetryAllocator::ClassNames[Class]},
                 {"result", Granted ? "granted" : "withheld"}});
    }
}

void Metrics::setEntry(const Entry::Counters &Entered) {
  auto Set = [&](const char *Name, const char *Help, uint64_t Value) {
    this->set(Name, Help, static_cast<double>(Value));
  };
  Set("hickorylift_entry_requests", "Requests from callers", Entered.Requests);
  Set("hickorylift_entry_answered", "Requests answered whole",
      Entered.Answered);
  Set("hickorylift_entry_retries", "Calls sent to another gate",
      Entered.Retries);
  Set("hickorylift_entry_resumed", "Calls found again over a new link",
      Entered.Resumed);
  Set("hickorylift_entry_unknown", "Calls with an unknown outcome",
      Entered.Unknown);
  Set("hickorylift_entry_aborted", "Answers broken off", Entered.Aborted);
  Set("hickorylift_entry_nested_calls",
      "Requests made by runs of the upstream beside this node", Entered.Nested);
  Set("hickorylift_entry_repeated_run_calls",
      "Nested calls of runs that are repeats", Entered.NestedOfRepeats);
  Set("hickorylift_hedges_sent", "Calls sent to a second gate",
      Entered.HedgesSent);
  Set("hickorylift_hedges_refused", "Hedges that their gate did not run",
      Entered.HedgesRefused);
  Set("hickorylift_hedges_won", "Hedges that answered before the first run",
      Entered.HedgesWon);
  Set("hickorylift_hedges_cancelled",
      "Hedges cancelled for an answer of the first run, or at the end of the "
      "call",
      Entered.HedgesCancelled);
  for (const auto &[Reason, Count] : Entered.RefusedBy)
    this->set("hickorylift_entry_refused", "Requests refused, by cause",
              static_cast<double>(Count), {{"reason", Reason}});
}

std::string Metrics::text(Node &Of) {
  TimePoint Now = Of.now();
  auto Set = [&](const char *Name, const char *Help, uint64_t Value) {
    this->set(Name, Help, static_cast<double>(Value));
  };
  ConfigPtr Held = Of.core().control().config();
  Set("hickorylift_config_version", "Version in force, 0 for none",
      Held ? Held->stamp().Version : 0);
  Set("hickorylift_control_sent_bytes", "Bytes sent to peers for control",
      Of.controlBytesSent());
  Set("hickorylift_control_received_bytes",
      "Bytes received from peers for control", Of.controlBytesReceived());
  Set("hickorylift_control_links", "Control links",
      Of.core().control().spreader().linkCount());
  Set("hickorylift_platform_reads", "Calls to the platform",
      Of.core().control().documentSource().reads());
  Set("hickorylift_requests_cut_off",
      "Requests of callers under way whose connection this node has ended",
      Of.requestsCutOff());
  Set("hickorylift_failing_readers",
      "Readers of the data centre that the platform does not serve, as far as "
      "this node is told",
      Of.core().control().failingReaders());
  Set("hickorylift_platform_unreadable",
      "Items of the platform that could not be used",
      Of.core().control().unreadableItems());
  Set("hickorylift_platform_contested_addresses",
      "Nodes whose address several items of the platform claim",
      Of.core().control().contestedAddresses());
  Set("hickorylift_platform_restores",
      "Times that the platform was found restored from an older copy",
      Of.core().control().platformRestores());
  this->setSpread(Of.core().control().spreader().counters());
  Set("hickorylift_instances", "Instances on the lists",
      Of.core().control().members().size());
  this->setEntry(Of.core().entry().counters());
  this->setGate(Of.core().gate(), Now);
  this->setBudget(Of.budget());
  this->setShedding(Of, Now);
  this->setSpillover(Of.core().entry().balancer().spillover(), Now);
  this->setQuarantine(Of.core().control().quarantine(), Now);
  Set("hickorylift_evacuated_data_centres",
      "Data centres whose upstreams are sent nothing",
      Of.core().control().members().evacuated().size());
  Set("hickorylift_upstream_connections", "Connections made to the upstream",
      Of.upstreamDials());
  Set("hickorylift_log_dropped_lines",
      "Log lines left out because the output was full", droppedLogLines());
  std::optional<Millis> ListAge = Of.core().control().oldestListAge(Now);
  this->set("hickorylift_list_age_seconds",
            "Age of the oldest list, -1 while one is unknown",
            ListAge ? seconds(*ListAge) : -1, {});
  Set("hickorylift_ready", "1 when /ready says so", Of.core().ready());
  return prometheus::TextSerializer().Serialize(this->Registry->Collect());
}

} // namespace hickorylift
