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

StoreLayout narrowed(StoreLayout Of, const std::string &Prefix) {
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
std::string operatorPrefix(const StoreLayout &Of) {
  if (Of.EvacuationPrefix.empty())
    return Of.ConfigKey;
  auto Ends =
      std::mismatch(Of.ConfigKey.begin(), Of.ConfigKey.end(),
                    Of.EvacuationPrefix.begin(), Of.EvacuationPrefix.end());
  return std::string(Of.ConfigKey.begin(), Ends.first);
}

} // namespace

SplitReader::SplitReader(const Options &Opts, KeyValueStore &From,
                         const StoreLayout &Contents, const SourceHooks &Hooks,
                         const std::vector<std::string> &DataCentres,
                         uint64_t Seed)
    : Opts(Opts), Hook(Hooks),
      CombinedReader(Opts.ReaderOptions, From, Contents, Hooks, DataCentres,
                     Seed),
      ConfigReader(configOptions(Opts.ReaderOptions), From,
                   narrowed(Contents, operatorPrefix(Contents)),
                   this->partHooks(this->ConfigCompleteAt), {}, Seed + 1),
      ListReader(
          Opts.ReaderOptions, From, narrowed(Contents, Contents.InstancePrefix),
          this->partHooks(this->ListsCompleteAt), DataCentres, Seed + 2) {}

// Only what both have published is complete.
SourceHooks SplitReader::partHooks(uint64_t &CompleteAt) {
  SourceHooks Out = this->Hook;
  Out.ReportComplete = [this, &CompleteAt](uint64_t Revision) {
    CompleteAt = Revision;
    this->Hook.ReportComplete(
        std::min(this->ConfigCompleteAt, this->ListsCompleteAt));
  };
  return Out;
}

bool SplitReader::isLarge() const {
  DocumentPtr Held = this->Hook.CurrentDocument(ConfigTopic);
  return Held && Held->byteSize() >= this->Opts.SplitThresholdBytes;
}

void SplitReader::tick(TimePoint Now, ReadDuty Wanted) {
  if (!this->IsSplit && this->isLarge()) {
    this->IsSplit = true;
    this->CombinedReader.tick(Now, ReadDuty::None);
  }
  if (!this->IsSplit)
    return this->CombinedReader.tick(Now, Wanted);
  this->ConfigReader.observeEra(this->ListReader.era(), Now);
  this->ListReader.observeEra(this->ConfigReader.era(), Now);
  this->ConfigReader.tick(Now, Wanted);
  this->ListReader.tick(Now, Wanted);
}

uint64_t SplitReader::reads() const {
  return this->CombinedReader.reads() + this->ConfigReader.reads() +
         this->ListReader.reads();
}

} // namespace hickorylift
