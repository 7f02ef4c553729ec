#include "settings/Settings.h"

#include "node/StopTimes.h"

#include <absl/strings/numbers.h>
#include <absl/time/time.h>

#include <algorithm>
#include <set>

namespace hickorylift {

namespace {

constexpr int64_t MaxMs = 3600 * 1000;
constexpr int64_t DefaultStopMs = 60000;
// A link is condemned after this many heartbeats in a row were missed, at
// least: fewer and one lost packet cuts healthy links.
constexpr int64_t MinMissedHeartbeats = 3;
// More often, and asking would be a load of its own.
constexpr Millis ShortestHealthInterval{50};
constexpr int64_t LongestHealthMs = 60000;
// A week: whoever is held for longer is better taken off by its route.
// Below this a single call at its window would be more than all may hold.
constexpr int64_t LeastBudgetBytes = 4 << 20;
constexpr int64_t MostBudgetBytes = int64_t(64) << 30;
// Below this there is no room for callers beside the links of a small fleet.
constexpr int64_t LeastDescriptors = 64;
constexpr int64_t MostDescriptors = 10000000;
constexpr int64_t LongestQuarantineS = 7 * 24 * 3600;
constexpr int64_t MostCrashes = 10;
constexpr double MostOverrun = 100;
constexpr size_t LongestSeparator = 8; // characters
constexpr double MostSlack = 1e6;
// A share of the slots. More would let a burst of urgent calls starve the
// others.
constexpr double MostReserved = 0.5;
// A hedge repeats a run, so a higher limit could overload the upstreams.
constexpr double MostHedgePercent = 20;

class SettingsReader {
public:
  SettingsReader(const std::string &Text, const std::string &File,
                 FaultList &Faults, const ProcessLimits &Limits)
      : Source{File, Text, &Faults}, Limits(Limits) {}

  Settings read(const Json::Value &Root) {
    JsonObject Top(this->Source, Root, "");
    this->readPlace(Top);
    this->readListen(Top);
    this->readUpstream(Top);
    this->readPlatform(Top);
    this->readSeeds(Top);
    this->readSpread(Top);
    this->readCalls(Top);
    this->readBudget(Top);
    this->readKeys(Top);
    this->readQuarantine(Top);
    this->readColdStart(Top);
    this->readShedding(Top);
    this->readReturningCalls(Top);
    this->readNestedCalls(Top);
    this->readPriorityReserve(Top);
    this->readSpillover(Top);
    this->readHedging(Top);
    this->readSlowdown(Top);
    this->readRest(Top);
    Top.finish();
    return std::move(this->Out);
  }

private:
  // An absent section is an empty one: every field in it has a default.
  JsonObject section(JsonObject &Top, const std::string &Key) {
    static const Json::Value Empty(Json::objectValue);
    std::optional<JsonObject> Found = Top.object(Key, false);
    return Found ? *Found : JsonObject(this->Source, Empty, "/" + Key);
  }

  NetAddress address(JsonObject &From, const std::string &Key) {
    std::string Text = From.string(Key, std::nullopt);
    std::optional<NetAddress> Read = parseAddress(Text);
    if (From.has(Key) && !Read)
      From.fault(Key, "expected \"ip:port\" with an IP number that is not all "
                      "zero and a port from 1 to 65535");
    return Read.value_or(NetAddress());
  }

  void readPlace(JsonObject &Top) {
    this->Out.Name = Top.name("name");
    this->Out.DataCentre = Top.name("data_centre");
    this->Out.Service = Top.name("service");
    this->Out.DataCentres = Top.strings("data_centres");
    for (const std::string &One : this->Out.DataCentres)
      if (!isName(One))
        Top.fault("data_centres", "not a name: " + One);
    std::set<std::string> Unique(this->Out.DataCentres.begin(),
                                 this->Out.DataCentres.end());
    if (Unique.size() != this->Out.DataCentres.size())
      Top.fault("data_centres", "a name stands twice");
    if (!Unique.count(this->Out.DataCentre))
      Top.fault("data_centres", "must hold this node's data_centre");
  }

