#include "core/jobs_p.h"

#include "core/admission_p.h"
#include "core/answers_p.h"
#include "core/attempts_p.h"
#include "core/dispatch_p.h"
#include "core/ended_jobs_p.h"
#include "core/home_p.h"
#include "core/home_questions_p.h"
#include "core/json_text.h"
#include "core/remote_answers_p.h"
#include "core/teams_p.h"
#include "core/waiters_p.h"
#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
constexpr int StatusCreated = 201;

job_record makeRecord(const dispatcher_state &State, const job_request &Request,
                      instant Now) {
  job_record Job;
  Job.Key = Request.Key;
  Job.Team = Request.Team;
  Job.Class = Request.Class;
  Job.Digest = Request.Digest;
  Job.Repeatable = Request.Repeatable;
  Job.Deadline =
      Now.Boot + (Request.SubmittedAt + timeLimitOf(State, Request) - Now.Wall);
  Job.Tasks.reserve(Request.Tasks.size());
  for (const task_request &Task : Request.Tasks) {
    Job.Tasks.push_back({});
    Job.Tasks.back().Request = Task;
    Job.Tasks.back().QueuedAt = Now.Boot;
    Job.PayloadBytes += Task.Payload.size();
  }
  Job.Unsettled = Job.Tasks.size();
  return Job;
}

/// Answers a submission that this home has granted to another host.
void onClaimedElsewhere(dispatcher_state &State, const claim_entry &Claim,
                        const job_submitted &Event, instant Now,
                        effects &Effects) {
  const job_request &Job = Event.Job;
  if (Claim.Digest != Job.Digest) {
    Effects.emplace_back(answerRefusal(State, Event.Request,
                                       {Job.Key, reason::KeyReused, false,
                                        "submit", State.Init.Self.Host, ""}));
    return;
  }
  fetchAnswer(State, Claim.Holder, {Job.Key, Job.SubmittedAt}, submitter(Event),
              Now, Effects);
}

/// Asks the host that holds a key or the key's home, if that is another one.
///
/// @returns whether the caller is answered by that
bool askElsewhere(dispatcher_state &State, const std::string &Key,
                  const remote_caller &Caller, instant Now, effects &Effects) {
  const auto Home = homeOf(State, Key);
  if (Home && *Home != State.Init.Self) {
    findHolder(State, *Home, Key, Caller, Effects);
    return true;
  }
  if (const claim_entry *Claim = findClaim(State, Key)) {
    fetchAnswer(State, Claim->Holder, {Key, {}}, Caller, Now, Effects);
    return true;
  }
  return false;
}

/// Answers a submission whose key this host has a record of.
void onResubmitted(dispatcher_state &State, std::uint64_t Digest,
                   const job_submitted &Event, effects &Effects) {
  const std::string &Key = Event.Job.Key;
  if (Digest != Event.Job.Digest) {
    Effects.emplace_back(answerRefusal(
        State, Event.Request,
        {Key, reason::KeyReused, false, "submit", State.Init.Self.Host, ""}));
    return;
  }
  if (answerEnded(State, Key, Event.Request, Effects)) {
    return;
  }
  job_record &Job = State.Jobs.at(Key);
  if (Event.Async || Job.Phase != job_phase::Running) {
    answerOrHold(Job, Event.Request, Event.Async, Effects);
    return;
  }
  addWaiter(State, Job, {Event.Request, boot_time::max()}, Effects);
}

void endJob(dispatcher_state &State, job_record &Job, job_phase Phase,
            instant Now, effects &Effects) {
  Job.Phase = Phase;
  Effects.emplace_back(
      observe_time{time_metric::JobResponse, Now.Boot - Job.ReceivedAt});
  --State.RunningJobs;
  answerWaiters(Job, Effects);
  State.EndedJobs.push_back(Job.Key);
}

void refuseUnknownKey(dispatcher_state &State, request_handle Request,
                      const std::string &Key, effects &Effects) {
  Effects.emplace_back(answerRefusal(
      State, Request,
      {Key, reason::UnknownKey, false, "find job", State.Init.Self.Host, ""}));
}
} // namespace

void onSessionRequested(dispatcher_state &State, const session_requested &Event,
                        effects &Effects) {
  if (State.ShuttingDown) {
    Effects.emplace_back(
        answerRefusal(State, Event.Request,
                      {"", reason::ShuttingDown, true, "open session",
                       State.Init.Self.Host, ""}));
    return;
  }
  Json::Value Body;
  Body["session"] = formatSession(State.Init.Self, State.NextSession++);
  Body["address"] = State.Init.Address;
  Effects.emplace_back(
      answer_request{Event.Request, StatusCreated, writeJson(Body), {}});
}

