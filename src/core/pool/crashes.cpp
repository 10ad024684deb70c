#include "core/pool/crashes_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// @returns whether more than half of the owned targets are silent. Then this
/// host is probably partitioned from them.
bool areMostSilent(const pool_state &State) {
  const auto &OwnedTargets = State.Owner.OwnedTargets;
  const auto Silent = std::count_if(
      OwnedTargets.begin(), OwnedTargets.end(),
      [](const auto &Entry) { return Entry.second.isUnresponsive(); });
  return 2 * static_cast<std::size_t>(Silent) > OwnedTargets.size();
}

crash_count higher(const crash_count &A, const crash_count &B) {
  crash_count Higher;
  Higher.Confirmed = std::max(A.Confirmed, B.Confirmed);
  Higher.Suspected = std::max(A.total(), B.total()) - Higher.Confirmed;
  return Higher;
}

/// Adds the crashes under the tasks of a job.
void addCrashesOf(crash_summary &Total, const std::string &Job,
                  const crash_summary &Crashes) {
  for (auto Entry = Crashes.lower_bound({Job, 0, 0});
       Entry != Crashes.end() && Entry->first.Job == Job; ++Entry) {
    Total[Entry->first] += Entry->second;
  }
}

/// @returns the crashes under the tasks of a job that this host and its peers
/// know now
crash_summary knownCrashes(const pool_state &State, const std::string &Job) {
  crash_summary Known;
  addCrashesOf(Known, Job, ownCrashes(State));
  for (const auto &[Name, Peer] : State.Peers) {
    addCrashesOf(Known, Job, Peer.State.Crashes);
  }
  for (const auto &[Host, Departed] : State.DepartedCrashes) {
    addCrashesOf(Known, Job, Departed.Crashes);
  }
  return Known;
}

crash_count countOf(const crash_summary &Crashes, const open_job &Job,
                    const job_task &Task) {
  const auto Found = Crashes.find({Job.Id, Task.Step, Task.Index});
  return Found == Crashes.end() ? crash_count{} : Found->second;
}

bool isHeld(const job_task &Task) {
  return Task.Phase == task_phase::Unplaced &&
         verdictOn(Task) >= crash_verdict::Unclear;
}
} // namespace

void recordCrash(reducer_context &Ctx, const std::string &Target,
                 ended_attempt &Ended) {
  crash_log &Crashes = Ctx.State.Owner.Crashes;
  const task_ref Task = Ended.Task.Attempt.task();
  if (Ended.Outcome == attempt_outcome::Crashed) {
    Crashes.recordCrash(Task, Target, Ctx.Now);
  } else if (Ended.Outcome == attempt_outcome::Vanished) {
    const bool IsSuspected = !areMostSilent(Ctx.State);
    Crashes.recordSilence(Task, Target, Ended.Incarnation, IsSuspected,
                          Ctx.Now);
    Ended.Outcome =
        IsSuspected ? attempt_outcome::Vanished : attempt_outcome::Lost;
  }
}

crash_summary ownCrashes(const pool_state &State) {
  crash_summary Summary;
  State.Owner.Crashes.addTo(Summary);
  const bool AreSilentSuspected = !areMostSilent(State);
  for (const auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    const bool IsSuspected = AreSilentSuspected && OwnedTarget.isUnresponsive();
    for (const auto &[Ref, Attempt] : OwnedTarget.attempts()) {
      if (Attempt.HasTargetRestarted || IsSuspected) {
        Summary[Ref.task()].add(Attempt.HasTargetRestarted);
      }
    }
  }
  return Summary;
}

void evictOldCrashes(pool_state &State, boot_time Now) {
  State.Owner.Crashes.evictOld(Now);
  std::erase_if(State.DepartedCrashes, [&](const auto &Entry) {
    return Entry.second.DepartedAt + config::CrashRetention < Now;
  });
}

void countEarlierCrashes(const pool_state &State, open_job &Job) {
  const crash_summary Known = knownCrashes(State, Job.Id);
  const auto Ended = State.Coordinator.EndedJobs.find(Job.Id);
  for (job_task &Task : Job.Tasks) {
    Task.Crashes = countOf(Known, Job, Task);
    if (Ended != State.Coordinator.EndedJobs.end()) {
      Task.Crashes =
          higher(Task.Crashes, countOf(Ended->second.Crashes, Job, Task));
    }
  }
}

bool reviewHeldTasks(const pool_state &State, open_job &Job, boot_time Now) {
  if (std::none_of(Job.Tasks.begin(), Job.Tasks.end(), isHeld)) {
    return false;
  }
  const crash_summary Known = knownCrashes(State, Job.Id);
  bool IsReleased = false;
  for (job_task &Task : Job.Tasks) {
    if (!isHeld(Task)) {
      continue;
    }
    const crash_count Count = countOf(Known, Job, Task);
    const bool IsKnownByAll = Task.HeldSince + config::CrashReviewDelay <= Now;
    Task.Crashes = IsKnownByAll ? Count : higher(Task.Crashes, Count);
    IsReleased = IsReleased || !isHeld(Task);
  }
  return IsReleased;
}

crash_summary crashesOf(const open_job &Job) {
  crash_summary Crashes;
  for (const job_task &Task : Job.Tasks) {
    if (isSuspect(Task)) {
      Crashes[{Job.Id, Task.Step, Task.Index}] = Task.Crashes;
    }
  }
  return Crashes;
}

void countCrash(job_task &Task, attempt_outcome Outcome) {
  if (Outcome == attempt_outcome::Crashed ||
      Outcome == attempt_outcome::Vanished) {
    Task.Crashes.add(Outcome == attempt_outcome::Crashed);
  }
}

bool isSuspect(const job_task &Task) { return Task.Crashes.total() > 0; }

crash_verdict verdictOn(const job_task &Task) {
  if (Task.Crashes.Confirmed >= config::MaxTargetCrashes) {
    return crash_verdict::GiveUp;
  }
  if (Task.Crashes.total() >= config::MaxTargetCrashes) {
    return crash_verdict::Unclear;
  }
  return isSuspect(Task) ? crash_verdict::Suspect : crash_verdict::None;
}

crash_verdict verdictOn(const open_job &Job) {
  crash_verdict Gravest = crash_verdict::None;
  for (const job_task &Task : Job.Tasks) {
    Gravest = std::max(Gravest, verdictOn(Task));
  }
  return Gravest;
}

std::vector<job_task *> tasksToPlace(open_job &Job) {
  bool HasOpenSuspect =
      std::any_of(Job.Tasks.begin(), Job.Tasks.end(), [](const job_task &Task) {
        const bool IsOffered = Task.Phase == task_phase::Offered;
        return isHeld(Task) || (IsOffered && isSuspect(Task));
      });
  std::vector<job_task *> Tasks;
  for (job_task &Task : Job.Tasks) {
    const bool IsSuspect = isSuspect(Task);
    if (Task.Phase != task_phase::Unplaced || isHeld(Task) ||
        (IsSuspect && HasOpenSuspect)) {
      continue;
    }
    HasOpenSuspect = HasOpenSuspect || IsSuspect;
    Tasks.push_back(&Task);
  }
  return Tasks;
}

} // namespace tarragonbridge::pool
