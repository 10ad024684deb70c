#include "core/pool/state_p.h"
#include "core/pool/target_assignment_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// @returns the peer that says it owns a target, nullptr if none is heard
const peer_host *findClaimant(const pool_state &State,
                              const std::string &Target, boot_time Now) {
  for (const auto &[Name, Peer] : State.Peers) {
    const auto &FreeTargets = Peer.State.Targets;
    const bool Claims = std::any_of(FreeTargets.begin(), FreeTargets.end(),
                                    [&](const target_free_capacity &Room) {
                                      return Room.Target == Target;
                                    });
    if (Claims && isAlive(State, Peer, Now)) {
      return &Peer;
    }
  }
  return nullptr;
}

/// @returns the hosts that may own targets, this one among them
std::vector<host_location> eligibleHosts(const pool_state &State,
                                         boot_time Now) {
  std::vector<host_location> Hosts;
  if (!State.IsShuttingDown) {
    Hosts.push_back({State.Init.Name, State.Init.FailureDomain});
  }
  for (const auto &[Name, Peer] : State.Peers) {
    if (isAlive(State, Peer, Now) && !Peer.State.IsShuttingDown) {
      Hosts.push_back({Name, Peer.Member.FailureDomain});
    }
  }
  return Hosts;
}

/// Deals all listed targets to the hosts that may own them, if any of these has
/// changed since.
const assignment_state &dealListed(pool_state &State, boot_time Now) {
  std::vector<host_location> Hosts = eligibleHosts(State, Now);
  assignment_state &Assignment = State.Assignment;
  if (Assignment.ListVersion == State.ListVersion &&
      Assignment.Hosts == Hosts) {
    return Assignment;
  }
  std::map<std::string, std::string> Domains;
  for (const auto &[Id, Target] : State.Targets) {
    Domains.emplace(Id, Target.Record.FailureDomain);
  }
  Assignment.Owners = assignTargets(Domains, Hosts);
  Assignment.Hosts = std::move(Hosts);
  Assignment.ListVersion = State.ListVersion;
  Assignment.Own.clear();
  for (const auto &[Id, Host] : Assignment.Owners) {
    if (Host == State.Init.Name) {
      Assignment.Own.push_back(Id);
    }
  }
  return Assignment;
}

bool canTakeOver(const peer_host &Peer, boot_time Now) {
  return !Peer.State.IsShuttingDown &&
         peerReceivedWithin(Peer, Now, config::HandoverPeerTimeout);
}

void giveTarget(reducer_context &Ctx, const std::string &Target,
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

/// @returns whether a target that is owned here is better off at a peer: near
/// to the target, or where fewer are owned. Else hosts whose views differ would
/// pass it to and fro.
bool isBetterOff(const pool_state &State, const listed_target &Listed,
                 const peer_host &Peer, std::size_t Gifts) {
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
         Peer.State.Targets.size() + Gifts + 1;
}

/// @returns whether a peer says that it owns a target under a higher token
bool isClaimedAbove(const pool_state &State, const std::string &Target,
                    std::uint64_t Token, boot_time Now) {
  return std::any_of(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
        const peer_host &Peer = Entry.second;
        const auto &FreeTargets = Peer.State.Targets;
        return peerReceivedWithin(Peer, Now, config::HandoverPeerTimeout) &&
               std::any_of(FreeTargets.begin(), FreeTargets.end(),
                           [&](const target_free_capacity &Room) {
                             return Room.Target == Target && Room.Token > Token;
                           });
      });
}

/// Stands back from the targets that a peer owns under a higher token, before
/// an order there is refused.
void yieldToHigher(reducer_context &Ctx) {
  ownership_context Context = Ctx.ownershipContext();
  for (auto &[Id, Custody] : Ctx.State.Owner.OwnedTargets) {
    if (Custody.phase() != ownership_phase::Lost &&
        isClaimedAbove(Ctx.State, Id, Custody.token(), Ctx.Now)) {
      Custody.yield(Context);
    }
  }
}

/// Gives the targets away that are better off at another host.
void giveAway(reducer_context &Ctx, const assignment_state &Assignment) {
  pool_state &State = Ctx.State;
  std::map<std::string, std::size_t> Gifts; // to each host, just now
  std::vector<std::pair<std::string, const peer_host *>> Given;
  for (const auto &[Id, Custody] : State.Owner.OwnedTargets) {
    const auto Wanted = Assignment.Owners.find(Id);
    const auto Peer = Wanted == Assignment.Owners.end()
                          ? State.Peers.end()
                          : State.Peers.find(Wanted->second);
    if (Peer == State.Peers.end() || Custody.phase() != ownership_phase::Held ||
        !canTakeOver(Peer->second, Ctx.Now)) {
      continue;
    }
    std::size_t &Count = Gifts[Wanted->second];
    const auto Listed = State.Targets.find(Id);
    if (isBetterOff(State, Listed->second, Peer->second, Count)) {
      Given.emplace_back(Id, &Peer->second);
      ++Count;
    }
  }
  for (const auto &[Id, Peer] : Given) {
    giveTarget(Ctx, Id, *Peer);
  }
}

