#include "tarragonbridge/pool/pool.h"

#include "core/pool/crashes_p.h"
#include "core/pool/pauses_p.h"
#include "core/pool/resubmissions_p.h"
#include "core/pool/state_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// Limit of messages from this host to itself that are handled per call of
/// handleLoopbackMessages().
constexpr std::size_t MaxLoopbackMessages = 100'000;

owned_target *findOwnedTarget(reducer_context &Ctx, const std::string &Target) {
  auto &OwnedTargets = Ctx.State.Owner.OwnedTargets;
  const auto Found = OwnedTargets.find(Target);
  return Found == OwnedTargets.end() ? nullptr : &Found->second;
}

void handle(reducer_context &Ctx, configuration_read &&Read) {
  configuration &Current = Ctx.State.Configuration;
  if (Read.Configuration.Version <= Current.Version) {
    return; // versions never go back
  }
  Current = std::move(Read.Configuration);
  Ctx.log("configuration_applied",
          {{"version", std::to_string(Current.Version)},
           {"routes", std::to_string(Current.Routes.size())}});
}

void handle(reducer_context &Ctx, targets_listed &&Listed) {
  handleTargets(Ctx, std::move(Listed));
  handlePendingEvacuations(Ctx);
}

void handle(reducer_context &Ctx, evacuations_listed &&Listed) {
  handleEvacuations(Ctx, std::move(Listed));
}

void handle(reducer_context &Ctx, members_listed &&Listed) {
  handleMembers(Ctx, std::move(Listed));
  handlePendingEvacuations(Ctx);
}

void handle(reducer_context &Ctx, member_registered &&Registered) {
  if (Ctx.State.OwnerNumber == 0) {
    Ctx.State.OwnerNumber = Registered.OwnerNumber;
    Ctx.log("registered", {{"number", std::to_string(Registered.OwnerNumber)}});
  }
}

void handle(reducer_context &Ctx, store_reachability &&Reachability) {
  if (Ctx.State.StoreIsReachable != Reachability.IsReachable) {
    Ctx.State.StoreIsReachable = Reachability.IsReachable;
    if (Reachability.IsReachable && Ctx.State.HasTargetSnapshot) {
      Ctx.State.StoreReachableAgainAt = Ctx.Now;
    }
    Ctx.log(Reachability.IsReachable ? "store_regained" : "store_lost", {});
  }
}

void handle(reducer_context &Ctx, job_submitted &&Submitted) {
  submitJob(Ctx, std::move(Submitted));
}

void handle(reducer_context &Ctx, job_queried &&Query) { queryJob(Ctx, Query); }

void handle(reducer_context &Ctx, caller_disconnected &&Disconnected) {
  detachCaller(Ctx, Disconnected);
}

bool hasSchedulableTargets(const pool_state &State, boot_time Now) {
  const auto &OwnedTargets = State.Owner.OwnedTargets;
  if (std::any_of(
          OwnedTargets.begin(), OwnedTargets.end(),
          [](const auto &Entry) { return Entry.second.isSchedulable(); })) {
    return true;
  }
  return std::any_of(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
        const peer_host &Peer = Entry.second;
        return peerReceivedWithin(Peer, Now, config::HostTimeout) &&
               Peer.State.Slots > 0;
      });
}

void handle(reducer_context &Ctx, readiness_queried &&Query) {
  const bool IsReady = Ctx.State.Configuration.Version != 0 &&
                       !Ctx.State.IsShuttingDown &&
                       hasSchedulableTargets(Ctx.State, Ctx.Now);
  Ctx.Effects.emplace_back(respond_to_caller{
      Query.Request, IsReady ? response_kind::Ready : response_kind::NotReady});
}

void handle(reducer_context &Ctx, start_response &&Response) {
  if (owned_target *OwnedTarget = findOwnedTarget(Ctx, Response.Target)) {
    ownership_context Context = Ctx.ownershipContext();
    const bool WasSchedulable = OwnedTarget->isSchedulable();
    OwnedTarget->onStartResponse(Response, Context);
    if (OwnedTarget->isSchedulable() != WasSchedulable) {
      Ctx.State.Owner.markCapacityChanged();
    }
  }
}

