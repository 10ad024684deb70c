/// Routes, targets, jobs, attempts and hosts, as a pool host represents them.
#pragma once

#include "tarragonbridge/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace tarragonbridge::pool {

/// Resources that a task requires, or that a target has.
struct resource_vector {
  std::int64_t CpuMilli = 0; ///< thousandths of a core
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  bool operator==(const resource_vector &) const = default;
  bool fitsIn(const resource_vector &Available) const {
    return CpuMilli <= Available.CpuMilli && MemoryMb <= Available.MemoryMb &&
           Accelerators <= Available.Accelerators;
  }
  resource_vector &operator+=(const resource_vector &Other);
  resource_vector &operator-=(const resource_vector &Other);
};

/// How the jobs under one host name and path prefix are served.
struct route {
  std::string Name;
  std::string HostName;
  std::string PathPrefix;
  std::string Service; ///< its targets run the tasks
  int Priority = 0;    ///< 0 is the most urgent
  std::uint32_t MaxAttempts = 1;
  double ObjectiveFactor = 1; ///< of the expected run time of the longest task
  milliseconds ObjectiveMargin{}; ///< added; the sum is the latency objective
  bool NeedsAdvice = false;       ///< not supported: its jobs are refused

  bool operator==(const route &) const = default;
};

/// The operators' configuration.
struct configuration {
  std::int64_t Version = 0;
  std::vector<route> Routes;
  /// By name of the service: whether its targets reject tasks that don't fit.
  std::map<std::string, bool, std::less<>> Services;
};

/// A target as registered in the platform's store.
struct target_record {
  std::string Id;
  std::string Service;
  std::string Address; ///< IP and port
  std::string FailureDomain;
  std::string Kind;
  resource_vector Capacity;
  bool IsDraining = false;
  milliseconds DrainTimeLeft{}; ///< least time left while draining
  milliseconds ColdTimeLeft{};  ///< it runs tasks slowly for so long
  /// Start of its process, Unix milliseconds. A later process may have a lower
  /// one, since clocks are set back.
  std::int64_t Incarnation = 0;
  /// Of the platform's store, where the record is as it stands; rises with each
  /// change. 0: unknown.
  std::uint64_t Revision = 0;

  bool operator==(const target_record &) const = default;
};

/// Whether operators want a failure domain to be evacuated: its targets then
/// get no new attempts.
struct evacuation_record {
  std::string FailureDomain;
  bool IsEvacuated = false;
  /// Of the platform's store, when the request was written or removed.
  std::uint64_t Revision = 0;

  bool operator==(const evacuation_record &) const = default;
};

/// A step of a job: tasks with the same requirements and estimate.
struct job_step {
  std::uint32_t Count = 0;
  resource_vector RequiredResources;
  milliseconds EstimatedRunTime{};
};

/// A job as submitted by a caller.
struct job_submission {
  std::string Specification;
  std::vector<job_step> Steps;
  /// A requested feature that isn't supported; empty if there is none.
  std::string UnsupportedFeature;
};

/// Identifies a task of a job.
struct task_ref {
  std::string Job;
  std::uint32_t Step = 0;
  std::uint32_t Task = 0;

  bool operator==(const task_ref &) const = default;
  bool operator<(const task_ref &Other) const {
    return std::tie(Job, Step, Task) <
           std::tie(Other.Job, Other.Step, Other.Task);
  }
};

/// Identifies one attempt at one task.
struct attempt_ref {
  std::string Job;
  std::uint32_t Step = 0;
  std::uint32_t Task = 0;
  std::uint32_t AttemptNumber = 1; ///< rises with each attempt at the task

  bool operator==(const attempt_ref &) const = default;
  bool operator<(const attempt_ref &Other) const {
    return std::tie(Job, Step, Task, AttemptNumber) <
           std::tie(Other.Job, Other.Step, Other.Task, Other.AttemptNumber);
  }
  task_ref task() const { return {Job, Step, Task}; }
};

/// How an attempt ended.
enum class attempt_outcome : std::uint8_t {
  Done,
  Failed,     ///< by a fault of the task or of the target
  Stopped,    ///< by a stop command
  Lost,       ///< its lease expired
  NotStarted, ///< confirmed never to have run
  Crashed,    ///< its target restarted while it ran or may have run
  Vanished,   ///< its lease expired on a target that alone fell silent
};
std::string_view nameOf(attempt_outcome Outcome);

/// One process of a host; a restarted host has another incarnation.
struct host_ref {
  std::string Name;
  std::uint64_t Incarnation = 0;

  bool operator==(const host_ref &) const = default;
  bool operator<(const host_ref &Other) const {
    return std::tie(Name, Incarnation) <
           std::tie(Other.Name, Other.Incarnation);
  }
};

/// A host as registered in the platform's store.
struct member_record {
  host_ref Host;
  std::string Address; ///< IP and port for datagrams
  std::string FailureDomain;
};

} // namespace tarragonbridge::pool
