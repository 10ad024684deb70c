// Admission of submitted jobs: routing, refusal, placement; and queries of
// jobs.
#include "core/pool/crashes_p.h"
#include "core/pool/job_completion_p.h"
#include "core/pool/job_offers_p.h"
#include "core/pool/load/retry_time_p.h"
#include "core/pool/load/turn_away_cost_p.h"
#include "core/pool/resubmissions_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
open_job makeJob(reducer_context &Ctx, const route &Route, std::string Id,
                 job_submitted &&Submitted) {
  const coordinator_state &Coordinator = Ctx.State.Coordinator;
  open_job Job;
  Job.Id = std::move(Id);
  Job.Requests = {Submitted.Request};
  Job.Route = Route;
  Job.Specification = std::move(Submitted.Job.Specification);
  Job.SubmittedAt = Ctx.Now;
  Job.CallerSeenAt = Ctx.Now;
  const auto EarlierRecord = Coordinator.EndedJobs.find(Job.Id);
  const std::uint32_t LastAttemptNumber =
      EarlierRecord == Coordinator.EndedJobs.end()
          ? 0
          : EarlierRecord->second.LastAttemptNumber;
  milliseconds LongestRunTime{0};
  for (std::uint32_t Number = 0; Number < Submitted.Job.Steps.size();
       ++Number) {
    const job_step &JobStep = Submitted.Job.Steps[Number];
    for (std::uint32_t Index = 0; Index < JobStep.Count; ++Index) {
      job_task Task;
      Task.Step = Number;
      Task.Index = Index;
      Task.AttemptNumber = LastAttemptNumber;
      Task.RequiredResources = JobStep.RequiredResources;
      Task.EstimatedRunTime = JobStep.EstimatedRunTime;
      LongestRunTime =
          std::max(LongestRunTime, expectedRunTimeOf(Ctx.State, Job, Task));
      Job.Tasks.push_back(std::move(Task));
    }
  }
  const double LongestFactor =
      Job.Tasks.size() > 1 ? config::LongestTaskFactor : 1;
  const auto Objective =
      std::chrono::duration_cast<milliseconds>(Route.ObjectiveFactor *
                                               LongestFactor * LongestRunTime) +
      Route.ObjectiveMargin;
  const milliseconds Limit =
      Submitted.TimeLimit > milliseconds(0)
          ? std::min(Submitted.TimeLimit, config::MaxTimeLimit)
          : config::DefaultTimeLimit;
  Job.ObjectiveDeadline = Ctx.Now + Objective;
  Job.AwaitsOwnerUntil = Ctx.Now + Objective / config::OwnerWaitDivisor;
  Job.ExpiresAt =
      Ctx.Now + std::min(Limit, std::chrono::duration_cast<milliseconds>(
                                    config::ExpiryFactor *
                                    config::ExpiryObjectiveFactor * Objective));
  return Job;
}

/// @returns whether no known owner has schedulable targets, as after a start or
/// when all owners were lost
bool hasNoSlots(const pool_view &View) {
  return std::none_of(View.Owners.begin(), View.Owners.end(),
                      [](const owner_view &Owner) { return Owner.Slots > 0; });
}

open_job &insertJob(pool_state &State, open_job &&Job) {
  for (const request_handle Request : Job.Requests) {
    State.Coordinator.JobIdByRequest[static_cast<std::uint64_t>(Request)] =
        Job.Id;
  }
  const std::string Id = Job.Id;
  return State.Coordinator.Jobs.emplace(Id, std::move(Job)).first->second;
}

void refuseCaller(reducer_context &Ctx, request_handle Request,
                  response_kind Kind, counter Counter) {
  Ctx.count(Counter);
  Ctx.Effects.emplace_back(respond_to_caller{Request, Kind, milliseconds(0), 0,
                                             Ctx.State.IsShuttingDown});
}

/// Refuses a new job for which this host has no memory.
void refuseForMemory(reducer_context &Ctx, request_handle Request,
                     const std::string &Id) {
  Ctx.count(counter::RefusedNoMemory);
  Ctx.log("job_refused", {{"job", Id}, {"reason", "no_memory"}});
  Ctx.Effects.emplace_back(respond_to_caller{Request, response_kind::Overloaded,
                                             config::MinRetryAfter, 0,
                                             Ctx.State.IsShuttingDown});
}

bool refusesNewWork(const pool_state &State, boot_time Now) {
  return State.IsShuttingDown &&
         Now >= State.ShutdownStartedAt + config::ReadinessGracePeriod;
}

