/// State of the dispatcher, internal to the reducer's modules.
#pragma once

#include "tarragonbridge/dispatcher.h"
#include "tarragonbridge/run_times.h"
#include "tarragonbridge/team_limits.h"
#include "tarragonbridge/team_queues.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragonbridge {

/// What a task is doing.
enum class task_phase : std::uint8_t {
  Queued,  ///< waits for a target
  Running, ///< an attempt is out
  Settled, ///< ended, or its outcome is unknown
};

/// What an attempt that is out holds of its team's limits and service.
struct task_charge {
  bool IsHeld = false;
  boot_time StartedAt;
  microseconds Cost{}; ///< expected run time
};

struct task_record {
  task_request Request;
  task_phase Phase = task_phase::Queued;
  std::uint32_t Attempts = 0; ///< attempts sent so far
  std::uint32_t Refusals = 0; ///< attempts proved not run
  std::string Target;         ///< of the attempt that is out
  task_charge Charge;         ///< of the attempt that is out
  boot_time NotBefore;        ///< earliest next attempt
  boot_time QueuedAt;
  boot_time StartedAt; ///< of the attempt that is out
  std::string Output;
};

enum class job_phase : std::uint8_t { Running, Complete, Failed };

/// Why a job failed, and what is known of its run.
struct job_failure {
  reason Reason = reason::TaskFailed;
  bool OutcomeKnown =
      true;            ///< no attempt can still run or have an unseen result
  bool NotRun = false; ///< proved: no task of the submission ever started
  std::string Step;
  std::string Peer;
  std::string Message;
};

/// A request that is held until its job ends or its wait is over.
struct waiter {
  request_handle Request;
  boot_time Until;
};

struct job_record {
  std::string Key;
  std::string Team;
  std::string Class;
  std::uint64_t Digest = 0;
  bool Repeatable = false;
  job_phase Phase = job_phase::Running;
  boot_time ReceivedAt;
  boot_time Deadline;
  boot_time ForgetAt;
  std::vector<task_record> Tasks;
  std::size_t Unsettled = 0;
  job_failure Failure;
  std::vector<waiter> Waiters;
};

/// A target as listed, and what this host has out at it.
struct target_record {
  host_entry Host;
  bool Listed = true;
  std::set<attempt_id> Running;
  boot_time FullUntil; ///< no start before this after a refusal
};

/// Use of a team's limits by this host.
struct team_record {
  team_limiter Limiter;
  boot_time WakeAt; ///< latest timer set for its rate of starts
};

/// What a timer is for.
enum class timer_kind : std::uint8_t {
  Deadline,
  Forget,
  Wait,
  Dispatch,
  RenewLeases
};

struct timer {
  timer_kind Kind = timer_kind::Dispatch;
  std::string Key; ///< job, for Deadline, Forget and Wait
};

struct dispatcher_state {
  dispatcher_init Init;
  settings_tree Settings;
  std::uint64_t NextSession = 1;
  std::unordered_map<std::string, job_record> Jobs;
  std::map<std::string, target_record, std::less<>> Targets;
  std::map<std::string, team_record, std::less<>> Teams;
  team_queues Queues;
  std::size_t RunningTasks = 0;
  std::size_t RunningJobs = 0;
  std::multimap<boot_time, timer> Timers;
  bool LeaseTimerSet = false;
  bool ShuttingDown = false;
  bool ShutdownTold = false;
  run_times RunTimes;
  std::mt19937_64 Random;
  dispatcher_figures Figures;
};

/// Effects of one event, in order.
using effects = std::vector<effect>;

void setTimer(dispatcher_state &State, boot_time When, timer_kind Kind,
              std::string Key = "");

} // namespace tarragonbridge
