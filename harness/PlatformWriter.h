#ifndef HICKORYLIFT_HARNESS_PLATFORMWRITER_H
#define HICKORYLIFT_HARNESS_PLATFORMWRITER_H

#include "config/Document.h"
#include "reading/PlatformReader.h"

#include <string>

// What operators' own tools do at the platform: write values. No node does.

namespace hickorylift::harness {

/// Writes one value at the stand-in platform; false if it did not take it.
bool putValue(const std::string &Platform, const std::string &Key,
              const std::string &Bytes);

/// Writes a version: the records first, then the contents that name them, then
/// the manifest, so that a reader that sees the manifest finds all of it. Last
/// is what was published before, if known, and becomes this.
bool publishVersion(const std::string &Platform, uint64_t Version,
                    const EntryMap &Records, RecordHashes &Last);

} // namespace hickorylift::harness

#endif
