/// The record that a target writes of its starts and ends.
#pragma once

#include "tarragonbridge/error.h"
#include "tarragonbridge/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// One line of a target's record.
struct target_line {
  wall_time At;
  std::string Event; ///< "start", or how the task ended, such as "done"
  std::string Task;  ///< <key>#<index>
  std::uint32_t Attempt = 0;
  std::string Target; ///< name of the target, not in the line itself
};

/// Parses one line of key=value pairs.
///
/// @returns nothing when a needed pair is missing or out of form; a line that
/// was cut off by the death of its writer is such a one
std::optional<target_line> parseTargetLine(std::string_view Line);

/// Reads a whole record. The target is named after the file, without its
/// ending.
///
/// @returns the lines in the order of the file, or an error that names the file
result<std::vector<target_line>> readTargetRecord(const std::string &File);

/// @returns the key of the job that a task belongs to
std::string jobKeyOf(std::string_view Task);

} // namespace tarragonbridge
