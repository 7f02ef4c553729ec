#ifndef HICKORYLIFT_CLI_TRACE_H
#define HICKORYLIFT_CLI_TRACE_H

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// A Trace is the story of one call, from the logs of all nodes that had to do
// with it.
//
//   Trace Of("9c41d07be2a35f68");
//   Of.read("entry.log", EntryLog);
//   Of.read("gate.log", GateLog);
//   Of.print(std::cout);

namespace hickorylift {

/// One line of a node's log.
struct LogEvent {
  /// The node, or the file where lines do not name one.
  std::string Source;
  /// As the line says it; its order is that of the text.
  std::string Time;
  /// What happened.
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;

  /// Empty where there is none of that name.
  std::string field(std::string_view Name) const;
};

/// Reads "[NODE] ts=... level=... event=... key=value ...". Whatever stands
/// before the time is taken for the node. Nullopt for any other line.
std::optional<LogEvent> parseLogLine(std::string_view Line);

class Trace {
public:
  /// The id of the caller's attempt, or a gate's own name for the call.
  explicit Trace(std::string Id) : Id(std::move(Id)) {}

  /// Takes what concerns the call. Lines that are no events are counted and
  /// passed over: a log may begin or end in the middle of one.
  void read(const std::string &Source, std::istream &Lines);
  /// In the order of time, each with what decided it.
  void print(std::ostream &To) const;

  size_t found() const { return this->Events.size(); }
  size_t unreadable() const { return this->Unreadable; }

private:
  bool concerns(const LogEvent &One) const;

  std::string Id;
  std::vector<LogEvent> Events;
  size_t Unreadable = 0;
};

} // namespace hickorylift

#endif
