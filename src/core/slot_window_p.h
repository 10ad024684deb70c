/// How many slots of a target this host may use while others use it, too.
#pragma once

#include "tarragonbridge/config.h"
#include "tarragonbridge/time.h"

#include <algorithm>
#include <cstddef>

namespace tarragonbridge {

/// A window of slots: at once the share, past it one probe at a time.
///
/// @remarks A refusal for want of a slot narrows the window to what is running
/// and doubles the time to the next probe; a probe that the target took widens
/// the window by one and halves that time.
class slot_window {
public:
  /// Sets this host's share; the window is widened to a larger one.
  void setShare(std::size_t Slots) {
    Limit = std::max(Limit, Slots > Share ? Slots : 0);
    Share = Slots;
  }

  /// @returns attempts that may be out at the time
  std::size_t limit(boot_time Now) const {
    return Now >= GrowAt ? Limit + 1 : Limit;
  }

  /// @returns when the limit grows by itself
  boot_time growsAt() const { return GrowAt; }

  /// @returns whether the start is a probe past the window
  bool onStart(std::size_t Running, boot_time Now) {
    if (Running <= Limit) {
      return false;
    }
    GrowAt = Now + Interval;
    return true;
  }

  void onProbeTaken() {
    ++Limit;
    Interval = std::max(Interval / 2, config::MinSlotProbeInterval);
  }

  void onFull(std::size_t Running, boot_time Now) {
    Limit = std::min(Limit, Running);
    Interval = std::min(Interval * 2, config::MaxSlotProbeInterval);
    GrowAt = Now + Interval;
  }

private:
  std::size_t Share = 0;
  std::size_t Limit = 0;
  milliseconds Interval = config::MinSlotProbeInterval;
  boot_time GrowAt;
};

} // namespace tarragonbridge
