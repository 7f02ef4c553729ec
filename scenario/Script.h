#ifndef HICKORYLIFT_SCENARIO_SCRIPT_H
#define HICKORYLIFT_SCENARIO_SCRIPT_H

#include "scenario/World.h"

#include <optional>

// A Script is a scenario in the small test language, one command a line.
// docs/SCENARIOS.md lists the commands.
//
//   std::string Why;
//   std::optional<Script> Read = Script::parse(Text, "drain.scn", Why);
//   Outcome Ran = Read->run({});             // empty Ran.Broken: it passed

namespace hickorylift::scenario {

struct Line {
  unsigned Number = 0;
  std::vector<std::string> Words;
};

class Script {
public:
  struct Outcome {
    /// What failed, with the line; empty if the scenario passed.
    std::vector<std::string> Broken;
  };

  static std::optional<Script> parse(const std::string &Text,
                                     const std::string &File, std::string &Why);

  /// Safeguards that the scenario names: it must fail without each.
  const std::vector<std::string> &guards() const { return this->Guards; }
  /// Runs with one safeguard off, or with all on.
  Outcome run(const std::string &GuardOff, uint64_t Seed) const;

private:
  std::string File;
  std::vector<Line> Lines;
  std::vector<std::string> Guards;
};

} // namespace hickorylift::scenario

#endif
