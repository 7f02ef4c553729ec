#ifndef HICKORYLIFT_BASE_LOG_H
#define HICKORYLIFT_BASE_LOG_H

#include <cstdint>
#include <string>
#include <string_view>

// One line of key=value pairs for each event:
//
//   LogLine("version-in-force").add("version", 12).add("from", Peer).info();
//
// prints  ts=... level=INFO event=version-in-force version=12 from=...

namespace hickorylift {

/// Sends log4cplus to standard output. Call once, before the first line.
/// Level: "debug", "info", "warn" or "error".
void startLog(const std::string &Level);
/// Lines left out since the start because nobody read the output in time.
uint64_t droppedLogLines();
/// From now on, lines below Level are left out.
void setLogLevel(const std::string &Level);

class LogLine {
public:
  explicit LogLine(std::string_view Event);

  /// Values with spaces, quotes or line ends are quoted and escaped, so a
  /// hostile header cannot forge a second event.
  LogLine &add(std::string_view Key, std::string_view Value);
  LogLine &add(std::string_view Key, uint64_t Value);

  void debug() const;
  void info() const;
  void warn() const;
  void error() const;

  const std::string &text() const { return this->Text; }

private:
  std::string Text;
};

} // namespace hickorylift

#endif