/// Takes over the targets that should be owned here and have no owner.
void takeOwnerless(reducer_context &Ctx, const assignment_state &Assignment) {
  pool_state &State = Ctx.State;
  for (const std::string &Id : Assignment.Own) {
    const listed_target &Listed = State.Targets.find(Id)->second;
    // Between two owners' states a target on its way seems to have none.
    const bool IsOnItsWay =
        Listed.LastClaimedAt != boot_time{} &&
        Listed.LastClaimedAt + config::HandoverSettleTime > Ctx.Now;
    if (!State.Owner.OwnedTargets.contains(Id) && Listed.NotBefore <= Ctx.Now &&
        !IsOnItsWay && findClaimant(State, Id, Ctx.Now) == nullptr) {
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
    // The host that took the target is above that, by how much isn't told.
    const std::uint64_t Margin =
        Entry->second.phase() == ownership_phase::Lost ? config::TermMargin : 0;
    recordTerm(Ctx.State.KnownTerms, Entry->first,
               Entry->second.term() + Margin);
    const auto Listed = Ctx.State.Targets.find(Entry->first);
    if (Listed != Ctx.State.Targets.end()) {
      Listed->second.NotBefore = Ctx.Now + config::OwnershipLostBackoff;
    }
    Entry = OwnedTargets.erase(Entry);
    Ctx.State.Owner.markCapacityChanged();
  }
}

void forgetTarget(reducer_context &Ctx, const std::string &Id) {
  Ctx.State.Targets.erase(Id);
  ++Ctx.State.ListVersion;
  Ctx.State.Owner.Health.erase(Id);
  const auto Owned = Ctx.State.Owner.OwnedTargets.find(Id);
  if (Owned != Ctx.State.Owner.OwnedTargets.end()) {
    Owned->second.markRemoved();
    Ctx.State.Owner.markCapacityChanged();
  }
}
/// Forgets the targets that the platform doesn't list any more. Entries that
/// lapsed during an outage of the store are back a little after its end.
void forgetMissing(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  const bool IsAfterOutage =
      !State.StoreIsReachable ||
      (State.StoreRegainedAt != boot_time{} &&
       State.StoreRegainedAt + config::StoreRecoveryGracePeriod > Ctx.Now);
  if (IsAfterOutage) {
    return;
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, Target] : State.Targets) {
    if (Target.MissingSince) {
      Missing.push_back(Id);
    }
  }
  for (const std::string &Id : Missing) {
    forgetTarget(Ctx, Id);
  }
}

void setMissing(reducer_context &Ctx, const std::string &Id) {
  const auto Found = Ctx.State.Targets.find(Id);
  if (Found != Ctx.State.Targets.end() && !Found->second.MissingSince) {
    Found->second.MissingSince = Ctx.Now;
  }
}
} // namespace

void handleTargets(reducer_context &Ctx, targets_listed &&Listed) {
  pool_state &State = Ctx.State;
  std::vector<std::string> Gone = std::move(Listed.Removed);
  if (Listed.IsSnapshot) {
    State.HasTargets = true;
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
    setMissing(Ctx, Id);
  }
  ownership_context Context = Ctx.ownershipContext();
  for (target_record &Record : Listed.Upserted) {
    listed_target &Target = State.Targets[Record.Id];
    Target.MissingSince.reset();
    if (Target.Record == Record) {
      continue;
    }
    State.ListVersion += Target.Record.FailureDomain != Record.FailureDomain;
    Target.Record = std::move(Record);
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
    return; // nobody owns it now; the dealing finds an owner
  }
  ownership_context Context = Ctx.ownershipContext();
  owned_target Custody(Listed->second.Record, State.OwnerNumber, 0);
  Custody.acceptHandover(Handover, Context);
  Listed->second.Speed.seed(Handover.Speed);
  State.Owner.OwnedTargets.emplace(Handover.Target, std::move(Custody));
  State.Owner.markCapacityChanged();
  Ctx.count(counter::HandoversTaken);
  std::map<std::string, std::pair<host_ref, attempts_reassigned>> Moved;
  for (const handover_attempt &Handed : Handover.Attempts) {
    auto &[Coordinator, Message] = Moved[Handed.Coordinator.Name];
    Coordinator = Handed.Coordinator;
    Message.Attempts.push_back(Handed.Attempt);
  }
  for (auto &[Name, Entry] : Moved) {
    sendMessage(Ctx, Entry.first, std::move(Entry.second));
  }
}

void applyAssignment(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  forgetMissing(Ctx);
  yieldToHigher(Ctx);
  dropFinished(Ctx);
  if (!State.HasMembers || !State.HasTargets || State.OwnerNumber == 0 ||
      State.IsShuttingDown || !haveOwnersAdvertised(State, Ctx.Now)) {
    return;
  }
  const assignment_state &Assignment = dealListed(State, Ctx.Now);
  giveAway(Ctx, Assignment);
  takeOwnerless(Ctx, Assignment);
}

bool handOverAll(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  // The same dealing as that of the hosts that stay, so that none moves twice.
  const auto &Owners = dealListed(State, Ctx.Now).Owners;
  std::vector<std::pair<std::string, const peer_host *>> Gifts;
  for (const auto &[Id, Custody] : State.Owner.OwnedTargets) {
    const auto Wanted = Owners.find(Id);
    const auto Peer = Wanted == Owners.end() ? State.Peers.end()
                                             : State.Peers.find(Wanted->second);
    if (Custody.phase() == ownership_phase::Held && Peer != State.Peers.end() &&
        canTakeOver(Peer->second, Ctx.Now)) {
      Gifts.emplace_back(Id, &Peer->second);
    }
  }
  for (const auto &[Id, Peer] : Gifts) {
    giveTarget(Ctx, Id, *Peer);
  }
  return State.Owner.OwnedTargets.empty();
}

} // namespace tarragonbridge::pool
