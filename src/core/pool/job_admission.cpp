// Jobs as they come: routed, refused, placed, asked for.
#include "core/pool/job_completion_p.h"
#include "core/pool/job_offers_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
open_job makeJob(reducer_context &Ctx, const route &Route, std::string Id,
                 job_submitted &&Posted) {
  const coordinator_state &Coordinator = Ctx.State.Coordinator;
  open_job Job;
  Job.Id = std::move(Id);
  Job.Requests = {Posted.Request};
  Job.Route = Route;
  Job.Specification = std::move(Posted.Job.Specification);
  Job.SubmittedAt = Ctx.Now;
  const auto Before = Coordinator.Ended.find(Job.Id);
  const std::uint32_t LastAttemptNumber =
      Before == Coordinator.Ended.end() ? 0 : Before->second.LastAttemptNumber;
  milliseconds Longest{0};
  for (std::uint32_t Number = 0; Number < Posted.Job.Steps.size(); ++Number) {
    const job_step &Described = Posted.Job.Steps[Number];
    for (std::uint32_t Index = 0; Index < Described.Count; ++Index) {
      job_task Task;
      Task.Step = Number;
      Task.Index = Index;
      Task.AttemptNumber = LastAttemptNumber;
      Task.RequiredResources = Described.RequiredResources;
      Task.EstimatedRunTime = Described.EstimatedRunTime;
      Longest = std::max(Longest, expectedRunTimeOf(Ctx.State, Job, Task));
      Job.Tasks.push_back(std::move(Task));
    }
  }
  const double LongestFactor =
      Job.Tasks.size() > 1 ? config::LongestTaskFactor : 1;
  const auto Objective = std::chrono::duration_cast<milliseconds>(
                             Route.ObjectiveFactor * LongestFactor * Longest) +
                         Route.ObjectiveMargin;
  const milliseconds Limit =
      Posted.TimeLimit > milliseconds(0)
          ? std::min(Posted.TimeLimit, config::MaxTimeLimit)
          : config::DefaultTimeLimit;
  Job.ObjectiveDeadline = Ctx.Now + Objective;
  Job.AwaitsOwnerUntil = Ctx.Now + Objective / config::OwnerWaitDivisor;
  Job.ExpiresAt =
      Ctx.Now + std::min(Limit, std::chrono::duration_cast<milliseconds>(
                                    config::ExpiryFactor *
                                    config::ExpiryObjectiveFactor * Objective));
  return Job;
}

/// @returns whether owners of targets are still being found, after a start or
/// when all were lost
bool isRecovering(const pool_view &View) {
  return std::none_of(View.Owners.begin(), View.Owners.end(),
                      [](const owner_view &Owner) { return Owner.Slots > 0; });
}

