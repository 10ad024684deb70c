/// Which tasks targets have crashed under: what an owner records, and what a
/// coordinator concludes.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// Records an ended attempt if its target crashed or fell silent. A silence
/// that most owned targets share doesn't count as a suspicion: the outcome
/// becomes attempt_outcome::Lost.
void recordCrash(reducer_context &Ctx, const std::string &Target,
                 ended_attempt &Ended);

/// @returns the crashes and silences of this host's targets
crash_summary ownCrashes(const pool_state &State);

/// Evicts the crashes that are older than config::CrashRetention.
void evictOldCrashes(pool_state &State, boot_time Now);

/// Counts the crashes under each task of a job that hasn't started, as this
/// host and its peers know them from earlier submissions.
void countEarlierCrashes(const pool_state &State, open_job &Job);
/// Counts the crashes under the tasks of a job that are held. Suspicions that
/// turned out to be wrong are dropped once all hosts can have told so.
/// @returns whether a task is no longer held
bool reviewHeldTasks(const pool_state &State, open_job &Job, boot_time Now);
/// @returns what is to be remembered of a job that ends
crash_summary crashesOf(const open_job &Job);
/// Counts an attempt that ended by a crash or a silence.
void countCrash(job_task &Task, attempt_outcome Outcome);

/// @returns whether a target may have crashed under a task
bool isSuspect(const job_task &Task);

enum class crash_verdict : std::uint8_t {
  None,
  Suspect, ///< a target may have crashed under a task
  Unclear, ///< several may have
  GiveUp,  ///< several have
};
crash_verdict verdictOn(const job_task &Task);
/// @returns the gravest verdict on any task
crash_verdict verdictOn(const open_job &Job);

/// @returns the unplaced tasks that may be placed now: of those that may have
/// crashed a target, one at a time
std::vector<job_task *> tasksToPlace(open_job &Job);

} // namespace tarragonbridge::pool
