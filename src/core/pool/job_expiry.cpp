// Jobs that end without an outcome of their tasks: expired ones, and those
// whose callers may have been served elsewhere.
#include "core/pool/job_completion_p.h"
#include "core/pool/pauses_p.h"
#include "core/pool/resubmissions_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// @returns whether the owner of a task has timed out
bool isOwnerLost(const pool_state &State, const open_job &Job, boot_time Now) {
  return std::any_of(
      Job.Tasks.begin(), Job.Tasks.end(), [&](const job_task &Task) {
        return Task.Phase == task_phase::Offered &&
               !hostReceivedWithin(State, Task.Owner, Now, config::HostTimeout);
      });
}

/// Cancels the tasks of a job whose callers may have been served elsewhere. It
/// is given up at once if none of them was placed.
void withdrawJob(reducer_context &Ctx, open_job &Job,
                 const withdrawal &Withdrawal) {
  const bool IsPlaced =
      std::any_of(Job.Tasks.begin(), Job.Tasks.end(), [](const job_task &Task) {
        return Task.Phase == task_phase::Offered;
      });
  if (!IsPlaced) {
    Ctx.count(Withdrawal.Counter);
    abandonJob(Ctx, std::string(Job.Id), Withdrawal.Reason);
    return;
  }
  Job.Withdrawal = Withdrawal;
  Job.ExpiresAt = Ctx.Now + config::WithdrawnJobTime;
  cancelOfferedTasks(Ctx, Job);
}

/// Withdraws the jobs whose callers aren't proved to have stayed.
void withdrawUnprovedJobs(reducer_context &Ctx) {
  std::vector<open_job *> Unproved;
  for (auto &[Id, Job] : Ctx.State.Coordinator.Jobs) {
    if (!Job.Withdrawal && isCallerUnproved(Ctx.State, Job, Ctx.Now)) {
      Unproved.push_back(&Job);
    }
  }
  for (open_job *Job : Unproved) {
    withdrawJob(Ctx, *Job, {"caller_unproved", counter::GivenUpUnproved});
  }
}
} // namespace

void expireJobs(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  reviewHeldJobs(Ctx);
  expireEndingJobs(Ctx);
  withdrawUnprovedJobs(Ctx);
  std::vector<std::string> JobsAwaitingOwner;
  for (const auto &[Id, Job] : State.Coordinator.Jobs) {
    if (Job.AwaitsOwner) {
      JobsAwaitingOwner.push_back(Id);
    }
  }
  for (const std::string &Id : JobsAwaitingOwner) {
    placeJob(Ctx, State.Coordinator.Jobs.find(Id)->second);
  }
  std::vector<std::pair<std::string, std::string_view>> Ended;
  for (const auto &[Id, Job] : State.Coordinator.Jobs) {
    if (Job.ExpiresAt <= Ctx.Now) {
      Ended.emplace_back(Id,
                         Job.Withdrawal ? Job.Withdrawal->Reason : "too_late");
      continue;
    }
    if (!isCheckingPeers(State, Ctx.Now) && isOwnerLost(State, Job, Ctx.Now)) {
      Ended.emplace_back(Id, "owner_lost");
    }
  }
  for (const auto &[Id, Reason] : Ended) {
    const open_job &Job = State.Coordinator.Jobs.find(Id)->second;
    Ctx.count(Job.Withdrawal ? Job.Withdrawal->Counter : counter::GivenUpLate);
    failJob(Ctx, Id, response_kind::JobAbandoned, Reason, describeOwners(Job));
  }
}

void withdrawJobs(reducer_context &Ctx, boot_time CallersKnownAt) {
  pool_state &State = Ctx.State;
  std::vector<open_job *> Withdrawn;
  for (auto &[Id, Job] : State.Coordinator.Jobs) {
    const boot_time KnownAt = std::max(Job.SubmittedAt, CallersKnownAt);
    if (!Job.Withdrawal && KnownAt + config::CoordinatorTimeout <= Ctx.Now) {
      Withdrawn.push_back(&Job);
    }
  }
  for (open_job *Job : Withdrawn) {
    withdrawJob(Ctx, *Job, {"paused", counter::GivenUpPaused});
  }
}

void abandonAllJobs(reducer_context &Ctx) {
  while (!Ctx.State.Coordinator.Jobs.empty()) {
    const std::string Id = Ctx.State.Coordinator.Jobs.begin()->first;
    failJob(Ctx, Id, response_kind::JobAbandoned, "shutting_down");
  }
}

boot_time nextJobTimerAt(const pool_state &State) {
  boot_time NextExpiry = boot_time::max();
  for (const auto &[Id, Job] : State.Coordinator.Jobs) {
    NextExpiry = std::min(NextExpiry, Job.ExpiresAt);
  }
  for (const auto &[Id, Ending] : State.Coordinator.EndingJobs) {
    NextExpiry = std::min(NextExpiry, Ending.EndsBy);
  }
  return NextExpiry;
}

} // namespace tarragonbridge::pool
