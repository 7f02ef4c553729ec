#include "settings/Settings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

std::string readWhole(const std::string &Path) {
  std::ifstream In(std::string(SOURCE_ROOT) + "/" + Path);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

/// The shipped settings with one stretch of text replaced.
struct BadSettings {
  const char *Old;
  const char *New;
  const char *Says;
};
std::ostream &operator<<(std::ostream &To, const BadSettings &Of) {
  return To << Of.New;
}

const BadSettings Bad[] = {
    {"\"name\": \"portal-1\"", "\"name\": \"Portal 1\"", "expected a name"},
    {"\"name\": \"portal-1\",", "", "/name: missing"},
    {"\"name\": \"portal-1\",", "\"name\": 7,", "expected a string"},
    {"\"name\": \"portal-1\",", "\"name\": \"a\", \"name\": \"b\",",
     "Duplicate key"},
    {"\"data_centre\": \"central-a\"", "\"data_centre\": \"central-x\"",
     "must hold this node's data_centre"},
    {"[\"central-a\", \"central-b\"", "[\"central-a\", \"central-a\"",
     "stands twice"},
    {"[\"central-a\", \"central-b\"", "[\"central-a\", \"B!\"", "not a name"},
    {"[\"central-a\", \"central-b\"", "[\"central-a\", 3", "expected a string"},
    {"\"service\": \"claimant-portal\",", "", "/service: missing"},
    {"\"callers\": \"127.0.0.1:8001\"", "\"callers\": \"0.0.0.0:8001\"",
     "not all zero"},
    {"\"callers\": \"127.0.0.1:8001\"", "\"callers\": \"[::]:8001\"",
     "not all zero"},
    {"\"callers\": \"127.0.0.1:8001\"", "\"callers\": \"host:8001\"",
     "expected \"ip:port\""},
    {"\"callers\": \"127.0.0.1:8001\"", "\"callers\": \"127.0.0.1:7001\"",
     "three addresses"},
    {"\"callers\": \"127.0.0.1:8001\",", "", "/listen/callers: missing"},
    {"\"operator\": \"127.0.0.1:9001\"",
     "\"operator\": \"127.0.0.1:9001\", \"admin\": \"x\"",
     "/listen/admin: unknown key"},
    {"\"upstream\": {\"address\": \"127.0.0.1:8101\", \"connections\": 130},",
     "", "/upstream: missing"},
    {"\"connections\": 130", "\"connections\": 0", "from 1 to"},
    {"\"connections\": 130", "\"health_path\": \"health\"", "starts with '/'"},
    {"\"connections\": 130", "\"health_interval_ms\": 1", "from 50 to 60000"},
    {"\"connections\": 130", "\"keep_idle_ms\": 4000",
     "the unit is part of keep_idle_s"},
    {"\"watch_wait_ms\": 10000", "\"watch_wait_s\": 10",
     "the unit is part of watch_wait_ms"},
    {"\"watch_wait_ms\": 10000", "\"watch_wait_ms\": \"10s\"",
     "expected a whole number"},
    {"\"watch_wait_ms\": 10000", "\"reads_per_s\": 0", "expected a number"},
    {"\"watch_wait_ms\": 10000", "\"watch_wait_ms\": 60000",
     "/keys/max_list_age_ms"},
    {"\"heartbeat_ms\": 1000", "\"heartbeat_ms\": 2000",
     "at least three times heartbeat_ms"},
    {"\"heartbeat_ms\": 1000", "\"heartbeat_ms\": true",
     "expected a whole number"},
    {"\"heartbeat_ms\": 1000", "\"heartbeat_ms\": 1000, \"beat\": 1",
     "/spread/beat: unknown key"},
    {"\"fanout\": 6", "\"fanout\": 0", "from 1 to 64"},
    {"\"fanout\": 6", "\"fanout\": 6, \"readers\": 0", "from 1 to 100000"},
    {"\"spread\": {", "\"spread\": [], \"other\": {", "expected an object"},
    {"\"spread\": {", "\"seeds\": {\"x\": \"nowhere\"}, \"spread\": {",
     "/seeds/x"},
    {"\"spread\": {", "\"seed_addresses\": [\"x:1\"], \"spread\": {",
     "/seed_addresses: expected"},
    {"\"spread\": {", "\"seed_addresses\": \"10.0.0.1:7\", \"spread\": {",
     "expected a list of strings"},
    {"\"spread\": {", "\"log\": {\"level\": \"loud\"}, \"spread\": {",
     "expected one of"},
    {"\"spread\": {", "\"audit\": {\"events\": 1}, \"spread\": {",
     "from 10 to"},
    {"\"spread\": {", "\"stop\": {\"within_ms\": -1}, \"spread\": {",
     "from 0 to"},
    {"\"spread\": {",
     "\"calls\": {\"ping_ms\": 500, \"silence_ms\": 100}, \"spread\": {",
     "expected at least ping_ms"},
    {"\"spread\": {",
     "\"calls\": {\"find_again_ms\": 9000, \"remember_ms\": 10}, "
     "\"spread\": {",
     "would call a call that ran not run"},
    {"\"spread\": {",
     "\"calls\": {\"window_bytes\": 8192, \"gather_bytes\": 8192}, "
     "\"spread\": {",
     "/calls/gather_bytes"},
    {"\"spread\": {", "\"calls\": {\"window_bytes\": 1}, \"spread\": {",
     "from 4096"},
    {"\"spread\": {",
     "\"calls\": {\"retry_reserve\": 30, \"retry_allowance\": 60}, "
     "\"spread\": {",
     "expected without retry_reserve"},
    {"\"spread\": {", "\"keys\": {\"max_list_age_ms\": 5000}, \"spread\": {",
     "expected at least platform.watch_wait_ms"},
    {"\"spread\": {", "\"budget\": {\"memory_bytes\": 1000}, \"spread\": {",
     "/budget/memory_bytes: expected a whole number from 4194304"},
    {"\"spread\": {", "\"budget\": {\"descriptors\": 63}, \"spread\": {",
     "at least 64"},
    {"\"spread\": {", "\"budget\": {\"memory_mb\": 32}, \"spread\": {",
     "/budget/memory_mb: unknown key"},
    {"\"spread\": {", "\"keys\": {\"max_keys\": 0}, \"spread\": {",
     "from 1 to"},
    {"\"spread\": {", "\"quarantine\": {\"crashes\": 0}, \"spread\": {",
     "from 1 to"},
    {"\"spread\": {", "\"quarantine\": {\"enabled\": 1}, \"spread\": {",
     "/quarantine/enabled"},
    {"\"spread\": {", "\"slowdown\": {\"enabled\": 1}, \"spread\": {",
     "/slowdown/enabled"},
    {"\"spread\": {", "\"slowdown\": {\"enable\": true}, \"spread\": {",
     "unknown key"},
    {"\"spread\": {", "\"quarantine\": {\"term_s\": 0}, \"spread\": {",
     "from 1 to"},
    {"\"spread\": {",
     "\"quarantine\": {\"term_s\": 60, \"longest_term_s\": 59}, \"spread\": {",
     "expected at least term_s"},
    {"\"spread\": {", "\"quarantine\": {\"max_request\": 5}, \"spread\": {",
     "unknown key"},
    {"\"spread\": {", "\"shedding\": {\"enabled\": 1}, \"spread\": {",
     "/shedding/enabled"},
    {"\"spread\": {", "\"returning_calls\": {\"enabled\": 1}, \"spread\": {",
     "/returning_calls/enabled"},
    {"\"spread\": {",
     "\"nested_calls\": {\"id_separator\": \" \"}, \"spread\": {",
     "at most 8 visible ASCII characters"},
    {"\"spread\": {",
     "\"nested_calls\": {\"id_separator\": \"123456789\"}, \"spread\": {",
     "/nested_calls/id_separator"},
    {"\"spread\": {", "\"priority_reserve\": {\"max_share\": 2}, \"spread\": {",
     "/priority_reserve/max_share: expected a number"},
    {"\"spread\": {",
     "\"spillover\": {\"start\": 0.8, \"full\": 0.8}, \"spread\": {",
     "/spillover/full: expected more than start"},
    {"\"spread\": {", "\"spillover\": {\"enable\": true}, \"spread\": {",
     "/spillover/enable: unknown key"},
    {"\"spread\": {", "\"hedging\": {\"enabled\": 1}, \"spread\": {",
     "/hedging/enabled"},
    {"\"spread\": {", "\"hedging\": {\"max_percent\": 21}, \"spread\": {",
     "/hedging/max_percent"},
    {"\"spread\": {", "\"hedging\": {\"percent\": 3}, \"spread\": {",
     "unknown key"},
    {"\"spread\": {", "\"sprea\": {}, \"spread\": {", "/sprea: unknown key"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFile)

BOOST_DATA_TEST_CASE(ShippedSettingsAreGood,
                     data::make({"conf/aspenfold.jsonc",
                                 "conf/association.jsonc"}),
                     Path) {
  FaultList Faults;
  BOOST_TEST(readSettings(readWhole(Path), Path, Faults).has_value());
  BOOST_TEST(Faults.empty(), faultTexts(Faults));
}

BOOST_DATA_TEST_CASE(BadSettingsAreRefused, data::make(Bad), Case) {
  std::string Text = readWhole("conf/aspenfold.jsonc");
  size_t At = Text.find(Case.Old);
  BOOST_REQUIRE(At != std::string::npos);
  Text.replace(At, std::string(Case.Old).size(), Case.New);
  FaultList Faults;
  BOOST_TEST(!readSettings(Text, "f", Faults).has_value());
  std::string All = faultTexts(Faults);
  BOOST_TEST(All.find(Case.Says) != std::string::npos, All);
}

// The switches must reach the gate and the entry, and be off unless set.
BOOST_DATA_TEST_CASE(SheddingAndReturningCallsAreSwitchedInAllParts,
                     data::make({true, false}), On) {
  std::string Text = readWhole("conf/aspenfold.jsonc");
  if (On)
    Text.replace(Text.find("\"spread\": {"), 0,
                 "\"shedding\": {\"enabled\": true}, "
                 "\"returning_calls\": {\"enabled\": true}, ");
  FaultList Faults;
  std::optional<Settings> Read = readSettings(Text, "f", Faults);
  BOOST_REQUIRE(Read);
  BOOST_TEST(Read->Core.CallGate.ShedDetectorOpts.Enabled == On);
  BOOST_TEST(Read->Core.CallGate.AdmissionOpts.FavoursReturning == On);
  BOOST_TEST(Read->Core.CallEntry.AllocatorOptions.Enabled == On);
  BOOST_TEST(Read->Core.CallEntry.FavoursReturning == On);
}

// Features that a file does not name must be off, and those that it turns on
// must reach the parts that decide.
BOOST_AUTO_TEST_CASE(ReserveAndSpilloverAreOffByDefault) {
  std::string Text = readWhole("conf/aspenfold.jsonc");
  FaultList Faults;
  std::optional<Settings> Read = readSettings(Text, "f", Faults);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(!Read->Core.CallEntry.BalancerOptions.Spillover.Enabled);
  BOOST_TEST(!Read->Core.CallGate.AdmissionOpts.ReserveOpts.Enabled);
  Text.insert(Text.find("\"spread\": {"),
              "\"spillover\": {\"enabled\": true, \"start\": 0.5}, "
              "\"priority_reserve\": {\"enabled\": true},");
  Read = readSettings(Text, "f", Faults);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Core.CallEntry.BalancerOptions.Spillover.Enabled);
  BOOST_TEST(Read->Core.CallEntry.BalancerOptions.Spillover.Start == 0.5);
  BOOST_TEST(Read->Core.CallGate.AdmissionOpts.ReserveOpts.Enabled);
}

// Guards against hedges that are sent although the settings don't ask for them,
// and against a setting that has no effect.
BOOST_AUTO_TEST_CASE(HedgingIsOffUnlessSet) {
  std::string Text = readWhole("conf/aspenfold.jsonc");
  FaultList Faults;
  auto Options = [&] {
    return readSettings(Text, "f", Faults)->Core.CallEntry.HedgeOptions;
  };
  BOOST_TEST(!Options().Enabled);
  std::string Spread = "\"spread\": {";
  Text.replace(Text.find(Spread), Spread.size(),
               "\"hedging\": {\"enabled\": true, \"max_percent\": 5}, " +
                   Spread);
  BOOST_TEST(Options().Enabled);
  BOOST_TEST(Options().MaxPercent == 5);
}

// Gate and entry must not differ in whether slowdowns are used, and neither may
// use them unless the setting says so.
BOOST_DATA_TEST_CASE(SlowdownSettingReachesGateAndEntry,
                     data::make({false, true}), Enabled) {
  std::string Text = readWhole("conf/aspenfold.jsonc");
  std::string Key = "\"spread\": {";
  if (Enabled)
    Text.replace(Text.find(Key), Key.size(),
                 "\"slowdown\": {\"enabled\": true}, " + Key);
  FaultList Faults;
  std::optional<Settings> Read = readSettings(Text, "f", Faults);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Core.CallGate.ReportSlowdown == Enabled);
  BOOST_TEST(Read->Core.CallEntry.BalancerOptions.FollowSlowdowns == Enabled);
}

