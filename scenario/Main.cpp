#include "scenario/Script.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, script, "", "the scenario to run");
ABSL_FLAG(uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(uint64_t, seeds, 1, "how many seeds to run, counting up");
ABSL_FLAG(std::string, off, "", "run once with this safeguard off");

namespace {

using hickorylift::scenario::Script;

// A scenario passes if it holds with every safeguard on and fails without any
// one of those that it names: a test that cannot fail proves nothing.
bool runScript(const Script &Read, uint64_t Seed) {
  bool Passed = true;
  for (const std::string &Guard : Read.guards()) {
    Script::Outcome Without = Read.run(Guard, Seed);
    if (Without.Broken.empty()) {
      std::cout << "seed " << Seed << ": holds without " << Guard
                << " as well, so it proves nothing of it\n";
      Passed = false;
    } else {
      std::cout << "seed " << Seed << ": without " << Guard
                << " fails: " << Without.Broken.front() << "\n";
    }
  }
  for (const std::string &Broken : Read.run("", Seed).Broken) {
    std::cout << "seed " << Seed << ": " << Broken << "\n";
    Passed = false;
  }
  return Passed;
}

} // namespace

int main(int Argc, char **Argv) {
  absl::ParseCommandLine(Argc, Argv);
  std::string Path = absl::GetFlag(FLAGS_script);
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  std::string Why = Path + ": cannot be read";
  auto Read = In ? Script::parse(Text.str(), Path, Why) : std::nullopt;
  if (!Read) {
    std::cerr << Why << "\n";
    return 2;
  }
  if (!absl::GetFlag(FLAGS_off).empty()) {
    auto Without =
        Read->run(absl::GetFlag(FLAGS_off), absl::GetFlag(FLAGS_seed));
    for (const std::string &Broken : Without.Broken)
      std::cout << Broken << "\n";
    return Without.Broken.empty() ? 0 : 1;
  }
  bool Passed = true;
  uint64_t First = absl::GetFlag(FLAGS_seed);
  for (uint64_t I = 0; I < absl::GetFlag(FLAGS_seeds); ++I)
    Passed &= runScript(*Read, First + I);
  return Passed ? 0 : 1;
}
