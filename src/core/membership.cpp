#include "core/membership_p.h"

#include "core/entry_shares_p.h"
#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
heartbeat ownBeat(dispatcher_state &State) {
  tellLoad(State);
  heartbeat Beat;
  Beat.SettingsRevision = State.Settings.Revision;
  Beat.QueuedTasks = State.Queues.size().Tasks;
  Beat.RunningTasks = State.RunningTasks;
  Beat.Leaving = State.ShuttingDown;
  return Beat;
}

void sendHeartbeat(dispatcher_state &State, const member &Member,
                   effects &Effects) {
  const host_identity To{Member.Host.FailureDomain, Member.Host.Name, 0};
  Effects.emplace_back(
      send_heartbeat{Member.Host.PeerAddress, To, ownBeat(State)});
}

void noteBeat(dispatcher_state &State, const host_identity &From,
              const heartbeat &Beat, instant Now) {
  const auto Found = State.Peers.Members.find(From.Host);
  const bool IsMember = Found != State.Peers.Members.end() &&
                        Found->second.Host.FailureDomain == From.FailureDomain;
  if (!IsMember) {
    State.Figures.Reasons.add(reason::PeerMisdirected);
    return;
  }
  Found->second.Incarnation = From.Incarnation;
  Found->second.LastHeard = Now.Boot;
  Found->second.Beat = Beat;
}

/// Lists all listed members in a new random order.
void shuffleOrder(dispatcher_state &State) {
  auto &Order = State.Peers.HeartbeatOrder;
  for (const auto &[Name, Member] : State.Peers.Members) {
    if (Member.Listed) {
      Order.push_back(Name);
    }
  }
  std::shuffle(Order.begin(), Order.end(), State.Random);
}

/// @returns the next member to be told, nullptr if there is none
const member *nextInOrder(dispatcher_state &State) {
  auto &Order = State.Peers.HeartbeatOrder;
  if (Order.empty()) {
    shuffleOrder(State);
  }
  while (!Order.empty()) {
    const auto Found = State.Peers.Members.find(Order.back());
    Order.pop_back();
    if (Found != State.Peers.Members.end() && Found->second.Listed) {
      return &Found->second;
    }
  }
  return nullptr;
}

void noteUnlisted(peer_state &Peers, instant Now) {
  for (auto &[Name, Member] : Peers.Members) {
    if (!Member.Listed && Member.UnlistedAt == boot_time{}) {
      Member.UnlistedAt = Now.Boot;
    }
  }
  std::erase_if(Peers.Members, [&](const auto &Entry) {
    const member &Member = Entry.second;
    return !Member.Listed &&
           Member.UnlistedAt + config::MemberRetention <= Now.Boot;
  });
}
} // namespace

void updateMembers(dispatcher_state &State, const hosts_listed &Event,
                   instant Now) {
  peer_state &Peers = State.Peers;
  for (auto &[Name, Member] : Peers.Members) {
    Member.Listed = false;
  }
  for (const host_entry &Host : Event.Hosts) {
    const bool IsPeer = Host.Role == host_role::Entry &&
                        !Host.PeerAddress.empty() &&
                        Host.Name != State.Init.Self.Host;
    if (!IsPeer) {
      continue;
    }
    member &Member = Peers.Members[Host.Name];
    Member.Host = Host;
    Member.Listed = true;
    Member.UnlistedAt = {};
  }
  noteUnlisted(Peers, Now);
  if (!Peers.HeartbeatTimerSet && !Peers.Members.empty()) {
    Peers.HeartbeatTimerSet = true;
    setTimer(State, Now.Boot, timer_kind::Heartbeat);
  }
}

const member *findMember(const dispatcher_state &State,
                         const host_identity &Identity) {
  const auto Found = State.Peers.Members.find(Identity.Host);
  const bool IsMember =
      Found != State.Peers.Members.end() &&
      Found->second.Host.FailureDomain == Identity.FailureDomain;
  return IsMember ? &Found->second : nullptr;
}

void onHeartbeatTimer(dispatcher_state &State, instant Now, effects &Effects) {
  const std::size_t Count =
      std::min(config::HeartbeatsPerInterval, State.Peers.Members.size());
  for (std::size_t Sent = 0; Sent < Count; ++Sent) {
    if (const member *Member = nextInOrder(State)) {
      sendHeartbeat(State, *Member, Effects);
    }
  }
  setTimer(State, Now.Boot + config::HeartbeatInterval, timer_kind::Heartbeat);
}

void announceLeaving(dispatcher_state &State, effects &Effects) {
  for (const auto &[Name, Member] : State.Peers.Members) {
    if (Member.Listed) {
      sendHeartbeat(State, Member, Effects);
    }
  }
}

void onHeartbeatReceived(dispatcher_state &State,
                         const heartbeat_received &Event, instant Now,
                         effects &Effects) {
  noteBeat(State, Event.Route.From, Event.Beat, Now);
  Effects.emplace_back(answer_heartbeat{Event.Request, ownBeat(State)});
}

void onHeartbeatAnswered(dispatcher_state &State,
                         const heartbeat_answered &Event, instant Now) {
  noteBeat(State, Event.From, Event.Beat, Now);
}

std::vector<member> members(const dispatcher_state &State) {
  std::vector<member> List;
  for (const auto &[Name, Member] : State.Peers.Members) {
    List.push_back(Member);
  }
  return List;
}

} // namespace tarragonbridge
