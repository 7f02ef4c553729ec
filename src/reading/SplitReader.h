#ifndef HICKORYLIFT_READING_SPLITREADER_H
#define HICKORYLIFT_READING_SPLITREADER_H

#include "reading/StoreReader.h"

// A SplitReader is the DocumentSource that a node uses for a key-value store.
// It watches everything with one watch while the configuration is small, and
// the configuration and the instances with one watch each once it is large.
//
// A watch delivers the whole configuration at each change. Half a megabyte
// takes a second on a link of 5 Mbit/s, and with a shared watch the changes of
// instances wait behind it: a leaving upstream still received calls for two and
// a half seconds. Two watches cost more than one, so a small configuration
// shares one with the instances.
//
//   SplitReader Read(Options, Store, Layout, Hooks, DataCentres, Seed);
//   Read.tick(Now, ReadDuty::Watch);     // a few times a second

namespace hickorylift {

class SplitReader : public DocumentSource {
public:
  struct Options {
    StoreReader::Options ReaderOptions;
    /// A configuration of this size or more gets its own watch. The default
    /// takes 0.2 s on a link of 5 Mbit/s.
    size_t SplitThresholdBytes = 128 * 1024;
  };

  SplitReader(const Options &Opts, KeyValueStore &Store,
              const StoreLayout &Layout, const SourceHooks &Hooks,
              const std::vector<std::string> &DataCentres, uint64_t Seed);

  void tick(TimePoint Now, ReadDuty Duty) override;
  uint64_t reads() const override;
  bool isFailing() const override;

private:
  bool isLarge() const;
  SourceHooks partHooks(uint64_t &CompleteRevision);

  Options Opts;
  SourceHooks Hook;
  // The revisions up to which ConfigReader and ListReader have published
  // everything.
  uint64_t ConfigCompleteAt = 0;
  uint64_t ListsCompleteAt = 0;
  // Reads everything until the split, the other two read after it.
  StoreReader CombinedReader;
  StoreReader ConfigReader;
  StoreReader ListReader;
  bool IsSplit = false;
};

} // namespace hickorylift

#endif
