#include "core/pool/pauses_p.h"
#include "core/pool/state_p.h"
#include "core/pool/target_assignment_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// @returns the live peer that advertises a target, nullptr if none
const peer_host *findAdvertisingPeer(const pool_state &State,
                                     const std::string &Target, boot_time Now) {
  for (const auto &[Name, Peer] : State.Peers) {
    const auto &Advertised = Peer.State.Targets;
    const bool IsAdvertised =
        std::any_of(Advertised.begin(), Advertised.end(),
                    [&](const target_free_capacity &Capacity) {
                      return Capacity.Target == Target;
                    });
    if (IsAdvertised && isAlive(State, Peer, Now)) {
      return &Peer;
    }
  }
  return nullptr;
}

/// @returns whether targets may be assigned to a peer, as it last told
bool mayOwnTargets(const peer_host &Peer) {
  return !Peer.State.IsShuttingDown && Peer.State.CanOwnTargets;
}

/// @returns the hosts that may own targets, this one included
std::vector<host_location> eligibleHosts(const pool_state &State,
                                         boot_time Now) {
  std::vector<host_location> Hosts;
  if (!State.IsShuttingDown) {
    Hosts.push_back({State.Init.Name, State.Init.FailureDomain});
  }
  for (const auto &[Name, Peer] : State.Peers) {
    if (isAlive(State, Peer, Now) && mayOwnTargets(Peer)) {
      Hosts.push_back({Name, Peer.Member.FailureDomain});
    }
  }
  return Hosts;
}

/// Assigns all listed targets to the eligible hosts, if either has changed
/// since the last assignment.
const assignment_state &updateAssignment(pool_state &State, boot_time Now) {
  std::vector<host_location> Hosts = eligibleHosts(State, Now);
  assignment_state &Assignment = State.Assignment;
  if (Assignment.TargetListVersion == State.TargetListVersion &&
      Assignment.Hosts == Hosts) {
    return Assignment;
  }
  std::map<std::string, std::string> Domains;
  for (const auto &[Id, Target] : State.Targets) {
    Domains.emplace(Id, Target.Record.FailureDomain);
  }
  Assignment.Owners = assignTargets(Domains, Hosts);
  Assignment.Hosts = std::move(Hosts);
  Assignment.TargetListVersion = State.TargetListVersion;
  Assignment.Own.clear();
  for (const auto &[Id, Host] : Assignment.Owners) {
    if (Host == State.Init.Name) {
      Assignment.Own.push_back(Id);
    }
  }
  return Assignment;
}

bool canAcceptHandover(const peer_host &Peer, boot_time Now) {
  return mayOwnTargets(Peer) &&
         peerReceivedWithin(Peer, Now, config::HandoverPeerTimeout);
}

void handOverTarget(reducer_context &Ctx, const std::string &Target,
                    const peer_host &Peer) {
  owner_state &Owner = Ctx.State.Owner;
  const auto Found = Owner.OwnedTargets.find(Target);
  target_handover Handover = Found->second.handOver(Ctx.Now);
  recordTerm(Ctx.State.KnownTerms, Target, Found->second.term());
  Handover.Speed = Ctx.State.Targets[Target].Speed.speed();
  Ctx.log("target_handed_over",
          {{"target", Target},
           {"to", Peer.Member.Host.Name},
           {"attempts", std::to_string(Handover.Attempts.size())}});
  sendMessage(Ctx, Peer.Member.Host, std::move(Handover));
  Ctx.count(counter::HandoversSent);
  Owner.OwnedTargets.erase(Found);
  Owner.markCapacityChanged();
}

void takeOver(reducer_context &Ctx, const listed_target &Listed) {
  Ctx.log("target_taken_over",
          {{"target", Listed.Record.Id}, {"address", Listed.Record.Address}});
  Ctx.count(counter::TakeOvers);
  Ctx.State.Owner.OwnedTargets.emplace(
      Listed.Record.Id, owned_target(Listed.Record, Ctx.State.OwnerNumber,
                                     Ctx.State.KnownTerms[Listed.Record.Id]));
  Ctx.State.Owner.markCapacityChanged();
}

