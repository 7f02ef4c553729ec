#include "reading/SplitReader.h"

#include <algorithm>

// The three readers share nothing. The one of what operators write is given no
// data centres, so it publishes no lists; the one of the lists never sees their
// keys. Once split, a node stays so: a configuration that has
// been large will be again, and each change of mind reads everything anew.

namespace hickorylift {

namespace {

StoreContents narrowed(StoreContents Of, const std::string &Prefix) {
  Of.Prefix = Prefix;
  return Of;
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
      Config(Opts.Read, From, narrowed(Contents, operatorPrefix(Contents)),
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
  this->Config.tick(Now, Wanted);
  this->Lists.tick(Now, Wanted);
}

uint64_t SplitReader::reads() const {
  return this->All.reads() + this->Config.reads() + this->Lists.reads();
}

} // namespace hickorylift
