#include "membership/Evacuations.h"

#include "base/Json.h"

// The document has one entry for each evacuated data centre, and the entry's
// name is the data centre. The JSON value of an entry is not read; it leaves
// later builds a place for more fields.

namespace hickorylift {

const char EvacuationTopic[] = "evacuations";

DocumentPtr makeEvacuationDocument(uint64_t Revision,
                                   const std::set<std::string> &DataCentres) {
  EntryMap Entries;
  for (const std::string &DataCentre : DataCentres) {
    Json::Value Fields(Json::objectValue);
    Fields["data_centre"] = DataCentre;
    Entries[DataCentre] = makeEntry(DataCentre, writeJson(Fields));
  }
  return Document::make(Revision, Revision, std::move(Entries));
}

std::set<std::string> evacuatedDataCentres(const Document &Evacuations) {
  std::set<std::string> DataCentres;
  for (const auto &[Name, Entry] : Evacuations.entries())
    DataCentres.insert(Name);
  return DataCentres;
}

Result<DocumentPtr> readEvacuations(const std::string &Text,
                                    uint64_t Revision) {
  FaultList Faults;
  std::optional<Json::Value> Root = parseJson(Text, EvacuationTopic, Faults);
  std::set<std::string> DataCentres;
  if (Root) {
    JsonObject Top({EvacuationTopic, Text, &Faults}, *Root, "");
    for (const std::string &DataCentre : Top.strings("data_centres")) {
      if (!isName(DataCentre))
        Top.fault("data_centres", "not a name: " + DataCentre);
      DataCentres.insert(DataCentre);
    }
  }
  if (!Faults.empty())
    return Error{Errc::Invalid, "read-evacuations", "platform",
                 Faults.front().text()};
  return makeEvacuationDocument(Revision, DataCentres);
}

} // namespace hickorylift
