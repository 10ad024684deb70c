#include "core/pool/placement_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace tarragonbridge::pool {

namespace {
/// Part that a run may take longer than expected and still be in time.
constexpr double EndMargin = 1.25;
/// What a trip weighs against speed, each millisecond.
constexpr double TripWeight = 0.04;
/// What a place at another host weighs against speed: messages, and the chance
/// that its room is taken meanwhile.
constexpr double AwayWeight = 1;
/// The same for a host that isn't a neighbour, on top.
constexpr double FarWeight = 2;
/// Costs within this distance are as good.
constexpr double DrawnWeight = 1;
/// Queues that are drawn and compared.
constexpr std::size_t QueueChoices = 2;
/// Chance of a host that isn't a neighbour against a neighbour's.
constexpr double FarQueuePart = 0.3;

/// @returns a number between 0 and 1 that stands for a place in one choice
double drawFor(const pool_view &View, std::size_t Place) {
  constexpr double Range = 0x1p64;
  return static_cast<double>(
             XXH3_64bits_withSeed(&Place, sizeof(Place), View.TieBreakSeed)) /
         Range;
}

/// A free target, as the choice sees it.
struct free_target {
  std::size_t Room = 0;
  bool IsInTime = false;
  milliseconds End{};
  double Cost = 0; ///< among those in time
};

bool isBetter(const free_target &A, const free_target &B) {
  if (A.IsInTime != B.IsInTime) {
    return A.IsInTime;
  }
  return A.IsInTime ? A.Cost < B.Cost : A.End < B.End;
}

std::optional<free_target> bestFree(const pool_view &View,
                                    const placement_request &Request) {
  std::optional<free_target> Best;
  for (std::size_t Index = 0; Index < View.FreeTargets.size(); ++Index) {
    const available_target &Room = View.FreeTargets[Index];
    if (Room.Service != Request.Service ||
        !Request.RequiredResources.fitsIn(Room.Free) ||
        Room.Target == Request.AvoidTarget) {
      continue;
    }
    const owner_view &Owner = View.Owners[Room.Owner];
    const milliseconds Run = runTime(Request.ExpectedRunTime, Room.Speed);
    free_target Free;
    Free.Room = Index;
    Free.End = Owner.RoundTrip + Run;
    Free.IsInTime = Owner.RoundTrip + std::chrono::duration_cast<milliseconds>(
                                          EndMargin * Run) <=
                    Request.ObjectiveDeadline;
    Free.Cost =
        Room.Speed + TripWeight * static_cast<double>(Owner.RoundTrip.count()) +
        (Owner.IsSelf ? 0 : AwayWeight) + (Owner.IsNeighbour ? 0 : FarWeight) +
        DrawnWeight * drawFor(View, Index);
    if (!Best || isBetter(Free, *Best)) {
      Best = Free;
    }
  }
  return Best;
}

placement take(pool_view &View, const free_target &Free,
               const placement_request &Request) {
  available_target &Room = View.FreeTargets[Free.Room];
  Room.Free -= Request.RequiredResources;
  return {Room.Owner, Room.Target, Free.End, Free.IsInTime};
}

/// Draws owners by their slots, so that a short queue isn't joined by all.
std::vector<std::size_t> drawOwners(const pool_view &View) {
  std::vector<std::pair<double, std::size_t>> Drawn;
  std::vector<std::size_t> Owners;
  for (std::size_t Index = 0; Index < View.Owners.size(); ++Index) {
    const owner_view &Owner = View.Owners[Index];
    if (Owner.Slots == 0) {
      continue;
    }
    if (Owner.IsSelf) {
      Owners.push_back(Index);
      continue;
    }
    const double Weight = Owner.Slots * (Owner.IsNeighbour ? 1 : FarQueuePart);
    // The smallest of exponential numbers falls on each by its weight.
    Drawn.emplace_back(
        -std::log1p(-drawFor(View, View.FreeTargets.size() + Index)) / Weight,
        Index);
  }
  const std::size_t Count = std::min(QueueChoices, Drawn.size());
  std::partial_sort(Drawn.begin(),
                    Drawn.begin() + static_cast<std::ptrdiff_t>(Count),
                    Drawn.end());
  for (std::size_t Number = 0; Number < Count; ++Number) {
    Owners.push_back(Drawn[Number].second);
  }
  return Owners;
}

std::optional<std::size_t> shortQueue(const pool_view &View) {
  std::optional<std::size_t> Best;
  const auto WaitOf = [&](std::size_t Index) {
    return View.Owners[Index].PredictedQueueWait + View.Owners[Index].RoundTrip;
  };
  for (const std::size_t Index : drawOwners(View)) {
    if (!Best || WaitOf(Index) < WaitOf(*Best)) {
      Best = Index;
    }
  }
  return Best;
}
} // namespace

double saturationOf(const pool_view &View) {
  double Slots = 0;
  double Waiting = 0;
  for (const owner_view &Owner : View.Owners) {
    Slots += Owner.Slots;
    Waiting += Owner.PredictedQueueWait > milliseconds(0) ? Owner.Slots : 0;
  }
  return Slots > 0 ? Waiting / Slots : 0;
}

milliseconds runTime(milliseconds Expected, double Speed) {
  return milliseconds(
      std::llround(std::ceil(static_cast<double>(Expected.count()) / Speed)));
}

std::optional<placement> placeTask(pool_view &View,
                                   const placement_request &Request) {
  const auto Free = bestFree(View, Request);
  if (Free && Free->IsInTime) {
    return take(View, *Free, Request);
  }
  const std::optional<std::size_t> Queue = shortQueue(View);
  if (!Queue) {
    return Free ? std::optional(take(View, *Free, Request)) : std::nullopt;
  }
  owner_view &Owner = View.Owners[*Queue];
  const milliseconds Run = runTime(Request.ExpectedRunTime, Owner.MeanSpeed);
  const milliseconds End = Owner.RoundTrip + Owner.PredictedQueueWait + Run;
  if (Free && Free->End <= End) {
    return take(View, *Free, Request);
  }
  Owner.PredictedQueueWait += Run / Owner.Slots;
  return placement{*Queue, "", End, End <= Request.ObjectiveDeadline};
}

std::optional<placement> placeQueued(pool_view &View,
                                     std::vector<busy_target> &Busy,
                                     const placement_request &Request) {
  const auto Free = bestFree(View, Request);
  if (!Free || Free->IsInTime) {
    return Free ? std::optional(take(View, *Free, Request)) : std::nullopt;
  }
  const auto EndOn = [&](const busy_target &Target) {
    return Target.FreeIn + runTime(Request.ExpectedRunTime, Target.Speed);
  };
  const auto Soonest =
      std::min_element(Busy.begin(), Busy.end(),
                       [&](const busy_target &A, const busy_target &B) {
                         return EndOn(A) < EndOn(B);
                       });
  if (Soonest != Busy.end() && EndOn(*Soonest) < Free->End) {
    Soonest->FreeIn = EndOn(*Soonest);
    return std::nullopt;
  }
  return take(View, *Free, Request);
}

} // namespace tarragonbridge::pool
