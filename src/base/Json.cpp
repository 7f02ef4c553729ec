#include "base/Json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <sstream>

namespace hickorylift {

namespace {

constexpr int MaxNesting = 64;
constexpr size_t MaxNameLength = 200;

std::string escapePointer(const std::string &Key) {
  std::string Out;
  for (char C : Key) {
    if (C == '~')
      Out += "~0";
    else if (C == '/')
      Out += "~1";
    else
      Out += C;
  }
  return Out;
}

// jsoncpp reports "* Line L, Column C\n  message\n", several times over.
void readParserErrors(const std::string &Errors, const std::string &File,
                      FaultList &Faults) {
  size_t At = 0;
  while ((At = Errors.find("* Line ", At)) != std::string::npos) {
    Fault One;
    One.File = File;
    std::sscanf(Errors.c_str() + At, "* Line %u, Column %u", &One.Line,
                &One.Column);
    size_t Start = Errors.find('\n', At);
    if (Start == std::string::npos)
      break;
    size_t End = Errors.find('\n', Start + 1);
    std::string Message = Errors.substr(Start + 1, End - Start - 1);
    One.Message = Message.substr(Message.find_first_not_of(' '));
    Faults.push_back(One);
    At = End;
  }
}

} // namespace

std::string faultTexts(const FaultList &Faults) {
  std::string Out;
  for (const Fault &One : Faults)
    Out += One.text() + "\n";
  return Out;
}

std::string Fault::text() const {
  std::string Out = this->File;
  if (this->Line)
    Out +=
        ":" + std::to_string(this->Line) + ":" + std::to_string(this->Column);
  Out += ": ";
  if (!this->Pointer.empty())
    Out += this->Pointer + ": ";
  return Out + this->Message;
}

namespace {

std::unique_ptr<Json::CharReader> makeReader() {
  Json::CharReaderBuilder Builder;
  Builder["allowComments"] = true;
  Builder["collectComments"] = false;
  Builder["strictRoot"] = true;
  Builder["rejectDupKeys"] = true;
  Builder["failIfExtra"] = true;
  Builder["allowSpecialFloats"] = false;
  Builder["stackLimit"] = MaxNesting;
  return std::unique_ptr<Json::CharReader>(Builder.newCharReader());
}

std::unique_ptr<Json::StreamWriter> makeWriter() {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  Builder["commentStyle"] = "None";
  return std::unique_ptr<Json::StreamWriter>(Builder.newStreamWriter());
}

} // namespace

// A configuration version consists of thousands of short texts, and creating a
// reader takes longer than parsing one of them. The reader is therefore shared;
// it keeps no state between texts, but must not be used concurrently.
std::optional<Json::Value>
parseJson(std::string_view Text, const std::string &File, FaultList &Faults) {
  static const std::unique_ptr<Json::CharReader> Reader = makeReader();
  Json::Value Root;
  std::string Errors;
  // The library throws when the nesting goes past its limit.
  try {
    if (Reader->parse(Text.data(), Text.data() + Text.size(), &Root, &Errors))
      return Root;
  } catch (const std::exception &Thrown) {
    Faults.push_back({File, 1, 1, "", Thrown.what()});
    return std::nullopt;
  }
  size_t Before = Faults.size();
  readParserErrors(Errors, File, Faults);
  if (Faults.size() == Before)
    Faults.push_back({File, 1, 1, "", "not JSON"});
  return std::nullopt;
}

std::string writeJson(const Json::Value &Value) {
  static const std::unique_ptr<Json::StreamWriter> Writer = makeWriter();
  std::ostringstream Out;
  Writer->write(Value, &Out);
  return Out.str();
}

void JsonSource::fault(const Json::Value &At, const std::string &Pointer,
                       const std::string &Message) const {
  Fault One{this->File, 1, 1, Pointer, Message};
  size_t Offset = std::min<size_t>(std::max<ptrdiff_t>(At.getOffsetStart(), 0),
                                   this->Text.size());
  for (char C : this->Text.substr(0, Offset)) {
    ++One.Column;
    if (C == '\n') {
      ++One.Line;
      One.Column = 1;
    }
  }
  this->Faults->push_back(One);
}

JsonObject::JsonObject(JsonSource Source, const Json::Value &Value,
                       std::string Pointer)
    : Source(std::move(Source)), Value(&Value), Pointer(std::move(Pointer)) {
  if (!Value.isObject())
    this->Source.fault(Value, this->Pointer, "expected an object");
}

bool JsonObject::has(const std::string &Key) const {
  return this->Value->isObject() && this->Value->isMember(Key);
}

std::string JsonObject::pointerTo(const std::string &Key) const {
  return this->Pointer + "/" + escapePointer(Key);
}

const Json::Value *JsonObject::member(const std::string &Key, bool Required,
                                      const std::string &Expected) {
  this->Asked.insert(Key);
  if (this->has(Key))
    return &(*this->Value)[Key];
  if (Required && this->Value->isObject())
    this->Source.fault(*this->Value, this->pointerTo(Key),
                       "missing; expected " + Expected);
  return nullptr;
}

void JsonObject::fault(const std::string &Key, const std::string &Message) {
  const Json::Value &At = this->has(Key) ? (*this->Value)[Key] : *this->Value;
  this->Source.fault(At, this->pointerTo(Key), Message);
}

std::string JsonObject::string(const std::string &Key,
                               const std::optional<std::string> &Default) {
  const Json::Value *At = this->member(Key, !Default, "a string");
  if (!At)
    return Default.value_or("");
  if (At->isString())
    return At->asString();
  this->fault(Key, "expected a string");
  return Default.value_or("");
}

bool isName(std::string_view Text) {
  auto Fits = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Fits);
}

