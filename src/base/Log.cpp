#include "base/Log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

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

void startLog(const std::string &Level) {
  // No thread pool: the process has one loop on one thread.
  static log4cplus::Initializer Library;
  log4cplus::SharedAppenderPtr Out(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true, true));
  Out->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "ts=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
  logger().addAppender(Out);
  logger().setAdditivity(false);
  log4cplus::LogLevel Threshold = log4cplus::INFO_LOG_LEVEL;
  if (Level == "debug")
    Threshold = log4cplus::DEBUG_LOG_LEVEL;
  if (Level == "warn")
    Threshold = log4cplus::WARN_LOG_LEVEL;
  if (Level == "error")
    Threshold = log4cplus::ERROR_LOG_LEVEL;
  logger().setLogLevel(Threshold);
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
