/// Expected times of jobs, and jobs that are sure to miss their deadline.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Times of a job's tasks on an average target.
///
/// @remarks A task surely takes its learnt time less two standard deviations
/// and a margin for fast targets. Without a learnt time a tenth of the declared
/// one counts, as it may be off by that much, and a missing one nothing.
struct job_times {
  milliseconds Longest{};     ///< expected time of the longest task
  microseconds SureLongest{}; ///< what its longest task surely takes
  microseconds SureTotal{};   ///< what all its tasks surely take
};

job_times timesOf(const dispatcher_state &State, const job_request &Job);
job_times timesOf(const dispatcher_state &State, const job_record &Job);

/// @returns when a job that arrives now is due for its turn in the queue of
/// its team
boot_time rankOf(const job_times &Times, instant Now);

/// @returns whether the work of its team that goes first and its own work take
/// the job past its deadline for certain
bool isSurelyLate(const dispatcher_state &State, const job_request &Job,
                  instant Now);

} // namespace tarragonbridge
