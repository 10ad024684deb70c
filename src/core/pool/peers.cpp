// Who the peers are: membership, eviction, neighbours, which of them are alive.
#include "core/pool/neighbours_p.h"
#include "core/pool/pauses_p.h"
#include "core/pool/peers_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// When nothing was received from a peer for this long, its session ends; it is
/// evicted if it is not registered. Shorter than records of ended jobs are
/// kept.
constexpr milliseconds PeerRetention{5'000};

/// @returns when the peer was heard or came to be known
boot_time lastContactAt(const peer_host &Peer) {
  return std::max(Peer.LastReceivedAt, Peer.KnownSince);
}

/// @returns a link with a later epoch than that of any earlier one
peer_link makeLink(boot_time Now) {
  return peer_link(static_cast<std::uint64_t>(Now.time_since_epoch().count()));
}

/// Keeps what a process of a peer told of crashes before it was evicted or
/// ended.
void keepCrashes(pool_state &State, const peer_host &Peer, boot_time Now) {
  if (!Peer.State.Crashes.empty()) {
    State.DepartedCrashes[Peer.Member.Host] = {Peer.State.Crashes, Now};
  }
}

} // namespace

bool isSuperseded(const peer_host &Peer, std::uint64_t Incarnation,
                  boot_time Now) {
  return Incarnation < Peer.Member.Host.Incarnation &&
         lastContactAt(Peer) + config::HostTimeout >= Now;
}

peer_host &resetPeer(reducer_context &Ctx, const member_record &Member) {
  const auto Former = Ctx.State.Peers.find(Member.Host.Name);
  if (Former != Ctx.State.Peers.end()) {
    keepCrashes(Ctx.State, Former->second, Ctx.Now);
  }
  peer_host Peer;
  Peer.Member = Member;
  Peer.KnownSince = Ctx.Now;
  Peer.Link = makeLink(Ctx.Now);
  if (Former != Ctx.State.Peers.end()) {
    const peer_host &Process = Former->second;
    Peer.FormerOpenJobs =
        Process.HasState ? Process.OpenJobs : Process.FormerOpenJobs;
  }
  Ctx.log("peer_known",
          {{"host", Member.Host.Name},
           {"incarnation", std::to_string(Member.Host.Incarnation)},
           {"address", Member.Address}});
  return Ctx.State.Peers[Member.Host.Name] = std::move(Peer);
}

bool makeRoomForStranger(reducer_context &Ctx) {
  auto &Peers = Ctx.State.Peers;
  std::size_t Unlisted = 0;
  auto First = Peers.end();
  for (auto Entry = Peers.begin(); Entry != Peers.end(); ++Entry) {
    const peer_host &Peer = Entry->second;
    if (Peer.IsRegistered) {
      continue;
    }
    ++Unlisted;
    const bool IsSilent = Peer.LastReceivedAt == boot_time{};
    if (IsSilent &&
        (First == Peers.end() || Peer.KnownSince < First->second.KnownSince)) {
      First = Entry;
    }
  }
  if (Unlisted < Ctx.State.Init.Limits.MaxUnlistedPeers) {
    return true;
  }
  Ctx.count(counter::StrangersDropped);
  if (First == Peers.end()) {
    return false;
  }
  Peers.erase(First);
  return true;
}

namespace {
void handleMember(reducer_context &Ctx, const member_record &Member) {
  if (Member.Host.Name == Ctx.State.Init.Name) {
    return;
  }
  const auto Found = Ctx.State.Peers.find(Member.Host.Name);
  if (Found != Ctx.State.Peers.end() &&
      isSuperseded(Found->second, Member.Host.Incarnation, Ctx.Now)) {
    return; // the list is stale
  }
  const bool IsSame =
      Found != Ctx.State.Peers.end() &&
      Found->second.Member.Host.Incarnation == Member.Host.Incarnation;
  peer_host &Peer = IsSame ? Found->second : resetPeer(Ctx, Member);
  Peer.Member = Member;
  Peer.IsRegistered = true;
}

void markUnregistered(reducer_context &Ctx, const std::string &Name) {
  const auto Found = Ctx.State.Peers.find(Name);
  if (Found != Ctx.State.Peers.end()) {
    Found->second.IsRegistered = false;
  }
}

/// Before the first assignment of targets, a host waits for the states of its
/// peers for this many state intervals, in case some are lost.
constexpr std::int64_t SettleStateIntervals = 2;
} // namespace

void handleMembers(reducer_context &Ctx, members_listed &&Listed) {
  pool_state &State = Ctx.State;
  const bool IsFirst = Listed.IsSnapshot && !State.HasMemberSnapshot;
  if (Listed.IsSnapshot) {
    for (auto &[Name, Peer] : State.Peers) {
      Peer.IsRegistered = false;
    }
    State.HasMemberSnapshot = true;
  }
  for (const std::string &Name : Listed.Removed) {
    markUnregistered(Ctx, Name);
  }
  for (const member_record &Member : Listed.Upserted) {
    handleMember(Ctx, Member);
  }
  if (IsFirst) {
    State.AssignmentNotBefore = Ctx.Now + config::MembershipSettleTime;
    State.OwnersKnownBy = State.AssignmentNotBefore +
                          SettleStateIntervals * config::StateInterval;
  }
}

