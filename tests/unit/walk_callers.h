/// Callers of the simulated pool in a random walk: they submit jobs, leave, and
/// submit them again elsewhere.
#pragma once

#include "pool_simulation.h"

#include <list>
#include <random>

namespace tarragonbridge::pool {

class walk_callers {
public:
  /// @param[in] Random of the walk
  /// @param[in] Hosts number of hosts
  /// @param[in] JobsPerLongJob one job in so many runs for seconds
  walk_callers(pool_simulation &Simulation, std::mt19937_64 &Random,
               std::size_t Hosts, std::uint64_t JobsPerLongJob);

  /// Submits a new job.
  void submitNew();
  /// Submits jobs again that are due for it, and drops those with a response.
  void update();
  /// Some callers disconnect, to submit their jobs elsewhere.
  void leave();

  bool areDone() const { return Callers.empty(); }
  /// @returns a line if some have no response
  std::string describeOpen() const;
  /// @returns the host that most callers use
  std::size_t favourite() const { return Favourite; }

private:
  /// One job as its caller sees it.
  struct caller {
    simulated_job Job;
    std::size_t Host = 0;
    request_handle Request{};
    boot_time SubmittedAt;
    std::optional<boot_time> ResubmitAt;
  };

  std::size_t chooseHost();
  simulated_job makeJob();
  void submitTo(std::size_t Host, const simulated_job &Job);
  void noteBreak(caller &Caller);
  void resubmit(caller &Caller);
  milliseconds between(milliseconds From, milliseconds To);

  pool_simulation &Simulation;
  std::mt19937_64 &Random;
  std::size_t Hosts;
  std::uint64_t JobsPerLongJob;
  std::size_t Favourite;
  std::uint64_t LastJobNumber = 0;
  std::list<caller> Callers; ///< without a final response
};

} // namespace tarragonbridge::pool