void onJobSubmitted(dispatcher_state &State, const job_submitted &Event,
                    instant Now, effects &Effects) {
  if (const auto Digest = findDigest(State, Event.Job.Key)) {
    onResubmitted(State, *Digest, Event, Effects);
    return;
  }
  const auto Home = homeOf(State, Event.Job.Key);
  if (Home && *Home != State.Init.Self) {
    claimSubmission(State, *Home, Event, Now, Effects);
    return;
  }
  if (const claim_entry *Claim = findClaim(State, Event.Job.Key)) {
    onClaimedElsewhere(State, *Claim, Event, Now, Effects);
    return;
  }
  if (auto Refusal = checkSubmission(State, Event, Now)) {
    Effects.emplace_back(answerRefusal(State, Event.Request, *Refusal));
    return;
  }
  job_record &Job = startJob(State, Event.Job, Now);
  answerOrHold(Job, Event.Request, Event.Async, Effects);
  enqueueJob(State, Job, Now);
  dispatchQueued(State, Now, Effects);
}

job_record &startJob(dispatcher_state &State, const job_request &Request,
                     instant Now) {
  ++State.Figures.JobsSubmitted;
  ++State.RunningJobs;
  job_record &Job =
      State.Jobs.emplace(Request.Key, makeRecord(State, Request, Now))
          .first->second;
  State.JobBytes += Job.PayloadBytes;
  setTimer(State, Job.Deadline, timer_kind::Deadline, Job.Key);
  return Job;
}

void answerOrHold(job_record &Job, request_handle Request, bool Async,
                  effects &Effects) {
  if (Async) {
    Effects.emplace_back(answerAccepted(Job, Request));
    return;
  }
  if (Job.Phase != job_phase::Running) {
    Effects.emplace_back(answerJob(Job, Request));
    return;
  }
  Job.Waiters.push_back({Request, boot_time::max()});
}

void onJobQueried(dispatcher_state &State, const job_queried &Event,
                  instant Now, effects &Effects) {
  if (answerEnded(State, Event.Key, Event.Request, Effects)) {
    return;
  }
  const boot_time Until = Now.Boot + std::min(Event.Wait, config::MaxTimeLimit);
  const auto Found = State.Jobs.find(Event.Key);
  if (Found == State.Jobs.end()) {
    const remote_caller Caller{Event.Request, remote_wish::Query, Until};
    if (!askElsewhere(State, Event.Key, Caller, Now, Effects)) {
      refuseUnknownKey(State, Event.Request, Event.Key, Effects);
    }
    return;
  }
  job_record &Job = Found->second;
  if (Job.Phase != job_phase::Running || Event.Wait <= milliseconds::zero()) {
    Effects.emplace_back(answerJob(Job, Event.Request));
    return;
  }
  addWaiter(State, Job, {Event.Request, Until}, Effects);
}

void onJobCancelled(dispatcher_state &State, const job_cancelled &Event,
                    instant Now, effects &Effects) {
  if (answerEnded(State, Event.Key, Event.Request, Effects)) {
    return;
  }
  const auto Found = State.Jobs.find(Event.Key);
  if (Found == State.Jobs.end()) {
    const remote_caller Caller{Event.Request, remote_wish::Cancel, Now.Boot};
    if (!askElsewhere(State, Event.Key, Caller, Now, Effects)) {
      refuseUnknownKey(State, Event.Request, Event.Key, Effects);
    }
    return;
  }
  job_record &Job = Found->second;
  if (Job.Phase == job_phase::Running) {
    // Slots come free only when the targets confirm the end of attempts.
    const bool MayStart = State.Queues.isOffered(Job.Key);
    failJob(State, Job,
            {reason::Cancelled, true, false, "cancel", "caller", ""}, Now,
            Effects);
    if (MayStart) {
      dispatchQueued(State, Now, Effects);
    }
  }
  Effects.emplace_back(answerJob(Job, Event.Request));
}

void failJob(dispatcher_state &State, job_record &Job, job_failure Failure,
             instant Now, effects &Effects) {
  bool AnyStarted = false;
  bool AnyOut = false;
  for (std::uint32_t Index = 0; Index < Job.Tasks.size(); ++Index) {
    task_record &Task = Job.Tasks[Index];
    AnyStarted = AnyStarted || Task.Attempts > Task.Refusals;
    AnyOut = AnyOut || Task.Phase == task_phase::Running;
    if (Task.Phase == task_phase::Running) {
      requestStop(State, Job, Index, Effects);
    }
    Task.Output.clear();
    Task.Phase = task_phase::Settled;
  }
  Failure.NotRun = !AnyStarted;
  Failure.OutcomeKnown = Failure.OutcomeKnown && !AnyOut;
  State.Queues.erase(Job.Key);
  Job.Unsettled = 0;
  Job.Failure = std::move(Failure);
  State.Figures.Reasons.add(Job.Failure.Reason);
  ++State.Figures.JobsFailed;
  endJob(State, Job, job_phase::Failed, Now, Effects);
}

void completeJob(dispatcher_state &State, job_record &Job, instant Now,
                 effects &Effects) {
  ++State.Figures.JobsCompleted;
  endJob(State, Job, job_phase::Complete, Now, Effects);
}

void onDeadline(dispatcher_state &State, const std::string &Key, instant Now,
                effects &Effects) {
  const auto Found = State.Jobs.find(Key);
  if (Found == State.Jobs.end() || Found->second.Phase != job_phase::Running) {
    return;
  }
  failJob(State, Found->second,
          {reason::DeadlineExceeded, true, false, "wait for tasks",
           State.Init.Self.Host, ""},
          Now, Effects);
}

} // namespace tarragonbridge
