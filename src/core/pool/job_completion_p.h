/// How jobs end: their answers, what is remembered of them and logged.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

std::string describe(milliseconds Time);
/// Ends a job: cancels what is left of it, answers and forgets it.
void finishJob(reducer_context &Ctx, const std::string &Id, response_kind Kind,
               milliseconds RetryAfter = milliseconds(0));
/// Ends a job whose tasks are all done.
void completeJob(reducer_context &Ctx, const open_job &Job);
/// Ends a job without its result. @param[in] Detail what the log tells more
void failJob(reducer_context &Ctx, const std::string &Id, response_kind Kind,
             std::string_view Reason, const std::string &Detail = "");
/// Ends a job that finds no room: refused when nothing of it can have run.
void abandonJob(reducer_context &Ctx, const std::string &Id,
                std::string_view Reason);
/// @returns when the caller of a refused job may come back
milliseconds retryAfter(const std::string &Id, milliseconds Wait);
/// @returns the hosts that have tasks of a job, and how many each
std::string describeOwners(const open_job &Job);

} // namespace tarragonbridge::pool
