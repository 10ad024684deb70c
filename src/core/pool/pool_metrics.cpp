// What a pool host tells of itself in metrics, and under which names.
#include "core/pool/state_p.h"

#include <algorithm>

namespace tarragonbridge::pool {

pool_metrics metricsOf(const pool_state &State, boot_time Now) {
  pool_metrics Metrics;
  Metrics.Counters = State.Counters.values();
  Metrics.JobsOpen = State.Coordinator.Jobs.size();
  Metrics.TasksQueued = State.Owner.Queue.size();
  for (const auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    Metrics.AttemptsRunning += OwnedTarget.attempts().size();
  }
  Metrics.TargetsOwned = State.Owner.OwnedTargets.size();
  Metrics.TargetsListed = State.Targets.size();
  Metrics.PeersReachable = static_cast<std::uint64_t>(std::count_if(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
        return peerReceivedWithin(Entry.second, Now, config::HostTimeout);
      }));
  Metrics.PeersKnown = State.Peers.size();
  Metrics.ConfigurationVersion = State.Configuration.Version;
  std::set<std::string_view> EvacuatedDomains;
  for (const auto &[Id, Target] : State.Targets) {
    if (State.Evacuations.List.isEvacuated(Target.Record.FailureDomain)) {
      EvacuatedDomains.insert(Target.Record.FailureDomain);
      ++Metrics.EvacuatedTargets;
    }
  }
  Metrics.EvacuatedDomains = EvacuatedDomains.size();
  return Metrics;
}

std::string_view nameOf(command_outcome Outcome) {
  static constexpr std::array<std::string_view, 10> Names = {
      "accepted",  "fenced",    "old_run",           "too_late",
      "no_room",   "unhealthy", "other_incarnation", "rejected",
      "no_answer", "not_sent"};
  return Names.at(static_cast<std::size_t>(Outcome));
}

std::string_view nameOf(counter Counter) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(counter::Count)>
      Names = {"jobs_posted",
               "jobs_done",
               "jobs_failed",
               "refused_no_route",
               "refused_not_configured",
               "refused_unsupported",
               "refused_overloaded",
               "refused_shutting_down",
               "refused_duplicate",
               "refused_no_memory",
               "refused_suspect",
               "refused_cancellations",
               "refused_evacuated",
               "given_up_late",
               "given_up_attempts",
               "given_up_crashes",
               "given_up_paused",
               "given_up_unproved",
               "given_up_resubmitted",
               "callers_left",
               "tasks_offered",
               "offers_refused",
               "tasks_held",
               "attempts_started",
               "ends_done",
               "ends_failed",
               "ends_stopped",
               "ends_lost",
               "ends_crashed",
               "ends_not_started",
               "starts_unanswered",
               "starts_fenced",
               "starts_refused",
               "holds_sent",
               "holds_unanswered",
               "tokens_raised",
               "take_overs",
               "targets_lost",
               "handovers_sent",
               "handovers_taken",
               "unknown_stopped",
               "datagrams_sent",
               "messages_resent",
               "orphans_dropped",
               "targets_set_aside",
               "tasks_displaced",
               "messages_dropped",
               "pauses",
               "reassignments_repeated",
               "strangers_dropped",
               "withdrawals_requested"};
  return Names.at(static_cast<std::size_t>(Counter));
}

} // namespace tarragonbridge::pool
