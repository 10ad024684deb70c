#include "core/entry_shares_p.h"

#include "core/teams_p.h"
#include "tarragonbridge/config.h"
#include "tarragonbridge/shares.h"

#include <algorithm>
#include <utility>

namespace tarragonbridge {

namespace {
/// @param[in] FailureDomain members of this one only, empty for all
/// @param[in] Demand tells the demand of a known load
/// @returns this host first, then the others
template <class DemandOf>
std::vector<share_member> listMembers(const dispatcher_state &State,
                                      std::string_view FailureDomain,
                                      DemandOf Demand) {
  const share_state &Shares = State.Shares;
  std::vector<share_member> Members;
  Members.reserve(Shares.Others.size() + 1);
  const auto Add = [&](const std::string &Name,
                       const std::optional<entry_load> &Load) {
    Members.push_back({Name, Load ? Demand(*Load) : std::nullopt});
  };
  Add(State.Init.Self.Host, Shares.Told);
  for (const entry_host &Other : Shares.Others) {
    if (FailureDomain.empty() || Other.FailureDomain == FailureDomain) {
      Add(Other.Name, Other.Load);
    }
  }
  return Members;
}

/// @param[in] Total slots of all targets in the own failure domain
/// @returns the slots of a target that this host may use
std::uint32_t shareOfSlots(const dispatcher_state &State,
                           const std::string &Name, const host_entry &Target,
                           std::uint64_t Total) {
  const std::string &Domain = State.Init.Self.FailureDomain;
  const std::uint64_t Slots = Target.Slots;
  const bool IsShared = Target.FailureDomain == Domain && Slots != 0 &&
                        !State.Shares.Others.empty();
  if (!IsShared) {
    return Target.Slots;
  }
  const auto AtTarget = [&](const entry_load &Load) {
    const std::uint64_t Wanted = (Load.WantedSlots * Slots + Total - 1) / Total;
    return std::optional(share_demand{Wanted, 0, 1});
  };
  const std::vector<share_member> Members =
      listMembers(State, Domain, AtTarget);
  return static_cast<std::uint32_t>(
      divideLimit({Name, Slots, 0}, Members).front());
}

/// Divides the slots of the targets in the own failure domain.
void refreshSlots(dispatcher_state &State) {
  const std::string &Domain = State.Init.Self.FailureDomain;
  std::uint64_t Total = 0;
  State.Shares.UsableSlots = 0;
  for (const auto &[Name, Target] : State.Targets) {
    Total += Target.Host.FailureDomain == Domain ? Target.Host.Slots : 0;
  }
  for (auto &[Name, Target] : State.Targets) {
    Target.SlotShare = shareOfSlots(State, Name, Target.Host, Total);
    State.Shares.UsableSlots += Target.SlotShare;
  }
}

/// Computes the share of each of a team's limits.
class limit_divider {
public:
  limit_divider(const dispatcher_state &State, const std::string &Team,
                instant Now)
      : State(State), Team(Team),
        Turn(static_cast<std::uint64_t>(Now.Wall.time_since_epoch() /
                                        config::ShareTurn)) {}

  /// @param[in] Units the limit, 0 for none
  /// @param[in] Kind name of the limit
  std::uint64_t divide(std::uint64_t Units, std::string_view Kind) const {
    if (Units == 0) {
      return limit_share::Unlimited;
    }
    // Heartbeats tell no demand of teams, so that of all hosts is unknown.
    const auto Unknown = [](const entry_load & /*Load*/) {
      return std::optional<share_demand>();
    };
    const std::string Name = Team + "/" + std::string(Kind);
    return usableShare({Name, Units, Turn}, listMembers(State, "", Unknown),
                       State.Init.Self.Host);
  }

private:
  const dispatcher_state &State;
  const std::string &Team;
  std::uint64_t Turn;
};

void refreshLimits(dispatcher_state &State, instant Now) {
  for (const auto &[Name, Settings] : State.Settings.Teams) {
    const team_limits &Limits = Settings.Limits;
    const limit_divider Divider(State, Name, Now);
    limit_share Share;
    Share.RunningTasks = Divider.divide(Limits.MaxRunningTasks, "tasks");
    Share.StartsPerSecond = Divider.divide(Limits.MaxStartsPerSecond, "starts");
    Share.Cores = Divider.divide(Limits.MaxCores, "cores");
    Share.MemoryMb = Divider.divide(Limits.MaxMemoryMb, "memory");
    Share.Accelerators = Divider.divide(Limits.MaxAccelerators, "accelerators");
    State.Teams[Name].Limiter.setShare(Share);
  }
}
/// @returns the load in the latest heartbeat of a host, unless that is too old
std::optional<entry_load> loadOfMember(const dispatcher_state &State,
                                       const std::string &Name, instant Now) {
  const auto Found = State.Peers.Members.find(Name);
  if (Found == State.Peers.Members.end()) {
    return std::nullopt;
  }
  const member &Member = Found->second;
  const bool IsHeard = Member.Incarnation != 0 &&
                       Member.LastHeard + config::MaxLoadAge > Now.Boot;
  if (!IsHeard) {
    return std::nullopt;
  }
  const heartbeat &Beat = Member.Beat;
  entry_load Load;
  Load.WantedSlots = Beat.Leaving ? 0 : Beat.RunningTasks + Beat.QueuedTasks;
  return Load;
}
} // namespace

void tellLoad(dispatcher_state &State) {
  State.Shares.Told = {State.RunningTasks + State.Queues.size().Tasks};
}

void setEntryHosts(dispatcher_state &State, std::vector<entry_host> Others,
                   instant Now) {
  State.Shares.Others = std::move(Others);
  refreshShares(State, Now);
}

void refreshShares(dispatcher_state &State, instant Now) {
  for (entry_host &Other : State.Shares.Others) {
    Other.Load = loadOfMember(State, Other.Name, Now);
  }
  refreshSlots(State);
  refreshLimits(State, Now);
}

void onShareTimer(dispatcher_state &State, instant Now) {
  State.Shares.TimerSet = false;
  refreshShares(State, Now);
  startShareTimer(State, Now);
}

void startShareTimer(dispatcher_state &State, instant Now) {
  if (State.Shares.TimerSet || State.Shares.Others.empty()) {
    return;
  }
  // Turns change at the same wall time at all hosts.
  const auto IntoTurn = Now.Wall.time_since_epoch() % config::ShareTurn;
  State.Shares.TimerSet = true;
  setTimer(State, Now.Boot + config::ShareTurn - IntoTurn, timer_kind::Shares);
}

} // namespace tarragonbridge
