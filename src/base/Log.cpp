#include "base/Log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cctype>
#include <sstream>

namespace hickorylift {

namespace {

log4cplus::Logger &logger() {
  static log4cplus::Logger Instance =
      log4cplus::Logger::getInstance("hickorylift");
  return Instance;
}

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

// log4cplus keeps a pool of threads for appenders that write behind. We use
// none; one, idle, is the least that the library allows.
void startLog(const std::string &Level) {
  static log4cplus::Initializer Library;
  std::string Upper = Level;
  for (char &C : Upper)
    C = static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  std::istringstream Text(
      "log4cplus.threadPoolSize=1\n"
      "log4cplus.rootLogger=" +
      Upper +
      ", out\n"
      "log4cplus.appender.out=log4cplus::ConsoleAppender\n"
      "log4cplus.appender.out.logToStdErr=false\n"
      "log4cplus.appender.out.ImmediateFlush=true\n"
      "log4cplus.appender.out.layout=log4cplus::PatternLayout\n"
      "log4cplus.appender.out.layout.ConversionPattern="
      "ts=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n\n");
  log4cplus::PropertyConfigurator(Text).configure();
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
