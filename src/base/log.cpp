#include "base/log.h"

#include "base/clock.h"
#include "core/json_text.h"

#include <algorithm>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <climits>
#include <cstdlib>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace tarragonbridge {

namespace {
namespace sinks = boost::log::sinks;

constexpr std::size_t MaxQueuedLines = 4'096;
constexpr std::size_t MaxBufferedBytes = 1U << 20U;

std::atomic<std::uint64_t> LinesDropped{0};
std::atomic<std::uint64_t> LinesSuppressed{0};

// NOLINTBEGIN(readability-identifier-naming): names set by Boost.Log
/// Overflow strategy of the queue: counts lines that don't fit and drops them.
struct count_and_drop {
  template <class Lock>
  static bool on_overflow(const boost::log::record_view &, Lock &) {
    ++LinesDropped;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};
// NOLINTEND(readability-identifier-naming)

/// Buffers lines and writes them to standard output.
class output_backend
    : public sinks::basic_formatted_sink_backend<char,
                                                 sinks::synchronized_feeding> {
public:
  explicit output_backend(bool MayBlock) : MayBlock(MayBlock) {}

  void consume(const boost::log::record_view &, const std::string &Line) {
    if (Buffer.size() + Line.size() >= MaxBufferedBytes) {
      ++LinesDropped;
      return;
    }
    Buffer += Line;
    Buffer += '\n';
    if (MayBlock) {
      writeOut();
    }
  }
  /// Writes the buffer: all of it if writing may block, else as much as the
  /// output accepts without blocking.
  void writeOut() {
    std::size_t Written = 0;
    while (Written < Buffer.size() && (MayBlock || isWritable())) {
      // A writable pipe accepts PIPE_BUF bytes without blocking.
      const std::size_t Length =
          std::min<std::size_t>(Buffer.size() - Written, PIPE_BUF);
      const ssize_t Count =
          write(STDOUT_FILENO, Buffer.data() + Written, Length);
      if (Count < 0 && errno != EINTR) {
        break;
      }
      Written += static_cast<std::size_t>(std::max<ssize_t>(Count, 0));
    }
    Buffer.erase(0, Written);
  }
  void setMayBlock() { MayBlock = true; }

private:
  static bool isWritable() {
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&Output, 1, 0) > 0 && (Output.revents & POLLOUT) != 0;
  }

  bool MayBlock;
  std::string Buffer;
};

using queue_sink = sinks::asynchronous_sink<
    output_backend, sinks::bounded_fifo_queue<MaxQueuedLines, count_and_drop>>;

/// State of this process's log.
struct process_log {
  log_init Init;
  boost::shared_ptr<output_backend> Backend;
  boost::shared_ptr<queue_sink> Sink;
  std::mutex Mutex;
  log_rate_limiter RateLimiter{{}}; ///< guarded by Mutex
};

process_log &processLog() {
  static process_log Log;
  return Log;
}

std::string quoteIfNeeded(const std::string &Value) {
  const bool IsPlain = !Value.empty() &&
                       Value.find_first_of(" \t\r\n\"=\\") == std::string::npos;
  return IsPlain ? Value : quoteJson(Value);
}

std::string formatLine(std::string_view Event, const log_fields &Fields) {
  std::string Line = "at_ms=";
  Line += std::to_string(wallNow().time_since_epoch().count());
  Line.append(" process=").append(processLog().Init.Process);
  Line.append(" event=").append(Event);
  for (const auto &[Key, Value] : Fields) {
    Line.append(" ").append(Key).append("=").append(quoteIfNeeded(Value));
  }
  return Line;
}

void enqueue(const std::string &Line) {
  static boost::log::sources::severity_logger_mt<> Logger;
  BOOST_LOG(Logger) << Line;
}
} // namespace

void initLog(log_init Init) {
  process_log &Log = processLog();
  const bool HasThread = Init.Writer == log_writer::Thread;
  Log.RateLimiter = log_rate_limiter(Init.Limits);
  Log.Init = std::move(Init);
  Log.Backend = boost::make_shared<output_backend>(HasThread);
  Log.Sink = boost::make_shared<queue_sink>(Log.Backend, HasThread);
  Log.Sink->set_formatter(boost::log::expressions::stream
                          << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(Log.Sink);
  std::atexit(endLog);
}

void logEvent(std::string_view Event, const log_fields &Fields) {
  process_log &Log = processLog();
  if (!Log.Sink) {
    return;
  }
  const std::string Line = formatLine(Event, Fields);
  const boot_time Now = bootNow();
  const std::lock_guard Lock(Log.Mutex);
  for (const auto &[SuppressedEvent, Count] :
       Log.RateLimiter.extractSuppressed(Now)) {
    LinesSuppressed += Count;
    enqueue(formatLine("lines_summed", {{"of", SuppressedEvent},
                                        {"count", std::to_string(Count)}}));
  }
  if (Log.RateLimiter.admit(Event, Line.size(), Now)) {
    enqueue(Line);
  }
}

void flushLog() {
  process_log &Log = processLog();
  if (Log.Sink && Log.Init.Writer == log_writer::Caller) {
    Log.Sink->feed_records();
    Log.Backend->writeOut();
  }
}

void endLog() {
  process_log &Log = processLog();
  if (!Log.Sink) {
    return;
  }
  boost::log::core::get()->remove_sink(Log.Sink);
  if (Log.Init.Writer == log_writer::Thread) {
    Log.Sink->stop();
  }
  Log.Sink->feed_records();
  Log.Backend->setMayBlock();
  Log.Backend->writeOut();
  Log.Sink.reset();
}

log_metrics logMetrics() { return {LinesDropped, LinesSuppressed}; }

} // namespace tarragonbridge