  void readListen(JsonObject &Top) {
    std::optional<JsonObject> Listen = Top.object("listen", true);
    if (!Listen)
      return;
    this->Out.Callers = this->address(*Listen, "callers");
    this->Out.Peers = this->address(*Listen, "peers");
    this->Out.Operator = this->address(*Listen, "operator");
    if (Listen->has("ready"))
      this->Out.Ready = this->address(*Listen, "ready");
    std::set<std::string> Unique{this->Out.Callers.text(),
                                 this->Out.Peers.text(),
                                 this->Out.Operator.text()};
    if (Unique.size() != 3)
      Listen->fault("operator",
                    "callers, peers and operator need three addresses");
    Listen->finish();
  }

  void readUpstream(JsonObject &Top) {
    std::optional<JsonObject> Upstream = Top.object("upstream", true);
    if (!Upstream)
      return;
    this->Out.Upstream.Address = this->address(*Upstream, "address");
    this->Out.Upstream.Connections =
        static_cast<unsigned>(Upstream->integer("connections", 100, 1, 100000));
    this->Out.Upstream.KeepIdle =
        std::chrono::seconds(Upstream->integer("keep_idle_s", 2, 1, 3600));
    this->Out.HealthPath = Upstream->string("health_path", "/health");
    if (this->Out.HealthPath.empty() || this->Out.HealthPath[0] != '/')
      Upstream->fault("health_path", "expected a path that starts with '/'");
    this->Out.HealthInterval =
        Upstream->millis("health_interval_ms", 1000, 0, LongestHealthMs);
    bool TooOften = this->Out.HealthInterval.count() > 0 &&
                    this->Out.HealthInterval < ShortestHealthInterval;
    if (TooOften)
      Upstream->fault("health_interval_ms",
                      "expected 0 for never, or a whole number from " +
                          std::to_string(ShortestHealthInterval.count()) +
                          " to " + std::to_string(LongestHealthMs));
    Upstream->finish();
  }

  void readPlatform(JsonObject &Top) {
    std::optional<JsonObject> Platform = Top.object("platform", true);
    if (!Platform)
      return;
    PlatformReader::Options &Read = this->Out.Core.Control.Read;
    this->Out.Platform.Address = this->address(*Platform, "address").text();
    this->Out.Platform.Timeout =
        Platform->millis("timeout_ms", 3000, 10, 60000);
    Read.WatchWait =
        Platform->millis("watch_wait_ms", Read.WatchWait.count(), 100, 300000);
    Read.ReadsPerSecond =
        Platform->number("reads_per_s", Read.ReadsPerSecond, 0.1, 10000);
    Read.ReadBurst = Platform->number("read_burst", Read.ReadBurst, 1, 10000);
    Read.StartJitter =
        Platform->millis("start_jitter_ms", Read.StartJitter.count(), 0, MaxMs);
    if (Platform->oneOf("protocol", "records", {"records", "store"}) == "store")
      this->readStore(*Platform);
    Platform->finish();
  }

  void readStore(JsonObject &Platform) {
    StoreReader::Options &To = this->Out.Store.ReaderOptions;
    this->Out.Store.SplitThresholdBytes = static_cast<size_t>(Platform.integer(
        "split_from_bytes",
        static_cast<int64_t>(this->Out.Store.SplitThresholdBytes), 0, 1 << 30));
    this->Out.Protocol = PlatformProtocol::Store;
    To.WatchWait = this->Out.Core.Control.Read.WatchWait;
    To.StartJitter = this->Out.Core.Control.Read.StartJitter;
    To.ReadsPerSecond = this->Out.Core.Control.Read.ReadsPerSecond;
    To.ReadBurst = this->Out.Core.Control.Read.ReadBurst;
    To.WatchInterval =
        Platform.millis("watch_gap_ms", To.WatchInterval.count(), 0, 60000);
    To.SpareWatchInterval = Platform.millis(
        "spare_gap_ms", To.SpareWatchInterval.count(), 0, 60000);
    To.MissingEntryGrace =
        Platform.millis("settle_ms", To.MissingEntryGrace.count(), 0, MaxMs);
  }

