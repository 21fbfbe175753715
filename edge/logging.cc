#include "edge/logging.h"

#include <iostream>
#include <utility>

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>

#include "goldcrest/json_reader.h"

namespace goldcrest {
namespace {

namespace expressions = boost::log::expressions;

using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

Logger& TheLogger() {
  static Logger logger;
  return logger;
}

std::vector<LogField>& CommonFields() {
  static std::vector<LogField> fields;
  return fields;
}

std::string_view NameOf(LogLevel level) {
  constexpr std::string_view kNames[] = {"debug", "info", "warning", "error"};
  return kNames[static_cast<int>(level)];
}

bool NeedsQuotes(const std::string& value) {
  return value.empty() ||
         value.find_first_of(" =\"\\\t\r\n") != std::string::npos;
}

void AppendField(const LogField& field, std::string& line) {
  line += ' ';
  line += field.key;
  line += '=';
  line += NeedsQuotes(field.value) ? JsonQuote(field.value) : field.value;
}

}  // namespace

bool StartLogging(const std::string& level, std::vector<LogField> fields) {
  for (const LogLevel lowest : {LogLevel::kDebug, LogLevel::kInfo,
                                LogLevel::kWarning, LogLevel::kError}) {
    if (NameOf(lowest) != level) {
      continue;
    }
    CommonFields() = std::move(fields);
    boost::log::add_console_log(
        std::clog, boost::log::keywords::format = expressions::stream
                                                  << expressions::smessage);
    boost::log::core::get()->set_filter(
        expressions::attr<LogLevel>("Severity") >= lowest);
    return true;
  }
  return false;
}

std::string FormatLog(const LogEvent& event) {
  std::string line = "level=" + std::string(NameOf(event.level)) +
                     " event=" + std::string(event.event);
  for (const LogField& field : CommonFields()) {
    AppendField(field, line);
  }
  for (const LogField& field : event.fields) {
    AppendField(field, line);
  }
  return line;
}

void WriteLog(const LogEvent& event) {
  const std::string time = Poco::DateTimeFormatter::format(
      Poco::Timestamp(), "%Y-%m-%dT%H:%M:%S.%iZ");
  BOOST_LOG_SEV(TheLogger(), event.level)
      << "time=" << time << ' ' << FormatLog(event);
}

}  // namespace goldcrest
