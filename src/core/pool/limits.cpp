// What a pool host may hold.
#include "tarragonbridge/pool/pool.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
constexpr std::size_t RecordBytes = 400; ///< of an ended job
constexpr std::size_t RecordMemoryDivisor = 16;
constexpr std::size_t MessageBytes = 512; ///< of a cancellation to one peer
constexpr std::size_t MessageMemoryDivisor = 8;
constexpr std::size_t MaxUnacked = 8'000; ///< each event goes through them
/// A stranger may make this host keep a state of some hundred KiB.
constexpr std::size_t StrangerBytes = 1U << 20U;
constexpr std::size_t MinUnlistedPeers = 16;
} // namespace

pool_limits makePoolLimits(std::size_t MemoryBytes) {
  pool_limits Limits;
  Limits.MaxEndedJobs = std::min(
      config::MaxEndedJobs, MemoryBytes / RecordMemoryDivisor / RecordBytes);
  Limits.MaxCancelledJobs = Limits.MaxEndedJobs / 2;
  Limits.MaxUnackedMessages =
      std::min(MaxUnacked, MemoryBytes / MessageMemoryDivisor / MessageBytes);
  Limits.MaxUnlistedPeers =
      std::max(MinUnlistedPeers, MemoryBytes / StrangerBytes);
  return Limits;
}

} // namespace tarragonbridge::pool
