/// Targets with room, ordered by what a start there is worth.
#pragma once

#include "tarragonbridge/job.h"
#include "tarragonbridge/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace tarragonbridge {

constexpr double SpeedClassesPerDoubling = 4;

struct target_record;
struct dispatcher_state;

/// Targets that are alike: all may run the same tasks about as fast.
struct target_group {
  bool IsForeign = false;      ///< in another failure domain
  std::int32_t SpeedClass = 0; ///< logarithm of the speed in steps
  resources Capacity;

  bool operator<(const target_group &Other) const {
    const auto Fields = [](const target_group &Group) {
      return std::make_tuple(Group.IsForeign, -Group.SpeedClass,
                             Group.Capacity.Cores, Group.Capacity.MemoryMb,
                             Group.Capacity.Accelerators);
    };
    return Fields(*this) < Fields(Other);
  }
};

/// Targets of a group.
struct group_members {
  std::size_t Count = 0;
  double Slots = 0; ///< of members in use and with room
  /// By load, then by an order of this host's own, so that hosts spread out.
  std::set<std::tuple<double, std::uint64_t, target_record *>> WithRoom;
};

/// Where the index holds a target.
struct placement_entry {
  bool IsIndexed = false;
  bool HasRoom = false;
  std::uint32_t SlotShare = 0;
  target_group Group;
  double Load = 0;
  double Slots = 0;
};

struct placement_index {
  std::map<target_group, group_members> Groups; ///< own and fastest first
  std::set<std::pair<boot_time, target_record *>> Waking; ///< room by time
  boot_time HoldTimer; ///< latest timer set for a task held back
};

/// @returns attempts that this host may have out at a target
std::size_t attemptLimit(const target_record &Target, boot_time Now);

/// @returns whether new work may go to the target at all
bool isUsable(const target_record &Target);

/// @returns whether the task fits beside what this host has out there
bool hasRoomFor(const target_record &Target, const resources &Needs,
                boot_time Now);

/// Takes a target's present state over into the index.
void refreshTarget(dispatcher_state &State, target_record &Target,
                   boot_time Now);

/// Builds the index anew after a change of the host list.
void rebuildIndex(dispatcher_state &State, boot_time Now);

/// Takes over targets whose wait is over.
void wakeTargets(dispatcher_state &State, boot_time Now);

} // namespace tarragonbridge