open_job &keepJob(pool_state &State, open_job &&Job) {
  for (const request_handle Request : Job.Requests) {
    State.Coordinator.JobOf[static_cast<std::uint64_t>(Request)] = Job.Id;
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

bool refusesNewWork(const pool_state &State, boot_time Now) {
  return State.IsShuttingDown &&
         Now >= State.ShutdownStartedAt + config::ReadinessGracePeriod;
}

std::size_t countTasks(const job_submission &Job) {
  std::size_t Count = 0;
  for (const job_step &Step : Job.Steps) {
    Count += Step.Count;
  }
  return Count;
}
} // namespace

namespace {
/// @returns the latest predicted end of a job that is worth a place in a queue
milliseconds latestEnd(const coordinator_state &Coordinator,
                       milliseconds Objective) {
  const double Saturation = Coordinator.Saturation;
  const double Factor = (1 - Saturation) * config::AdmissionFactorIdle +
                        Saturation * config::AdmissionFactorSaturated;
  return std::chrono::duration_cast<milliseconds>(Factor * Objective);
}
} // namespace

void placeJob(reducer_context &Ctx, open_job &Job) {
  pool_state &State = Ctx.State;
  const std::string Id = Job.Id;
  pool_view View = makePoolView(State, Ctx.Now);
  const milliseconds Objective = until(Job.ObjectiveDeadline, Ctx.Now);
  Job.AwaitsOwner = isRecovering(View) && Job.AwaitsOwnerUntil > Ctx.Now;
  if (Job.AwaitsOwner) {
    return;
  }
  const milliseconds LatestEnd = latestEnd(State.Coordinator, Objective);
  std::vector<placement> Placings;
  milliseconds End{0};
  bool MustWait = false;
  for (const job_task &Task : Job.Tasks) {
    const auto Placing =
        placeTask(View, {Job.Route.Service, Task.RequiredResources,
                         expectedRunTimeOf(State, Job, Task), Objective, ""});
    if (!Placing) {
      abandonJob(Ctx, Id, "no_owner");
      return;
    }
    MustWait = MustWait || Placing->Target.empty();
    End = std::max(End, Placing->End);
    Placings.push_back(*Placing);
  }
  if (MustWait && End > LatestEnd) {
    Ctx.count(counter::RefusedOverloaded);
    Ctx.log("job_refused", {{"job", Id},
                            {"reason", "overloaded"},
                            {"predicted_end_ms", describe(End)},
                            {"objective_ms", describe(Objective)},
                            {"priority", std::to_string(Job.Route.Priority)}});
    finishJob(Ctx, Id, response_kind::Overloaded,
              retryAfter(Id, End - Objective));
    return;
  }
  Job.PredictedEnd = End;
  offers Offers;
  for (std::size_t Index = 0; Index < Job.Tasks.size(); ++Index) {
    addToOffer(Ctx, Job, Job.Tasks[Index], View, Placings[Index], Offers);
  }
  sendOffers(Ctx, std::move(Offers));
}

void sampleSaturation(reducer_context &Ctx) {
  constexpr double Part = 0.15; // of a new reading, each time
  double &Saturation = Ctx.State.Coordinator.Saturation;
  Saturation +=
      Part * (saturationOf(makePoolView(Ctx.State, Ctx.Now)) - Saturation);
}

void submitJob(reducer_context &Ctx, job_submitted &&Posted) {
  pool_state &State = Ctx.State;
  coordinator_state &Coordinator = State.Coordinator;
  Ctx.count(counter::JobsPosted);
  const request_handle Request = Posted.Request;
  if (State.Configuration.Version == 0) {
    refuseCaller(Ctx, Request, response_kind::NotConfigured,
                 counter::RefusedNotConfigured);
    return;
  }
  const route *Route =
      findRoute(State.Configuration, Posted.HostName, Posted.Path);
  if (Route == nullptr) {
    refuseCaller(Ctx, Request, response_kind::NoRoute, counter::RefusedNoRoute);
    return;
  }
  if (refusesNewWork(State, Ctx.Now)) {
    refuseCaller(Ctx, Request, response_kind::ShuttingDown,
                 counter::RefusedShuttingDown);
    return;
  }
  std::string Id = Posted.Path.substr(Route->PathPrefix.size());
  const std::size_t Tasks = countTasks(Posted.Job);
  if (Id.empty() || Tasks == 0) {
    refuseCaller(Ctx, Request, response_kind::Malformed,
                 counter::RefusedUnsupported);
    return;
  }
  if (!Posted.Job.Unsupported.empty() || Route->NeedsAdvice ||
      Tasks > config::MaxTasksPerJob) {
    refuseCaller(Ctx, Request, response_kind::Unsupported,
                 counter::RefusedUnsupported);
    return;
  }
  const auto Open = Coordinator.Jobs.find(Id);
  if (Open != Coordinator.Jobs.end()) {
    // The same job again: both requests get its answer.
    Open->second.Requests.push_back(Request);
    Coordinator.JobOf[static_cast<std::uint64_t>(Request)] = Id;
    return;
  }
  const auto Ended = Coordinator.Ended.find(Id);
  if (Ended != Coordinator.Ended.end() && Ended->second.IsDone) {
    Ctx.Effects.emplace_back(
        respond_to_caller{Request, response_kind::JobDone});
    return;
  }
  for (const job_step &Described : Posted.Job.Steps) {
    Coordinator.RunTimeEstimator.addSample(Route->Name,
                                           Described.EstimatedRunTime);
  }
  placeJob(Ctx, keepJob(State, makeJob(Ctx, *Route, std::move(Id),
                                       std::move(Posted))));
}

void queryJob(reducer_context &Ctx, const job_queried &Asked) {
  pool_state &State = Ctx.State;
  respond_to_caller Answer{Asked.Request, response_kind::UnknownJob};
  const route *Route =
      findRoute(State.Configuration, Asked.HostName, Asked.Path);
  if (State.Configuration.Version == 0) {
    Answer.Kind = response_kind::NotConfigured;
  } else if (Route == nullptr) {
    Answer.Kind = response_kind::NoRoute;
  } else if (Asked.Path.size() == Route->PathPrefix.size()) {
    Answer.Kind = response_kind::QueueLength;
    Answer.WaitingJobs = static_cast<std::uint64_t>(
        std::count_if(State.Coordinator.Jobs.begin(),
                      State.Coordinator.Jobs.end(), [&](const auto &Entry) {
                        return Entry.second.Route.Name == Route->Name &&
                               !Entry.second.MayHaveRun;
                      }));
  } else {
    const std::string Id = Asked.Path.substr(Route->PathPrefix.size());
    if (State.Coordinator.Jobs.contains(Id)) {
      Answer.Kind = response_kind::Running;
      if (Asked.IsCancel) {
        Answer.Kind = response_kind::Cancelled;
        failJob(Ctx, Id, response_kind::Cancelled, "cancelled");
      }
    }
  }
  Ctx.Effects.emplace_back(Answer);
}

} // namespace tarragonbridge::pool
