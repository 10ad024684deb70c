#include "base/clock.h"

#include <ctime>

namespace tarragonbridge {

boot_time bootNow() {
  timespec Reading{};
  clock_gettime(CLOCK_BOOTTIME, &Reading);
  const auto Elapsed = std::chrono::seconds(Reading.tv_sec) +
                       std::chrono::nanoseconds(Reading.tv_nsec);
  return boot_time(std::chrono::duration_cast<microseconds>(Elapsed));
}

wall_time wallNow() {
  return std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
}

instant instantNow() { return {bootNow(), wallNow()}; }

} // namespace tarragonbridge
