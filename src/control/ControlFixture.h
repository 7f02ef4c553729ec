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

namespace hickorylift {

/// Simulates an unreachable platform: never publishes a document.
class UnresponsiveSource : public DocumentSource {
public:
  explicit UnresponsiveSource(ReadDuty *Wanted = nullptr) : Wanted(Wanted) {}
  void tick(TimePoint, ReadDuty Now) override {
    if (this->Wanted)
      *this->Wanted = Now;
  }
  uint64_t reads() const override { return 0; }

private:
  ReadDuty *Wanted;
};

inline DocumentPtr makeVersion(uint64_t Number) {
  FaultList Faults;
  std::optional<EntryMap> Records = readRecordFile(
      R"([{"kind": "service", "name": "portal", "schema": 1}])", "f", Faults);
  BOOST_REQUIRE(Records.has_value());
  return Document::make(Number, Number, std::move(*Records));
}

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

inline DocumentPtr makeInstanceList(size_t Size,
                                    const std::string &DataCentre = "north") {
  std::vector<std::string> Names;
  for (size_t I = 0; I < Size; ++I)
    Names.push_back("n-" + std::to_string(I));
  return makeInstanceList(Names, /*Revision=*/1, DataCentre);
}

inline Membership::Options membershipOptions(const std::string &Self,
                                             size_t SpareReaders) {
  Membership::Options Out;
  Out.Self = Self;
  Out.DataCentre = "north";
  Out.Readers = 1;
  Out.SpareReaders = SpareReaders;
  return Out;
}

} // namespace hickorylift

#endif
