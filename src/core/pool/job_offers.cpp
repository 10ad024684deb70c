#include "core/pool/job_offers_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

pool_view makePoolView(pool_state &State, boot_time Now) {
  pool_view View;
  View.TieBreakSeed = State.Random();
  const auto AddOwner = [&](const std::string &Name, milliseconds RoundTrip,
                            const host_state &HostState) {
    const std::size_t Index = View.Owners.size();
    double SpeedSum = 0;
    std::size_t SchedulableCount = 0;
    for (const target_free_capacity &FreeTarget : HostState.Targets) {
      if (FreeTarget.IsSchedulable) {
        View.FreeTargets.push_back({Index, FreeTarget.Target,
                                    FreeTarget.Service, FreeTarget.Free,
                                    FreeTarget.Speed});
        SpeedSum += FreeTarget.Speed;
        ++SchedulableCount;
      }
    }
    View.Owners.push_back(
        {Name, RoundTrip, HostState.PredictedQueueWait,
         SchedulableCount == 0 ? 0 : HostState.Slots,
         SchedulableCount == 0
             ? 1
             : SpeedSum / static_cast<double>(SchedulableCount)});
  };
  AddOwner(State.Init.Name, config::LocalRoundTrip, makeHostState(State, Now));
  View.Owners.back().IsSelf = true;
  for (const auto &[Name, Peer] : State.Peers) {
    if (Peer.State.IsShuttingDown ||
        !peerReceivedWithin(Peer, Now, config::HandoverPeerTimeout)) {
      continue;
    }
    const bool IsSameDomain =
        Peer.Member.FailureDomain == State.Init.FailureDomain;
    AddOwner(Name,
             IsSameDomain ? config::DomainRoundTrip : config::RemoteRoundTrip,
             Peer.State);
    owner_view &Owner = View.Owners.back();
    Owner.IsNeighbour = Peer.IsNeighbour;
    for (const auto &Reserved : Peer.Reservations) {
      for (available_target &FreeTarget : View.FreeTargets) {
        if (FreeTarget.Target == Reserved.Target) {
          FreeTarget.Free -= Reserved.RequiredResources;
        }
      }
      if (Reserved.Target.empty() && Owner.Slots > 0) {
        Owner.PredictedQueueWait += Reserved.RunTime / Owner.Slots;
      }
    }
  }
  return View;
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
  // An owner without free capacity refuses the task, which is then offered
  // elsewhere. The last permitted offer allows queueing, which bounds that.
  const bool MayQueue = Placement.Target.empty() ||
                        Task.Rejections + 1 >= config::MaxOfferRejections;
  Offer.Tasks.push_back(
      {Task.Step, Task.Index, Task.AttemptNumber, Task.RequiredResources,
       ExpectedRunTime, until(Job.ObjectiveDeadline, Ctx.Now),
       until(Job.ExpiresAt, Ctx.Now), MayQueue, Task.AvoidTarget});
  const auto Peer = State.Peers.find(Host);
  if (Peer != State.Peers.end()) {
    Peer->second.Reservations.push_back(
        {Ctx.Now, Placement.Target, Task.RequiredResources, ExpectedRunTime});
  }
  Ctx.count(counter::TasksOffered);
}

void sendOffers(reducer_context &Ctx, offers_by_owner &&Offers) {
  for (auto &[Host, Offer] : Offers) {
    sendMessage(Ctx, hostRefOf(Ctx.State, Host), std::move(Offer));
  }
}

} // namespace tarragonbridge::pool
