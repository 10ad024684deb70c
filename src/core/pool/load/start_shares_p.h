/// Shares of an owner's time that levels of urgency get: what less urgent work
/// is owed, and how much more urgent work overtakes it.
#pragma once

#include "tarragonbridge/pool/config.h"
#include "tarragonbridge/pool/types.h"

#include <array>
#include <cstddef>
#include <optional>

namespace tarragonbridge::pool {

/// An owner's account of the time that its targets give to each level.
class start_shares {
public:
  /// Levels up to Upper have had their share while less urgent work waited: a
  /// task of a level above Lower goes before those from Upper on.
  struct owed_start {
    std::size_t Upper = 0;
    std::size_t Lower = 0;
  };

  /// @param[in] RunTime expected on its target
  /// @param[in] LeastUrgent the least urgent level that waits and can be in
  /// time, nothing if none waits
  void recordStart(std::size_t Level, milliseconds RunTime,
                   std::optional<std::size_t> LeastUrgent, boot_time Now);
  /// @returns what is to go first by its share, if anything
  std::optional<owed_start> owed(std::size_t LeastUrgent) const;
  /// @param[in] HasLessUrgent less urgent work waits, which gets its share
  /// @param[in] Slots of the owner, at least one
  /// @returns the fraction of the owner's time that is left to a level
  double fractionLeft(std::size_t Level, bool HasLessUrgent,
                      std::uint32_t Slots, boot_time Now) const;

private:
  /// Run times of the starts of each level, decayed: the recent rate times
  /// config::StartRateWindow.
  std::array<double, config::UrgencyLevels> RecentMs{};
  boot_time DecayedAt;
  /// By level: time owed to all less urgent levels together for its own time.
  std::array<double, config::UrgencyLevels - 1> OwedMs{};

  double decaySince(boot_time Now) const;
};

} // namespace tarragonbridge::pool