bool areAllNeighbours(const pool_state &State) {
  return State.Peers.size() + 1 <= config::MaxFullMeshHosts;
}

void chooseNeighbours(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  if (isCheckingPeers(State, Ctx.Now)) {
    return;
  }
  const host_location Self{State.Init.Name, State.Init.FailureDomain};
  std::vector<host_location> Hosts{Self};
  for (const auto &[Name, Peer] : State.Peers) {
    if (isAlive(State, Peer, Ctx.Now)) {
      Hosts.push_back({Name, Peer.Member.FailureDomain});
    }
  }
  const std::set<std::string> Neighbours = neighboursOf(Self, Hosts);
  for (auto &[Name, Peer] : State.Peers) {
    Peer.IsNeighbour = areAllNeighbours(State) || Neighbours.contains(Name);
  }
}

namespace {
bool isSilent(const peer_host &Peer, boot_time Now) {
  return lastContactAt(Peer) + PeerRetention < Now;
}

std::vector<std::pair<std::string, std::string>>
describeLink(const peer_host &Peer) {
  return {{"host", Peer.Member.Host.Name},
          {"incarnation", std::to_string(Peer.Member.Host.Incarnation)},
          {"unacked", std::to_string(Peer.Link.unackedCount())}};
}

/// Drops what silent peers haven't acknowledged. Otherwise they would be told
/// outcomes of attempts whose numbers they have forgotten and use again.
void endSilentSessions(reducer_context &Ctx) {
  for (auto &[Name, Peer] : Ctx.State.Peers) {
    if (isSilent(Peer, Ctx.Now) && Peer.Link.unackedCount() > 0) {
      Ctx.log("session_ended", describeLink(Peer));
      Peer.Link = makeLink(Ctx.Now);
    }
  }
}
} // namespace

void evictSilentPeers(reducer_context &Ctx) {
  std::erase_if(Ctx.State.Peers, [&](const auto &Entry) {
    const peer_host &Peer = Entry.second;
    const bool IsEvicted = !Peer.IsRegistered && isSilent(Peer, Ctx.Now);
    if (IsEvicted) {
      keepCrashes(Ctx.State, Peer, Ctx.Now);
      Ctx.log("peer_evicted", describeLink(Peer));
    }
    return IsEvicted;
  });
  endSilentSessions(Ctx);
}

bool haveOwnersAdvertised(const pool_state &State, boot_time Now) {
  if (Now < State.AssignmentNotBefore) {
    return false;
  }
  return Now >= State.OwnersKnownBy ||
         std::all_of(
             State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
               const peer_host &Peer = Entry.second;
               return Peer.HasState || !Peer.IsRegistered ||
                      Peer.Member.FailureDomain != State.Init.FailureDomain;
             });
}

bool isSelf(const pool_state &State, const host_ref &Host) {
  return Host == host_ref{State.Init.Name, State.Init.Incarnation};
}

namespace {
/// @returns the peer that a process is, nullptr if it is not known
const peer_host *findProcess(const pool_state &State, const host_ref &Host) {
  const auto Found = State.Peers.find(Host.Name);
  const bool IsKnown =
      Found != State.Peers.end() &&
      Found->second.Member.Host.Incarnation == Host.Incarnation;
  return IsKnown ? &Found->second : nullptr;
}
} // namespace

boot_time lastAliveAt(const pool_state &State, const host_ref &Host,
                      boot_time Now) {
  if (isSelf(State, Host)) {
    return callersKnownAt(State, Now);
  }
  const peer_host *Peer = findProcess(State, Host);
  return Peer == nullptr ? boot_time{} : Peer->AliveAt;
}

bool hostReceivedWithin(const pool_state &State, const host_ref &Host,
                        boot_time Now, milliseconds Within) {
  if (isSelf(State, Host)) {
    return true;
  }
  const peer_host *Peer = findProcess(State, Host);
  return Peer != nullptr && peerReceivedWithin(*Peer, Now, Within);
}

bool isAlive(const pool_state &State, const peer_host &Peer, boot_time Now) {
  if (Peer.LastReceivedAt == boot_time{}) {
    return Peer.IsRegistered &&
           Peer.KnownSince + config::NewMemberGracePeriod >= Now;
  }
  const milliseconds Timeout =
      Peer.Member.FailureDomain == State.Init.FailureDomain
          ? config::HostTimeout
          : config::RemoteDomainHostTimeout;
  return peerReceivedWithin(Peer, Now, Timeout) ||
         (Peer.Member.FailureDomain != State.Init.FailureDomain &&
          Peer.IsRegistered);
}

} // namespace tarragonbridge::pool
