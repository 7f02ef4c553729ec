#ifndef HICKORYLIFT_SETTINGS_SETTINGS_H
#define HICKORYLIFT_SETTINGS_SETTINGS_H

#include "base/Json.h"
#include "gate/UpstreamClient.h"
#include "node/NodeCore.h"
#include "reading/HttpPlatform.h"

// Settings are what one process is told at its start: where it stands, whom it
// serves, and how the deployment weighs speed against bytes. docs/SETTINGS.md
// lists every field.
//
//   FaultList Faults;
//   std::optional<Settings> Read = readSettings(Text, "node.jsonc", Faults);
//   if (!Read) ...                     // all faults at once

namespace hickorylift {

struct Settings {
  std::string Name;
  std::string DataCentre;
  std::vector<std::string> DataCentres;
  std::string Service;
  NetAddress Callers;
  NetAddress Peers;
  NetAddress Operator;
  UpstreamClient::Options Upstream;
  std::string HealthPath;
  Millis HealthInterval{1000};
  HttpPlatform::Options Platform;
  std::string LogLevel;
  NodeCore::Options Core;
};

std::optional<Settings> readSettings(const std::string &Text,
                                     const std::string &File,
                                     FaultList &Faults);

} // namespace hickorylift

#endif