void handle(reducer_context &Ctx, stop_response &&Response) {
  if (owned_target *OwnedTarget = findOwnedTarget(Ctx, Response.Target)) {
    ownership_context Context = Ctx.ownershipContext();
    OwnedTarget->onStopResponse(Response, Context);
  }
}

void handle(reducer_context &Ctx, renewal_response &&Response) {
  owned_target *OwnedTarget = findOwnedTarget(Ctx, Response.Target);
  if (OwnedTarget == nullptr) {
    return;
  }
  ownership_context Context = Ctx.ownershipContext();
  const bool WasSchedulable = OwnedTarget->isSchedulable();
  OwnedTarget->onRenewalResponse(Response, Context);
  if (Response.Outcome == command_outcome::Accepted) {
    Ctx.State.Owner.Crashes.noteResponse(Response.Target, Response.Incarnation);
  }
  if (OwnedTarget->isSchedulable() != WasSchedulable) {
    Ctx.State.Owner.markCapacityChanged();
  }
}

void handle(reducer_context &Ctx, datagram_received &&Received) {
  handleDatagram(Ctx, std::move(Received));
}

void handle(reducer_context &Ctx, shutdown_requested &&Request) {
  pool_state &State = Ctx.State;
  if (State.IsShuttingDown) {
    return;
  }
  State.IsShuttingDown = true;
  State.ShutdownStartedAt = Ctx.Now;
  State.ShutdownDeadline =
      Ctx.Now +
      std::max(Request.GracePeriod - config::ShutdownMargin, milliseconds(0));
  State.Owner.markCapacityChanged();
  Ctx.log("shutdown_begun",
          {{"jobs", std::to_string(State.Coordinator.Jobs.size())},
           {"targets", std::to_string(State.Owner.OwnedTargets.size())}});
}

void handle(reducer_context &, timer_fired &&) {}

void handleLoopbackMessages(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  const host_ref Self = Ctx.self();
  for (std::size_t Round = 0;
       !State.LoopbackMessages.empty() && Round < MaxLoopbackMessages;
       ++Round) {
    peer_message Message = std::move(State.LoopbackMessages.front());
    State.LoopbackMessages.pop_front();
    handleMessage(Ctx, Self, std::move(Message));
  }
}

/// Runs this host's targets and handles its messages to itself until none is
/// left.
void runUntilIdle(reducer_context &Ctx) {
  constexpr int MaxRounds = 20;
  handleLoopbackMessages(Ctx);
  for (int Round = 0; Round < MaxRounds; ++Round) {
    processTargets(Ctx);
    if (Ctx.State.LoopbackMessages.empty()) {
      return;
    }
    handleLoopbackMessages(Ctx);
  }
}

bool hasUnackedMessages(const pool_state &State, boot_time Now) {
  return std::any_of(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
        return Entry.second.Link.unackedCount() > 0 &&
               peerReceivedWithin(Entry.second, Now, config::HostTimeout);
      });
}

/// Continues a graceful shutdown that has been requested.
void continueShutdown(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  if (!State.IsShuttingDown || State.IsShutdownFinished) {
    return;
  }
  if (handOverAll(Ctx)) {
    State.IsHandoverComplete = true;
  }
  if (Ctx.Now >= State.ShutdownDeadline) {
    abandonAllJobs(Ctx);
    runUntilIdle(Ctx);
  }
  const bool IsIdle = State.Coordinator.Jobs.empty() &&
                      State.IsHandoverComplete &&
                      !hasUnackedMessages(State, Ctx.Now);
  const bool HasReadinessGraceEnded =
      Ctx.Now >= State.ShutdownStartedAt + config::ReadinessGracePeriod;
  const bool IsOverdue =
      Ctx.Now >= State.ShutdownDeadline + config::ShutdownMargin / 2;
  if ((IsIdle && HasReadinessGraceEnded) || IsOverdue) {
    State.IsShutdownFinished = true;
    Ctx.log("shutdown_finished",
            {{"jobs_cut", std::to_string(State.Coordinator.Jobs.size())}});
    Ctx.Effects.emplace_back(shutdown_finished{});
  }
}
} // namespace

