/// Placement: which target runs a task, chosen by the coordinator among the
/// free capacity of all hosts.
#pragma once

#include "tarragonbridge/pool/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tarragonbridge::pool {

/// What the coordinator knows of an owner of targets.
struct owner_view {
  std::string Host;
  milliseconds RoundTrip{};          ///< of a message and its response
  milliseconds PredictedQueueWait{}; ///< of a task queued there
  std::uint32_t Slots = 0;
  double MeanSpeed = 1;
  bool IsSelf = false;
  bool IsNeighbour = true; ///< its state is received often
};

/// A target that may have free capacity.
struct available_target {
  std::size_t Owner = 0; ///< index among the owners
  std::string Target;
  std::string Service;
  resource_vector Free;
  double Speed = 1;
  bool IsIdle = true;    ///< as far as known
  bool TakesOne = false; ///< it gets one task at a time
};

struct pool_view {
  std::vector<owner_view> Owners;
  std::vector<available_target> FreeTargets;
  /// Seed for choosing between similar targets, so that hosts with similar,
  /// slightly outdated views don't all choose the same one.
  std::uint64_t TieBreakSeed = 0;
};

/// A task to be placed, and its constraints.
struct placement_request {
  std::string Service;
  resource_vector RequiredResources;
  milliseconds ExpectedRunTime{};   ///< at speed 1
  milliseconds ObjectiveDeadline{}; ///< from now
  std::string AvoidTarget;
  /// No other task joins it on its target, and it joins none where it can.
  bool RunsAlone = false;
  /// Refusals by owners so far: each doubles the number of queues compared.
  std::uint32_t Rejections = 0;
};

struct placement {
  std::size_t Owner = 0;
  std::string Target;          ///< empty: queue the task at the owner
  milliseconds CompletesIn{};  ///< predicted, after now
  bool MeetsObjective = false; ///< with a tolerance for the run time
  milliseconds QueueWait{};    ///< predicted; zero unless it is to be queued
};

/// A target without free capacity, and when some is expected to be free.
struct busy_target {
  milliseconds FreeIn{};
  double Speed = 1;
};

/// Chooses a target or a queue for a task and reserves it in the view.
///
/// A task gets a slow free target on which it still meets its objective, which
/// leaves the fast ones to tasks that need them. Targets of this host are
/// preferred, then those of neighbours. If no free target meets the objective,
/// the task gets the free target or the queue that completes it soonest. The
/// queue is the shortest of this host's and of those of two hosts that are
/// sampled by their numbers of slots.
///
/// @returns nothing when no target is free and no owner has slots
std::optional<placement> placeTask(pool_view &View,
                                   const placement_request &Request);

/// Chooses a free target for a queued task.
///
/// A task that would miss its objective on every free target waits for a busy
/// target that completes it sooner. That target is then reserved: tasks behind
/// it in the queue see it as busy for longer.
///
/// @param[in,out] Busy the owner's other targets
/// @returns nothing when the task is to stay in the queue
std::optional<placement> placeQueued(pool_view &View,
                                     std::vector<busy_target> &Busy,
                                     const placement_request &Request);

/// @returns the fraction of all slots whose owners have tasks queued, 0 to 1
double saturationOf(const std::vector<owner_view> &Owners);

/// Answers a load beyond the capacity of the targets: a queued task then waits
/// for longer than predicted, since later tasks that are more urgent overtake.
/// A job is queued only if it meets its objective in spite of that. Jobs that
/// aren't of the first priority allow for more of it, so that they are refused
/// first.
///
/// @param[in] Saturation see saturationOf(), of the last second
/// @param[in] QueueWait as predicted
/// @returns the time to be added to the predicted wait
milliseconds overtakingTime(double Saturation, std::size_t Level,
                            milliseconds QueueWait);

/// @param[in] Saturation see saturationOf(), of the last second
/// @returns the time within which a job that must queue has to end: the more
/// owners have queues, the more of them apply config::QueueAdmissionFactor to
/// what they are offered
milliseconds queueingTimeAllowed(double Saturation, milliseconds Objective);

/// @returns the run time on a target of the given speed
milliseconds runTime(milliseconds Expected, double Speed);

} // namespace tarragonbridge::pool
