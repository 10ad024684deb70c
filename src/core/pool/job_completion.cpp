#include "core/pool/job_completion_p.h"

#include "core/pool/crashes_p.h"
#include "core/pool/job_offers_p.h"
#include "core/pool/load/retry_time_p.h"
#include "core/pool/load/turn_away_cost_p.h"
#include "core/pool/resubmissions_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// How long records of ended jobs are kept to recognise resubmissions.
constexpr milliseconds EndedRetention{15'000};

/// @returns the highest attempt number of any task
std::uint32_t lastAttemptNumber(const open_job &Job) {
  std::uint32_t Highest = 0;
  for (const job_task &Task : Job.Tasks) {
    Highest = std::max(Highest, Task.AttemptNumber);
  }
  return Highest;
}

/// Evicts the records of one order whose latest end is older than
/// EndedRetention, and the oldest of too many.
void evictEndedJobs(coordinator_state &Coordinator,
                    coordinator_state::record_order &Order,
                    std::size_t MaxRecords, boot_time Now) {
  while (!Order.empty() && (Order.front().first + EndedRetention < Now ||
                            Order.size() > MaxRecords)) {
    const auto &[EndedAt, Id] = Order.front();
    const auto Record = Coordinator.EndedJobs.find(Id);
    if (Record != Coordinator.EndedJobs.end() &&
        Record->second.EndedAt <= EndedAt) {
      Coordinator.EndedJobs.erase(Record);
    }
    Order.pop_front();
  }
}

/// Keeps the record of a job that has ended now.
void keepEndedJob(reducer_context &Ctx, const std::string &Id) {
  coordinator_state &Coordinator = Ctx.State.Coordinator;
  Coordinator.EndedJobs.at(Id).EndedAt = Ctx.Now;
  Coordinator.EndedJobOrder.emplace_back(Ctx.Now, Id);
  evictEndedJobs(Coordinator, Coordinator.EndedJobOrder,
                 Ctx.State.Init.Limits.MaxEndedJobs, Ctx.Now);
}

void recordEndedJob(reducer_context &Ctx, const open_job &Job,
                    response_kind Kind) {
  auto &Records = Ctx.State.Coordinator.EndedJobs;
  const bool IsFinal =
      Kind == response_kind::JobDone || Kind == response_kind::Cancelled;
  const coordinator_state::ended_job Record{
      IsFinal ? std::optional(Kind) : std::nullopt, lastAttemptNumber(Job),
      crashesOf(Job), Ctx.Now};
  if (!IsFinal && Record.LastAttemptNumber == 0 && Record.Crashes.empty()) {
    Records.erase(Job.Id); // nothing of it was started
    return;
  }
  Records[Job.Id] = Record;
  keepEndedJob(Ctx, Job.Id);
}

bool mayHaveRun(const open_job &Job) {
  return Job.MayHaveRun ||
         std::any_of(Job.Tasks.begin(), Job.Tasks.end(),
                     [](const job_task &Task) {
                       return Task.Phase == task_phase::Offered;
                     });
}
} // namespace

std::string millisecondsText(milliseconds Time) {
  return std::to_string(Time.count());
}

void cancelOfferedTasks(reducer_context &Ctx, const open_job &Job) {
  std::map<std::string, tasks_cancelled> Cancelled;
  for (const job_task &Task : Job.Tasks) {
    if (Task.Phase == task_phase::Offered) {
      Cancelled[Task.Owner.Name].Attempts.push_back(attemptRefOf(Job, Task));
    }
  }
  for (auto &[Host, Cancellation] : Cancelled) {
    sendMessage(Ctx, hostRefOf(Ctx.State, Host), std::move(Cancellation));
  }
}

void finishJob(reducer_context &Ctx, const std::string &Id, response_kind Kind,
               milliseconds RetryAfter) {
  coordinator_state &Coordinator = Ctx.State.Coordinator;
  const auto Found = Coordinator.Jobs.find(Id);
  open_job &Job = Found->second;
  cancelOfferedTasks(Ctx, Job);
  keepEndingAttempts(Ctx, Job);
  for (const request_handle Request : Job.Requests) {
    Coordinator.JobIdByRequest.erase(static_cast<std::uint64_t>(Request));
    Ctx.Effects.emplace_back(respond_to_caller{Request, Kind, RetryAfter, 0,
                                               Ctx.State.IsShuttingDown});
  }
  recordEndedJob(Ctx, Job, Kind);
  Coordinator.Jobs.erase(Found);
}

