/// Counts broken promises in the records of targets and callers.
#pragma once

#include "checker/call_journal.h"
#include "checker/records.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// What must always hold. The table in promises.cpp has one row for each.
enum class promise : std::uint8_t {
  StartedOnce,   ///< no task starts while an earlier attempt may run
  AnswerWhole,   ///< every task's result, in order, or failed
  AnswerOwn,     ///< the results are those of the caller's own job
  AnswersAgree,  ///< no two answers contradict each other
  NotRunIsTrue,  ///< nothing ran of what was refused as not run
  LeavingIsIdle, ///< a leaving target gets no new work
  Count
};

/// @returns the name in reports
std::string_view nameOf(promise Promise);

struct breach {
  promise Promise = promise::StartedOnce;
  std::string Subject; ///< task, key or target
  std::string Message;
};

/// Times that the promises leave open.
struct promise_bounds {
  milliseconds LeavingGrace{5'000}; ///< for the host list to arrive
  milliseconds Lease{2'000}; ///< after it a target that is down runs nothing
};

/// Checks all promises.
///
/// @param[in] Starts lines of all targets, in any order
/// @param[in] Calls lines of all callers, in any order
/// @param[in] Bounds times allowed
/// @returns every breach found
std::vector<breach> checkPromises(std::vector<target_line> Starts,
                                  std::vector<call_line> Calls,
                                  const promise_bounds &Bounds);

} // namespace tarragonbridge