/// @returns whether a target that is owned here should move to a peer: one in
/// the target's failure domain, if this host is in another, or one that owns
/// fewer targets. Otherwise hosts whose views differ would hand it back and
/// forth.
bool shouldMoveTo(const pool_state &State, const listed_target &Listed,
                  const peer_host &Peer, std::size_t Handovers) {
  const std::string &Domain = Listed.Record.FailureDomain;
  if (State.Init.FailureDomain != Domain &&
      Peer.Member.FailureDomain == Domain) {
    return true;
  }
  const auto &OwnedTargets = State.Owner.OwnedTargets;
  const auto Owned = std::count_if(
      OwnedTargets.begin(), OwnedTargets.end(), [](const auto &Entry) {
        return Entry.second.phase() != ownership_phase::Lost;
      });
  return static_cast<std::size_t>(Owned) >
         Peer.State.Targets.size() + Handovers + 1;
}

/// @returns whether a peer advertises a target under a higher token
bool isAdvertisedAbove(const pool_state &State, const std::string &Target,
                       std::uint64_t Token, boot_time Now) {
  return std::any_of(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
        const peer_host &Peer = Entry.second;
        const auto &Advertised = Peer.State.Targets;
        return peerReceivedWithin(Peer, Now, config::HandoverPeerTimeout) &&
               std::any_of(Advertised.begin(), Advertised.end(),
                           [&](const target_free_capacity &Capacity) {
                             return Capacity.Target == Target &&
                                    Capacity.Token > Token;
                           });
      });
}

/// Yields the targets that a peer owns under a higher token, before a command
/// there is fenced.
void yieldToHigherTokens(reducer_context &Ctx) {
  ownership_context Context = Ctx.ownershipContext();
  for (auto &[Id, OwnedTarget] : Ctx.State.Owner.OwnedTargets) {
    if (OwnedTarget.phase() != ownership_phase::Lost &&
        isAdvertisedAbove(Ctx.State, Id, OwnedTarget.token(), Ctx.Now)) {
      OwnedTarget.yield(Context);
    }
  }
}

/// Hands over the targets that should be owned by another host.
void handOverMisplaced(reducer_context &Ctx,
                       const assignment_state &Assignment) {
  pool_state &State = Ctx.State;
  std::map<std::string, std::size_t> Handovers; // to each host, in this call
  std::vector<std::pair<std::string, const peer_host *>> Moves;
  for (const auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    const auto Assigned = Assignment.Owners.find(Id);
    const auto Peer = Assigned == Assignment.Owners.end()
                          ? State.Peers.end()
                          : State.Peers.find(Assigned->second);
    if (Peer == State.Peers.end() || !OwnedTarget.canHandOver() ||
        !canAcceptHandover(Peer->second, Ctx.Now)) {
      continue;
    }
    std::size_t &Count = Handovers[Assigned->second];
    const auto Listed = State.Targets.find(Id);
    if (shouldMoveTo(State, Listed->second, Peer->second, Count)) {
      Moves.emplace_back(Id, &Peer->second);
      ++Count;
    }
  }
  for (const auto &[Id, Peer] : Moves) {
    handOverTarget(Ctx, Id, *Peer);
  }
}

/// Takes over the targets that are assigned to this host and have no owner.
void takeOverUnowned(reducer_context &Ctx, const assignment_state &Assignment) {
  pool_state &State = Ctx.State;
  for (const std::string &Id : Assignment.Own) {
    const listed_target &Listed = State.Targets.find(Id)->second;
    // During a handover neither owner may advertise the target for a while.
    const bool IsInHandover =
        Listed.LastClaimedAt != boot_time{} &&
        Listed.LastClaimedAt + config::HandoverSettleTime > Ctx.Now;
    if (!State.Owner.OwnedTargets.contains(Id) &&
        Listed.NoTakeOverBefore <= Ctx.Now && !IsInHandover &&
        findAdvertisingPeer(State, Id, Ctx.Now) == nullptr) {
      takeOver(Ctx, Listed);
    }
  }
}

