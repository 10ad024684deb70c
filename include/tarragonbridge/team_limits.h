/// Limits of one team, and the check of its use against them.
#pragma once

#include "tarragonbridge/job.h"
#include "tarragonbridge/time.h"

#include <cstdint>
#include <limits>
#include <optional>

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

/// @returns whether a task with these needs could ever start under the limits
bool everAllows(const team_limits &Limits, const resources &Needs);

/// What one host may use of a team's limits; zero allows nothing.
struct limit_share {
  static constexpr std::uint64_t Unlimited =
      std::numeric_limits<std::uint64_t>::max();

  std::uint64_t RunningTasks = Unlimited;
  std::uint64_t StartsPerSecond = Unlimited;
  std::uint64_t Cores = Unlimited;
  std::uint64_t MemoryMb = Unlimited;
  std::uint64_t Accelerators = Unlimited;
};

/// @returns the share of a host that uses the limits alone
limit_share wholeShare(const team_limits &Limits);

/// What the running tasks of a team hold.
struct team_use {
  std::uint64_t RunningTasks = 0;
  std::uint64_t Cores = 0;
  std::uint64_t MemoryMb = 0;
  std::uint64_t Accelerators = 0;
};

/// The limit that holds up a task.
enum class limit_kind : std::uint8_t {
  RunningTasks,
  StartsPerSecond,
  Cores,
  MemoryMb,
  Accelerators
};

/// Holds the use of one team at one host under its share of the limits.
///
/// @remarks A task that needs more of a resource than the share of this host
/// runs while the team uses none of it here, so each host may exceed its share
/// by one task. Callers check needs by everAllows() first.
/// @remarks Starts are paced evenly, after a burst of up to BurstWindow: in
/// any period P at most StartsPerSecond * (P + BurstWindow) + 1 tasks start.
class team_limiter {
public:
  static constexpr microseconds BurstWindow{100'000};

  void setShare(const limit_share &NewShare) { Share = NewShare; }

  /// @returns the first limit that forbids a start now, or nothing
  std::optional<limit_kind> boundBy(const resources &Needs,
                                    boot_time Now) const;

  /// @returns when the rate of starts next allows one; the end of time when
  /// it allows none
  boot_time nextStart() const;

  void onStarted(const resources &Needs, boot_time Now);
  void onEnded(const resources &Needs);

  const team_use &use() const { return Use; }

private:
  limit_share Share;
  team_use Use;
  boot_time PacedUntil; ///< time up to which the starts so far use the rate
};

} // namespace tarragonbridge