/// Gives a job up, or refuses it, if targets have crashed under a task of it.
/// @returns whether it did
bool endAfterCrashes(reducer_context &Ctx, open_job &Job) {
  countEarlierCrashes(Ctx.State, Job);
  const std::string Id = Job.Id;
  switch (verdictOn(Job)) {
  case crash_verdict::None:
  case crash_verdict::Suspect:
    return false;
  case crash_verdict::Unclear:
    Ctx.count(counter::RefusedSuspect);
    Ctx.log("job_refused", {{"job", Id}, {"reason", "suspect"}});
    finishJob(Ctx, Id, response_kind::Overloaded, config::MaxRetryAfter);
    return true;
  case crash_verdict::GiveUp:
    Ctx.count(counter::GivenUpCrashes);
    failJob(Ctx, Id, response_kind::JobFailed, "targets_crashed");
    return true;
  }
  return false;
}

std::size_t countTasks(const job_submission &Job) {
  std::size_t Count = 0;
  for (const job_step &Step : Job.Steps) {
    Count += Step.Count;
  }
  return Count;
}
} // namespace

void placeJob(reducer_context &Ctx, open_job &Job) {
  pool_state &State = Ctx.State;
  const std::string Id = Job.Id;
  pool_view View = makePoolView(State, Ctx.Now);
  const milliseconds Objective = until(Job.ObjectiveDeadline, Ctx.Now);
  if (areAllEvacuated(State)) {
    Ctx.count(counter::RefusedEvacuated);
    Ctx.log("job_refused", {{"job", Id}, {"reason", "evacuated"}});
    finishJob(Ctx, Id, response_kind::Overloaded, config::MaxRetryAfter);
    return;
  }
  Job.AwaitsOwner = hasNoSlots(View) && Job.AwaitsOwnerUntil > Ctx.Now;
  if (Job.AwaitsOwner || !isReleased(Ctx, Job) || endAfterCrashes(Ctx, Job)) {
    return;
  }
  const std::vector<job_task *> Tasks = tasksToPlace(Job);
  std::vector<placement> Placements;
  milliseconds CompletesIn{0};
  milliseconds LatestEnd{0}; // if later jobs overtake
  bool MustQueue = false;
  for (const job_task *Task : Tasks) {
    const auto Placement =
        placeTask(View, {Job.Route.Service, Task->RequiredResources,
                         expectedRunTimeOf(State, Job, *Task), Objective, "",
                         isSuspect(*Task)});
    if (!Placement) {
      abandonJob(Ctx, Id, "no_owner");
      return;
    }
    MustQueue = MustQueue || Placement->Target.empty();
    CompletesIn = std::max(CompletesIn, Placement->CompletesIn);
    const milliseconds Overtaking = overtakingTime(
        State.Coordinator.Saturation, Job.Route.Priority, Placement->QueueWait);
    LatestEnd = std::max(LatestEnd, Placement->CompletesIn + Overtaking);
    Placements.push_back(*Placement);
  }
  if (MustQueue && LatestEnd > Objective) {
    Ctx.count(counter::RefusedOverloaded);
    Ctx.log("job_refused", {{"job", Id},
                            {"reason", "overloaded"},
                            {"predicted_end_ms", millisecondsText(CompletesIn)},
                            {"latest_end_ms", millisecondsText(LatestEnd)},
                            {"objective_ms", millisecondsText(Objective)},
                            {"priority", std::to_string(Job.Route.Priority)}});
    finishJob(Ctx, Id, response_kind::Overloaded,
              retryAfter(Id, urgencyLevelOf(Job.Route.Priority),
                         LatestEnd - Objective));
    return;
  }
  Job.PredictedEnd = CompletesIn;
  offers_by_owner Offers;
  for (std::size_t Index = 0; Index < Tasks.size(); ++Index) {
    addToOffer(Ctx, Job, *Tasks[Index], View, Placements[Index], Offers);
  }
  sendOffers(Ctx, std::move(Offers));
}

void sampleSaturation(reducer_context &Ctx) {
  constexpr double SampleWeight = 0.15; // of a new sample
  double &Saturation = Ctx.State.Coordinator.Saturation;
  Saturation +=
      SampleWeight * (currentSaturation(Ctx.State, Ctx.Now) - Saturation);
}