/// Limits from the command line, and what becomes of them.
struct LimitRow {
  const char *Grace;
  const char *Descriptors;
  int64_t ExpectedWithinMs;
  size_t ExpectedDescriptors;
  const char *Fault;
};
std::ostream &operator<<(std::ostream &To, const LimitRow &Of) {
  return To << "grace=" << Of.Grace << " descriptors=" << Of.Descriptors;
}

const LimitRow LimitRows[] = {
    // The platform leaves a value empty that it does not have.
    {"", "", 5500, 3000, ""},
    {"", "4100", 5500, 4100, ""},
    {"", "0", 5500, 0, ""},
    {"", "63", 0, 0, "/budget/descriptors: expected 0"},
    {"", "-1", 0, 0, "--descriptors: expected a whole number"},
    {"", "many", 0, 0, "--descriptors: expected a whole number"},
    {"10s", "", 9167, 3000, ""},
    {"2.5s", "", 2100, 3000, ""},
    {"1500ms", "", 1250, 3000, ""},
    {"10", "", 0, 0, "--grace: expected a duration"},
    {"-1s", "", 0, 0, "--grace: expected a duration"},
    {"1000h", "", 0, 0, "--grace: expected a duration"},
};

// Guards against a limit that the platform tells and the process ignores.
BOOST_DATA_TEST_CASE(CommandLineLimitsReplaceTheFiles, data::make(LimitRows),
                     Row) {
  std::string Text = readWhole("conf/aspenfold.jsonc");
  std::string Key = "\"spread\": {";
  Text.replace(Text.find(Key), Key.size(),
               "\"budget\": {\"descriptors\": 3000}, "
               "\"stop\": {\"grace_ms\": 6000}, " +
                   Key);
  FaultList Faults;
  ProcessLimits Limits;
  Limits.Grace = Row.Grace;
  Limits.Descriptors = Row.Descriptors;
  std::optional<Settings> Read = readSettings(Text, "f", Faults, Limits);
  BOOST_TEST(Read.has_value() == (Row.Fault[0] == '\0'));
  BOOST_TEST(faultTexts(Faults).find(Row.Fault) != std::string::npos,
             faultTexts(Faults));
  if (!Read)
    return;
  BOOST_TEST(Read->Descriptors == Row.ExpectedDescriptors);
  BOOST_TEST(Read->Core.StopWithin.count() == Row.ExpectedWithinMs);
}

BOOST_AUTO_TEST_CASE(FaultsNameTheirPlace) {
  FaultList Faults;
  readSettings("{\n  \"name\": 7\n}", "f", Faults);
  BOOST_REQUIRE(!Faults.empty());
  BOOST_TEST(Faults.front().text() == "f:2:11: /name: expected a string");
  BOOST_TEST(Faults.size() >= 5u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
