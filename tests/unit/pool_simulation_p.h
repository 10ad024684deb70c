/// What the simulation of pool hosts keeps of each.
#pragma once

#include "pool_simulation.h"

namespace tarragonbridge::pool {

/// @returns the name of a host, which is its address too
inline std::string hostName(std::size_t Host) {
  return "host-" + std::to_string(Host);
}

struct pool_simulation::simulated_host {
  pool_init Init;
  pool_host Host; ///< null: dead
  std::uint64_t Life = 0;
  boot_time TimerAt = boot_time::max();
  bool IsFrozen = false;
  bool HasEnded = false;
  std::vector<event> Held; ///< events while it is frozen
};

} // namespace tarragonbridge::pool
