#ifndef HICKORYLIFT_CONTROL_CONTROLFIXTURE_H
#define HICKORYLIFT_CONTROL_CONTROLFIXTURE_H

#include "config/RecordFile.h"
#include "control/ControlPlane.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

// Shared helpers for the control plane tests: a document source that never
// publishes, builders for the documents that a test publishes itself, and
// membership options.
//
//   UnresponsiveSource Source(&LastDuty);   // stores the duty of each tick
//   Publish(ConfigTopic, makeVersion(2), Now);
//   Publish(listTopic("north"), makeInstanceList(12), Now);

namespace hickorylift {

/// Simulates an unreachable platform: never publishes a document. Stores the
/// duty that the node assigns to it in *LastDuty, if that is not null.
class UnresponsiveSource : public DocumentSource {
public:
  explicit UnresponsiveSource(ReadDuty *LastDuty = nullptr)
      : LastDuty(LastDuty) {}
  void tick(TimePoint, ReadDuty Duty) override {
    if (this->LastDuty)
      *this->LastDuty = Duty;
  }
  uint64_t reads() const override { return 0; }
  bool isFailing() const override { return false; }

private:
  ReadDuty *LastDuty;
};

/// Builds a valid configuration with this version number.
inline DocumentPtr makeVersion(uint64_t Number) {
  FaultList Faults;
  std::optional<EntryMap> Records = readRecordFile(
      R"([{"kind": "service", "name": "portal", "schema": 1}])", "f", Faults);
  BOOST_REQUIRE(Records.has_value());
  return Document::make(Number, Number, std::move(*Records));
}

/// Builds a data centre's list of instances with these names.
inline DocumentPtr makeInstanceList(const std::vector<std::string> &Names,
                                    uint64_t Revision,
                                    const std::string &DataCentre = "north") {
  EntryMap Entries;
  for (const std::string &Name : Names) {
    Instance Listed;
    Listed.Name = Name;
    Listed.DataCentre = DataCentre;
    Listed.Service = "portal";
    Listed.Node = "10.0.0.1:7000";
    Listed.Operator = "10.0.0.1:9000";
    Entries[Name] = makeEntry(Name, writeInstance(Listed));
  }
  return Document::make(Revision, Revision, std::move(Entries));
}

/// Builds a list of Size instances named "n-0", "n-1", ...
inline DocumentPtr makeInstanceList(size_t Size,
                                    const std::string &DataCentre = "north") {
  std::vector<std::string> Names;
  for (size_t I = 0; I < Size; ++I)
    Names.push_back("n-" + std::to_string(I));
  return makeInstanceList(Names, /*Revision=*/1, DataCentre);
}

inline Membership::Options membershipOptions(const std::string &Self,
                                             size_t SpareReaders) {
  Membership::Options Opts;
  Opts.Self = Self;
  Opts.DataCentre = "north";
  Opts.Readers = 1;
  Opts.SpareReaders = SpareReaders;
  return Opts;
}

} // namespace hickorylift

#endif
