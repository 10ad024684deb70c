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
  if (const auto Free = bestFree(View, Request)) {
    room_view &Room = View.Rooms[Free->Room];
    Room.Free -= Request.Needs;
    return placing{Room.Owner, Room.Target, Free->End};
  }
  const std::optional<std::size_t> Queue = shortestQueue(View);
  if (!Queue) {
    return std::nullopt;
  }
  owner_view &Owner = View.Owners[*Queue];
  const milliseconds Run = runTime(Request.Expected, Owner.MeanSpeed);
  const placing Placing{*Queue, "", Owner.Trip + Owner.Wait + Run};
  Owner.Wait += Run / Owner.Slots;
  return Placing;
}

} // namespace tarragonbridge::pool
