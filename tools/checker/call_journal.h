/// The record that callers write of their submissions and answers: JSON lines.
#pragma once

#include "tarragonbridge/error.h"
#include "tarragonbridge/time.h"

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// What a line of the record tells.
enum class call_event : std::uint8_t {
  Submitted, ///< a caller sent a job
  Answered,  ///< a caller got a whole answer
  Leaving,   ///< a target began to leave
  Down,      ///< a target was killed or paused
};

/// One line of the record.
struct call_line {
  call_event Event = call_event::Submitted;
  wall_time At;
  std::string Key;         ///< of the job, empty for events of targets
  std::string Peer;        ///< address asked, or the name of the target
  bool Repeatable = false; ///< Submitted only
  std::size_t Tasks = 0;   ///< Submitted only
  int Status = 0;          ///< Answered only
  std::string Body;        ///< Answered only, JSON text
};

/// @returns a line as JSON text, without its end of line
std::string formatCallLine(const call_line &Line);

/// Parses a line of the record. @returns the line, or what is wrong with it
result<call_line> parseCallLine(std::string_view Text);

/// Reads a whole record.
result<std::vector<call_line>> readCallJournal(const std::string &File);

/// The echo that every task of a job carries, by which its answer is known.
std::string echoOf(std::string_view Key, std::size_t Task);

/// Appends lines to a file, from any thread.
class call_journal {
public:
  /// @param[in] File path; empty: lines are dropped
  explicit call_journal(const std::string &File);

  void write(const call_line &Line);

private:
  std::mutex Mutex;
  std::ofstream Stream; ///< guarded by Mutex
};

} // namespace tarragonbridge
