#include "core/pool/job_offers_p.h"
#include "core/pool/state_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace tarragonbridge::pool {

namespace {
/// How long ended jobs are remembered for resubmissions.
constexpr milliseconds EndedRetention{15'000};

std::string describe(milliseconds Time) { return std::to_string(Time.count()); }

void rememberEnded(step &Step, const open_job &Job, bool IsDone) {
  coordinator_state &Coordinator = Step.State.Coordinator;
  std::uint32_t LastRun = 0;
  for (const job_task &Task : Job.Tasks) {
    LastRun = std::max(LastRun, Task.Run);
  }
  Coordinator.Ended[Job.Id] = {IsDone, LastRun};
  Coordinator.EndedOrder.emplace_back(Step.Now, Job.Id);
  while (Coordinator.EndedOrder.front().first + EndedRetention < Step.Now) {
    Coordinator.Ended.erase(Coordinator.EndedOrder.front().second);
    Coordinator.EndedOrder.pop_front();
  }
}

/// Ends a job: cancels what is left of it, answers and forgets it.
void finishJob(step &Step, const std::string &Id, answer_kind Kind,
               milliseconds RetryAfter = milliseconds(0)) {
  coordinator_state &Coordinator = Step.State.Coordinator;
  const auto Found = Coordinator.Jobs.find(Id);
  open_job &Job = Found->second;
  std::map<std::string, tasks_cancelled> Cancelled;
  for (const job_task &Task : Job.Tasks) {
    if (Task.Phase == task_phase::Offered) {
      Cancelled[Task.Owner.Name].Tasks.push_back(refOf(Job, Task));
    }
  }
  for (auto &[Host, Message] : Cancelled) {
    sendMessage(Step, hostRef(Step.State, Host), std::move(Message));
  }
  for (const request_handle Request : Job.Requests) {
    Coordinator.JobOf.erase(static_cast<std::uint64_t>(Request));
    Step.Effects.emplace_back(
        answer_caller{Request, Kind, RetryAfter, 0, Step.State.IsLeaving});
  }
  rememberEnded(Step, Job, Kind == answer_kind::JobDone);
  Coordinator.Jobs.erase(Found);
}

void logDone(const step &Step, const open_job &Job) {
  const auto Age =
      std::chrono::duration_cast<milliseconds>(Step.Now - Job.PostedAt);
  Step.log("job_done",
           {{"job", Job.Id},
            {"route", Job.Route.Name},
            {"tasks", std::to_string(Job.Tasks.size())},
            {"age_ms", describe(Age)},
            {"predicted_ms", describe(Job.PredictedEnd)},
            {"objective_ms", describe(until(Job.EndBy, Job.PostedAt))}});
}

/// @returns the hosts that have tasks of a job, and how many each
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

void failJob(step &Step, const std::string &Id, answer_kind Kind,
             std::string_view Reason, const std::string &Detail = "") {
  const open_job &Job = Step.State.Coordinator.Jobs.find(Id)->second;
  const auto Age =
      std::chrono::duration_cast<milliseconds>(Step.Now - Job.PostedAt);
  Step.count(counter::JobsFailed);
  Step.log("job_failed",
           {{"job", Id},
            {"reason", std::string(Reason)},
            {"detail", Detail},
            {"age_ms", describe(Age)},
            {"objective_ms", describe(until(Job.EndBy, Job.PostedAt))},
            {"version", std::to_string(Step.State.Configuration.Version)}});
  finishJob(Step, Id, Kind);
}

milliseconds retryAfter(const std::string &Id, milliseconds Wait) {
  const milliseconds Spread(
      XXH3_64bits(Id.data(), Id.size()) %
      static_cast<std::uint64_t>(
          (config::MaxRetryAfter - config::MinRetryAfter).count()));
  return std::min(config::MinRetryAfter + Wait + Spread, config::MaxRetryAfter);
}

bool mayHaveRun(const open_job &Job) {
  return Job.MayHaveRun ||
         std::any_of(Job.Tasks.begin(), Job.Tasks.end(),
                     [](const job_task &Task) {
                       return Task.Phase == task_phase::Offered;
                     });
}

/// Ends a job that finds no room.
void giveUp(step &Step, const std::string &Id, std::string_view Reason) {
  const open_job &Job = Step.State.Coordinator.Jobs.find(Id)->second;
  if (mayHaveRun(Job)) {
    failJob(Step, Id, answer_kind::JobAbandoned, Reason);
    return;
  }
  Step.count(counter::RefusedOverloaded);
  finishJob(Step, Id, answer_kind::Overloaded, retryAfter(Id, milliseconds(0)));
}

/// Places one task of a job anew.
void placeAgain(step &Step, open_job &Job, job_task &Task,
                std::string_view Reason) {
  Step.log("task_placed_again", {{"job", Job.Id},
                                 {"step", std::to_string(Task.Step)},
                                 {"task", std::to_string(Task.Index)},
                                 {"run", std::to_string(Task.Run)},
                                 {"owner", Task.Owner.Name},
                                 {"reason", std::string(Reason)}});
  Task.Phase = task_phase::Unplaced;
  pool_view View = viewPool(Step.State, Step.Now);
  const auto Placing = placeTask(
      View, {Job.Route.Service, Task.Needs, expectedOf(Step.State, Job, Task),
             until(Job.EndBy, Step.Now), Task.AvoidTarget});
  if (!Placing || Task.Rounds >= config::MaxOfferRounds ||
      Job.UselessAt <= Step.Now) {
    giveUp(Step, Job.Id, Placing ? "no_room" : "no_owner");
    return;
  }
  offers Offers;
  addToOffer(Step, Job, Task, View, *Placing, Offers);
  sendOffers(Step, std::move(Offers));
}

job_task *findTask(open_job &Job, const attempt_ref &Attempt) {
  for (job_task &Task : Job.Tasks) {
    if (Task.Step == Attempt.Step && Task.Index == Attempt.Task) {
      return Task.Run == Attempt.Run && Task.Phase == task_phase::Offered
                 ? &Task
                 : nullptr;
    }
  }
  return nullptr;
}

open_job makeJob(step &Step, const route &Route, std::string Id,
                 job_posted &&Posted) {
  const coordinator_state &Coordinator = Step.State.Coordinator;
  open_job Job;
  Job.Id = std::move(Id);
  Job.Requests = {Posted.Request};
  Job.Route = Route;
  Job.Specification = std::move(Posted.Job.Specification);
  Job.PostedAt = Step.Now;
  const auto Before = Coordinator.Ended.find(Job.Id);
  const std::uint32_t LastRun =
      Before == Coordinator.Ended.end() ? 0 : Before->second.LastRun;
  milliseconds Longest{0};
  for (std::uint32_t Number = 0; Number < Posted.Job.Steps.size(); ++Number) {
    const job_step &Described = Posted.Job.Steps[Number];
    for (std::uint32_t Index = 0; Index < Described.Count; ++Index) {
      job_task Task;
      Task.Step = Number;
      Task.Index = Index;
      Task.Run = LastRun;
      Task.Needs = Described.Needs;
      Task.Estimated = Described.Estimated;
      Longest = std::max(Longest, expectedOf(Step.State, Job, Task));
      Job.Tasks.push_back(std::move(Task));
    }
  }
  const double LongestFactor =
      Job.Tasks.size() > 1 ? config::LongestTaskFactor : 1;
  const auto Objective = std::chrono::duration_cast<milliseconds>(
                             Route.Stretch * LongestFactor * Longest) +
                         Route.ObjectiveMargin;
  const milliseconds Limit =
      Posted.TimeLimit > milliseconds(0)
          ? std::min(Posted.TimeLimit, config::MaxTimeLimit)
          : config::DefaultTimeLimit;
  Job.EndBy = Step.Now + Objective;
  Job.ParkedUntil = Step.Now + Objective / config::ParkedPart;
  Job.UselessAt =
      Step.Now + std::min(Limit, std::chrono::duration_cast<milliseconds>(
                                     config::UselessMargin *
                                     config::LateFactor * Objective));
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

/// Places all tasks of a job that hasn't begun, or refuses it whole.
void placeJob(step &Step, open_job &Job) {
  pool_state &State = Step.State;
  const std::string Id = Job.Id;
  pool_view View = viewPool(State, Step.Now);
  const milliseconds Objective = until(Job.EndBy, Step.Now);
  Job.IsParked = isRecovering(View) && Job.ParkedUntil > Step.Now;
  if (Job.IsParked) {
    return;
  }
  std::vector<placing> Placings;
  milliseconds End{0};
  bool MustWait = false;
  for (const job_task &Task : Job.Tasks) {
    const auto Placing =
        placeTask(View, {Job.Route.Service, Task.Needs,
                         expectedOf(State, Job, Task), Objective, ""});
    if (!Placing) {
      giveUp(Step, Id, "no_owner");
      return;
    }
    MustWait = MustWait || Placing->Target.empty();
    End = std::max(End, Placing->End);
    Placings.push_back(*Placing);
  }
  if (MustWait && End > std::chrono::duration_cast<milliseconds>(
                            config::RefuseFactor * Objective)) {
    Step.count(counter::RefusedOverloaded);
    Step.log("job_refused", {{"job", Id},
                             {"reason", "overloaded"},
                             {"predicted_end_ms", describe(End)},
                             {"objective_ms", describe(Objective)},
                             {"priority", std::to_string(Job.Route.Priority)}});
    finishJob(Step, Id, answer_kind::Overloaded,
              retryAfter(Id, End - Objective));
    return;
  }
  Job.PredictedEnd = End;
  offers Offers;
  for (std::size_t Index = 0; Index < Job.Tasks.size(); ++Index) {
    addToOffer(Step, Job, Job.Tasks[Index], View, Placings[Index], Offers);
  }
  sendOffers(Step, std::move(Offers));
}

void refuseCaller(step &Step, request_handle Request, answer_kind Kind,
                  counter Counter) {
  Step.count(Counter);
  Step.Effects.emplace_back(
      answer_caller{Request, Kind, milliseconds(0), 0, Step.State.IsLeaving});
}

bool refusesNewWork(const pool_state &State, boot_time Now) {
  return State.IsLeaving && Now >= State.LeavingSince + config::LeaveRotation;
}

std::size_t countTasks(const job_submission &Job) {
  std::size_t Count = 0;
  for (const job_step &Step : Job.Steps) {
    Count += Step.Count;
  }
  return Count;
}
} // namespace

void postJob(step &Step, job_posted &&Posted) {
  pool_state &State = Step.State;
  coordinator_state &Coordinator = State.Coordinator;
  Step.count(counter::JobsPosted);
  const request_handle Request = Posted.Request;
  if (State.Configuration.Version == 0) {
    refuseCaller(Step, Request, answer_kind::NotConfigured,
                 counter::RefusedNotConfigured);
    return;
  }
  const route *Route =
      findRoute(State.Configuration, Posted.HostName, Posted.Path);
  if (Route == nullptr) {
    refuseCaller(Step, Request, answer_kind::NoRoute, counter::RefusedNoRoute);
    return;
  }
  if (refusesNewWork(State, Step.Now)) {
    refuseCaller(Step, Request, answer_kind::ShuttingDown,
                 counter::RefusedShuttingDown);
    return;
  }
  std::string Id = Posted.Path.substr(Route->PathPrefix.size());
  const std::size_t Tasks = countTasks(Posted.Job);
  if (Id.empty() || Tasks == 0) {
    refuseCaller(Step, Request, answer_kind::Malformed,
                 counter::RefusedUnsupported);
    return;
  }
  if (!Posted.Job.Unsupported.empty() || Route->NeedsAdvice ||
      Tasks > config::MaxTasksPerJob) {
    refuseCaller(Step, Request, answer_kind::Unsupported,
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
    Step.Effects.emplace_back(answer_caller{Request, answer_kind::JobDone});
    return;
  }
  for (const job_step &Described : Posted.Job.Steps) {
    Coordinator.RunTimes.learn(Route->Name, Described.Estimated);
  }
  placeJob(Step, keepJob(State, makeJob(Step, *Route, std::move(Id),
                                        std::move(Posted))));
}

void askJob(step &Step, const job_asked &Asked) {
  pool_state &State = Step.State;
  answer_caller Answer{Asked.Request, answer_kind::UnknownJob};
  const route *Route =
      findRoute(State.Configuration, Asked.HostName, Asked.Path);
  if (State.Configuration.Version == 0) {
    Answer.Kind = answer_kind::NotConfigured;
  } else if (Route == nullptr) {
    Answer.Kind = answer_kind::NoRoute;
  } else if (Asked.Path.size() == Route->PathPrefix.size()) {
    Answer.Kind = answer_kind::Waiting;
    Answer.Waiting = static_cast<std::uint64_t>(
        std::count_if(State.Coordinator.Jobs.begin(),
                      State.Coordinator.Jobs.end(), [&](const auto &Entry) {
                        return Entry.second.Route.Name == Route->Name &&
                               !Entry.second.MayHaveRun;
                      }));
  } else {
    const std::string Id = Asked.Path.substr(Route->PathPrefix.size());
    if (State.Coordinator.Jobs.contains(Id)) {
      Answer.Kind = answer_kind::Running;
      if (Asked.IsCancel) {
        Answer.Kind = answer_kind::Cancelled;
        failJob(Step, Id, answer_kind::Cancelled, "cancelled");
      }
    }
  }
  Step.Effects.emplace_back(Answer);
}

void leaveJob(step &Step, const caller_left &Left) {
  coordinator_state &Coordinator = Step.State.Coordinator;
  const auto Found =
      Coordinator.JobOf.find(static_cast<std::uint64_t>(Left.Request));
  if (Found == Coordinator.JobOf.end()) {
    return;
  }
  const std::string Id = Found->second;
  Coordinator.JobOf.erase(Found);
  open_job &Job = Coordinator.Jobs.find(Id)->second;
  std::erase(Job.Requests, Left.Request);
  if (Job.Requests.empty()) {
    Step.count(counter::CallersLeft);
    finishJob(Step, Id, answer_kind::JobAbandoned);
  }
}

void takeRefusal(step &Step, const offer_refused &Refused) {
  for (const attempt_ref &Attempt : Refused.Tasks) {
    const auto Found = Step.State.Coordinator.Jobs.find(Attempt.Job);
    if (Found == Step.State.Coordinator.Jobs.end()) {
      continue;
    }
    if (job_task *Task = findTask(Found->second, Attempt)) {
      ++Task->Rounds;
      placeAgain(Step, Found->second, *Task, "refused");
    }
  }
}

void takeEnd(step &Step, const task_ended &Ended) {
  coordinator_state &Coordinator = Step.State.Coordinator;
  const auto Found = Coordinator.Jobs.find(Ended.Attempt.Job);
  if (Found == Coordinator.Jobs.end()) {
    return;
  }
  open_job &Job = Found->second;
  job_task *Task = findTask(Job, Ended.Attempt);
  if (Task == nullptr) {
    return;
  }
  Job.MayHaveRun = Job.MayHaveRun || Ended.End != attempt_end::NotStarted;
  if (Ended.End == attempt_end::Done) {
    Task->Phase = task_phase::Done;
    const bool IsDone = std::all_of(
        Job.Tasks.begin(), Job.Tasks.end(),
        [](const job_task &Other) { return Other.Phase == task_phase::Done; });
    if (IsDone) {
      Step.count(counter::JobsDone);
      logDone(Step, Job);
      finishJob(Step, Ended.Attempt.Job, answer_kind::JobDone);
    }
    return;
  }
  if (Ended.End != attempt_end::NotStarted) {
    Task->AvoidTarget = Ended.Target;
  }
  Task->Phase = task_phase::Unplaced;
  if (Ended.End == attempt_end::Failed &&
      ++Task->Failures >= Job.Route.MaxAttempts) {
    Step.count(counter::GivenUpAttempts);
    failJob(Step, Ended.Attempt.Job, answer_kind::JobFailed, "attempts_failed",
            Ended.Target);
    return;
  }
  Task->Rounds = 0;
  placeAgain(Step, Job, *Task, nameOf(Ended.End));
}

void takeMove(step &Step, const host_ref &From, const tasks_moved &Moved) {
  for (const attempt_ref &Attempt : Moved.Tasks) {
    const auto Found = Step.State.Coordinator.Jobs.find(Attempt.Job);
    job_task *Task = Found == Step.State.Coordinator.Jobs.end()
                         ? nullptr
                         : findTask(Found->second, Attempt);
    if (Task != nullptr) {
      Task->Owner = From;
    } else {
      // Ended while it moved.
      sendMessage(Step, From, tasks_cancelled{{Attempt}});
    }
  }
}

void reviewJobs(step &Step) {
  pool_state &State = Step.State;
  std::vector<std::string> Parked;
  for (const auto &[Id, Job] : State.Coordinator.Jobs) {
    if (Job.IsParked) {
      Parked.push_back(Id);
    }
  }
  for (const std::string &Id : Parked) {
    placeJob(Step, State.Coordinator.Jobs.find(Id)->second);
  }
  std::vector<std::pair<std::string, std::string_view>> Ended;
  for (const auto &[Id, Job] : State.Coordinator.Jobs) {
    if (Job.UselessAt <= Step.Now) {
      Ended.emplace_back(Id, "too_late");
      continue;
    }
    const bool LostOwner = std::any_of(
        Job.Tasks.begin(), Job.Tasks.end(), [&](const job_task &Task) {
          return Task.Phase == task_phase::Offered &&
                 !isHeard(State, Task.Owner, Step.Now, config::HostSilence);
        });
    if (LostOwner) {
      Ended.emplace_back(Id, "owner_lost");
    }
  }
  for (const auto &[Id, Reason] : Ended) {
    Step.count(counter::GivenUpLate);
    failJob(Step, Id, answer_kind::JobAbandoned, Reason,
            describeOwners(State.Coordinator.Jobs.find(Id)->second));
  }
}

void endAllJobs(step &Step) {
  while (!Step.State.Coordinator.Jobs.empty()) {
    const std::string Id = Step.State.Coordinator.Jobs.begin()->first;
    failJob(Step, Id, answer_kind::JobAbandoned, "shutting_down");
  }
}

boot_time nextJobTimer(const pool_state &State) {
  boot_time Due = boot_time::max();
  for (const auto &[Id, Job] : State.Coordinator.Jobs) {
    Due = std::min(Due, Job.UselessAt);
  }
  return Due;
}

} // namespace tarragonbridge::pool