void pool_deleter::operator()(pool_state *State) const { delete State; }

pool_host makePoolHost(const pool_init &Init) {
  pool_host Host(new pool_state);
  Host->Init = Init;
  Host->Random.seed(Init.RandomSeed);
  return Host;
}

namespace {
/// Logs the host's load once per config::LoadLogInterval.
void logLoad(reducer_context &Ctx) {
  if (Ctx.Now < Ctx.State.LoadLogDueAt) {
    return;
  }
  Ctx.State.LoadLogDueAt = Ctx.Now + config::LoadLogInterval;
  const pool_state &State = Ctx.State;
  const pool_metrics Metrics = metricsOf(State, Ctx.Now);
  std::size_t SchedulableCount = 0;
  for (const auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    SchedulableCount += OwnedTarget.isSchedulable() ? 1 : 0;
  }
  const host_state HostState = makeHostState(State, Ctx.Now);
  const milliseconds OldestUnacked = oldestUnackedAge(State, Ctx.Now);
  Ctx.log("load",
          {{"jobs", std::to_string(Metrics.JobsOpen)},
           {"queued", std::to_string(Metrics.TasksQueued)},
           {"running", std::to_string(Metrics.AttemptsRunning)},
           {"slots", std::to_string(HostState.Slots)},
           {"wait_ms", std::to_string(HostState.PredictedQueueWait.count())},
           {"owned", std::to_string(Metrics.TargetsOwned)},
           {"usable", std::to_string(SchedulableCount)},
           {"listed", std::to_string(Metrics.TargetsListed)},
           {"heard", std::to_string(Metrics.PeersReachable)},
           {"unacked", std::to_string(unackedCount(State))},
           {"unacked_ms", std::to_string(OldestUnacked.count())},
           {"version", std::to_string(Metrics.ConfigurationVersion)}});
}
} // namespace

std::uint64_t incarnationOf(const pool_state &State) {
  return State.Init.Incarnation;
}

void reduce(pool_state &State, event &&Event, boot_time Now,
            std::vector<effect> &Effects) {
  reducer_context Ctx{State, Now, Effects};
  if (State.StartedAt == boot_time{}) {
    State.StartedAt = Now;
  }
  const bool CouldOwnTargets = canOwnTargets(State);
  if (notePause(Ctx)) {
    handleLoopbackMessages(Ctx); // cancellations, before the event
  }
  std::visit([&](auto &Kind) { handle(Ctx, std::move(Kind)); }, Event);
  if (canOwnTargets(State) != CouldOwnTargets) {
    State.Owner.markCapacityChanged(); // peers have to know
  }
  logLoad(Ctx);
  if (Now >= State.AssignmentDueAt) {
    State.AssignmentDueAt = Now + config::AssignmentInterval;
    chooseNeighbours(Ctx);
    pollConfiguration(Ctx);
    applyAssignment(Ctx);
    updateKindSpeeds(Ctx);
    sampleSaturation(Ctx);
    stopOrphans(Ctx);
    evictCancelled(Ctx);
    evictOldCrashes(Ctx.State, Ctx.Now);
    expireJobs(Ctx);
  } else if (nextJobTimerAt(State) <= Now) {
    expireJobs(Ctx);
  }
  runUntilIdle(Ctx);
  if (!State.Coordinator.UnreleasedJobs.empty()) {
    placeReleasedJobs(Ctx);
    runUntilIdle(Ctx);
  }
  continueShutdown(Ctx);
  flushDatagrams(Ctx);
}

boot_time nextTimerAt(const pool_state &State) {
  const boot_time Now{};
  return std::min({State.AssignmentDueAt, nextTargetTimerAt(State, Now),
                   nextDatagramAt(State, Now), nextJobTimerAt(State)});
}

} // namespace tarragonbridge::pool
