// What a dispatcher may hold.
#include "tarragonbridge/dispatcher.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
constexpr std::size_t BytesPerQueuedTask = 10U << 10U; ///< of the memory
constexpr std::size_t BytesPerKeptJob = 700;           ///< of the memory
constexpr std::size_t ProcessBytes = 20U << 20U; ///< of a daemon without jobs
/// Of the memory past ProcessBytes. A task that runs holds its payload twice.
constexpr std::size_t JobMemoryPercent = 26;
constexpr std::size_t AnswerMemoryDivisor = 10;
} // namespace

dispatcher_limits makeDispatcherLimits(std::size_t MemoryBytes) {
  dispatcher_limits Limits;
  const auto Bound = [&](std::size_t &Limit, std::size_t Divisor) {
    Limit = std::min(Limit, MemoryBytes / Divisor);
  };
  Bound(Limits.MaxQueuedTasks, BytesPerQueuedTask);
  const std::size_t JobMemory =
      MemoryBytes > ProcessBytes ? MemoryBytes - ProcessBytes : 0;
  Limits.MaxJobBytes =
      std::min(Limits.MaxJobBytes, JobMemory / 100 * JobMemoryPercent);
  Bound(Limits.MaxKeptAnswerBytes, AnswerMemoryDivisor);
  Bound(Limits.MaxKeptJobs, BytesPerKeptJob);
  return Limits;
}

} // namespace tarragonbridge
