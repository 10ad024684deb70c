/// Generates load on simulated pool hosts and reports the responses.
#pragma once

#include "pool_simulation.h"

#include <map>
#include <string>

namespace tarragonbridge::pool {

/// One kind of request.
struct request_kind {
  std::string Route;
  double PerSecond = 0;
  double Tasks = 1;       ///< mean
  milliseconds RunTime{}; ///< mean over jobs, of one task at speed 1
  double Worth = 1;       ///< of a job of mean size done within its objective
};

struct load_generator_init {
  std::size_t Hosts = 1;
  std::vector<request_kind> Kinds;
  double RateFactor = 1;   ///< multiplies the rates of all kinds
  double JobSigma = 0.4;   ///< log-normal: run time and number of tasks of jobs
  double TaskSigma = 0.15; ///< log-normal: run times within a job
  double EstimateSigma = 0.4; ///< log-normal: estimated run times
  std::uint64_t Seed = 1;
};

/// @returns the request mix of the users' sites, at the rates for 48 targets
std::vector<request_kind> siteRequestMix();

/// Numbers of jobs by their response.
struct load_report {
  std::size_t Submitted = 0;
  /// Done within the objective that follows from the exact run times.
  std::size_t WithinObjective = 0;
  std::size_t Late = 0;      ///< done past the objective
  std::size_t Refused = 0;   ///< as overloaded
  std::size_t Abandoned = 0; ///< any other response, or none

  /// What callers were owed and what they got; a late job counts in part.
  struct worth {
    double Owed = 0;
    double Earned = 0;
    std::size_t Submitted = 0;
    std::size_t Late = 0;    ///< done past the objective
    std::size_t Refused = 0; ///< as overloaded
    double fraction() const { return Owed > 0 ? Earned / Owed : 0; }
  };
  worth Worth; ///< of all jobs
  std::map<std::string, worth> WorthByRoute;

  double withinObjectiveFraction() const { return fraction(WithinObjective); }
  double abandonedFraction() const { return fraction(Abandoned); }
  double fraction(std::size_t Count) const {
    return Submitted == 0
               ? 0
               : static_cast<double>(Count) / static_cast<double>(Submitted);
  }
};

/// Submits jobs to random hosts at random times (a Poisson process).
class load_generator {
public:
  load_generator(pool_simulation &Simulation, const load_generator_init &Init);
  void runFor(milliseconds Time);
  /// Sets the multiplier of all rates.
  void setRateFactor(double RateFactor) { Init.RateFactor = RateFactor; }
  /// @returns the report on jobs submitted in [From, To); all must have ended
  load_report report(boot_time From, boot_time To) const;

private:
  struct submitted_job {
    boot_time At;
    request_handle Request{};
    milliseconds Objective{};
    double Worth = 1;
    std::string Route;
  };
  void submitJob(const request_kind &Kind);
  double logNormalFactor(double Sigma);

  pool_simulation &Simulation;
  load_generator_init Init;
  std::mt19937_64 Random;
  std::vector<submitted_job> SubmittedJobs;
};

} // namespace tarragonbridge::pool
