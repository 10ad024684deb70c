/// Where a task goes: the coordinator's choice among all hosts' room.
#pragma once

#include "tarragonbridge/pool/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tarragonbridge::pool {

/// An owner of targets, as the coordinator sees it.
struct owner_view {
  std::string Host;
  milliseconds RoundTrip{}; ///< to the host and back
  milliseconds
      PredictedQueueWait{}; ///< predicted, until a queued task starts there
  std::uint32_t Slots = 0;
  double MeanSpeed = 1;
  bool IsSelf = false;
  bool IsNeighbour = true; ///< what is known of it is fresh
};

/// Room on one target.
struct available_target {
  std::size_t Owner = 0; ///< index among the owners
  std::string Target;
  std::string Service;
  resource_vector Free;
  double Speed = 1;
};

struct pool_view {
  std::vector<owner_view> Owners;
  std::vector<available_target> FreeTargets;
  /// Draws between places that are as good, so that hosts whose views are alike
  /// and some time old don't all choose the same one.
  std::uint64_t TieBreakSeed = 0;
};

/// A task to be placed.
struct placement_request {
  std::string Service;
  resource_vector RequiredResources;
  milliseconds ExpectedRunTime{};   ///< at speed 1
  milliseconds ObjectiveDeadline{}; ///< from now
  std::string AvoidTarget;
};

struct placement {
  std::size_t Owner = 0;
  std::string Target;    ///< empty: to be queued at the owner
  milliseconds End{};    ///< predicted, from now
  bool IsInTime = false; ///< within the objective, with a margin
};

/// A target without room, and when some of it is expected to be free.
struct busy_target {
  milliseconds FreeIn{};
  double Speed = 1;
};

/// Chooses where a task goes and takes the room from the view.
///
/// A task takes a slow free target on which it still ends in time, which
/// leaves the fast ones to those that need them: one of this host's first, then
/// a neighbour's. Where none is in time, the one that ends it soonest; where
/// none is free, the shorter of the queues of two hosts drawn by their slots
/// and of this one.
///
/// @returns nothing when no owner has targets of the service
std::optional<placement> placeTask(pool_view &View,
                                   const placement_request &Request);

/// Chooses a free target for a queued task.
///
/// A task that would be late on every free target waits for a faster one that
/// ends it sooner, and keeps that one from those behind it in the queue.
///
/// @param[in,out] Busy the owner's other targets
/// @returns nothing when the task is to stay in the queue
std::optional<placement> placeQueued(pool_view &View,
                                     std::vector<busy_target> &Busy,
                                     const placement_request &Request);

/// @returns the part of all slots whose owners have tasks waiting, 0 to 1
double saturationOf(const pool_view &View);

/// @returns the run time on a target of a speed
milliseconds runTime(milliseconds Expected, double Speed);

} // namespace tarragonbridge::pool