  void readSeeds(JsonObject &Top) {
    JsonObject Seeds = this->section(Top, "seeds");
    for (const std::string &Name : Seeds.keys()) {
      NetAddress To = this->address(Seeds, Name);
      if (Name != this->Out.Name)
        this->Out.Core.Control.Seeds[Name] = To.text();
    }
    for (const std::string &Text : Top.strings("seed_addresses")) {
      std::optional<NetAddress> To = parseAddress(Text);
      if (!To)
        Top.fault("seed_addresses", "expected \"ip:port\": " + Text);
      else if (To->text() != this->Out.Peers.text())
        this->Out.Core.Control.Seeds[Text] = To->text();
    }
  }

  void readSpread(JsonObject &Top) {
    JsonObject Spread = this->section(Top, "spread");
    Spreader::Options &To = this->Out.Core.Control.Spread;
    Membership::Options &Members = this->Out.Core.Control.Members;
    To.HeartbeatInterval =
        Spread.millis("heartbeat_ms", To.HeartbeatInterval.count(), 50, 60000);
    To.LivenessTimeout =
        Spread.millis("silence_ms", To.LivenessTimeout.count(), 200, 600000);
    To.GraftDelay = Spread.millis("graft_ms", To.GraftDelay.count(), 0, 10000);
    To.MinCompressBytes = static_cast<size_t>(
        Spread.integer("compress_from_bytes", To.MinCompressBytes, 0, 1 << 30));
    Members.Fanout =
        static_cast<size_t>(Spread.integer("fanout", Members.Fanout, 1, 64));
    Members.Readers = static_cast<size_t>(
        Spread.integer("readers", Members.Readers, 1, 100000));
    Members.AllReadUpTo = static_cast<size_t>(
        Spread.integer("all_read_up_to", Members.AllReadUpTo, 0, 100000));
    this->Out.Core.Control.LostParentReadDelay =
        Spread.millis("orphan_reads_after_ms", 0, 0, 60000);
    Members.Bridges =
        static_cast<size_t>(Spread.integer("bridges", Members.Bridges, 1, 16));
    this->Out.Core.Control.PeerWaitTime =
        Spread.millis("peers_first_ms",
                      this->Out.Core.Control.PeerWaitTime.count(), 0, 60000);
    if (To.LivenessTimeout < MinMissedHeartbeats * To.HeartbeatInterval)
      Spread.fault("silence_ms", "expected at least three times heartbeat_ms");
    Spread.finish();
  }

