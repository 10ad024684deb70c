// Datagrams between hosts: states, sessions, messages.
#include "core/pool/job_completion_p.h"
#include "core/pool/pauses_p.h"
#include "core/pool/peers_p.h"
#include "core/pool/resubmissions_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// An offered task reserves free capacity for this long; after a round trip the
/// state of its owner includes it.
constexpr milliseconds ReservationLifetime{12};

peer_host *findSender(reducer_context &Ctx, const datagram_received &Received) {
  const datagram &Datagram = Received.Datagram;
  const auto Found = Ctx.State.Peers.find(Datagram.From.Name);
  if (Found != Ctx.State.Peers.end()) {
    if (Datagram.From == Found->second.Member.Host) {
      return &Found->second;
    }
    if (isSuperseded(Found->second, Datagram.From.Incarnation, Ctx.Now)) {
      return nullptr;
    }
  } else if (!makeRoomForStranger(Ctx)) {
    return nullptr;
  }
  return &resetPeer(
      Ctx, {Datagram.From, Received.SourceAddress, Datagram.FailureDomain});
}

/// @returns when this host sent a state, if that was within MaxDatagramAge
std::optional<boot_time> stateSentAt(const reducer_context &Ctx,
                                     std::uint64_t StateNumber) {
  const auto &Sent = Ctx.State.SentStates;
  const auto Found =
      std::lower_bound(Sent.begin(), Sent.end(), StateNumber,
                       [](const auto &Entry, std::uint64_t Number) {
                         return Entry.first < Number;
                       });
  const bool IsFresh = Found != Sent.end() && Found->first == StateNumber &&
                       Found->second + config::MaxDatagramAge >= Ctx.Now;
  return IsFresh ? std::optional(Found->second) : std::nullopt;
}

/// Logs a datagram that may have been sent long before it was read.
void logIfLate(const reducer_context &Ctx, const peer_host &Peer,
               boot_time AckedStateSentAt) {
  const milliseconds Age = until(Ctx.Now, AckedStateSentAt);
  if (Age >= config::LateDatagramThreshold) {
    Ctx.log("datagram_late", {{"host", Peer.Member.Host.Name},
                              {"acked_state_age_ms", millisecondsText(Age)}});
  }
}

void recordStateSent(pool_state &State, boot_time Now) {
  State.SentStates.emplace_back(State.StateNumber, Now);
  while (State.SentStates.front().second + config::MaxDatagramAge < Now) {
    State.SentStates.pop_front();
  }
}

void expireReservations(peer_host &Peer, boot_time Now) {
  while (!Peer.Reservations.empty() &&
         Peer.Reservations.front().ReservedAt + ReservationLifetime < Now) {
    Peer.Reservations.pop_front();
  }
}

