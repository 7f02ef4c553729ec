#include "base/Log.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cctype>

#include <poll.h>
#include <unistd.h>

// Nothing that a node does may wait for whoever reads its log. The library's
// own appender blocks when a pipe is full; ours asks first, and counts the line
// as dropped. A pipe that says it takes more takes PIPE_BUF bytes at least, and
// lines are cut to less.

namespace hickorylift {

namespace {

log4cplus::Logger &logger() {
  static log4cplus::Logger Instance =
      log4cplus::Logger::getInstance("hickorylift");
  return Instance;
}

constexpr size_t MaxLineBytes = 2048;
uint64_t DroppedLines = 0;

/// Writes a line to standard output if that takes it at once.
class PatientAppender final : public log4cplus::Appender {
public:
  ~PatientAppender() override { this->destructorImpl(); }
  void close() override { this->closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    std::string Line = this->formatEvent(Event);
    if (Line.size() > MaxLineBytes) {
      Line.resize(MaxLineBytes - 1);
      Line += '\n';
    }
    pollfd Out{STDOUT_FILENO, POLLOUT, 0};
    bool Takes = poll(&Out, 1, 0) == 1 && (Out.revents & POLLOUT) != 0;
    bool Wrote = Takes && write(STDOUT_FILENO, Line.data(), Line.size()) ==
                              static_cast<ssize_t>(Line.size());
    DroppedLines += Wrote ? 0 : 1;
  }
};

bool needsQuotes(std::string_view Value) {
  for (char C : Value)
    if (C <= ' ' || C == '"' || C == '=' || C == 0x7f)
      return true;
  return Value.empty();
}

void appendQuoted(std::string &Text, std::string_view Value) {
  Text += '"';
  for (char C : Value) {
    if (C == '"' || C == '\\')
      Text += '\\';
    Text += static_cast<unsigned char>(C) < ' ' || C == 0x7f ? '?' : C;
  }
  Text += '"';
}

} // namespace

uint64_t droppedLogLines() { return DroppedLines; }

// log4cplus keeps a pool of threads for appenders that write behind. We use
// none; one, idle, is the least that the library allows.
void startLog(const std::string &Level) {
  static log4cplus::Initializer Library;
  log4cplus::setThreadPoolSize(1);
  log4cplus::SharedAppenderPtr Out(new PatientAppender());
  Out->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "ts=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
  logger().addAppender(Out);
  setLogLevel(Level);
}

void setLogLevel(const std::string &Level) {
  std::string Upper = Level;
  for (char &C : Upper)
    C = static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  logger().setLogLevel(log4cplus::getLogLevelManager().fromString(Upper));
}

LogLine::LogLine(std::string_view Event) { this->add("event", Event); }

LogLine &LogLine::add(std::string_view Key, std::string_view Value) {
  if (!this->Text.empty())
    this->Text += ' ';
  this->Text.append(Key);
  this->Text += '=';
  if (needsQuotes(Value))
    appendQuoted(this->Text, Value);
  else
    this->Text.append(Value);
  return *this;
}

LogLine &LogLine::add(std::string_view Key, uint64_t Value) {
  return this->add(Key, std::string_view(std::to_string(Value)));
}

void LogLine::debug() const { LOG4CPLUS_DEBUG(logger(), this->Text); }
void LogLine::info() const { LOG4CPLUS_INFO(logger(), this->Text); }
void LogLine::warn() const { LOG4CPLUS_WARN(logger(), this->Text); }
void LogLine::error() const { LOG4CPLUS_ERROR(logger(), this->Text); }

} // namespace hickorylift
