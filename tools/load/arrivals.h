/// Jobs and the times at which callers submit them.
#pragma once

#include "tarragonbridge/time.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// Shape of the jobs of one deployment.
struct job_mix {
  std::string_view Name;
  double MeanTasks;         ///< of an ordinary job, geometric
  double LargeShare;        ///< part of the jobs that are large
  std::uint32_t LargeTasks; ///< least size of a large job
  std::uint32_t MostTasks;  ///< greatest size of a job
  double LongShare;         ///< part of the tasks that take several seconds
  milliseconds TimeLimit;
};

/// @returns the mix of that name, nothing if there is none
std::optional<job_mix> findMix(std::string_view Name);

/// A target as the load tool knows it.
struct target_shape {
  double Speed = 1;
  std::uint32_t Slots = 1;
};

struct planned_task {
  milliseconds Run{};      ///< at speed 1
  milliseconds Expected{}; ///< what the caller declares
};

struct planned_job {
  microseconds At{}; ///< since the beginning of the run
  std::vector<planned_task> Tasks;
  bool Repeatable = false;
  std::optional<milliseconds> ResubmitAfter;
};

struct arrivals_init {
  job_mix Mix{};
  std::vector<target_shape> Targets;
  double OfferedLoad = 0.5; ///< part of what all slots can run
  milliseconds Length{10'000};
  double RepeatableShare = 0.5;
  double ResubmitShare = 0.02;
  std::uint64_t Seed = 1;
};

/// @returns jobs by Poisson arrivals, in order of time
std::vector<planned_job> planArrivals(const arrivals_init &Init);

} // namespace tarragonbridge