/// A new peer gets states as often as a neighbour for this long, or until
/// something is received from it.
constexpr milliseconds NewPeerStateTime{1'000};

milliseconds minStateInterval(const pool_state &State) {
  return areAllNeighbours(State) ? config::MinStateInterval
                                 : config::MinStateIntervalManyHosts;
}

boot_time neighbourStateDueAt(const pool_state &State) {
  return State.StateSentAt + (State.Owner.CapacityChanged
                                  ? minStateInterval(State)
                                  : config::StateInterval);
}

boot_time nonNeighbourStateDueAt(const pool_state &State) {
  return areAllNeighbours(State) ? boot_time::max()
                                 : State.NonNeighbourStateSentAt +
                                       config::NonNeighbourStateInterval;
}

/// Which peers are due to get a host state.
struct due_states {
  bool ForNeighbours = false;
  bool ForNonNeighbours = false;
  bool ForNew = false;

  bool isFor(const peer_host &Peer, boot_time Now) const {
    const bool IsNewPeer = Peer.LastReceivedAt == boot_time{} &&
                           Peer.KnownSince + NewPeerStateTime >= Now;
    return (Peer.IsNeighbour || IsNewPeer ? ForNeighbours : ForNonNeighbours) ||
           Peer.NeedsState;
  }
  bool isAny() const { return ForNeighbours || ForNonNeighbours || ForNew; }
};

due_states dueStates(const pool_state &State, boot_time Now) {
  return {
      neighbourStateDueAt(State) <= Now, nonNeighbourStateDueAt(State) <= Now,
      std::any_of(State.Peers.begin(), State.Peers.end(),
                  [](const auto &Entry) { return Entry.second.NeedsState; })};
}

/// Logs a datagram that the network can't carry.
void logIfTooLarge(const reducer_context &Ctx, const peer_host &Peer,
                   std::size_t Bytes) {
  if (Bytes > config::MaxUdpPayloadBytes) {
    Ctx.log("datagram_too_large", {{"host", Peer.Member.Host.Name},
                                   {"bytes", std::to_string(Bytes)}});
  }
}

/// @returns the state that peers get under the current number
host_state makeAdvertisedState(pool_state &State, boot_time Now) {
  host_state HostState = makeHostState(State, Now);
  HostState.OpenJobs = listOpenJobs(State, Now, State.StateNumber);
  return HostState;
}

/// @param[in] HostState result of encodeState, empty when none is due
void sendTo(reducer_context &Ctx, peer_host &Peer, std::string_view HostState) {
  pool_state &State = Ctx.State;
  datagram Datagram;
  Datagram.From = Ctx.self();
  Datagram.FailureDomain = State.Init.FailureDomain;
  Datagram.ReceiverIncarnation = Peer.Member.Host.Incarnation;
  Datagram.StateNumber = State.StateNumber;
  // An acknowledgement proves that this host's callers are there, or that it
  // sends the cancellations of their jobs.
  Datagram.AckedStateNumber = isCheckingCallers(State, Ctx.Now)
                                  ? Peer.StateNumberBeforePause
                                  : Peer.StateNumber;
  Datagram.HeldStateNumber = Peer.HeldStateNumber;
  // Contact keeps the leases of this host's tasks, so it must bring their
  // cancellations. A peer that was heard long ago soon takes no datagram of
  // this host as contact: they acknowledge old states.
  const bool IsHeard =
      peerReceivedWithin(Peer, Ctx.Now, config::MaxDatagramAge);
  Ctx.count(counter::MessagesResent,
            Peer.Link.fill(Datagram, Ctx.Now, IsHeard));
  Ctx.count(counter::DatagramsSent);
  std::string Bytes = encodeDatagram(Datagram, HostState);
  logIfTooLarge(Ctx, Peer, Bytes.size());
  Ctx.Effects.emplace_back(
      send_datagram{Peer.Member.Address, std::move(Bytes)});
}
} // namespace

namespace {
void recordOwnershipEnd(pool_state &State, const std::string &Target,
                        boot_time Now) {
  const auto Listed = State.Targets.find(Target);
  if (Listed != State.Targets.end()) {
    Listed->second.LastClaimedAt = Now;
  }
}

/// Records which targets a peer has begun or ceased to advertise, and the terms
/// of its tokens. Both lists are sorted by target id.
void recordOwnershipChanges(reducer_context &Ctx,
                            const std::vector<target_free_capacity> &Before,
                            const std::vector<target_free_capacity> &After) {
  pool_state &State = Ctx.State;
  auto Old = Before.begin();
  for (const target_free_capacity &FreeCapacity : After) {
    for (; Old != Before.end() && Old->Target < FreeCapacity.Target; ++Old) {
      recordOwnershipEnd(State, Old->Target, Ctx.Now);
    }
    const bool IsSame =
        Old != Before.end() && Old->Target == FreeCapacity.Target;
    if (!IsSame || Old->Token != FreeCapacity.Token) {
      recordTerm(State.KnownTerms, FreeCapacity.Target,
                 owned_target::termOf(FreeCapacity.Token));
    }
    Old += IsSame ? 1 : 0;
  }
  for (; Old != Before.end(); ++Old) {
    recordOwnershipEnd(State, Old->Target, Ctx.Now);
  }
}

void applyState(reducer_context &Ctx, peer_host &Peer, std::uint64_t Number,
                host_state &&HostState) {
  recordOwnershipChanges(Ctx, Peer.State.Targets, HostState.Targets);
  Peer.HasState = true;
  Peer.HeldStateNumber = Number;
  Peer.OpenJobs = {std::exchange(HostState.OpenJobs, {}), Ctx.Now};
  Peer.State = std::move(HostState);
  Ctx.State.DepartedCrashes.erase(Peer.Member.Host);
  expireReservations(Peer, Ctx.Now);
}
} // namespace

