#include "reading/SplitReader.h"

#include <algorithm>

// The three readers share only the store's era, as a watch of the configuration
// may still wait after the list reader has seen a restore. The configuration
// reader is given no data centres, so it publishes no lists; the list reader
// never sees the configuration keys. Once split, a node stays split: a
// configuration that has been large is likely to be large again, and each
// switch reads everything again.

namespace hickorylift {

namespace {

StoreContents narrowed(StoreContents Of, const std::string &Prefix) {
  Of.Prefix = Prefix;
  return Of;
}

/// Keeps the full watch wait after a failure: the timeout of a watch depends on
/// its wait, and a large configuration takes time to transfer. A short watch is
/// not needed to detect a restore, as the list reader does that.
StoreReader::Options configOptions(StoreReader::Options Opts) {
  Opts.WatchWaitAfterFailure = Opts.WatchWait;
  return Opts;
}

/// What operators write: their versions, and with them their evacuations, which
/// are a few bytes each.
std::string operatorPrefix(const StoreContents &Of) {
  if (Of.EvacuationPrefix.empty())
    return Of.ConfigKey;
  auto Ends =
      std::mismatch(Of.ConfigKey.begin(), Of.ConfigKey.end(),
                    Of.EvacuationPrefix.begin(), Of.EvacuationPrefix.end());
  return std::string(Of.ConfigKey.begin(), Ends.first);
}

} // namespace

SplitReader::SplitReader(const Options &Opts, KeyValueStore &From,
                         const StoreContents &Contents,
                         const SourceHooks &Hooks,
                         const std::vector<std::string> &DataCentres,
                         uint64_t Seed)
    : Opts(Opts), Hook(Hooks),
      All(Opts.Read, From, Contents, Hooks, DataCentres, Seed),
      Config(configOptions(Opts.Read), From,
             narrowed(Contents, operatorPrefix(Contents)),
             this->partHooks(this->ConfigAt), {}, Seed + 1),
      Lists(Opts.Read, From, narrowed(Contents, Contents.InstancePrefix),
            this->partHooks(this->ListsAt), DataCentres, Seed + 2) {}

// Only what both have published is complete.
SourceHooks SplitReader::partHooks(uint64_t &CompleteAt) {
  SourceHooks Out = this->Hook;
  Out.Complete = [this, &CompleteAt](uint64_t Revision) {
    CompleteAt = Revision;
    this->Hook.Complete(std::min(this->ConfigAt, this->ListsAt));
  };
  return Out;
}

bool SplitReader::isLarge() const {
  DocumentPtr Held = this->Hook.Held(ConfigTopic);
  return Held && Held->byteSize() >= this->Opts.SplitFrom;
}

void SplitReader::tick(TimePoint Now, ReadDuty Wanted) {
  if (!this->Split && this->isLarge()) {
    this->Split = true;
    this->All.tick(Now, ReadDuty::None);
  }
  if (!this->Split)
    return this->All.tick(Now, Wanted);
  this->Config.learnEra(this->Lists.era(), Now);
  this->Lists.learnEra(this->Config.era(), Now);
  this->Config.tick(Now, Wanted);
  this->Lists.tick(Now, Wanted);
}

uint64_t SplitReader::reads() const {
  return this->All.reads() + this->Config.reads() + this->Lists.reads();
}

} // namespace hickorylift