std::string JsonObject::name(const std::string &Key,
                             const std::optional<std::string> &Default) {
  std::string Text = this->string(Key, Default);
  if (this->has(Key) && (*this->Value)[Key].isString() && !isName(Text))
    this->fault(Key, "expected a name: 1 to 200 of a-z A-Z 0-9 - _ .");
  return Text;
}

// The texts of faults are built only where there is one: a configuration has
// thousands of numbers.
int64_t JsonObject::integer(const std::string &Key,
                            std::optional<int64_t> Default, int64_t Low,
                            int64_t High) {
  const Json::Value *At = this->member(Key, false, "");
  if (At && At->type() != Json::realValue && At->isInt64() &&
      At->asInt64() >= Low && At->asInt64() <= High)
    return At->asInt64();
  if (At || !Default) {
    std::string Expected = "a whole number from " + std::to_string(Low) +
                           " to " + std::to_string(High);
    if (this->member(Key, !Default, Expected))
      this->fault(Key, "expected " + Expected);
  }
  return Default.value_or(Low);
}

double JsonObject::number(const std::string &Key, std::optional<double> Default,
                          double Low, double High) {
  const Json::Value *At = this->member(Key, false, "");
  if (At && At->isNumeric() && At->asDouble() >= Low && At->asDouble() <= High)
    return At->asDouble();
  if (At || !Default) {
    std::string Expected =
        "a number from " + std::to_string(Low) + " to " + std::to_string(High);
    if (this->member(Key, !Default, Expected))
      this->fault(Key, "expected " + Expected);
  }
  return Default.value_or(Low);
}

Millis JsonObject::millis(const std::string &Key,
                          std::optional<int64_t> Default, int64_t Low,
                          int64_t High) {
  return Millis(this->integer(Key, Default, Low, High));
}

bool JsonObject::boolean(const std::string &Key, bool Default) {
  const Json::Value *At = this->member(Key, false, "true or false");
  if (!At)
    return Default;
  if (At->isBool())
    return At->asBool();
  this->fault(Key, "expected true or false");
  return Default;
}

std::string JsonObject::oneOf(const std::string &Key,
                              const std::optional<std::string> &Default,
                              const std::vector<std::string> &Allowed) {
  std::string Text = this->string(Key, Default);
  if (!this->has(Key) ||
      std::find(Allowed.begin(), Allowed.end(), Text) != Allowed.end())
    return Text;
  std::string Message = "expected one of:";
  for (const std::string &One : Allowed)
    Message += " " + One;
  this->fault(Key, Message);
  return Default.value_or(Allowed.front());
}

std::vector<std::string> JsonObject::strings(const std::string &Key) {
  const Json::Value *At = this->member(Key, false, "a list of strings");
  std::vector<std::string> Out;
  if (!At)
    return Out;
  if (!At->isArray()) {
    this->fault(Key, "expected a list of strings");
    return Out;
  }
  for (Json::ArrayIndex I = 0; I < At->size(); ++I) {
    if ((*At)[I].isString())
      Out.push_back((*At)[I].asString());
    else
      this->Source.fault((*At)[I],
                         this->pointerTo(Key) + "/" + std::to_string(I),
                         "expected a string");
  }
  return Out;
}

std::optional<JsonObject> JsonObject::object(const std::string &Key,
                                             bool Required) {
  const Json::Value *At = this->member(Key, Required, "an object");
  if (!At)
    return std::nullopt;
  if (!At->isObject()) {
    this->fault(Key, "expected an object");
    return std::nullopt;
  }
  return JsonObject(this->Source, *At, this->pointerTo(Key));
}

std::vector<std::string> JsonObject::keys() const {
  return this->Value->isObject() ? this->Value->getMemberNames()
                                 : std::vector<std::string>();
}

// "wait_s" for "wait_ms": the likeliest slip, and the one that hurts most.
std::string JsonObject::sameStem(const std::string &Key) const {
  std::string Stem = Key.substr(0, Key.rfind('_'));
  for (const std::string &Known : this->Asked)
    if (Known.rfind('_') != std::string::npos &&
        Known.substr(0, Known.rfind('_')) == Stem)
      return Known;
  return "";
}

void JsonObject::finish() {
  for (const std::string &Key : this->keys()) {
    if (this->Asked.count(Key))
      continue;
    std::string Meant = this->sameStem(Key);
    this->fault(Key, Meant.empty()
                         ? "unknown key"
                         : "unknown key; the unit is part of " + Meant);
  }
}

} // namespace hickorylift