namespace {
/// Begins a new session if a datagram shows that the peer has a new link, and
/// tells it again which of its attempts this host was handed. The other
/// messages that are lost with the former one need no reply: after such a
/// silence jobs with tasks at the other side were given up, and tasks of its
/// jobs were stopped.
void beginSession(reducer_context &Ctx, peer_host &Peer,
                  const datagram &Datagram) {
  const std::size_t Unacked = Peer.Link.unackedCount();
  if (!Peer.Link.beginSession(Datagram)) {
    return;
  }
  Ctx.log("session_begun", {{"host", Peer.Member.Host.Name},
                            {"unacked", std::to_string(Unacked)}});
  Peer.NeedsState = true; // it tells the peer of this session
  repeatReassignments(Ctx, Peer.Member.Host);
}
/// Records that a peer has the content of a state of this host.
void recordHeldState(const reducer_context &Ctx, peer_host &Peer,
                     std::uint64_t StateNumber) {
  const auto SentAt = stateSentAt(Ctx, StateNumber);
  if (SentAt && StateNumber > Peer.KnownStateNumber) {
    Peer.KnownStateNumber = StateNumber;
    Peer.KnownStateSentAt = *SentAt;
  }
}
} // namespace

void handleDatagram(reducer_context &Ctx, datagram_received &&Received) {
  peer_host *Peer = findSender(Ctx, Received);
  if (Peer == nullptr) {
    return;
  }
  datagram &Datagram = Received.Datagram;
  const bool IsNewest = Datagram.StateNumber > Peer->StateNumber;
  Peer->StateNumber = std::max(Peer->StateNumber, Datagram.StateNumber);
  // Each side counts as alive once the other has acknowledged a state of it, so
  // the first datagrams are responded to at once.
  Peer->NeedsState |= Peer->LastReceivedAt == boot_time{};
  if (Datagram.State) { // also if it is late: of two records the later counts
    learnEvacuations(Ctx, Datagram.From.Name, Datagram.State->Evacuations);
  }
  // The datagram can't be older than the state that it acknowledges.
  const auto AckedSentAt = stateSentAt(Ctx, Datagram.AckedStateNumber);
  if (!AckedSentAt) {
    return; // sent before this host was paused, or the sender gets none from it
  }
  logIfLate(Ctx, *Peer, *AckedSentAt);
  Peer->LastReceivedAt = Ctx.Now;
  Peer->AliveAt = std::max(Peer->AliveAt, *AckedSentAt);
  if (Datagram.State && (IsNewest || !Peer->HasState)) {
    applyState(Ctx, *Peer, Datagram.StateNumber, std::move(*Datagram.State));
  }
  if (Datagram.ReceiverIncarnation != Ctx.State.Init.Incarnation) {
    return; // meant for an earlier process of this host
  }
  recordHeldState(Ctx, *Peer, Datagram.HeldStateNumber);
  beginSession(Ctx, *Peer, Datagram);
  if (!Peer->Link.isInSession(Datagram)) {
    return; // of an earlier session, or the sender doesn't know this one yet
  }
  Peer->Link.acknowledge(Datagram);
  const host_ref From = Datagram.From;
  for (auto &[Number, Message] : Datagram.Messages) {
    if (!Peer->Link.accept(Number)) {
      continue;
    }
    handleMessage(Ctx, From, std::move(Message));
  }
}