  void readCalls(JsonObject &Top) {
    JsonObject Calls = this->section(Top, "calls");
    Entry::Options &To = this->Out.Core.CallEntry;
    To.ReadAheadBytes = static_cast<uint64_t>(
        Calls.integer("window_bytes", To.ReadAheadBytes, 4096, 64 << 20));
    this->Out.Core.CallGate.BodyWindowBytes = To.ReadAheadBytes;
    To.BodyWindowBytes = static_cast<uint64_t>(
        Calls.integer("body_window_bytes", To.BodyWindowBytes, 8192, 64 << 20));
    // Whatever is gathered is also held to be sent again, and a caller is not
    // read any further than the window.
    auto Most = static_cast<int64_t>(To.ReadAheadBytes) - 1;
    To.GatherBytes =
        Calls.integer("gather_bytes", std::min(To.GatherBytes, Most), 0, Most);
    To.RetryAfter =
        Calls.millis("come_back_ms", To.RetryAfter.count(), 1, MaxMs);
    To.FleetRetryReserve =
        Calls.number("retry_reserve", To.FleetRetryReserve, 0, 1e6);
    // The reserve can be spent at once, comes back twice in a window, and is
    // there again at a node that restarts.
    constexpr double MostReservesInWindow = 4;
    double Allowance = Calls.number("retry_allowance", 0, 0, 1e6);
    if (Allowance > 0 && To.FleetRetryReserve > 0)
      Calls.fault("retry_allowance", "expected without retry_reserve");
    if (Allowance > 0)
      To.FleetRetryReserve = Allowance / MostReservesInWindow;
    To.RetryWindow =
        Calls.millis("retry_window_ms", To.RetryWindow.count(), 100, MaxMs);
    To.DefaultRetryPercent =
        Calls.number("default_retry_percent", To.DefaultRetryPercent, 0, 100);
    To.MaxRetryPercent =
        Calls.number("max_retry_percent", To.MaxRetryPercent, 0, 100);
    To.ConnectTimeout =
        Calls.millis("connect_ms", To.ConnectTimeout.count(), 10, 60000);
    To.MaxCalls = static_cast<size_t>(
        Calls.integer("max_calls", To.MaxCalls, 1, 1 << 20));
    To.PingInterval =
        Calls.millis("ping_ms", To.PingInterval.count(), 10, 60000);
    To.LivenessTimeout =
        Calls.millis("silence_ms", To.LivenessTimeout.count(), 20, 60000);
    To.SearchTimeout =
        Calls.millis("find_again_ms", To.SearchTimeout.count(), 0, 60000);
    this->Out.Core.CallGate.RetainAfterDeadline = Calls.millis(
        "remember_ms", this->Out.Core.CallGate.RetainAfterDeadline.count(), 0,
        MaxMs);
    if (To.LivenessTimeout < To.PingInterval)
      Calls.fault("silence_ms", "expected at least ping_ms");
    if (this->Out.Core.CallGate.RetainAfterDeadline < To.SearchTimeout)
      Calls.fault("remember_ms",
                  "expected at least find_again_ms: a gate that forgets "
                  "sooner would call a call that ran not run");
    Calls.finish();
  }

  void readBudget(JsonObject &Top) {
    JsonObject Section = this->section(Top, "budget");
    ResourceBudget::Options &To = this->Out.Budget;
    To.MaxBytes = static_cast<size_t>(
        Section.integer("memory_bytes", static_cast<int64_t>(To.MaxBytes),
                        LeastBudgetBytes, MostBudgetBytes));
    this->Out.Descriptors = static_cast<size_t>(
        Section.integer("descriptors", 0, 0, MostDescriptors));
    if (!this->Limits.Descriptors.empty())
      this->replaceDescriptors();
    bool TooFew = this->Out.Descriptors > 0 &&
                  this->Out.Descriptors < static_cast<size_t>(LeastDescriptors);
    if (TooFew)
      Section.fault("descriptors",
                    "expected 0 for the process's own limit, or at least " +
                        std::to_string(LeastDescriptors));
    Section.finish();
  }

  void replaceDescriptors() {
    int64_t Value = 0;
    bool Valid = absl::SimpleAtoi(this->Limits.Descriptors, &Value) &&
                 Value >= 0 && Value <= MostDescriptors;
    if (!Valid)
      return this->limitFault("--descriptors",
                              "expected a whole number from 0 to " +
                                  std::to_string(MostDescriptors));
    this->Out.Descriptors = static_cast<size_t>(Value);
  }

  void limitFault(const char *Flag, const std::string &Message) {
    this->Source.Faults->push_back({Flag, 0, 0, "", Message});
  }

