#include "core/pool/job_offers_p.h"

#include "core/pool/crashes_p.h"
#include "core/pool/load/turn_away_cost_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <optional>

namespace tarragonbridge::pool {

namespace {
/// @returns what the coordinator knows of an owner, without reservations. Its
/// state may be older than the evacuation of a failure domain.
owner_view makeOwnerView(const pool_state &State, const std::string &Name,
                         milliseconds RoundTrip, const host_state &HostState,
                         std::size_t Level) {
  double SpeedSum = 0;
  std::size_t SchedulableCount = 0;
  for (const target_free_capacity &FreeTarget : HostState.Targets) {
    if (FreeTarget.IsSchedulable && !isEvacuated(State, FreeTarget.Target)) {
      SpeedSum += FreeTarget.Speed;
      ++SchedulableCount;
    }
  }
  owner_view Owner{Name, RoundTrip, HostState.QueueWaits.at(Level)};
  if (SchedulableCount > 0) {
    Owner.Slots = HostState.Slots;
    Owner.MeanSpeed = SpeedSum / static_cast<double>(SchedulableCount);
  }
  return Owner;
}

/// @returns the view of a peer that offers can be sent to, nothing of others
std::optional<owner_view> makePeerView(const pool_state &State,
                                       const std::string &Name,
                                       const peer_host &Peer, std::size_t Level,
                                       boot_time Now) {
  if (Peer.State.IsShuttingDown ||
      !peerReceivedWithin(Peer, Now, config::HandoverPeerTimeout)) {
    return std::nullopt;
  }
  const bool IsSameDomain =
      Peer.Member.FailureDomain == State.Init.FailureDomain;
  owner_view Owner = makeOwnerView(State, Name,
                                   IsSameDomain ? config::DomainRoundTrip
                                                : config::RemoteRoundTrip,
                                   Peer.State, Level);
  Owner.IsNeighbour = Peer.IsNeighbour;
  for (const auto &Reserved : Peer.Reservations) {
    if (Reserved.Target.empty() && Reserved.Level <= Level && Owner.Slots > 0) {
      Owner.PredictedQueueWait += Reserved.RunTime / Owner.Slots;
    }
  }
  return Owner;
}

owner_view makeSelfView(const pool_state &State, const host_state &HostState,
                        std::size_t Level) {
  owner_view Owner = makeOwnerView(State, State.Init.Name,
                                   config::LocalRoundTrip, HostState, Level);
  Owner.IsSelf = true;
  return Owner;
}

/// Adds an owner's targets, less what is reserved there.
void addFreeTargets(pool_view &View, const pool_state &State,
                    const host_state &HostState,
                    const std::deque<peer_host::reservation> &Reservations) {
  const std::size_t Owner = View.Owners.size() - 1;
  const std::size_t First = View.FreeTargets.size();
  for (const target_free_capacity &FreeTarget : HostState.Targets) {
    if (FreeTarget.IsSchedulable && !isEvacuated(State, FreeTarget.Target)) {
      View.FreeTargets.push_back({Owner, FreeTarget.Target, FreeTarget.Service,
                                  FreeTarget.Free, FreeTarget.Speed});
    }
  }
  for (const auto &Reserved : Reservations) {
    for (std::size_t Index = First; Index < View.FreeTargets.size(); ++Index) {
      if (View.FreeTargets[Index].Target == Reserved.Target) {
        View.FreeTargets[Index].Free -= Reserved.RequiredResources;
      }
    }
  }
}
} // namespace

pool_view makePoolView(pool_state &State, std::size_t Level, boot_time Now) {
  pool_view View;
  View.TieBreakSeed = State.Random();
  const host_state Own = makeHostState(State, Now);
  View.Owners.push_back(makeSelfView(State, Own, Level));
  addFreeTargets(View, State, Own, {});
  for (const auto &[Name, Peer] : State.Peers) {
    if (auto Owner = makePeerView(State, Name, Peer, Level, Now)) {
      View.Owners.push_back(std::move(*Owner));
      addFreeTargets(View, State, Peer.State, Peer.Reservations);
    }
  }
  return View;
}

double currentSaturation(const pool_state &State, boot_time Now) {
  constexpr std::size_t Level = config::UrgencyLevels - 1;
  std::vector<owner_view> Owners{
      makeSelfView(State, makeHostState(State, Now), Level)};
  for (const auto &[Name, Peer] : State.Peers) {
    if (auto Owner = makePeerView(State, Name, Peer, Level, Now)) {
      Owners.push_back(std::move(*Owner));
    }
  }
  return saturationOf(Owners);
}

host_ref hostRefOf(const pool_state &State, const std::string &Name) {
  const auto Found = State.Peers.find(Name);
  return Found == State.Peers.end()
             ? host_ref{State.Init.Name, State.Init.Incarnation}
             : Found->second.Member.Host;
}

attempt_ref attemptRefOf(const open_job &Job, const job_task &Task) {
  return {Job.Id, Task.Step, Task.Index, Task.AttemptNumber};
}

milliseconds expectedRunTimeOf(const pool_state &State, const open_job &Job,
                               const job_task &Task) {
  return State.Coordinator.RunTimeEstimator.expected(Job.Route.Name,
                                                     Task.EstimatedRunTime);
}

void addToOffer(reducer_context &Ctx, open_job &Job, job_task &Task,
                const pool_view &View, const placement &Placement,
                offers_by_owner &Offers) {
  pool_state &State = Ctx.State;
  const std::string &Host = View.Owners[Placement.Owner].Host;
  const milliseconds ExpectedRunTime = expectedRunTimeOf(State, Job, Task);
  task_offer &Offer = Offers[Host];
  if (Offer.Tasks.empty()) {
    Offer.Job = Job.Id;
    Offer.Service = Job.Route.Service;
    Offer.Priority = Job.Route.Priority;
    Offer.Specification = Job.Specification;
  }
  ++Task.AttemptNumber;
  Task.Phase = task_phase::Offered;
  Task.Owner = hostRefOf(State, Host);
  Task.OwnerToken = 0;
  // An owner where the task would be late refuses it, and it is offered
  // elsewhere: while most owners have queues, others have counted on the same
  // room. The last permitted offer allows queueing, which bounds that.
  const bool IsContended =
      State.Coordinator.Saturation > config::OvertakingSaturation;
  const bool MayQueue = (Placement.Target.empty() && !IsContended) ||
                        Task.Rejections + 1 >= config::MaxOfferRejections;
  Offer.Tasks.push_back({Task.Step, Task.Index, Task.AttemptNumber,
                         Task.RequiredResources, ExpectedRunTime,
                         until(Job.ObjectiveDeadline, Ctx.Now),
                         until(Job.ExpiresAt, Ctx.Now), MayQueue,
                         Task.AvoidTarget, isSuspect(Task)});
  const auto Peer = State.Peers.find(Host);
  if (Peer != State.Peers.end()) {
    Peer->second.Reservations.push_back(
        {Ctx.Now, Placement.Target, Task.RequiredResources, ExpectedRunTime,
         urgencyLevelOf(Job.Route.Priority)});
  }
  Ctx.count(counter::TasksOffered);
}

void sendOffers(reducer_context &Ctx, offers_by_owner &&Offers) {
  for (auto &[Host, Offer] : Offers) {
    sendMessage(Ctx, hostRefOf(Ctx.State, Host), std::move(Offer));
  }
}

} // namespace tarragonbridge::pool
