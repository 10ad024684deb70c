/// Callers that submit jobs to pool hosts as the platform's clients do: over
/// kept connections, again after a break, with what they saw on record.
#pragma once

#include "emulator/rules.h"
#include "emulator/schedule.h"
#include "poolhost/async_http_client.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tarragonbridge::emulator {

struct job_kind {
  std::string PathPrefix;
  double PerSecond = 5;
  std::uint32_t Tasks = 4;
  milliseconds Work{100};
  resource_vector Needs{14'000, 64, 0};
  double Stretch = 1.6;
  milliseconds ObjectiveMargin{60};
  double FailingPart = 0; ///< of the jobs: every run fails
};

struct callers_init {
  std::vector<std::string> Hosts; ///< addresses for callers
  std::vector<job_kind> Kinds;
  std::string HostName = "desk.example";
  std::string Service = "desk";
  milliseconds TimeLimit{3'000};
  milliseconds ResendAfter{1'300};
  double LeavingPart = 0; ///< of the callers leave after half the objective
  /// Of the callers leave soon after the submission, and submit the job again.
  /// Their connections stay open, as if the network had lost their ends.
  double UnnoticedPart = 0;
  std::uint64_t Seed = 1;
};

struct callers_figures {
  std::uint64_t Asked = 0;
  std::uint64_t Served = 0;
  std::uint64_t InObjective = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0; ///< no answer, or given up by the pool
  std::uint64_t Left = 0;
  std::uint64_t Resent = 0;
  std::uint64_t LeftUnnoticed = 0;
};

class job_callers {
public:
  job_callers(schedule &Schedule, poolhost::async_http_client &Calls,
              rules_checker &Checker, callers_init Init);

  /// Submits jobs until a time.
  void run(boot_time Until);
  /// Planned work begins or ends at a host: nothing there may be cut off.
  void setPlanned(const std::string &Host, bool IsPlanned);
  /// @returns what a task is; unknown tasks have no needs
  task_profile profileOf(const attempt_ref &Attempt) const;
  const callers_figures &figures() const { return Figures; }
  std::size_t waiting() const { return Waiting; }

private:
  struct submitted {
    std::size_t Kind = 0;
    std::string Body;
    boot_time At;
    bool Fails = false;
    bool IsLeaving = false;
    bool LeavesUnnoticed = false; ///< its next connection
  };
  void submitNext(std::size_t Kind, boot_time Until);
  void send(const std::string &Id);
  /// Submits a job again later, as its caller is about to leave.
  void leaveUnnoticed(const std::string &Id);
  void onAnswer(const std::string &Id, const std::string &Host,
                const poolhost::received_response &Result);
  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }
  milliseconds objectiveOf(const submitted &Job) const;

  schedule &Schedule;
  poolhost::async_http_client &Calls;
  rules_checker &Checker;
  callers_init Init;
  std::mt19937_64 Random;
  std::map<std::string, submitted> Jobs;
  std::set<std::string> Planned;
  callers_figures Figures;
  std::size_t Waiting = 0;
};

} // namespace tarragonbridge::emulator
