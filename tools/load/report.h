/// The figures of a run, as a table and as JSON.
#pragma once

#include "load/callers.h"
#include "load/waste.h"

#include <iosfwd>
#include <json/json.h>
#include <string>

namespace tarragonbridge {

/// Distribution of response time over ideal.
struct slowdown_figures {
  double Mean = 0;
  double P50 = 0;
  double P99 = 0;
};

/// @returns figures of a sample, zeros for an empty one
slowdown_figures summarize(const std::vector<double> &Slowdowns);

struct run_figures {
  std::string Mix;
  double OfferedLoad = 0;
  std::uint64_t Seed = 0;
  std::size_t Jobs = 0;
  std::size_t Tasks = 0;
  std::size_t Complete = 0;
  slowdown_figures Slowdown; ///< of complete jobs
  slowdown_figures Limit;    ///< of all jobs, scheduled offline
  double StartsPerSecond = 0;
  double WastedPerTask = 0;
  std::map<std::string, std::uint64_t> Unfinished; ///< jobs by reason
  std::map<std::string, std::uint64_t> ResubmissionAnswers;
  message_counts Messages;
};

/// Works the figures out of a run.
///
/// @param[in] Init what was asked for
/// @param[in] Jobs the plan of the run
/// @param[in] Outcome what became of the jobs
/// @param[in] Messages what was sent to targets
/// @param[in] Trip caller's round trip, part of the ideal
run_figures makeFigures(const arrivals_init &Init,
                        const std::vector<planned_job> &Jobs,
                        const callers_outcome &Outcome, message_counts Messages,
                        microseconds Trip);

Json::Value toJson(const run_figures &Figures);
void printTable(std::ostream &Out, const run_figures &Figures);

} // namespace tarragonbridge
