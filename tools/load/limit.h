/// The response times that a scheduler with full knowledge would reach.
#pragma once

#include "load/arrivals.h"

#include <vector>

namespace tarragonbridge {

/// @returns the least response time of a job on idle targets: its longest task
/// at the fastest speed
microseconds idealResponse(const planned_job &Job,
                           const std::vector<target_shape> &Targets);

/// Schedules all jobs with their true run times and speeds known.
///
/// @param[in] Jobs in order of arrival
/// @param[in] Targets with at least one slot among them
/// @returns the response time of each job, from its arrival to the end of its
/// last task
/// @remarks A list schedule, not an optimum: the job with the least work left
/// goes first, its longest task first, each on the slot where it ends first.
std::vector<microseconds>
scheduleOffline(const std::vector<planned_job> &Jobs,
                const std::vector<target_shape> &Targets);

} // namespace tarragonbridge
