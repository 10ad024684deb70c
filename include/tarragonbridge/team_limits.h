/// Limits of one team, and the check of its use against them.
#pragma once

#include <cstdint>

namespace tarragonbridge {

/// Upper bounds of one team; zero means no limit.
struct team_limits {
  std::uint32_t MaxRunningTasks = 0;
  std::uint32_t MaxStartsPerSecond = 0;
  std::uint32_t MaxCores = 0;
  std::uint64_t MaxMemoryMb = 0;
  std::uint32_t MaxAccelerators = 0;
  std::uint64_t MaxQueuedTasks = 0;
  std::uint64_t MaxQueuedBytes = 0;

  bool operator==(const team_limits &) const = default;
};

} // namespace tarragonbridge
