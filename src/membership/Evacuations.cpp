#include "membership/Evacuations.h"

#include "base/Json.h"

// The names of the entries say it all; what stands in them is for a later
// build to use.

namespace hickorylift {

const char EvacuationTopic[] = "evacuations";

DocumentPtr makeEvacuationDocument(uint64_t Revision,
                                   const std::set<std::string> &DataCentres) {
  EntryMap Entries;
  for (const std::string &One : DataCentres) {
    Json::Value Says(Json::objectValue);
    Says["data_centre"] = One;
    Entries[One] = makeEntry(One, writeJson(Says));
  }
  return Document::make(Revision, Revision, std::move(Entries));
}

std::set<std::string> evacuatedDataCentres(const Document &Of) {
  std::set<std::string> Out;
  for (const auto &[Name, Entry] : Of.entries())
    Out.insert(Name);
  return Out;
}

Result<DocumentPtr> readEvacuations(const std::string &Text,
                                    uint64_t Revision) {
  FaultList Faults;
  std::optional<Json::Value> Root = parseJson(Text, EvacuationTopic, Faults);
  std::set<std::string> Out;
  if (Root) {
    JsonObject Top({EvacuationTopic, Text, &Faults}, *Root, "");
    for (const std::string &One : Top.strings("data_centres")) {
      if (!isName(One))
        Top.fault("data_centres", "not a name: " + One);
      Out.insert(One);
    }
  }
  if (!Faults.empty())
    return Error{Errc::Invalid, "read-evacuations", "platform",
                 Faults.front().text()};
  return makeEvacuationDocument(Revision, Out);
}

} // namespace hickorylift