void dropFinished(reducer_context &Ctx) {
  auto &OwnedTargets = Ctx.State.Owner.OwnedTargets;
  for (auto Entry = OwnedTargets.begin(); Entry != OwnedTargets.end();) {
    if (!Entry->second.isFinished()) {
      ++Entry;
      continue;
    }
    // The new owner's term is higher by an unknown amount.
    const std::uint64_t Margin =
        Entry->second.phase() == ownership_phase::Lost ? config::TermMargin : 0;
    recordTerm(Ctx.State.KnownTerms, Entry->first,
               Entry->second.term() + Margin);
    const auto Listed = Ctx.State.Targets.find(Entry->first);
    if (Listed != Ctx.State.Targets.end()) {
      Listed->second.NoTakeOverBefore = Ctx.Now + config::OwnershipLostBackoff;
    }
    Entry = OwnedTargets.erase(Entry);
    Ctx.State.Owner.markCapacityChanged();
  }
}

void removeTarget(reducer_context &Ctx, const std::string &Id) {
  if (!Ctx.State.Targets.at(Id).Record.IsDraining) {
    Ctx.State.Owner.Crashes.noteRemoval(Id);
  }
  Ctx.State.Targets.erase(Id);
  ++Ctx.State.TargetListVersion;
  Ctx.State.Owner.Health.erase(Id);
  const auto Owned = Ctx.State.Owner.OwnedTargets.find(Id);
  if (Owned != Ctx.State.Owner.OwnedTargets.end()) {
    Owned->second.markRemoved();
    Ctx.State.Owner.markCapacityChanged();
  }
}

/// Removes the targets that the platform doesn't list any more. Waits after an
/// outage of the store, since items that expired during it reappear shortly
/// after its end, and after a pause of this host, in which they may have.
void removeMissing(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  const bool IsAfterOutage =
      !State.StoreIsReachable ||
      (State.StoreReachableAgainAt != boot_time{} &&
       State.StoreReachableAgainAt + config::StoreRecoveryGracePeriod >
           Ctx.Now);
  if (IsAfterOutage) {
    return;
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, Target] : State.Targets) {
    if (Target.MissingSince &&
        !isListUnread(State, *Target.MissingSince, Ctx.Now)) {
      Missing.push_back(Id);
    }
  }
  for (const std::string &Id : Missing) {
    removeTarget(Ctx, Id);
  }
}

void markMissing(reducer_context &Ctx, const std::string &Id) {
  const auto Found = Ctx.State.Targets.find(Id);
  if (Found != Ctx.State.Targets.end() && !Found->second.MissingSince) {
    Found->second.MissingSince = Ctx.Now;
  }
}
} // namespace

bool canOwnTargets(const pool_state &State) {
  return State.HasMemberSnapshot && State.HasTargetSnapshot &&
         State.Evacuations.HasSnapshot && State.OwnerNumber != 0;
}

void handleTargets(reducer_context &Ctx, targets_listed &&Listed) {
  pool_state &State = Ctx.State;
  std::vector<std::string> Gone = std::move(Listed.Removed);
  if (Listed.IsSnapshot) {
    State.HasTargetSnapshot = true;
    std::set<std::string, std::less<>> Present;
    for (const target_record &Record : Listed.Upserted) {
      Present.insert(Record.Id);
    }
    for (const auto &[Id, Target] : State.Targets) {
      if (!Present.contains(Id)) {
        Gone.push_back(Id);
      }
    }
  }
  for (const std::string &Id : Gone) {
    markMissing(Ctx, Id);
  }
  ownership_context Context = Ctx.ownershipContext();
  for (target_record &Record : Listed.Upserted) {
    listed_target &Target = State.Targets[Record.Id];
    Target.MissingSince.reset();
    if (Target.Record == Record) {
      continue;
    }
    Target.ColdUntil = Ctx.Now + Record.ColdTimeLeft;
    State.TargetListVersion +=
        Target.Record.FailureDomain != Record.FailureDomain;
    Target.Record = std::move(Record);
    State.Owner.Crashes.noteRestart(Target.Record.Id,
                                    Target.Record.Incarnation);
    const auto Owned = State.Owner.OwnedTargets.find(Target.Record.Id);
    if (Owned != State.Owner.OwnedTargets.end()) {
      Owned->second.updateRecord(Target.Record, Context);
      State.Owner.markCapacityChanged();
    }
  }
}

