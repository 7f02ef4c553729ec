#include "config/RecordFile.h"

namespace hickorylift {

namespace {

// Enough to name the record; compileConfig judges all the rest.
std::optional<std::string> entryNameOf(JsonObject &Record) {
  std::string Kind = Record.name("kind");
  std::string Name = Record.name("name");
  int64_t Schema = Record.integer("schema", std::nullopt, 1, 1000000);
  if (!isName(Kind) || !isName(Name))
    return std::nullopt;
  return recordEntryName(Kind, Name, Schema);
}

} // namespace

std::optional<EntryMap> readRecordFile(const std::string &Text,
                                       const std::string &File,
                                       FaultList &Faults) {
  size_t Before = Faults.size();
  std::optional<Json::Value> Root = parseJson(Text, File, Faults);
  if (!Root)
    return std::nullopt;
  JsonSource Source{File, Text, &Faults};
  if (!Root->isArray()) {
    Source.fault(*Root, "", "expected a list of records");
    return std::nullopt;
  }
  EntryMap Out;
  for (Json::ArrayIndex I = 0; I < Root->size(); ++I) {
    std::string Pointer = "/" + std::to_string(I);
    JsonObject Record(Source, (*Root)[I], Pointer);
    std::optional<std::string> Name = entryNameOf(Record);
    if (!Name)
      continue;
    if (!Out.emplace(*Name, makeEntry(*Name, writeJson((*Root)[I]))).second)
      Source.fault((*Root)[I], Pointer, "second record named " + *Name);
  }
  if (Faults.size() != Before)
    return std::nullopt;
  return Out;
}

FaultList checkRecordFile(const std::string &Text, const std::string &File,
                          const CompileOptions &Options) {
  FaultList Faults;
  std::optional<EntryMap> Entries = readRecordFile(Text, File, Faults);
  if (!Entries)
    return Faults;
  DocumentPtr Doc = Document::make(1, 1, std::move(*Entries));
  CompileResult Made = compileConfig(*Doc, Options);
  for (Fault &One : Made.Faults) {
    // The place within the record's compact form means nothing to the reader
    // of the file; the record's name and the pointer do.
    One.Pointer = One.File + " " + One.Pointer;
    One.File = File;
    One.Line = 0;
  }
  return Made.Faults;
}

} // namespace hickorylift
