#include "core/pool/placing_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge::pool {

namespace {
/// Part that a run may take longer than expected and still be in time.
constexpr double EndMargin = 1.25;
/// What a trip weighs against speed, each millisecond.
constexpr double TripWeight = 0.04;

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
                                    const placing_request &Request) {
  std::optional<free_target> Best;
  for (std::size_t Index = 0; Index < View.Rooms.size(); ++Index) {
    const room_view &Room = View.Rooms[Index];
    if (Room.Service != Request.Service || !Request.Needs.fitsIn(Room.Free) ||
        Room.Target == Request.AvoidTarget) {
      continue;
    }
    const owner_view &Owner = View.Owners[Room.Owner];
    const milliseconds Run = runTime(Request.Expected, Room.Speed);
    free_target Free;
    Free.Room = Index;
    Free.End = Owner.Trip + Run;
    Free.IsInTime = Owner.Trip + std::chrono::duration_cast<milliseconds>(
                                     EndMargin * Run) <=
                    Request.EndBy;
    Free.Cost =
        Room.Speed + TripWeight * static_cast<double>(Owner.Trip.count());
    if (!Best || isBetter(Free, *Best)) {
      Best = Free;
    }
  }
  return Best;
}

placing take(pool_view &View, const free_target &Free,
             const placing_request &Request) {
  room_view &Room = View.Rooms[Free.Room];
  Room.Free -= Request.Needs;
  return {Room.Owner, Room.Target, Free.End, Free.IsInTime};
}

std::optional<std::size_t> shortestQueue(const pool_view &View) {
  std::optional<std::size_t> Best;
  for (std::size_t Index = 0; Index < View.Owners.size(); ++Index) {
    const owner_view &Owner = View.Owners[Index];
    if (Owner.Slots > 0 &&
        (!Best || Owner.Wait + Owner.Trip <
                      View.Owners[*Best].Wait + View.Owners[*Best].Trip)) {
      Best = Index;
    }
  }
  return Best;
}
} // namespace

milliseconds runTime(milliseconds Expected, double Speed) {
  return milliseconds(
      std::llround(std::ceil(static_cast<double>(Expected.count()) / Speed)));
}

std::optional<placing> placeTask(pool_view &View,
                                 const placing_request &Request) {
  const auto Free = bestFree(View, Request);
  if (Free && Free->IsInTime) {
    return take(View, *Free, Request);
  }
  const std::optional<std::size_t> Queue = shortestQueue(View);
  if (!Queue) {
    return Free ? std::optional(take(View, *Free, Request)) : std::nullopt;
  }
  owner_view &Owner = View.Owners[*Queue];
  const milliseconds Run = runTime(Request.Expected, Owner.MeanSpeed);
  const milliseconds End = Owner.Trip + Owner.Wait + Run;
  if (Free && Free->End <= End) {
    return take(View, *Free, Request);
  }
  Owner.Wait += Run / Owner.Slots;
  return placing{*Queue, "", End, End <= Request.EndBy};
}

std::optional<placing> placeQueued(pool_view &View,
                                   std::vector<busy_target> &Busy,
                                   const placing_request &Request) {
  const auto Free = bestFree(View, Request);
  if (!Free || Free->IsInTime) {
    return Free ? std::optional(take(View, *Free, Request)) : std::nullopt;
  }
  const auto EndOn = [&](const busy_target &Target) {
    return Target.FreeIn + runTime(Request.Expected, Target.Speed);
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
