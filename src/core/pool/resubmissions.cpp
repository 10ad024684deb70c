#include "core/pool/resubmissions_p.h"

#include "core/pool/job_completion_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <xxhash.h>

namespace tarragonbridge::pool {

std::uint64_t digestOf(const std::string &Id) {
  return XXH3_64bits(Id.data(), Id.size());
}

namespace {
bool isListingDue(boot_time SubmittedAt, boot_time Now) {
  return SubmittedAt + config::ListedJobAge <= Now;
}

/// @returns the open jobs that have to be listed, the oldest first
std::vector<open_job *> listedJobs(coordinator_state &Coordinator,
                                   boot_time Now) {
  std::vector<open_job *> Listed;
  for (auto &[Id, Job] : Coordinator.Jobs) {
    if (isListingDue(Job.SubmittedAt, Now)) {
      Listed.push_back(&Job);
    }
  }
  std::sort(Listed.begin(), Listed.end(),
            [](const open_job *A, const open_job *B) {
              return A->SubmittedAt < B->SubmittedAt;
            });
  return Listed;
}
} // namespace

std::vector<std::uint64_t> listOpenJobs(pool_state &State, boot_time Now,
                                        std::uint64_t StateNumber) {
  std::vector<std::uint64_t> Digests;
  for (const auto &[Id, Ending] : State.Coordinator.EndingJobs) {
    if (isListingDue(Ending.SubmittedAt, Now)) {
      Digests.push_back(digestOf(Id));
    }
  }
  for (open_job *Job : listedJobs(State.Coordinator, Now)) {
    const bool HasRoom = Digests.size() < config::MaxListedJobs;
    if (!HasRoom) {
      Job->ListedSince = 0;
      continue;
    }
    Digests.push_back(digestOf(Job->Id));
    Job->ListedSince = Job->ListedSince == 0 ? StateNumber : Job->ListedSince;
  }
  std::sort(Digests.begin(), Digests.end());
  return Digests;
}

void keepEndingAttempts(reducer_context &Ctx, const open_job &Job) {
  ending_job Ending;
  Ending.SubmittedAt = Job.SubmittedAt;
  Ending.EndsBy = Ctx.Now + config::LeaseAfterCoordinatorContact;
  for (const job_task &Task : Job.Tasks) {
    if (Task.Phase == task_phase::Offered) {
      Ending.Attempts.push_back({Task.Step, Task.Index, Task.AttemptNumber});
    }
  }
  if (!Ending.Attempts.empty()) {
    Ctx.State.Coordinator.EndingJobs.insert_or_assign(Job.Id,
                                                      std::move(Ending));
  }
}

namespace {
/// Tells the hosts that wait for a job that it has ended.
void release(reducer_context &Ctx, const std::string &Id,
             const ending_job &Ending, std::string_view Reason) {
  if (Ending.WaitingHosts.empty()) {
    return;
  }
  Ctx.log("job_released", {{"job", Id}, {"reason", std::string(Reason)}});
  for (const std::string &Name : Ending.WaitingHosts) {
    const auto Peer = Ctx.State.Peers.find(Name);
    if (Peer != Ctx.State.Peers.end()) {
      Peer->second.NeedsState = true;
    }
  }
}
} // namespace

void noteEndedAttempt(reducer_context &Ctx, const attempt_ref &Attempt) {
  auto &EndingJobs = Ctx.State.Coordinator.EndingJobs;
  const auto Found = EndingJobs.find(Attempt.Job);
  if (Found == EndingJobs.end()) {
    return;
  }
  std::erase(
      Found->second.Attempts,
      ending_job::attempt{Attempt.Step, Attempt.Task, Attempt.AttemptNumber});
  if (Found->second.Attempts.empty()) {
    release(Ctx, Found->first, Found->second, "attempts_ended");
    EndingJobs.erase(Found);
  }
}

void expireEndingJobs(reducer_context &Ctx) {
  std::erase_if(Ctx.State.Coordinator.EndingJobs, [&](const auto &Entry) {
    const auto &[Id, Ending] = Entry;
    if (Ending.EndsBy > Ctx.Now) {
      return false;
    }
    release(Ctx, Id, Ending, "leases_over");
    return true;
  });
}

namespace {
/// @returns whether a peer has listed a job, and attempts at it may still run
bool listsJob(const listed_jobs &Jobs, std::uint64_t Digest, boot_time Now) {
  return Jobs.ReceivedAt + config::LeaseAfterCoordinatorContact > Now &&
         std::binary_search(Jobs.Digests.begin(), Jobs.Digests.end(), Digest);
}

/// @returns whether all registered peers have listed their jobs since a time
bool haveListedSince(const pool_state &State, boot_time Time) {
  return State.HasMemberSnapshot &&
         std::all_of(State.Peers.begin(), State.Peers.end(),
                     [Time](const auto &Entry) {
                       return Entry.second.OpenJobs.ReceivedAt >= Time ||
                              !Entry.second.IsRegistered;
                     });
}

/// @returns whether this host knows the open jobs of all others. It doesn't
/// after its start and after a long pause, when they have ceased to wait for
/// its acknowledgements.
bool knowsOpenJobs(const pool_state &State, boot_time Now) {
  const boot_time ResumedAt = State.Pause.ResumedAt;
  const bool HasJustStarted =
      Now < State.StartedAt + config::LeaseAfterCoordinatorContact;
  const bool HasJustResumed = Now < State.Pause.JobListsReadBy;
  return (!HasJustStarted || haveListedSince(State, State.StartedAt)) &&
         (!HasJustResumed || haveListedSince(State, ResumedAt));
}

void askToWithdraw(reducer_context &Ctx, open_job &Job, const peer_host &Peer,
                   std::uint64_t Digest) {
  const std::string &Name = Peer.Member.Host.Name;
  if (!Job.AskedHosts.insert(Name).second) {
    return;
  }
  Ctx.count(counter::WithdrawalsRequested);
  Ctx.log("job_open_elsewhere",
          {{"job", Job.Id},
           {"host", Name},
           {"state_age_ms",
            millisecondsText(until(Ctx.Now, Peer.OpenJobs.ReceivedAt))}});
  sendMessage(Ctx, Peer.Member.Host, jobs_resubmitted{{Digest}});
}
} // namespace

bool isReleased(reducer_context &Ctx, open_job &Job) {
  pool_state &State = Ctx.State;
  bool IsOpen = State.Coordinator.EndingJobs.contains(Job.Id) ||
                !knowsOpenJobs(State, Ctx.Now);
  const std::uint64_t Digest = digestOf(Job.Id);
  for (const auto &[Name, Peer] : State.Peers) {
    IsOpen = IsOpen || listsJob(Peer.FormerOpenJobs, Digest, Ctx.Now);
    if (listsJob(Peer.OpenJobs, Digest, Ctx.Now)) {
      IsOpen = true;
      askToWithdraw(Ctx, Job, Peer, Digest);
    }
  }
  if (IsOpen) {
    State.Coordinator.UnreleasedJobs.insert(Job.Id);
  } else {
    State.Coordinator.UnreleasedJobs.erase(Job.Id);
  }
  return !IsOpen;
}

void placeReleasedJobs(reducer_context &Ctx) {
  coordinator_state &Coordinator = Ctx.State.Coordinator;
  const std::set<std::string> Waiting = Coordinator.UnreleasedJobs;
  for (const std::string &Id : Waiting) {
    const auto Found = Coordinator.Jobs.find(Id);
    if (Found == Coordinator.Jobs.end()) {
      Coordinator.UnreleasedJobs.erase(Id);
    } else if (isReleased(Ctx, Found->second)) {
      placeJob(Ctx, Found->second);
    }
  }
}

namespace {
/// Withdraws a job that has been submitted to another host.
void withdrawResubmitted(reducer_context &Ctx, const std::string &Host,
                         std::uint64_t Digest) {
  coordinator_state &Coordinator = Ctx.State.Coordinator;
  const auto HasDigest = [&](const auto &Entry) {
    return digestOf(Entry.first) == Digest;
  };
  const auto Open =
      std::find_if(Coordinator.Jobs.begin(), Coordinator.Jobs.end(), HasDigest);
  if (Open != Coordinator.Jobs.end()) {
    Ctx.count(counter::GivenUpResubmitted);
    failJob(Ctx, std::string(Open->first), response_kind::JobAbandoned,
            "resubmitted", Host);
  }
  const auto Ending = std::find_if(Coordinator.EndingJobs.begin(),
                                   Coordinator.EndingJobs.end(), HasDigest);
  if (Ending != Coordinator.EndingJobs.end()) {
    Ending->second.WaitingHosts.insert(Host);
    return;
  }
  const auto Peer = Ctx.State.Peers.find(Host);
  if (Peer != Ctx.State.Peers.end()) {
    Peer->second.NeedsState = true; // it isn't listed any more
  }
}
} // namespace

void handleResubmissions(reducer_context &Ctx, const host_ref &From,
                         const jobs_resubmitted &Resubmitted) {
  for (const std::uint64_t Digest : Resubmitted.Jobs) {
    withdrawResubmitted(Ctx, From.Name, Digest);
  }
}

namespace {
/// @returns the latest time at which a peer is proved to have known that a job
/// is open here and not to have got it itself, the epoch if it isn't
boot_time jobKnownAt(const peer_host &Peer, const open_job &Job) {
  const bool IsKnown =
      Job.ListedSince != 0 && Peer.KnownStateNumber >= Job.ListedSince;
  return IsKnown ? Peer.KnownStateSentAt : boot_time{};
}
} // namespace

bool isCallerUnproved(const pool_state &State, const open_job &Job,
                      boot_time Now) {
  const auto IsOverdue = [Now](boot_time ProvedAt) {
    return ProvedAt + config::CallerProofTimeout <= Now;
  };
  return IsOverdue(Job.CallerSeenAt) &&
         std::any_of(
             State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
               const peer_host &Peer = Entry.second;
               return peerReceivedWithin(Peer, Now, config::HostTimeout) &&
                      IsOverdue(jobKnownAt(Peer, Job));
             });
}

} // namespace tarragonbridge::pool
