#ifndef HICKORYLIFT_BASE_JSON_H
#define HICKORYLIFT_BASE_JSON_H

#include "base/Time.h"

#include <json/value.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// JSON with comments, read with all faults found at once:
//
//   FaultList Faults;
//   std::optional<Json::Value> Root = parseJson(Text, "node.jsonc", Faults);
//   JsonObject Top({"node.jsonc", Text, &Faults}, *Root, "");
//   Millis Wait = Top.millis("wait_ms", 100, 1, 60000);
//   Top.finish();                 // reports the keys that nobody asked for

namespace hickorylift {

/// One thing wrong with a file, where it stands and what was expected.
struct Fault {
  std::string File;
  unsigned Line = 0;
  unsigned Column = 0;
  /// JSON pointer (RFC 6901) of the value.
  std::string Pointer;
  std::string Message;

  /// "file:line:column: /pointer: message".
  std::string text() const;
};
using FaultList = std::vector<Fault>;

/// All faults, a line each.
std::string faultTexts(const FaultList &Faults);

/// Parses Text. Comments are allowed; duplicate keys, trailing text and
/// nesting over 64 levels are faults.
std::optional<Json::Value>
parseJson(std::string_view Text, const std::string &File, FaultList &Faults);

/// Compact JSON without a line end; equal values give equal bytes.
std::string writeJson(const Json::Value &Value);

/// Where the values of one file come from and where its faults go.
struct JsonSource {
  std::string File;
  std::string_view Text;
  FaultList *Faults;

  void fault(const Json::Value &At, const std::string &Pointer,
             const std::string &Message) const;
};

/// Reads the members of one object. Each reader reports its own faults and
/// then returns the default, so reading goes on and finds the rest.
class JsonObject {
public:
  JsonObject(JsonSource Source, const Json::Value &Value, std::string Pointer);

  bool has(const std::string &Key) const;
  /// Required where Default is nullopt.
  std::string string(const std::string &Key,
                     const std::optional<std::string> &Default);
  /// A name: 1 to 200 of a-z, A-Z, 0-9, '-', '_' and '.'.
  std::string name(const std::string &Key,
                   const std::optional<std::string> &Default = std::nullopt);
  int64_t integer(const std::string &Key, std::optional<int64_t> Default,
                  int64_t Low, int64_t High);
  double number(const std::string &Key, std::optional<double> Default,
                double Low, double High);
  Millis millis(const std::string &Key, std::optional<int64_t> Default,
                int64_t Low, int64_t High);
  bool boolean(const std::string &Key, bool Default);
  std::string oneOf(const std::string &Key,
                    const std::optional<std::string> &Default,
                    const std::vector<std::string> &Allowed);
  std::vector<std::string> strings(const std::string &Key);
  /// An object member; null where absent or of another type.
  std::optional<JsonObject> object(const std::string &Key, bool Required);
  /// The keys of this object, for maps from name to value.
  std::vector<std::string> keys() const;

  void fault(const std::string &Key, const std::string &Message);
  /// Reports the keys that no reader asked for.
  void finish();

private:
  const Json::Value *member(const std::string &Key, bool Required,
                            const std::string &Expected);
  std::string pointerTo(const std::string &Key) const;
  std::string sameStem(const std::string &Key) const;

  JsonSource Source;
  const Json::Value *Value;
  std::string Pointer;
  std::set<std::string> Asked;
};

bool isName(std::string_view Text);

} // namespace hickorylift

#endif
