#include "base/Safeguards.h"

namespace hickorylift {

bool Safeguards::turnOff(std::string_view Name) {
  const struct {
    std::string_view Name;
    bool *Flag;
  } All[] = {
      {"keep-order", &this->KeepOrder},
      {"check-frames", &this->CheckFrames},
      {"check-content", &this->CheckContent},
      {"whole-versions", &this->WholeVersions},
      {"repair-by-stamps", &this->RepairByStamps},
      {"climb-past-dead", &this->ClimbPastDead},
      {"ask-older", &this->AskOlder},
      {"echoed-ages", &this->EchoedAges},
      {"remember-calls", &this->RememberCalls},
      {"prove-incarnation", &this->ProveIncarnation},
      {"pause-barrier", &this->PauseBarrier},
      {"condemn-silent-links", &this->CondemnSilentLinks},
      {"remember-keys", &this->RememberKeys},
      {"settled-keys", &this->SettledKeys},
      {"drain-closes-gate", &this->DrainClosesGate},
      {"retry-only-harmless", &this->RetryOnlyHarmless},
      {"stop-waits", &this->StopWaits},
      {"drop-late", &this->DropLate},
      {"hold-crashers", &this->HoldCrashers},
      {"spare-cold", &this->SpareCold},
      {"heed-statements", &this->HeedStatements},
      {"follow-evacuations", &this->FollowEvacuations},
  };
  for (const auto &One : All) {
    if (One.Name != Name)
      continue;
    *One.Flag = false;
    return true;
  }
  return false;
}

} // namespace hickorylift