void recordCancellation(reducer_context &Ctx, const std::string &Id) {
  constexpr milliseconds RenewalInterval{1'000}; ///< of a record
  coordinator_state &Coordinator = Ctx.State.Coordinator;
  const auto [Found, IsNew] = Coordinator.EndedJobs.try_emplace(Id);
  auto &Record = Found->second;
  const bool IsKnown = Record.FinalResponse.has_value();
  if (IsKnown && Record.EndedAt + RenewalInterval > Ctx.Now) {
    return;
  }
  Record.FinalResponse =
      Record.FinalResponse.value_or(response_kind::Cancelled);
  if (Record.LastAttemptNumber > 0) {
    keepEndedJob(Ctx, Id);
    return;
  }
  Record.EndedAt = Ctx.Now;
  Coordinator.CancelledJobOrder.emplace_back(Ctx.Now, Id);
  evictEndedJobs(Coordinator, Coordinator.CancelledJobOrder,
                 Ctx.State.Init.Limits.MaxCancelledJobs, Ctx.Now);
}

bool hasRoomForCancellation(reducer_context &Ctx) {
  coordinator_state &Coordinator = Ctx.State.Coordinator;
  const pool_limits &Limits = Ctx.State.Init.Limits;
  evictEndedJobs(Coordinator, Coordinator.CancelledJobOrder,
                 Limits.MaxCancelledJobs, Ctx.Now);
  return Coordinator.CancelledJobOrder.size() < Limits.MaxCancelledJobs &&
         unackedCount(Ctx.State) + Ctx.State.Peers.size() <=
             Limits.MaxUnackedMessages;
}

void completeJob(reducer_context &Ctx, const open_job &Job) {
  const auto Age =
      std::chrono::duration_cast<milliseconds>(Ctx.Now - Job.SubmittedAt);
  Ctx.log("job_done",
          {{"job", Job.Id},
           {"route", Job.Route.Name},
           {"tasks", std::to_string(Job.Tasks.size())},
           {"offers", std::to_string(lastAttemptNumber(Job))},
           {"age_ms", millisecondsText(Age)},
           {"predicted_ms", millisecondsText(Job.PredictedEnd)},
           {"objective_ms",
            millisecondsText(until(Job.ObjectiveDeadline, Job.SubmittedAt))}});
  Ctx.count(counter::JobsDone);
  Ctx.observe(time_metric::JobResponse, Job.SubmittedAt);
  finishJob(Ctx, std::string(Job.Id), response_kind::JobDone);
}

std::string describeOwners(const open_job &Job) {
  std::map<std::string, std::size_t> Counts;
  for (const job_task &Task : Job.Tasks) {
    if (Task.Phase == task_phase::Offered) {
      ++Counts[Task.Owner.Name];
    }
  }
  std::string Text;
  for (const auto &[Host, Count] : Counts) {
    Text += (Text.empty() ? "" : ",") + Host + ":" + std::to_string(Count);
  }
  return Text;
}

void failJob(reducer_context &Ctx, const std::string &Id, response_kind Kind,
             std::string_view Reason, const std::string &Detail) {
  const open_job &Job = Ctx.State.Coordinator.Jobs.find(Id)->second;
  const auto Age =
      std::chrono::duration_cast<milliseconds>(Ctx.Now - Job.SubmittedAt);
  Ctx.count(counter::JobsFailed);
  Ctx.log("job_failed",
          {{"job", Id},
           {"reason", std::string(Reason)},
           {"detail", Detail},
           {"age_ms", millisecondsText(Age)},
           {"objective_ms",
            millisecondsText(until(Job.ObjectiveDeadline, Job.SubmittedAt))},
           {"version", std::to_string(Ctx.State.Configuration.Version)}});
  finishJob(Ctx, Id, Kind);
}

void abandonJob(reducer_context &Ctx, const std::string &Id,
                std::string_view Reason) {
  const open_job &Job = Ctx.State.Coordinator.Jobs.find(Id)->second;
  if (mayHaveRun(Job)) {
    failJob(Ctx, Id, response_kind::JobAbandoned, Reason);
    return;
  }
  Ctx.count(counter::RefusedOverloaded);
  finishJob(
      Ctx, Id, response_kind::Overloaded,
      retryAfter(Id, urgencyLevelOf(Job.Route.Priority), milliseconds(0)));
}

} // namespace tarragonbridge::pool
