/// Health of a target: tells one that fails everything it starts.
#pragma once

#include "tarragonbridge/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragonbridge {

enum class health_state : std::uint8_t {
  Well,
  Aside,   ///< gets no work
  Probing, ///< gets one task at a time until one is done
};

/// Judges a target by the ends of its tasks.
///
/// @remarks Failures of one job count once, so that a bad job doesn't make a
/// bad target. After FailuresUntilAside jobs failed in a row the target is set
/// aside, for twice as long each time, and is then probed by one task at a
/// time. A task that is done makes it well again.
class target_health {
public:
  /// A task gave its result.
  void onDone();

  /// A task of a job failed, or its reply was lost.
  ///
  /// @returns whether the target should be set aside now
  bool onFailed(std::string_view JobKey);

  /// Sets the target aside. @returns until when
  boot_time setAside(boot_time Now);

  health_state state(boot_time Now) const;

private:
  std::uint32_t FailedJobs = 0; ///< in a row, each counted once
  std::string LastJob;
  milliseconds AsideTime{}; ///< zero: well
  boot_time AsideUntil;
};

} // namespace tarragonbridge
