/// Recent refusals for lack of room. In a crowd beyond the room, placing each
/// job takes more processor time than a host has: a job that would wait as long
/// as one that was just refused is refused without being placed.
#pragma once

#include "tarragonbridge/pool/config.h"
#include "tarragonbridge/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace tarragonbridge::pool {

/// What decides whether a job finds room.
struct room_demand {
  std::size_t Level = 0; ///< of urgency
  std::size_t Tasks = 0;
  milliseconds Slack{}; ///< wait that its objective allows
};

class recent_refusals {
public:
  /// @param[in] Wait predicted for the refused job
  void record(const room_demand &Refused, milliseconds Wait, boot_time Now);
  /// @returns the wait predicted for a job that was refused within
  /// config::RefusalMemoryTime, if it is too long for this one too: the refused
  /// one was as urgent and no larger
  std::optional<milliseconds> findWait(const room_demand &Demand,
                                       boot_time Now) const;

private:
  struct refusal {
    boot_time At; ///< epoch: none
    std::size_t Tasks = 0;
    milliseconds Wait{};
  };
  static bool isRecent(const refusal &Refusal, boot_time Now) {
    return Refusal.At != boot_time{} &&
           Refusal.At + config::RefusalMemoryTime > Now;
  }

  std::array<refusal, config::UrgencyLevels> Refusals; ///< by level
};

} // namespace tarragonbridge::pool
