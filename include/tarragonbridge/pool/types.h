/// What a pool host knows of routes, targets, jobs and attempts.
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

/// What a task needs of a target, or what a target has.
struct resource_vector {
  std::int64_t CpuMilli = 0; ///< thousandths of a core
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  bool operator==(const resource_vector &) const = default;
  bool fitsIn(const resource_vector &Room) const {
    return CpuMilli <= Room.CpuMilli && MemoryMb <= Room.MemoryMb &&
           Accelerators <= Room.Accelerators;
  }
  resource_vector &operator+=(const resource_vector &Other);
  resource_vector &operator-=(const resource_vector &Other);
};

/// A queue of jobs, selected by host name and path.
struct route {
  std::string Name;
  std::string HostName;
  std::string PathPrefix;
  std::string Service; ///< whose targets run the tasks
  int Priority = 0;    ///< 0 goes first
  std::uint32_t MaxAttempts = 1;
  double ObjectiveFactor = 1;     ///< part of the latency objective
  milliseconds ObjectiveMargin{}; ///< the other part, added
  bool NeedsAdvice = false;       ///< not served

  bool operator==(const route &) const = default;
};

/// The operators' configuration, whole.
struct configuration {
  std::int64_t Version = 0;
  std::vector<route> Routes;
  /// Services by name, and whether their targets refuse what doesn't fit.
  std::map<std::string, bool, std::less<>> Services;
};

/// A target as listed by the platform.
struct target_record {
  std::string Id;
  std::string Service;
  std::string Address; ///< IP and port
  std::string FailureDomain;
  std::string Kind;
  resource_vector Capacity;
  bool IsDraining = false;
  milliseconds DrainTimeLeft{}; ///< least time left to a draining target
  std::int64_t Incarnation = 0; ///< start of the process, Unix milliseconds

  bool operator==(const target_record &) const = default;
};

/// Tasks of one kind within a job.
struct job_step {
  std::uint32_t Count = 0;
  resource_vector RequiredResources;
  milliseconds EstimatedRunTime{};
};

/// A job as a caller submits it.
struct job_submission {
  std::string Specification;
  std::vector<job_step> Steps;
  /// What the job asks for and this version doesn't offer; empty if nothing.
  std::string Unsupported;
};

/// One start of one task.
struct attempt_ref {
  std::string Job;
  std::uint32_t Step = 0;
  std::uint32_t Task = 0;
  std::uint32_t AttemptNumber = 1; ///< numbers the starts of the task, rising

  bool operator==(const attempt_ref &) const = default;
  bool operator<(const attempt_ref &Other) const {
    return std::tie(Job, Step, Task, AttemptNumber) <
           std::tie(Other.Job, Other.Step, Other.Task, Other.AttemptNumber);
  }
};

/// How an attempt ended.
enum class attempt_outcome : std::uint8_t {
  Done,
  Failed,     ///< by its own fault or the target's
  Stopped,    ///< on order
  Lost,       ///< its lease lapsed or its target restarted
  NotStarted, ///< proved never to have run
};
std::string_view nameOf(attempt_outcome End);

/// A process of an entry host.
struct host_ref {
  std::string Name;
  std::uint64_t Incarnation = 0;

  bool operator==(const host_ref &) const = default;
  bool operator<(const host_ref &Other) const {
    return std::tie(Name, Incarnation) <
           std::tie(Other.Name, Other.Incarnation);
  }
};

/// An entry host as registered in the platform's store.
struct member_record {
  host_ref Host;
  std::string Address; ///< IP and port for datagrams
  std::string FailureDomain;
};

} // namespace tarragonbridge::pool
