/// Completion and failure of jobs: responses, log lines, records of ended jobs.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

std::string millisecondsText(milliseconds Time);
/// Sends cancellations of the tasks of a job that are offered.
void cancelOfferedTasks(reducer_context &Ctx, const open_job &Job);
/// Ends a job: cancels its offered tasks, responds to its callers and removes
/// it. A record of it is kept for resubmissions.
void finishJob(reducer_context &Ctx, const std::string &Id, response_kind Kind,
               milliseconds RetryAfter = milliseconds(0));
/// Records that a job that isn't open was cancelled: a late copy of its
/// submission may arrive.
void recordCancellation(reducer_context &Ctx, const std::string &Id);
/// @returns whether the cancellation of a job that isn't open here would be
/// remembered, and passed on to the other hosts
bool hasRoomForCancellation(reducer_context &Ctx);
/// Ends a job whose tasks are all done.
void completeJob(reducer_context &Ctx, const open_job &Job);
/// Ends a job as failed.
/// @param[in] Detail additional information for the log
void failJob(reducer_context &Ctx, const std::string &Id, response_kind Kind,
             std::string_view Reason, const std::string &Detail = "");
/// Abandons a job that can't be placed. It is refused as overloaded when none
/// of its tasks can have run, else it fails.
void abandonJob(reducer_context &Ctx, const std::string &Id,
                std::string_view Reason);
/// @returns the hosts that own tasks of a job and their numbers of tasks, as
/// HOST:COUNT,...
std::string describeOwners(const open_job &Job);

} // namespace tarragonbridge::pool
