#include "core/placement_index_p.h"

#include "core/state_p.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge {

namespace {
std::int32_t speedClass(double Speed) {
  return static_cast<std::int32_t>(
      std::lround(std::log2(Speed) * SpeedClassesPerDoubling));
}

void removeTarget(placement_index &Index, target_record &Target) {
  placement_entry &Entry = Target.Placement;
  if (!Entry.IsIndexed) {
    return;
  }
  const auto Found = Index.Groups.find(Entry.Group);
  group_members &Members = Found->second;
  Members.Slots -= Entry.Slots;
  Members.WithRoom.erase({Entry.Load, Target.Order, &Target});
  Entry.IsIndexed = false;
  if (--Members.Count == 0) {
    Index.Groups.erase(Found);
  }
}

/// @returns when the target may have room without any event, if it may
std::optional<boot_time> wakeTime(const target_record &Target, boot_time Now) {
  if (Target.FullUntil > Now) {
    return Target.FullUntil;
  }
  if (Target.Window.growsAt() > Now &&
      Target.Running.size() < Target.Host.Slots) {
    return Target.Window.growsAt();
  }
  return std::nullopt;
}

void setWake(dispatcher_state &State, target_record &Target, boot_time Now) {
  const auto When = wakeTime(Target, Now);
  if (!When || Target.WakeAt == *When) {
    return;
  }
  State.Placement.Waking.erase({Target.WakeAt, &Target});
  Target.WakeAt = *When;
  State.Placement.Waking.insert({*When, &Target});
  setTimer(State, *When, timer_kind::Dispatch);
}
} // namespace

std::size_t attemptLimit(const target_record &Target, boot_time Now) {
  // An attempt holds its connection until the reply. One past the connections
  // would wait unsent, and its lease could not be renewed.
  if (Target.Health.state(Now) != health_state::Well) {
    return 1;
  }
  constexpr std::size_t Connections =
      config::MaxConnectionsPerTarget - config::ControlConnectionsPerTarget;
  return std::min<std::size_t>(
      {Target.SlotShare, Connections, Target.Window.limit(Now)});
}

bool isUsable(const target_record &Target) {
  return Target.Listed && Target.Host.State == host_state::Live;
}

bool hasRoomFor(const target_record &Target, const resources &Needs,
                boot_time Now) {
  const resources Total{Target.Used.Cores + Needs.Cores,
                        Target.Used.MemoryMb + Needs.MemoryMb,
                        Target.Used.Accelerators + Needs.Accelerators};
  return isUsable(Target) && Target.FullUntil <= Now &&
         Target.Running.size() < attemptLimit(Target, Now) &&
         Total.fitsIn(Target.Host.Capacity);
}

void refreshTarget(dispatcher_state &State, target_record &Target,
                   boot_time Now) {
  placement_index &Index = State.Placement;
  removeTarget(Index, Target);
  if (!isUsable(Target)) {
    return;
  }
  placement_entry &Entry = Target.Placement;
  Entry.IsIndexed = true;
  Entry.SlotShare = Target.SlotShare;
  Entry.Group = {Target.Host.FailureDomain != State.Init.Self.FailureDomain,
                 speedClass(Target.Speed.hopedFor()), Target.Host.Capacity};
  const std::size_t Limit = attemptLimit(Target, Now);
  Entry.Slots = static_cast<double>(std::max(Limit, Target.Running.size()));
  Entry.HasRoom = Target.FullUntil <= Now && Target.Running.size() < Limit;
  Entry.Load =
      static_cast<double>(Target.Running.size()) / std::max(1.0, Entry.Slots);
  group_members &Members = Index.Groups[Entry.Group];
  ++Members.Count;
  Members.Slots += Entry.Slots;
  if (Entry.HasRoom) {
    Members.WithRoom.insert({Entry.Load, Target.Order, &Target});
  }
  setWake(State, Target, Now);
}

void rebuildIndex(dispatcher_state &State, boot_time Now) {
  State.Placement.Groups.clear();
  State.Placement.Waking.clear();
  for (auto &[Name, Target] : State.Targets) {
    Target.Placement = {};
    Target.WakeAt = {};
    refreshTarget(State, Target, Now);
  }
}

void wakeTargets(dispatcher_state &State, boot_time Now) {
  auto &Waking = State.Placement.Waking;
  while (!Waking.empty() && Waking.begin()->first <= Now) {
    target_record &Target = *Waking.begin()->second;
    Waking.erase(Waking.begin());
    Target.WakeAt = {};
    refreshTarget(State, Target, Now);
  }
}

} // namespace tarragonbridge
