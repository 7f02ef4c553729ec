#ifndef HICKORYLIFT_READING_SPLITREADER_H
#define HICKORYLIFT_READING_SPLITREADER_H

#include "reading/StoreReader.h"

// A SplitReader reads a key-value store with one watch for everything, and with
// one each for the configuration and the instances once the configuration is
// large.
//
// A watch brings the whole configuration at each change. Half a megabyte takes
// a second on a link of 5 Mbit/s, and what a shared watch has to say of the
// instances waits behind it: an upstream that leaves went on getting calls for
// two and a half seconds. Two calls cost more than one, so a small
// configuration shares.
//
//   SplitReader Read(Options, Store, Contents, Hooks, DataCentres, Seed);
//   Read.tick(Now, ReadDuty::Watch);     // a few times a second

namespace hickorylift {

class SplitReader : public DocumentSource {
public:
  struct Options {
    StoreReader::Options ReaderOptions;
    /// Bytes of configuration from which on it has a watch of its own: 0.2 s
    /// of a link of 5 Mbit/s.
    size_t SplitThresholdBytes = 128 * 1024;
  };

  SplitReader(const Options &Opts, KeyValueStore &From,
              const StoreLayout &Contents, const SourceHooks &Hooks,
              const std::vector<std::string> &DataCentres, uint64_t Seed);

  void tick(TimePoint Now, ReadDuty Wanted) override;
  uint64_t reads() const override;

private:
  bool isLarge() const;
  SourceHooks partHooks(uint64_t &CompleteAt);

  Options Opts;
  SourceHooks Hook;
  // Up to which revision each of the two has published everything.
  uint64_t ConfigCompleteAt = 0;
  uint64_t ListsCompleteAt = 0;
  StoreReader CombinedReader;
  StoreReader ConfigReader;
  StoreReader ListReader;
  bool IsSplit = false;
};

} // namespace hickorylift

#endif
