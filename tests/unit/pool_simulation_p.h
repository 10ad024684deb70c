/// State of one host in the simulation of pool hosts.
#pragma once

#include "pool_simulation.h"

namespace tarragonbridge::pool {

/// @returns the name of a host, which is also its address
inline std::string hostName(std::size_t Host) {
  return "host-" + std::to_string(Host);
}

struct pool_simulation::simulated_host {
  pool_init Init;
  microseconds ClockStep{};     ///< of its time of day
  pool_host Host;               ///< null: dead
  std::uint64_t Generation = 0; ///< rises with each start and kill
  boot_time TimerAt = boot_time::max();
  bool IsPaused = false;
  bool HasShutDown = false;
  boot_time EndedAt; ///< of the latest process; epoch: none has ended
  std::vector<event> DeferredEvents; ///< handled when it is resumed
};

} // namespace tarragonbridge::pool
