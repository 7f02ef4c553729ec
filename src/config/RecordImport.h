#ifndef HICKORYLIFT_CONFIG_RECORDIMPORT_H
#define HICKORYLIFT_CONFIG_RECORDIMPORT_H

#include "config/Document.h"

#include <json/value.h>

#include <memory>
#include <string>
#include <vector>

// Makes a version out of records that another system holds and has accepted.
// Its operators were told that the version is valid, so a limit of our records
// must not refuse it, and one record that can't be used must not keep the
// others out of force.
//
//   std::vector<ImportedRecordPtr> Records;
//   for (const Json::Value &One : Converted)
//     Records.push_back(importRecord(One));
//   std::vector<RecordIssue> Issues;
//   EntryMap Entries = joinRecords(Records, Issues);   // always compiles

namespace hickorylift {

/// A record that was changed, or left out of its version.
struct RecordIssue {
  /// "kind/name@schema", or what is known of it.
  std::string Record;
  /// The field as a JSON pointer, its value and what became of it.
  std::string Detail;
  bool LeftOut = false;

  auto operator<=>(const RecordIssue &) const = default;
};

struct ImportedRecord {
  /// "kind/name@schema".
  std::string EntryName;
  /// Without bytes if the record can't be used.
  DocumentEntry Entry;
  /// The services that a route refers to.
  std::vector<std::string> Services;
  /// What only one record of a version may be for, as the requests of a route;
  /// empty if there is no such thing.
  std::string Covers;
  std::vector<RecordIssue> Issues;
};
using ImportedRecordPtr = std::shared_ptr<const ImportedRecord>;

/// Imports one record, a JSON object with the members of ours. A number outside
/// the range of its field (RecordLimits.h) is replaced by the nearest one in
/// it, weights keep their proportions, and a route's name may be any text. A
/// value of another type, or a missing one that is required, makes the record
/// unusable.
ImportedRecordPtr importRecord(Json::Value Record);

/// A record that could not even be converted.
ImportedRecordPtr unusableRecord(const std::string &Name,
                                 const std::string &Why);

/// Whether a version with these entries has a record of a service.
bool holdsService(const EntryMap &Entries, const std::string &Name);

/// Joins records to a version without a fault. Appends the issues of all of
/// them. A service that a route refers to and that is missing or unusable gets
/// the default settings. Of two records with one name or for the same requests,
/// the first is in force.
EntryMap joinRecords(const std::vector<ImportedRecordPtr> &Records,
                     std::vector<RecordIssue> &Issues);

} // namespace hickorylift

#endif
