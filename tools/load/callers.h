/// Callers that submit planned jobs on time, whatever becomes of earlier ones.
#pragma once

#include "checker/call_journal.h"
#include "load/arrivals.h"
#include "tarragonbridge/error.h"

#include <map>
#include <string>
#include <vector>

namespace tarragonbridge {

struct callers_init {
  std::vector<std::string> Entries; ///< addresses of entry hosts
  std::string Team = "default";
  milliseconds TimeLimit{30'000};
  bool ResubmitElsewhere = false; ///< resubmissions go to another entry host
};

enum class job_state : std::uint8_t { Unanswered, Complete, Failed, Refused };

/// What became of one job.
struct job_outcome {
  job_state State = job_state::Unanswered;
  std::string Reason;      ///< of a failure or refusal
  microseconds Response{}; ///< from the planned arrival to the whole answer
};

/// What became of a run.
struct callers_outcome {
  std::vector<job_outcome> Jobs; ///< in the order of the plan
  microseconds Length{};         ///< from the first arrival to the last answer
  std::uint64_t Sends = 0;       ///< requests, resubmissions among them
  /// Answers to resubmissions by state or reason.
  std::map<std::string, std::uint64_t> ResubmissionAnswers;
};

/// Submits all jobs and waits until each is answered or given up.
///
/// @param[in,out] Journal gets every submission and answer
/// @returns an error when an entry host opens no session at the start
result<callers_outcome> runCallers(const callers_init &Init,
                                   const std::vector<planned_job> &Jobs,
                                   call_journal &Journal);

} // namespace tarragonbridge
