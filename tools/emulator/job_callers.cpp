#include "emulator/job_callers.h"

#include "base/clock.h"
#include "core/json_text.h"

#include <array>
#include <cstdio>

namespace tarragonbridge::emulator {

namespace {
constexpr int StatusOk = 200;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;

std::string formatId(std::uint64_t Number) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Number));
  return Text.data();
}

std::string describeJob(const job_kind &Kind) {
  Json::Value Body;
  Body["specification"] = "quote";
  Body["bestEffort"] = true;
  Json::Value Step;
  Step["count"] = Kind.Tasks;
  Step["cpu"] = static_cast<Json::Int64>(Kind.Needs.CpuMilli);
  Step["memMb"] = static_cast<Json::Int64>(Kind.Needs.MemoryMb);
  Step["estimatedMs"] = static_cast<Json::Int64>(Kind.Work.count());
  Body["steps"].append(Step);
  return writeJson(Body);
}
} // namespace

job_callers::job_callers(schedule &Schedule, poolhost::async_http_client &Calls,
                         rules_checker &Checker, callers_init Given)
    : Schedule(Schedule), Calls(Calls), Checker(Checker),
      Init(std::move(Given)), Random(Init.Seed) {}

void job_callers::run(boot_time Until) {
  for (std::size_t Kind = 0; Kind < Init.Kinds.size(); ++Kind) {
    submitNext(Kind, Until);
  }
}

void job_callers::setPlanned(const std::string &Host, bool IsPlanned) {
  if (IsPlanned) {
    Planned.insert(Host);
  } else {
    Planned.erase(Host);
  }
}

void job_callers::submitNext(std::size_t Kind, boot_time Until) {
  const double Gap =
      std::exponential_distribution<>(Init.Kinds[Kind].PerSecond)(Random);
  const boot_time Next = bootNow() + std::chrono::duration_cast<microseconds>(
                                         std::chrono::duration<double>(Gap));
  if (Next >= Until) {
    return;
  }
  Schedule.at(Next, [this, Kind, Until] {
    const job_kind &Like = Init.Kinds[Kind];
    const std::string Id = formatId(Random());
    submitted Job;
    Job.Kind = Kind;
    Job.Body = describeJob(Like);
    Job.At = bootNow();
    Job.Fails = draw() < Like.FailingPart;
    Job.IsLeaving = draw() < Init.LeavingPart;
    Job.LeavesUnnoticed = draw() < Init.UnnoticedPart;
    Jobs.emplace(Id, std::move(Job));
    ++Figures.Asked;
    send(Id);
    submitNext(Kind, Until);
  });
}

milliseconds job_callers::objectiveOf(const submitted &Job) const {
  const job_kind &Kind = Init.Kinds[Job.Kind];
  return std::chrono::duration_cast<milliseconds>(Kind.Stretch * Kind.Work) +
         Kind.ObjectiveMargin;
}

void job_callers::leaveUnnoticed(const std::string &Id) {
  constexpr milliseconds LeaveAfter{80};
  Jobs.at(Id).LeavesUnnoticed = false;
  ++Figures.LeftUnnoticed;
  Schedule.at(bootNow() + LeaveAfter + Init.ResendAfter,
              [this, Id] { send(Id); });
}

void job_callers::send(const std::string &Id) {
  const submitted &Job = Jobs.at(Id);
  const bool IsLeft = Job.LeavesUnnoticed;
  if (IsLeft) {
    leaveUnnoticed(Id);
  }
  const job_kind &Kind = Init.Kinds[Job.Kind];
  const std::string &Host = Init.Hosts[Random() % Init.Hosts.size()];
  Checker.noteSubmitted({Id, {Init.Service}, {{0, Kind.Tasks}}, 2, false});
  const auto Passed =
      std::chrono::duration_cast<milliseconds>(bootNow() - Job.At);
  poolhost::outgoing_request Call;
  Call.Address = Host;
  Call.Path = Kind.PathPrefix + Id;
  Call.Body = Job.Body;
  // One that leaves breaks its connection off before the answer.
  Call.Timeout = Job.IsLeaving
                     ? objectiveOf(Job) / 2
                     : std::max(Init.TimeLimit - Passed, milliseconds(1));
  Call.Headers = {"Host: " + Init.HostName, "Content-Type: application/json",
                  "Remaining-Milliseconds: " +
                      std::to_string((Init.TimeLimit - Passed).count())};
  ++Waiting;
  Calls.send(std::move(Call),
             [this, Id, Host, IsLeft](poolhost::received_response &&Result) {
               --Waiting;
               if (!IsLeft) { // else nobody reads it
                 onAnswer(Id, Host, Result);
               }
             });
}

void job_callers::onAnswer(const std::string &Id, const std::string &Host,
                           const poolhost::received_response &Result) {
  const submitted &Job = Jobs.at(Id);
  const boot_time Now = bootNow();
  if (Result.Status == StatusOk) {
    Checker.noteAnswer(Id, false);
    const bool IsDone = Result.Body.find("\"completed\"") != std::string::npos;
    ++(IsDone ? Figures.Served : Figures.Failed);
    Figures.InObjective += IsDone && Now <= Job.At + objectiveOf(Job) ? 1 : 0;
    return;
  }
  if (Result.Status == StatusTooMany || Result.Status == StatusUnavailable) {
    Checker.noteAnswer(Id, true);
    ++Figures.Refused;
    return;
  }
  Checker.noteAnswer(Id, false);
  if (Job.IsLeaving) {
    ++Figures.Left;
    return;
  }
  const boot_time Deadline = Job.At + Init.TimeLimit;
  if (Result.Status == 0 && Result.WasSent && Now < Deadline) {
    Checker.noteCut(Id, Planned.contains(Host), Now);
  }
  const boot_time Again = Now + Init.ResendAfter;
  if (Again >= Deadline) {
    ++Figures.Failed;
    return;
  }
  ++Figures.Resent;
  Schedule.at(Again, [this, Id] { send(Id); });
}

task_profile job_callers::profileOf(const attempt_ref &Attempt) const {
  const auto Found = Jobs.find(Attempt.Job);
  if (Found == Jobs.end()) {
    return {};
  }
  const job_kind &Kind = Init.Kinds[Found->second.Kind];
  return {Kind.Needs, Kind.Work, Found->second.Fails};
}

} // namespace tarragonbridge::emulator