void handleHandover(reducer_context &Ctx, target_handover &&Handover) {
  pool_state &State = Ctx.State;
  const auto Listed = State.Targets.find(Handover.Target);
  if (Listed == State.Targets.end() || State.OwnerNumber == 0 ||
      State.Owner.OwnedTargets.contains(Handover.Target)) {
    return; // it has no owner now; the next assignment finds one
  }
  ownership_context Context = Ctx.ownershipContext();
  owned_target OwnedTarget(Listed->second.Record, State.OwnerNumber, 0);
  OwnedTarget.acceptHandover(Handover, Context);
  const std::uint64_t Token = OwnedTarget.token();
  Listed->second.Speed.seed(Handover.Speed);
  State.Owner.OwnedTargets.emplace(Handover.Target, std::move(OwnedTarget));
  State.Owner.markCapacityChanged();
  Ctx.count(counter::HandoversTaken);
  std::map<std::string, std::pair<host_ref, attempts_reassigned>> Moved;
  for (const handover_attempt &Transferred : Handover.Attempts) {
    auto &[Coordinator, Message] = Moved[Transferred.Coordinator.Name];
    Coordinator = Transferred.Coordinator;
    Message.Token = Token;
    Message.Attempts.push_back(Transferred.Attempt);
  }
  for (auto &[Name, Entry] : Moved) {
    sendMessage(Ctx, Entry.first, std::move(Entry.second));
  }
}

void repeatReassignments(reducer_context &Ctx, const host_ref &Coordinator) {
  for (const auto &[Id, OwnedTarget] : Ctx.State.Owner.OwnedTargets) {
    attempts_reassigned Message{OwnedTarget.reassignedOf(Coordinator),
                                OwnedTarget.token()};
    if (!Message.Attempts.empty()) {
      Ctx.count(counter::ReassignmentsRepeated);
      sendMessage(Ctx, Coordinator, std::move(Message));
    }
  }
}

void applyAssignment(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  removeMissing(Ctx);
  yieldToHigherTokens(Ctx);
  dropFinished(Ctx);
  if (!canOwnTargets(State) || State.IsShuttingDown ||
      !haveOwnersAdvertised(State, Ctx.Now) ||
      isCheckingPeers(State, Ctx.Now)) {
    return;
  }
  const assignment_state &Assignment = updateAssignment(State, Ctx.Now);
  handOverMisplaced(Ctx, Assignment);
  takeOverUnowned(Ctx, Assignment);
}

bool handOverAll(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  // The same assignment as that of the remaining hosts, so that no target moves
  // twice.
  const auto &Owners = updateAssignment(State, Ctx.Now).Owners;
  std::vector<std::pair<std::string, const peer_host *>> Handovers;
  for (const auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    const auto Assigned = Owners.find(Id);
    const auto Peer = Assigned == Owners.end()
                          ? State.Peers.end()
                          : State.Peers.find(Assigned->second);
    if (OwnedTarget.canHandOver() && Peer != State.Peers.end() &&
        canAcceptHandover(Peer->second, Ctx.Now)) {
      Handovers.emplace_back(Id, &Peer->second);
    }
  }
  for (const auto &[Id, Peer] : Handovers) {
    handOverTarget(Ctx, Id, *Peer);
  }
  return State.Owner.OwnedTargets.empty();
}

} // namespace tarragonbridge::pool
