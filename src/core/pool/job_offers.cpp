#include "core/pool/job_offers_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

pool_view makePoolView(pool_state &State, boot_time Now) {
  pool_view View;
  View.TieBreakSeed = State.Random();
  const auto AddOwner = [&](const std::string &Name, milliseconds RoundTrip,
                            const host_state &Described) {
    const std::size_t Index = View.Owners.size();
    double Speeds = 0;
    std::size_t Usable = 0;
    for (const target_free_capacity &Room : Described.Targets) {
      if (Room.IsSchedulable) {
        View.FreeTargets.push_back(
            {Index, Room.Target, Room.Service, Room.Free, Room.Speed});
        Speeds += Room.Speed;
        ++Usable;
      }
    }
    View.Owners.push_back(
        {Name, RoundTrip, Described.PredictedQueueWait,
         Usable == 0 ? 0 : Described.Slots,
         Usable == 0 ? 1 : Speeds / static_cast<double>(Usable)});
  };
  AddOwner(State.Init.Name, config::LocalRoundTrip, makeHostState(State, Now));
  View.Owners.back().IsSelf = true;
  for (const auto &[Name, Peer] : State.Peers) {
    if (Peer.State.IsShuttingDown ||
        !peerReceivedWithin(Peer, Now, config::HandoverPeerTimeout)) {
      continue;
    }
    const bool IsNear = Peer.Member.FailureDomain == State.Init.FailureDomain;
    AddOwner(Name, IsNear ? config::DomainRoundTrip : config::RemoteRoundTrip,
             Peer.State);
    owner_view &Owner = View.Owners.back();
    Owner.IsNeighbour = Peer.IsNeighbour;
    for (const auto &Reserved : Peer.Reservations) {
      for (available_target &Room : View.FreeTargets) {
        if (Room.Target == Reserved.Target) {
          Room.Free -= Reserved.RequiredResources;
        }
      }
      if (Reserved.Target.empty() && Owner.Slots > 0) {
        Owner.PredictedQueueWait += Reserved.RunTime / Owner.Slots;
      }
    }
  }
  return View;
}

host_ref hostRef(const pool_state &State, const std::string &Name) {
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
                const pool_view &View, const placement &Placing,
                offers &Offers) {
  pool_state &State = Ctx.State;
  const std::string &Host = View.Owners[Placing.Owner].Host;
  const milliseconds Expected = expectedRunTimeOf(State, Job, Task);
  task_offer &Offer = Offers[Host];
  if (Offer.Tasks.empty()) {
    Offer.Job = Job.Id;
    Offer.Service = Job.Route.Service;
    Offer.Priority = Job.Route.Priority;
    Offer.Specification = Job.Specification;
  }
  ++Task.AttemptNumber;
  Task.Phase = task_phase::Offered;
  Task.Owner = hostRef(State, Host);
  // What finds no room goes elsewhere, but not for ever.
  const bool MayQueue = Placing.Target.empty() ||
                        Task.Rejections + 1 >= config::MaxOfferRejections;
  Offer.Tasks.push_back(
      {Task.Step, Task.Index, Task.AttemptNumber, Task.RequiredResources,
       Expected, until(Job.ObjectiveDeadline, Ctx.Now),
       until(Job.ExpiresAt, Ctx.Now), MayQueue, Task.AvoidTarget});
  const auto Peer = State.Peers.find(Host);
  if (Peer != State.Peers.end()) {
    Peer->second.Reservations.push_back(
        {Ctx.Now, Placing.Target, Task.RequiredResources, Expected});
  }
  Ctx.count(counter::TasksOffered);
}

void sendOffers(reducer_context &Ctx, offers &&Offers) {
  for (auto &[Host, Offer] : Offers) {
    sendMessage(Ctx, hostRef(Ctx.State, Host), std::move(Offer));
  }
}

} // namespace tarragonbridge::pool
