#include "cli/Trace.h"

#include <algorithm>
#include <istream>
#include <ostream>

// Each node logs what it decided about a call under the id that the caller gave
// to the attempt. A call that the upstream makes in turn has an id of its own,
// which begins with that id and a point. So one pass over all logs, and a sort
// by time, give the whole story. Clocks of nodes may differ by some
// milliseconds, and lines of one node keep their order.

namespace hickorylift {

namespace {

constexpr std::string_view TimeField = "ts=";

/// What a reason means for the call, for those who do not know the code.
struct Meaning {
  const char *Reason;
  const char *Text;
};
const Meaning Meanings[] = {
    {"overload", "no slot would have come free in time"},
    {"priority-reserve", "the free slots were kept for more urgent calls"},
    {"gate-unreachable", "no link to that gate could be made in time"},
    {"link-lost", "the link broke, or was silent for too long"},
    {"gate-lost", "the gate did not come back; whether it ran is unknown"},
    {"gate-restarted", "the gate forgot the call; whether it ran is unknown"},
    {"deadline", "the time of the call or of its route was over"},
    {"caller-gone", "the caller closed its connection"},
    {"no-upstream", "the list names no upstream of that service"},
    {"no-configuration", "no configuration was in force yet"},
    {"no-route", "no route in force fits the request"},
    {"paused", "the process had stood still; the request's age was unknown"},
    {"draining", "the gate takes no new calls"},
    {"upstream-shed", "the upstream refused it and marked it as not run"},
    {"upstream-replaced", "another upstream stands at that address"},
    {"not-my-service", "the list was behind: another service stands there"},
    {"upstream-unmarked-refusal",
     "the upstream refused it without the mark: it may have run"},
};

const char *meaningOf(const std::string &Reason) {
  for (const Meaning &One : Meanings)
    if (Reason == One.Reason)
      return One.Text;
  return "";
}

// The value that starts at At, quoted or not; At is moved behind it.
std::optional<std::string> readValue(std::string_view Line, size_t &At) {
  std::string Out;
  if (At >= Line.size() || Line[At] != '"') {
    size_t End = std::min(Line.find(' ', At), Line.size());
    Out = Line.substr(At, End - At);
    At = End;
    return Out;
  }
  for (++At; At < Line.size(); ++At) {
    if (Line[At] == '"') {
      ++At;
      return Out;
    }
    if (Line[At] == '\\' && At + 1 < Line.size())
      ++At;
    Out += Line[At];
  }
  return std::nullopt;
}

std::string lastWord(std::string_view Text) {
  size_t End = Text.find_last_not_of(" \t");
  if (End == std::string_view::npos)
    return "";
  size_t Start = Text.find_last_of(" \t", End);
  Start = Start == std::string_view::npos ? 0 : Start + 1;
  return std::string(Text.substr(Start, End + 1 - Start));
}

} // namespace

std::string LogEvent::field(std::string_view Name) const {
  for (const auto &[Key, Value] : this->Fields)
    if (Key == Name)
      return Value;
  return "";
}

std::optional<LogEvent> parseLogLine(std::string_view Line) {
  size_t At = Line.find(TimeField);
  if (At == std::string_view::npos)
    return std::nullopt;
  LogEvent Out;
  Out.Source = lastWord(Line.substr(0, At));
  while (At < Line.size()) {
    size_t Equals = Line.find('=', At);
    if (Equals == std::string_view::npos)
      return std::nullopt;
    std::string Key(Line.substr(At, Equals - At));
    At = Equals + 1;
    std::optional<std::string> Value = readValue(Line, At);
    if (!Value || Key.find(' ') != std::string::npos)
      return std::nullopt;
    if (Key == "ts")
      Out.Time = *Value;
    else if (Key == "event")
      Out.Event = *Value;
    else
      Out.Fields.emplace_back(std::move(Key), std::move(*Value));
    At = std::min(Line.find_first_not_of(' ', At), Line.size());
  }
  if (Out.Time.empty() || Out.Event.empty())
    return std::nullopt;
  return Out;
}

bool Trace::concerns(const LogEvent &One) const {
  for (const char *Name : {"id", "call", "first_id", "last_id"}) {
    std::string Value = One.field(Name);
    if (Value == this->Id || Value.rfind(this->Id + ".", 0) == 0)
      return true;
  }
  return false;
}

void Trace::read(const std::string &Source, std::istream &Lines) {
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.empty())
      continue;
    std::optional<LogEvent> One = parseLogLine(Line);
    if (!One) {
      ++this->Unreadable;
      continue;
    }
    if (!this->concerns(*One))
      continue;
    if (One->Source.empty())
      One->Source = Source;
    this->Events.push_back(std::move(*One));
  }
}

void Trace::print(std::ostream &To) const {
  std::vector<LogEvent> Sorted = this->Events;
  std::stable_sort(
      Sorted.begin(), Sorted.end(),
      [](const LogEvent &A, const LogEvent &B) { return A.Time < B.Time; });
  for (const LogEvent &One : Sorted) {
    To << One.Time << " " << One.Source << " " << One.Event;
    for (const auto &[Key, Value] : One.Fields)
      if (Key != "level" && !Value.empty())
        To << " " << Key << "=" << Value;
    To << "\n";
    std::string Why = meaningOf(One.field("reason"));
    if (!Why.empty())
      To << "    " << Why << "\n";
  }
}

} // namespace hickorylift
