#include "reading/SplitReader.h"

#include <algorithm>

// The three readers share only the store's era, because a watch of the
// configuration may still wait after the list reader has seen a restore. The
// configuration reader is given no data centres, so it publishes no lists; the
// list reader never sees the configuration keys. Once split, a node stays
// split: a configuration that has been large is likely to be large again, and
// each switch reads everything again.

namespace hickorylift {

namespace {

StoreLayout withPrefix(StoreLayout Layout, const std::string &Prefix) {
  Layout.Prefix = Prefix;
  return Layout;
}

/// Keeps the full watch wait after a failure: the timeout of a watch depends on
/// its wait, and a large configuration takes time to transfer. A short watch is
/// not needed to detect a restore, as the list reader does that.
StoreReader::Options configOptions(StoreReader::Options Opts) {
  Opts.WatchWaitAfterFailure = Opts.WatchWait;
  return Opts;
}

/// Returns the common prefix of the keys that operators write: the versions and
/// the evacuations, which are a few bytes each.
std::string operatorPrefix(const StoreLayout &Layout) {
  if (Layout.EvacuationPrefix.empty())
    return Layout.ConfigKey;
  auto Mismatch = std::mismatch(
      Layout.ConfigKey.begin(), Layout.ConfigKey.end(),
      Layout.EvacuationPrefix.begin(), Layout.EvacuationPrefix.end());
  return std::string(Layout.ConfigKey.begin(), Mismatch.first);
}

} // namespace

SplitReader::SplitReader(const Options &Opts, KeyValueStore &Store,
                         const StoreLayout &Layout, const SourceHooks &Hooks,
                         const std::vector<std::string> &DataCentres,
                         uint64_t Seed)
    : Opts(Opts), Hook(Hooks), CombinedReader(Opts.ReaderOptions, Store, Layout,
                                              Hooks, DataCentres, Seed),
      ConfigReader(configOptions(Opts.ReaderOptions), Store,
                   withPrefix(Layout, operatorPrefix(Layout)),
                   this->partHooks(this->ConfigCompleteAt), {}, Seed + 1),
      ListReader(
          Opts.ReaderOptions, Store, withPrefix(Layout, Layout.InstancePrefix),
          this->partHooks(this->ListsCompleteAt), DataCentres, Seed + 2) {}

// Returns the hooks of one of the two readers after the split. The source is
// complete up to the revision that both have reached.
SourceHooks SplitReader::partHooks(uint64_t &CompleteRevision) {
  SourceHooks Hooks = this->Hook;
  Hooks.ReportComplete = [this, &CompleteRevision](uint64_t Revision) {
    CompleteRevision = Revision;
    this->Hook.ReportComplete(
        std::min(this->ConfigCompleteAt, this->ListsCompleteAt));
  };
  return Hooks;
}

bool SplitReader::isLarge() const {
  DocumentPtr Current = this->Hook.CurrentDocument(ConfigTopic);
  return Current && Current->byteSize() >= this->Opts.SplitThresholdBytes;
}

void SplitReader::tick(TimePoint Now, ReadDuty Duty) {
  if (!this->IsSplit && this->isLarge()) {
    this->IsSplit = true;
    this->CombinedReader.tick(Now, ReadDuty::None);
  }
  if (!this->IsSplit)
    return this->CombinedReader.tick(Now, Duty);
  this->ConfigReader.observeEra(this->ListReader.era(), Now);
  this->ListReader.observeEra(this->ConfigReader.era(), Now);
  this->ConfigReader.tick(Now, Duty);
  this->ListReader.tick(Now, Duty);
}

bool SplitReader::isFailing() const {
  return this->CombinedReader.isFailing() || this->ConfigReader.isFailing() ||
         this->ListReader.isFailing();
}

uint64_t SplitReader::reads() const {
  return this->CombinedReader.reads() + this->ConfigReader.reads() +
         this->ListReader.reads();
}

} // namespace hickorylift
