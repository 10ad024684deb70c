#include "base/log.h"

#include "base/clock.h"
#include "core/json_text.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace tarragonbridge {

namespace {
std::string ProcessName;

std::string quoteIfNeeded(const std::string &Value) {
  const bool IsPlain = !Value.empty() &&
                       Value.find_first_of(" \t\r\n\"=\\") == std::string::npos;
  return IsPlain ? Value : quoteJson(Value);
}
} // namespace

void initLog(std::string_view Process) {
  ProcessName = Process;
  const auto Sink = boost::log::add_console_log(std::clog);
  Sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  Sink->locked_backend()->auto_flush(true);
}

void logEvent(std::string_view Event, const log_fields &Fields) {
  static boost::log::sources::severity_logger_mt<> Logger;
  std::string Line =
      "at_ms=" + std::to_string(wallNow().time_since_epoch().count()) +
      " process=" + ProcessName + " event=" + std::string(Event);
  for (const auto &[Key, Value] : Fields) {
    Line += " " + Key + "=" + quoteIfNeeded(Value);
  }
  BOOST_LOG(Logger) << Line;
}

} // namespace tarragonbridge
