#include "emulator/rules.h"

#include <algorithm>
#include <array>

namespace tarragonbridge::emulator {

namespace {
std::string describe(const attempt_ref &Attempt) {
  return Attempt.Job + " step " + std::to_string(Attempt.Step) + " task " +
         std::to_string(Attempt.Task) + " run " +
         std::to_string(Attempt.AttemptNumber);
}
} // namespace

std::string_view nameOf(rule Rule) {
  static constexpr std::array<std::string_view, 10> Names = {
      "LIMIT", "TWICE", "UNASKED", "REFUSED", "BUDGET",
      "ROUTE", "DRAIN", "EVAC",    "CONFIG",  "LOST"};
  return Names.at(static_cast<std::size_t>(Rule));
}

void rules_checker::add(rule Rule, boot_time At, std::string What) {
  Broken.push_back({Rule, At, std::move(What)});
}

void rules_checker::addTarget(const target_model_init &Target) {
  Targets[Target.Id] = Target;
}

void rules_checker::noteSubmitted(const submitted_job &Job) {
  job_record &Record = Jobs[Job.Id];
  Record.Job = Job;
  ++Record.Submissions;
}

void rules_checker::noteAnswer(const std::string &Job, bool IsRefused) {
  job_record &Record = Jobs[Job];
  Record.Refusals += IsRefused ? 1 : 0;
}

void rules_checker::noteCut(const std::string &Job, bool IsPlanned,
                            boot_time At) {
  if (IsPlanned) {
    add(rule::Lost, At, Job + " was cut off by planned work");
  }
}

void rules_checker::noteCancelled(const std::string &Job, boot_time At) {
  Jobs[Job].CancelledAt = At;
}

void rules_checker::noteDraining(const std::string &Target, boot_time At) {
  DrainingSince.emplace(Target, At);
}

void rules_checker::noteEvacuation(const std::string &FailureDomain,
                                   bool IsEvacuated, boot_time At) {
  if (IsEvacuated) {
    EvacuatedSince.emplace(FailureDomain, At);
  } else {
    EvacuatedSince.erase(FailureDomain);
  }
}

void rules_checker::noteOldConfiguration(const std::string &What,
                                         boot_time At) {
  add(rule::Config, At, What);
}

void rules_checker::checkCrashes(const target_event &Event,
                                 const std::string &What) {
  constexpr std::uint32_t CrashLimit = 3;
  constexpr std::uint32_t StartLimit = 3;
  const attempt_ref &Attempt = Event.Attempt;
  const auto Found = Crashes.find({Attempt.Job, Attempt.Step, Attempt.Task});
  if (Found != Crashes.end() && Found->second.Targets >= CrashLimit &&
      ++Found->second.StartsAfter >= StartLimit) {
    add(rule::Budget, Event.At, What + " after its crashes");
  }
}

std::uint32_t rules_checker::mostCrashes() const {
  std::uint32_t Most = 0;
  for (const auto &[Task, Record] : Crashes) {
    Most = std::max(Most, Record.Targets);
  }
  return Most;
}

void rules_checker::checkStart(const target_event &Event,
                               const task_profile &Profile) {
  const attempt_ref &Attempt = Event.Attempt;
  const target_model_init &Target = Targets[Event.Target];
  const std::string What = describe(Attempt) + " at " + Event.Target;
  const auto Found = Jobs.find(Attempt.Job);
  const bool IsKnown = Found != Jobs.end() &&
                       Found->second.Job.Counts.contains(Attempt.Step) &&
                       Attempt.Task < Found->second.Job.Counts.at(Attempt.Step);
  if (!IsKnown) {
    add(rule::Unasked, Event.At, What);
    return;
  }
  job_record &Record = Found->second;
  Record.HasStarted = true;
  if (Record.CancelledAt && Event.At > *Record.CancelledAt + CancelBound) {
    add(rule::Unasked, Event.At, What + " after its cancelling");
  }
  if (!Record.Job.Services.contains(Target.Service)) {
    add(rule::Route, Event.At, What);
  }
  const auto Draining = DrainingSince.find(Event.Target);
  if (Draining != DrainingSince.end() &&
      Event.At > Draining->second + DrainBound) {
    add(rule::Drain, Event.At, What);
  }
  const auto Evacuated = EvacuatedSince.find(Target.FailureDomain);
  if (Evacuated != EvacuatedSince.end() &&
      Event.At > Evacuated->second + EvacuationBound) {
    add(rule::Evacuation, Event.At, What);
  }
  const task_key Task{Attempt.Job, Attempt.Step, Attempt.Task};
  if (!Running[Task].empty()) {
    add(rule::Twice, Event.At,
        What + ", also at " + Running[Task].begin()->first.second);
  }
  if (Record.Job.IsKept && Failures[Task] >= Record.Job.MaxAttempts) {
    add(rule::Budget, Event.At, What);
  }
  checkCrashes(Event, What);
  resource_vector &InUse = Used[Event.Target];
  InUse += Profile.Needs;
  if (!InUse.fitsIn(Target.Capacity)) {
    add(rule::Limit, Event.At, What);
  }
  Running[Task][{Attempt.AttemptNumber, Event.Target}] = Profile.Needs;
}

void rules_checker::noteTarget(
    const target_event &Event,
    const std::function<task_profile(const attempt_ref &)> &ProfileOf) {
  if (Event.Kind == target_event::kind::Started) {
    checkStart(Event, ProfileOf(Event.Attempt));
    return;
  }
  const task_key Task{Event.Attempt.Job, Event.Attempt.Step,
                      Event.Attempt.Task};
  if (Event.Kind == target_event::kind::Crashed) {
    ++Crashes[Task].Targets;
    return;
  }
  if (Event.End == attempt_outcome::Failed) {
    ++Failures[Task];
  }
  const auto Found =
      Running[Task].find({Event.Attempt.AttemptNumber, Event.Target});
  if (Found != Running[Task].end()) {
    Used[Event.Target] -= Found->second;
    Running[Task].erase(Found);
  }
}

void rules_checker::finish(boot_time At) {
  for (const auto &[Id, Record] : Jobs) {
    if (Record.HasStarted && Record.Submissions > 0 &&
        Record.Refusals == Record.Submissions) {
      add(rule::Refused, At, Id);
    }
  }
}

} // namespace tarragonbridge::emulator