  void readKeys(JsonObject &Top) {
    JsonObject Keys = this->section(Top, "keys");
    IdempotencyChecker::Options &To = this->Out.Core.CallGate.IdempotencyOpts;
    To.MaxListAge =
        Keys.millis("max_list_age_ms", To.MaxListAge.count(), 1000, MaxMs);
    To.MaxKeys =
        static_cast<size_t>(Keys.integer("max_keys", To.MaxKeys, 1, 10000000));
    // A list's age grows by one watch, and by one heartbeat for each level of
    // the tree. Below that, keyed calls are refused in normal running.
    Millis Usual = this->Out.Core.Control.Read.WatchWait +
                   2 * this->Out.Core.Control.Spread.HeartbeatInterval;
    if (To.MaxListAge < Usual)
      Keys.fault("max_list_age_ms",
                 "expected at least platform.watch_wait_ms and twice "
                 "spread.heartbeat_ms together, " +
                     std::to_string(Usual.count()));
    Keys.finish();
  }

  void readQuarantine(JsonObject &Top) {
    JsonObject Section = this->section(Top, "quarantine");
    Quarantine::Options &To = this->Out.Core.Control.QuarantineOpts;
    auto Length = [&](const char *Key, Millis Default) {
      int64_t Seconds = Default.count() / 1000;
      return Millis(1000 *
                    Section.integer(Key, Seconds, 1, LongestQuarantineS));
    };
    To.Enabled = Section.boolean("enabled", To.Enabled);
    To.CrashThreshold = static_cast<uint32_t>(
        Section.integer("crashes", To.CrashThreshold, 1, MostCrashes));
    To.InitialTerm = Length("term_s", To.InitialTerm);
    To.MaxTerm = Length("longest_term_s", To.MaxTerm);
    To.SuspectTerm = Length("suspect_for_s", To.SuspectTerm);
    To.MaxRecords = static_cast<size_t>(Section.integer(
        "max_requests", static_cast<int64_t>(To.MaxRecords), 1, 100000));
    if (To.MaxTerm < To.InitialTerm)
      Section.fault("longest_term_s", "expected at least term_s");
    Section.finish();
  }

  void readColdStart(JsonObject &Top) {
    JsonObject Section = this->section(Top, "cold_start");
    ColdStartLimiter::Options &To =
        this->Out.Core.CallGate.AdmissionOpts.ColdStartOpts;
    To.RateFactor = Section.number("overrun", To.RateFactor, 1, MostOverrun);
    To.ExtraCalls = Section.number("slack", To.ExtraCalls, 0, MostSlack);
    Section.finish();
  }

  void readShedding(JsonObject &Top) {
    JsonObject Section = this->section(Top, "shedding");
    bool Enabled = Section.boolean("enabled", false);
    this->Out.Core.CallGate.ShedDetectorOpts.Enabled = Enabled;
    this->Out.Core.CallEntry.AllocatorOptions.Enabled = Enabled;
    Section.finish();
  }

  void readReturningCalls(JsonObject &Top) {
    JsonObject Section = this->section(Top, "returning_calls");
    bool Enabled = Section.boolean("enabled", false);
    this->Out.Core.CallGate.AdmissionOpts.FavoursReturning = Enabled;
    this->Out.Core.CallEntry.FavoursReturning = Enabled;
    Section.finish();
  }

  void readNestedCalls(JsonObject &Top) {
    JsonObject Section = this->section(Top, "nested_calls");
    std::string &Separator = this->Out.Core.NestedCalls.IdSeparator;
    Separator = Section.string("id_separator", Separator);
    bool IsVisible = std::all_of(Separator.begin(), Separator.end(),
                                 [](char C) { return C > ' ' && C <= '~'; });
    if (Separator.size() > LongestSeparator || !IsVisible)
      Section.fault("id_separator", "expected at most " +
                                        std::to_string(LongestSeparator) +
                                        " visible ASCII characters");
    Section.finish();
  }

