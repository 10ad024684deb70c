/// Load on simulated pool hosts, and what its callers get.
#pragma once

#include "pool_simulation.h"

namespace tarragonbridge::pool {

/// One kind of request.
struct load_kind {
  std::string Route;
  double PerSecond = 0;
  double Tasks = 1;    ///< mean
  milliseconds Work{}; ///< mean of a job's, at speed 1
};

struct load_init {
  std::size_t Hosts = 1;
  std::vector<load_kind> Kinds;
  double Factor = 1;          ///< of all kinds' rates
  double Spread = 0.4;        ///< of jobs' work and width, logarithmic
  double Uneven = 0.15;       ///< of the tasks of one job, logarithmic
  double EstimateError = 0.4; ///< logarithmic
  std::uint64_t Seed = 1;
};

/// The mix of the sites that the hosts serve, at the rate of 48 targets.
std::vector<load_kind> deskMix();

/// What callers of one kind of request got.
struct load_report {
  std::size_t Asked = 0;
  std::size_t InTime = 0; ///< within the objective by the work that was done
  std::size_t Late = 0;
  std::size_t Refused = 0; ///< at once, nothing ran
  std::size_t GivenUp = 0;

  double inTimePart() const { return part(InTime); }
  double givenUpPart() const { return part(GivenUp); }
  double part(std::size_t Count) const {
    return Asked == 0 ? 0
                      : static_cast<double>(Count) / static_cast<double>(Asked);
  }
};

/// Submits jobs at random moments and hosts.
class pool_load {
public:
  pool_load(pool_simulation &World, const load_init &Init);
  void runFor(milliseconds Time);
  /// Rates from now on, over those of the start.
  void setFactor(double Factor) { Init.Factor = Factor; }
  /// @returns what callers of jobs posted in a span got, once all are answered
  load_report report(boot_time From, boot_time To) const;

private:
  struct posted_job {
    boot_time At;
    request_handle Request{};
    milliseconds Objective{};
  };
  void post(const load_kind &Kind);
  double spread(double Sigma);

  pool_simulation &World;
  load_init Init;
  std::mt19937_64 Random;
  std::vector<posted_job> Posted;
};

} // namespace tarragonbridge::pool