void submitJob(reducer_context &Ctx, job_submitted &&Submitted) {
  pool_state &State = Ctx.State;
  coordinator_state &Coordinator = State.Coordinator;
  Ctx.count(counter::JobsPosted);
  const request_handle Request = Submitted.Request;
  if (State.Configuration.Version == 0) {
    refuseCaller(Ctx, Request, response_kind::NotConfigured,
                 counter::RefusedNotConfigured);
    return;
  }
  const route *Route =
      findRoute(State.Configuration, Submitted.HostName, Submitted.Path);
  if (Route == nullptr) {
    refuseCaller(Ctx, Request, response_kind::NoRoute, counter::RefusedNoRoute);
    return;
  }
  if (refusesNewWork(State, Ctx.Now)) {
    refuseCaller(Ctx, Request, response_kind::ShuttingDown,
                 counter::RefusedShuttingDown);
    return;
  }
  std::string Id = Submitted.Path.substr(Route->PathPrefix.size());
  const std::size_t Tasks = countTasks(Submitted.Job);
  if (Id.empty() || Id.size() > config::MaxJobIdBytes || Tasks == 0) {
    refuseCaller(Ctx, Request, response_kind::Malformed,
                 counter::RefusedUnsupported);
    return;
  }
  if (!Submitted.Job.UnsupportedFeature.empty() || Route->NeedsAdvice ||
      Tasks > config::MaxTasksPerJob) {
    refuseCaller(Ctx, Request, response_kind::Unsupported,
                 counter::RefusedUnsupported);
    return;
  }
  const auto Open = Coordinator.Jobs.find(Id);
  if (Open != Coordinator.Jobs.end()) {
    // A resubmission of an open job: each of its requests gets the response.
    Open->second.Requests.push_back(Request);
    Open->second.CallerSeenAt = Ctx.Now;
    Coordinator.JobIdByRequest[static_cast<std::uint64_t>(Request)] = Id;
    return;
  }
  const auto Ended = Coordinator.EndedJobs.find(Id);
  if (Ended != Coordinator.EndedJobs.end() && Ended->second.FinalResponse) {
    Ctx.Effects.emplace_back(
        respond_to_caller{Request, *Ended->second.FinalResponse});
    return;
  }
  if (!Submitted.HasRoom) {
    refuseForMemory(Ctx, Request, Id);
    return;
  }
  for (const job_step &JobStep : Submitted.Job.Steps) {
    Coordinator.RunTimeEstimator.addSample(Route->Name,
                                           JobStep.EstimatedRunTime);
  }
  placeJob(Ctx, insertJob(State, makeJob(Ctx, *Route, std::move(Id),
                                         std::move(Submitted))));
}

bool cancelJob(reducer_context &Ctx, const std::string &Id) {
  if (!Ctx.State.Coordinator.Jobs.contains(Id)) {
    recordCancellation(Ctx, Id);
    return false;
  }
  failJob(Ctx, Id, response_kind::Cancelled, "cancelled");
  return true;
}

namespace {
/// Cancels a job here or, if it isn't open here, at all other hosts: the caller
/// may have submitted it to any of them. Nothing is cancelled if there are so
/// many cancellations that this one might be forgotten.
response_kind cancelEverywhere(reducer_context &Ctx, const std::string &Id) {
  if (!Ctx.State.Coordinator.Jobs.contains(Id) &&
      !hasRoomForCancellation(Ctx)) {
    Ctx.count(counter::RefusedCancellations);
    return response_kind::Overloaded;
  }
  if (cancelJob(Ctx, Id)) {
    return response_kind::Cancelled;
  }
  for (const auto &[Name, Peer] : Ctx.State.Peers) {
    sendMessage(Ctx, Peer.Member.Host, tasks_cancelled{{}, {Id}});
  }
  return response_kind::UnknownJob;
}
} // namespace

void queryJob(reducer_context &Ctx, const job_queried &Query) {
  pool_state &State = Ctx.State;
  respond_to_caller Response{Query.Request, response_kind::UnknownJob};
  const route *Route =
      findRoute(State.Configuration, Query.HostName, Query.Path);
  if (State.Configuration.Version == 0) {
    Response.Kind = response_kind::NotConfigured;
  } else if (Route == nullptr) {
    Response.Kind = response_kind::NoRoute;
  } else if (Query.Path.size() == Route->PathPrefix.size()) {
    Response.Kind = response_kind::QueueLength;
    Response.WaitingJobs = static_cast<std::uint64_t>(
        std::count_if(State.Coordinator.Jobs.begin(),
                      State.Coordinator.Jobs.end(), [&](const auto &Entry) {
                        return Entry.second.Route.Name == Route->Name &&
                               !Entry.second.MayHaveRun;
                      }));
  } else {
    const std::string Id = Query.Path.substr(Route->PathPrefix.size());
    if (Id.size() > config::MaxJobIdBytes) {
      Response.Kind = response_kind::UnknownJob; // no job has such an id
    } else if (Query.IsCancel) {
      Response.Kind = cancelEverywhere(Ctx, Id);
      Response.RetryAfter = Response.Kind == response_kind::Overloaded
                                ? config::MinRetryAfter
                                : milliseconds(0);
    } else if (State.Coordinator.Jobs.contains(Id)) {
      Response.Kind = response_kind::Running;
    }
  }
  Ctx.Effects.emplace_back(Response);
}

} // namespace tarragonbridge::pool