void handleMessage(reducer_context &Ctx, const host_ref &From,
                   peer_message &&Message) {
  if (auto *Offer = std::get_if<task_offer>(&Message)) {
    handleOffer(Ctx, From, std::move(*Offer));
  } else if (auto *Refused = std::get_if<offer_refused>(&Message)) {
    handleOfferRefused(Ctx, From, *Refused);
  } else if (auto *Ended = std::get_if<task_ended>(&Message)) {
    handleTaskEnded(Ctx, *Ended);
  } else if (auto *Cancelled = std::get_if<tasks_cancelled>(&Message)) {
    cancelTasks(Ctx, From, *Cancelled);
    for (const std::string &Job : Cancelled->Jobs) {
      cancelJob(Ctx, Job);
    }
  } else if (auto *Reassigned = std::get_if<attempts_reassigned>(&Message)) {
    handleReassignment(Ctx, From, *Reassigned);
  } else if (auto *Handover = std::get_if<target_handover>(&Message)) {
    handleHandover(Ctx, std::move(*Handover));
  } else if (auto *Resubmitted = std::get_if<jobs_resubmitted>(&Message)) {
    handleResubmissions(Ctx, From, *Resubmitted);
  }
}

void sendMessage(reducer_context &Ctx, const host_ref &To,
                 peer_message Message) {
  pool_state &State = Ctx.State;
  if (To == Ctx.self()) {
    State.LoopbackMessages.push_back(std::move(Message));
    return;
  }
  const auto Found = State.Peers.find(To.Name);
  if (Found != State.Peers.end() &&
      Found->second.Member.Host.Incarnation == To.Incarnation) {
    const bool IsQueued = Found->second.Link.push(std::move(Message), Ctx.Now);
    Ctx.count(counter::MessagesDropped, IsQueued ? 0 : 1);
  }
}

std::size_t unackedCount(const pool_state &State) {
  std::size_t Count = 0;
  for (const auto &[Name, Peer] : State.Peers) {
    Count += Peer.Link.unackedCount();
  }
  return Count;
}

milliseconds oldestUnackedAge(const pool_state &State, boot_time Now) {
  boot_time Oldest = Now;
  for (const auto &[Name, Peer] : State.Peers) {
    Oldest = std::min(Oldest, Peer.Link.oldestUnackedAt().value_or(Now));
  }
  return until(Now, Oldest);
}

void flushDatagrams(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  evictSilentPeers(Ctx);
  const due_states Due = dueStates(State, Ctx.Now);
  std::string HostState;
  if (Due.isAny()) {
    ++State.StateNumber;
    recordStateSent(State, Ctx.Now);
    HostState = encodeState(makeAdvertisedState(State, Ctx.Now));
  }
  if (Due.ForNeighbours) {
    State.StateSentAt = Ctx.Now;
    State.Owner.CapacityChanged = false;
  }
  if (Due.ForNonNeighbours) {
    State.NonNeighbourStateSentAt = Ctx.Now;
  }
  for (auto &[Name, Peer] : State.Peers) {
    const bool IsStateDue = Due.isFor(Peer, Ctx.Now);
    if (IsStateDue || Peer.Link.isDue(Ctx.Now)) {
      sendTo(Ctx, Peer, IsStateDue ? HostState : std::string_view());
      Peer.NeedsState = Peer.NeedsState && !IsStateDue;
    }
  }
}

boot_time nextDatagramAt(const pool_state &State, boot_time Now) {
  boot_time Due =
      std::min(neighbourStateDueAt(State), nonNeighbourStateDueAt(State));
  for (const auto &[Name, Peer] : State.Peers) {
    if (const auto LinkDue = Peer.Link.nextDueAt()) {
      Due = std::min(Due, *LinkDue);
    }
  }
  return std::max(Due, Now);
}

} // namespace tarragonbridge::pool
