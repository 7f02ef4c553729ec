#ifndef HICKORYLIFT_HARNESS_PLATFORMWRITER_H
#define HICKORYLIFT_HARNESS_PLATFORMWRITER_H

#include "config/Document.h"

#include <string>

// What operators' own tools do at the platform: write values. No node does.

namespace hickorylift::harness {

/// Writes one value at the stand-in platform; false if it did not take it.
bool putValue(const std::string &Platform, const std::string &Key,
              const std::string &Bytes);

/// Writes a version: the records first, then the manifest that names them, so
/// that a reader that sees the manifest finds all of them.
bool publishVersion(const std::string &Platform, uint64_t Version,
                    const EntryMap &Records);

} // namespace hickorylift::harness

#endif
