/// State of the dispatcher, internal to the reducer's modules.
#pragma once

#include "core/attempt_table_p.h"
#include "core/peers_p.h"
#include "core/placement_index_p.h"
#include "core/slot_window_p.h"
#include "core/target_speed_p.h"
#include "tarragonbridge/answer_cache.h"
#include "tarragonbridge/config.h"
#include "tarragonbridge/dispatcher.h"
#include "tarragonbridge/entry_load.h"
#include "tarragonbridge/retry_budget.h"
#include "tarragonbridge/run_times.h"
#include "tarragonbridge/target_health.h"
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
  Queued,     ///< waits for a target
  BackingOff, ///< waits before it is queued again
  Running,    ///< an attempt is out
  Settled,    ///< ended, or its outcome is unknown
};

struct task_record {
  task_request Request;
  task_phase Phase = task_phase::Queued;
  std::uint32_t Attempts = 0; ///< attempts sent so far
  std::uint32_t Refusals = 0; ///< attempts proved not run
  std::string Target;         ///< of the attempt that is out
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

/// A request that waits for a job which was submitted before.
struct waiting_request {
  std::string Key;
  request_handle Request;
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
  boot_time Rank;          ///< order in the queue of its team
  microseconds SureTime{}; ///< what one of its tasks surely takes
  std::vector<task_record> Tasks;
  std::size_t Unsettled = 0;
  job_failure Failure;
  std::size_t PayloadBytes = 0; ///< of all tasks
  std::vector<waiter> Waiters;
  boot_time WaitTimerAt = boot_time::max(); ///< the next one that is set
};

/// What an attempt holds of its team's limits and service.
struct team_charge {
  std::string Team;
  resources Needs;
  microseconds Cost{}; ///< expected run time
};

/// An attempt that is out, until it is known to have ended.
struct attempt_record {
  boot_time StartedAt;
  resources Needs;
  bool IsProbe = false;          ///< started past the window of slots
  boot_time HeardAt = StartedAt; ///< latest proof that its lease had not ended
  attempt_state State = attempt_state::Sent;
  bool Received = false;        ///< the start arrived, or never will
  bool StopOut = false;         ///< a stop waits for its answer
  std::uint32_t Unanswered = 0; ///< renewals sent since the last answer
  team_charge Charge{};
};

/// A target as listed, and what this host has out at it.
struct target_record {
  host_entry Host;
  bool Listed = true;
  std::uint32_t SlotShare = 0; ///< slots that this host may use
  std::map<attempt_id, attempt_record> Running;
  boot_time LeavingUntil;     ///< said so itself, whatever the list says
  boot_time FullUntil;        ///< no start before this after a refusal
  std::uint32_t Refusals = 0; ///< in a row
  bool RenewalOut = false;    ///< a batch of renewals waits for its answer
  retry_budget Budget{config::TargetRetryBudget};
  resources Used{0, 0, 0}; ///< by the attempts that are out
  target_speed Speed;
  slot_window Window;
  target_health Health;
  placement_entry Placement;
  std::uint64_t Order = 0; ///< random, breaks ties between equal targets
  boot_time WakeAt;        ///< when the index looks at it again
};

/// Use of a team's limits by this host.
struct team_record {
  team_limiter Limiter;
  resources LargestNeeds; ///< of tasks queued since it was last idle
  boot_time WakeAt;       ///< latest timer set for its rate of starts
};

/// What shares are computed from.
struct share_state {
  std::vector<entry_host> Others;
  std::optional<entry_load> Told; ///< own load as told last
  std::uint64_t UsableSlots = 0;  ///< at all targets
  bool TimerSet = false;
};

/// What a timer is for.
enum class timer_kind : std::uint8_t {
  Deadline,
  Wait,
  Dispatch,
  RenewLeases,
  Heartbeat,
  Shares,
  Retry,
};

struct timer {
  timer_kind Kind = timer_kind::Dispatch;
  std::string Key;        ///< job, for Deadline, Wait and Retry
  std::uint32_t Task = 0; ///< for Retry
};

/// What the listed targets offer.
struct capacity_state {
  std::vector<resources> Largest; ///< capacities that no other one contains
};

/// What this host holds of the settings, and how the store compares with it.
struct settings_state {
  settings_snapshot
      Held; ///< subtrees without faults, at their highest revisions
  /// Subtrees of the store that have faults, with the revision refused.
  std::map<std::string, std::int64_t> Rejected;
  std::set<std::string> Behind; ///< subtrees of which the store has less
  std::optional<store_contact> Contact;
  wall_time ContactSince;
};

struct dispatcher_state {
  explicit dispatcher_state(const dispatcher_init &Init) : Init(Init) {}

  dispatcher_init Init;
  settings_tree Settings; ///< in force
  settings_state SettingsPart;
  std::uint64_t NextSession = 1;
  std::unordered_map<std::string, job_record> Jobs;
  std::size_t JobBytes = 0;           ///< payloads of Jobs
  std::vector<std::string> EndedJobs; ///< during this event
  /// The longest first; some may have been answered.
  std::deque<waiting_request> Waiting;
  answer_cache Answers{{Init.Limits.MaxKeptAnswerBytes,
                        config::AnswerRetention + 2 * config::MaxClockSkew}};
  std::map<std::string, target_record, std::less<>> Targets;
  std::map<std::string, team_record, std::less<>> Teams;
  team_queues Queues;
  share_state Shares;
  capacity_state Capacity;
  resources SmallestNeeds; ///< of tasks queued since nothing was queued
  std::size_t RunningTasks = 0;
  std::size_t RunningJobs = 0;
  peer_state Peers;
  std::multimap<boot_time, timer> Timers;
  bool LeaseTimerSet = false;
  bool ShuttingDown = false;
  bool ShutdownTold = false;
  run_times RunTimes;
  placement_index Placement;
  std::string LastPlaced; ///< target of the last start, for round robin
  std::map<std::string, retry_budget, std::less<>> RetryBudgets; ///< by team
  std::mt19937_64 Random;
  dispatcher_figures Figures;
};

/// Effects of one event, in order.
using effects = std::vector<effect>;

void setTimer(dispatcher_state &State, boot_time When, timer_kind Kind,
              std::string Key = "", std::uint32_t Task = 0);

} // namespace tarragonbridge
