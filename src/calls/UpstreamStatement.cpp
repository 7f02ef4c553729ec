#include "calls/UpstreamStatement.h"

#include <charconv>
#include <cmath>

// A field that can't be read changes nothing. Taken for a statement, a damaged
// number could close an upstream; taken for a missing field, it would end a
// limit that the upstream still needs.

namespace hickorylift {

namespace {

/// How much of an unreadable value is repeated in its description.
constexpr size_t MaxQuotedLength = 32;
const char LeavingValue[] = "1";

size_t countFields(const HeaderList &Headers, const std::string &Name) {
  size_t Count = 0;
  for (const HeaderField &Field : Headers)
    Count += isHeader(Field, Name);
  return Name.empty() ? 0 : Count;
}

/// Parses a decimal number that is finite and not negative.
std::optional<double> parseRate(const std::string &Text) {
  double Rate = 0;
  const char *TextEnd = Text.data() + Text.size();
  auto [End, ErrorCode] =
      std::from_chars(Text.data(), TextEnd, Rate, std::chars_format::fixed);
  bool IsValid = ErrorCode == std::errc() && End == TextEnd &&
                 std::isfinite(Rate) && !std::signbit(Rate);
  return IsValid ? std::optional(Rate) : std::nullopt;
}

std::string describe(const std::string &Name, const std::string &Value,
                     const char *Expected) {
  return Name + ": expected " + Expected + ", got \"" +
         Value.substr(0, MaxQuotedLength) + "\"";
}

} // namespace

bool hasStatement(const HeaderList &Headers, const Dialect &Names) {
  return countFields(Headers, Names.RateLimit) +
             countFields(Headers, Names.Leaving) >
         0;
}

UpstreamStatement readStatement(const HeaderList &Headers, const Dialect &Names,
                                const UpstreamStatement &Previous,
                                std::string &Fault) {
  UpstreamStatement Stated;
  size_t RateFields = countFields(Headers, Names.RateLimit);
  if (RateFields > 0) {
    std::string Text = findHeader(Headers, Names.RateLimit);
    Stated.CallsPerSecond = parseRate(Text);
    if (RateFields > 1 || !Stated.CallsPerSecond) {
      Fault = describe(Names.RateLimit, Text, "one number of calls per second");
      Stated.CallsPerSecond = Previous.CallsPerSecond;
    }
  }
  if (countFields(Headers, Names.Leaving) > 0) {
    std::string Text = findHeader(Headers, Names.Leaving);
    Stated.Leaving = Text == LeavingValue;
    if (!Stated.Leaving) {
      Fault = describe(Names.Leaving, Text, LeavingValue);
      Stated.Leaving = Previous.Leaving;
    }
  }
  return Stated;
}

void removeStatement(HeaderList &Headers, const Dialect &Names) {
  std::erase_if(Headers, [&](const HeaderField &Field) {
    return isHeader(Field, Names.RateLimit) || isHeader(Field, Names.Leaving);
  });
}

} // namespace hickorylift