  void readPriorityReserve(JsonObject &Top) {
    JsonObject Section = this->section(Top, "priority_reserve");
    PriorityReserve::Options &To =
        this->Out.Core.CallGate.AdmissionOpts.ReserveOpts;
    To.Enabled = Section.boolean("enabled", To.Enabled);
    To.MaxShare = Section.number("max_share", To.MaxShare, 0, MostReserved);
    Section.finish();
  }

  void readSpillover(JsonObject &Top) {
    JsonObject Section = this->section(Top, "spillover");
    SpilloverController::Options &To =
        this->Out.Core.CallEntry.BalancerOptions.Spillover;
    To.Enabled = Section.boolean("enabled", To.Enabled);
    To.Start = Section.number("start", To.Start, 0, 1);
    To.Full = Section.number("full", To.Full, 0, 1);
    if (To.Full <= To.Start)
      Section.fault("full", "expected more than start");
    Section.finish();
  }

  void readHedging(JsonObject &Top) {
    JsonObject Section = this->section(Top, "hedging");
    HedgePolicy::Options &To = this->Out.Core.CallEntry.HedgeOptions;
    To.Enabled = Section.boolean("enabled", To.Enabled);
    To.MaxPercent =
        Section.number("max_percent", To.MaxPercent, 0, MostHedgePercent);
    Section.finish();
  }

  void readSlowdown(JsonObject &Top) {
    JsonObject Section = this->section(Top, "slowdown");
    bool Enabled = Section.boolean("enabled", false);
    this->Out.Core.CallGate.ReportSlowdown = Enabled;
    this->Out.Core.CallEntry.BalancerOptions.FollowSlowdowns = Enabled;
    Section.finish();
  }

  void readRest(JsonObject &Top) {
    JsonObject Log = this->section(Top, "log");
    this->Out.LogLevel =
        Log.oneOf("level", "info", {"debug", "info", "warn", "error"});
    Log.finish();
    JsonObject Audit = this->section(Top, "audit");
    this->Out.Core.Control.AuditCapacity =
        static_cast<size_t>(Audit.integer("events", 1000, 10, 1000000));
    Audit.finish();
    JsonObject Stop = this->section(Top, "stop");
    Millis Grace = Stop.millis("grace_ms", 0, 0, MaxMs);
    if (!this->Limits.Grace.empty())
      Grace = this->graceLimit();
    Millis &Within = this->Out.Core.StopWithin;
    Millis &Linger = this->Out.Core.StopLinger;
    Within = Stop.millis("within_ms", DefaultStopMs, 0, MaxMs);
    Linger = Stop.millis("linger_ms", 0, 0, MaxMs);
    if (Linger > Within)
      Stop.fault("linger_ms", "expected at most within_ms");
    if (Grace.count() > 0) {
      StopTimes Times = stopTimes(Grace, Linger);
      Within = std::min(Within, Times.Within);
      Linger = std::min(Times.Linger, Within);
    }
    Stop.finish();
  }

  Millis graceLimit() {
    absl::Duration Value;
    bool Valid = absl::ParseDuration(this->Limits.Grace, &Value) &&
                 Value >= absl::ZeroDuration() &&
                 Value <= absl::Milliseconds(MaxMs);
    if (!Valid) {
      this->limitFault("--grace",
                       "expected a duration with a unit, \"6s\", of at most " +
                           std::to_string(MaxMs) + " ms");
      return Millis(0);
    }
    return Millis(absl::ToInt64Milliseconds(Value));
  }

  JsonSource Source;
  const ProcessLimits &Limits;
  Settings Out;
};

} // namespace

std::optional<Settings> readSettings(const std::string &Text,
                                     const std::string &File, FaultList &Faults,
                                     const ProcessLimits &Limits) {
  std::optional<Json::Value> Root = parseJson(Text, File, Faults);
  if (!Root)
    return std::nullopt;
  size_t Before = Faults.size();
  Settings Read = SettingsReader(Text, File, Faults, Limits).read(*Root);
  if (Faults.size() != Before)
    return std::nullopt;
  return Read;
}

} // namespace hickorylift
