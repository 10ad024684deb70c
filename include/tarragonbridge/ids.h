/// Typed handles and identities that events and effects share.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace tarragonbridge {

/// A request of a caller that waits for its answer.
enum class request_handle : std::uint64_t {};

/// One attempt at one task.
struct attempt_id {
  std::string Key; ///< key of the job
  std::uint32_t Task = 0;
  std::uint32_t Attempt = 0;

  bool operator==(const attempt_id &) const = default;
  bool operator<(const attempt_id &Other) const {
    return std::tie(Key, Task, Attempt) <
           std::tie(Other.Key, Other.Task, Other.Attempt);
  }
};

/// @returns the name of the task on the wire: <key>#<index>
std::string formatTaskId(const attempt_id &Id);

} // namespace tarragonbridge
