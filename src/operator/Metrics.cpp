#include "operator/Metrics.h"

#include "node/Node.h"

#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace hickorylift {

Metrics::Metrics() : Registry(std::make_shared<prometheus::Registry>()) {}

void Metrics::set(const std::string &Name, const std::string &Help,
                  double Value,
                  const std::map<std::string, std::string> &Labels) {
  auto [Found, New] = this->Families.try_emplace(Name, nullptr);
  if (New)
    Found->second = &prometheus::BuildGauge().Name(Name).Help(Help).Register(
        *this->Registry);
  Found->second->Add(Labels).Set(Value);
}

std::string Metrics::text(Node &Of) {
  TimePoint Now = Of.now();
  const Spreader::Counters &Spread = Of.core().control().spreader().counters();
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
      Of.core().control().reader().reads());
  Set("hickorylift_spread_parts_sent", "Pieces of documents sent",
      Spread.PushedParts);
  Set("hickorylift_spread_snapshots_sent", "Whole documents sent",
      Spread.SnapshotParts);
  Set("hickorylift_spread_announces_sent", "Announcements sent",
      Spread.Announces);
  Set("hickorylift_spread_heartbeats_sent", "Heartbeats sent",
      Spread.Heartbeats);
  Set("hickorylift_spread_pulls_sent", "Pulls sent", Spread.Pulls);
  Set("hickorylift_spread_duplicates", "Documents that came twice",
      Spread.Duplicates);
  Set("hickorylift_spread_damaged", "Pieces thrown away", Spread.Damaged);
  Set("hickorylift_instances", "Instances on the lists",
      Of.core().control().members().size());
  const Entry::Counters &Entered = Of.core().entry().counters();
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
  for (const auto &[Reason, Count] : Entered.RefusedBy)
    this->set("hickorylift_entry_refused", "Requests refused, by cause",
              static_cast<double>(Count), {{"reason", Reason}});
  const Gate::Counters &Gated = Of.core().gate().counters();
  Set("hickorylift_gate_started", "Calls started at the upstream",
      Gated.Started);
  Set("hickorylift_gate_answered", "Calls answered by the upstream",
      Gated.Answered);
  for (const auto &[Reason, Count] : Gated.RefusedBy)
    this->set("hickorylift_gate_refused", "Calls refused, by cause",
              static_cast<double>(Count), {{"reason", Reason}});
  wire::Load Load = Of.core().gate().load(Now);
  Set("hickorylift_gate_running", "Calls at the upstream", Load.in_flight());
  Set("hickorylift_gate_waiting", "Calls that wait", Load.queued());
  Set("hickorylift_gate_slots", "Slots open", Load.slots());
  Set("hickorylift_ready", "1 when /ready says so", Of.core().ready());
  return prometheus::TextSerializer().Serialize(this->Registry->Collect());
}

} // namespace hickorylift
