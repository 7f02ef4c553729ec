#ifndef HICKORYLIFT_SETTINGS_SETTINGS_H
#define HICKORYLIFT_SETTINGS_SETTINGS_H

#include "base/Json.h"
#include "http/UpstreamClient.h"
#include "node/NodeCore.h"
#include "reading/HttpPlatform.h"
#include "reading/SplitReader.h"

// Settings are what one process is told at its start: where it stands, whom it
// serves, and how the deployment weighs speed against bytes. docs/SETTINGS.md
// lists every field.
//
//   FaultList Faults;
//   std::optional<Settings> Read = readSettings(Text, "node.jsonc", Faults);
//   if (!Read) ...                     // all faults at once

namespace hickorylift {

enum class PlatformProtocol {
  /// Records under their hashes, docs/PLATFORM.md.
  Records,
  /// Items in a key-value store, through the adapter in platform/.
  Store,
};

struct Settings {
  std::string Name;
  std::string DataCentre;
  std::vector<std::string> DataCentres;
  std::string Service;
  NetAddress Callers;
  NetAddress Peers;
  NetAddress Operator;
  /// Where the platform asks whether callers may come; by default it asks at
  /// the operator's address.
  std::optional<NetAddress> Ready;
  UpstreamClient::Options Upstream;
  std::string HealthPath;
  /// Zero for never: what the list and the answers say is then all.
  Millis HealthInterval{1000};
  PlatformProtocol Protocol = PlatformProtocol::Records;
  HttpPlatform::Options Platform;
  SplitReader::Options Store;
  std::string LogLevel;
  /// What the process holds for others. MaxConnections is an upper bound; the
  /// descriptors of the process may allow fewer.
  ResourceBudget::Options Budget;
  /// Descriptors that the process may have open; zero for what the system
  /// allows it.
  size_t Descriptors = 0;
  NodeCore::Options Core;
};

/// What the platform grants a process, from the command line. Each text
/// replaces a field of the settings file; an empty one replaces nothing, as the
/// platform leaves a value empty that it does not have.
struct ProcessLimits {
  /// stop.grace_ms, as a duration with a unit: "6s", "1500ms".
  std::string Grace;
  /// budget.descriptors.
  std::string Descriptors;
};

std::optional<Settings> readSettings(const std::string &Text,
                                     const std::string &File, FaultList &Faults,
                                     const ProcessLimits &Limits = {});

} // namespace hickorylift

#endif
