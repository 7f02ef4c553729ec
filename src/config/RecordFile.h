#ifndef HICKORYLIFT_CONFIG_RECORDFILE_H
#define HICKORYLIFT_CONFIG_RECORDFILE_H

#include "config/Config.h"

namespace hickorylift {

/// Reads a file of records, a JSON list with comments, as operators write
/// them. Each becomes a document's entry with its bytes in compact form; a
/// fault names the file and the place.
std::optional<EntryMap> readRecordFile(const std::string &Text,
                                       const std::string &File,
                                       FaultList &Faults);

/// Checks a file of records as a whole version, as every node will: the same
/// code judges at the nodes. Faults inside a record name the record.
FaultList checkRecordFile(const std::string &Text, const std::string &File,
                          const CompileOptions &Options);

} // namespace hickorylift

#endif
