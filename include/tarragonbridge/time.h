/// Clocks and times of the dispatcher.
#pragma once

#include <chrono>

namespace tarragonbridge {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Monotonic clock that keeps counting while the machine is suspended.
struct boot_clock {
  using duration = microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true; // NOLINT: name set by the standard
};

using boot_time = boot_clock::time_point;
/// Time since the Unix epoch, as used on the wire.
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// The two readings that the shell takes for each event.
struct instant {
  boot_time Boot;
  wall_time Wall;
};

} // namespace tarragonbridge
