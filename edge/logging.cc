#include "edge/logging.h"

#include <unistd.h>

#include <mutex>
#include <optional>
#include <utility>

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include "edge/log_limiter.h"
#include "edge/log_writer.h"
#include "edge/socket_loop.h"
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

LogWriter& TheWriter() {
  static LogWriter writer(STDOUT_FILENO);
  return writer;
}

// The rate limiter of all threads and the mutex that guards it.
struct SharedLimiter {
  std::mutex mutex;
  LogLimiter limiter;
};

SharedLimiter& TheLimiter() {
  static SharedLimiter limiter;
  return limiter;
}

// Boost.Log sink that passes formatted lines to the writer.
class WriterBackend : public boost::log::sinks::basic_formatted_sink_backend<
                          char,
                          boost::log::sinks::concurrent_feeding> {
 public:
  void consume(  // NOLINT(readability-identifier-naming): Boost's name
      const boost::log::record_view& /*record*/,
      const std::string& line) {
    TheWriter().Write(line);
  }
};

std::string_view ToString(LogLevel level) {
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
    if (ToString(lowest) != level) {
      continue;
    }
    CommonFields() = std::move(fields);
    using Sink = boost::log::sinks::synchronous_sink<WriterBackend>;
    const auto sink = boost::make_shared<Sink>();
    sink->set_formatter(expressions::stream << expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    boost::log::core::get()->set_filter(
        expressions::attr<LogLevel>("Severity") >= lowest);
    return true;
  }
  return false;
}

std::string FormatLog(const LogEvent& event) {
  std::string line = "level=" + std::string(ToString(event.level)) +
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
  std::optional<uint64_t> suppressed;
  {
    SharedLimiter& shared = TheLimiter();
    const std::lock_guard<std::mutex> lock(shared.mutex);
    suppressed =
        shared.limiter.Admit(event.event, event.level, MonotonicMicros());
  }
  if (!suppressed) {
    return;
  }
  const std::string time = Poco::DateTimeFormatter::format(
      Poco::Timestamp(), "%Y-%m-%dT%H:%M:%S.%iZ");
  std::string line = "time=" + time + ' ' + FormatLog(event);
  if (*suppressed > 0) {
    line += " left_out_before=" + std::to_string(*suppressed);
  }
  BOOST_LOG_SEV(TheLogger(), event.level) << line;
}

void FlushLog() {
  TheWriter().Flush();
}

LogLosses CountLogLosses() {
  SharedLimiter& shared = TheLimiter();
  const std::lock_guard<std::mutex> lock(shared.mutex);
  return {shared.limiter.suppressed(), TheWriter().dropped()};
}

}  // namespace goldcrest
