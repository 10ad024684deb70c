#include "core/attempts_p.h"
#include "core/capacity_p.h"
#include "core/dispatch_p.h"
#include "core/ended_jobs_p.h"
#include "core/entry_shares_p.h"
#include "core/home_p.h"
#include "core/home_questions_p.h"
#include "core/jobs_p.h"
#include "core/leases_p.h"
#include "core/membership_p.h"
#include "core/placement_p.h"
#include "core/remote_answers_p.h"
#include "core/settings_p.h"
#include "core/state_p.h"
#include "core/status_p.h"
#include "core/teams_p.h"
#include "core/waiters_p.h"

namespace tarragonbridge {

namespace {
/// Joins the list with what this host has out at targets that left it.
void onHostsListed(dispatcher_state &State, const hosts_listed &Event,
                   instant Now, effects &Effects) {
  for (auto &[Name, Target] : State.Targets) {
    Target.Listed = false;
  }
  for (const host_entry &Host : Event.Hosts) {
    if (Host.Role != host_role::Target) {
      continue;
    }
    const auto [Found, IsNew] = State.Targets.try_emplace(Host.Name);
    target_record &Target = Found->second;
    Target.Order = IsNew ? State.Random() : Target.Order;
    Target.Host = Host;
    if (Target.LeavingUntil > Now.Boot) {
      Target.Host.State = host_state::Leaving;
    }
    Target.Listed = true;
  }
  std::erase_if(State.Targets, [](const auto &Entry) {
    return !Entry.second.Listed && Entry.second.Running.empty();
  });
  rebuildIndex(State, Now.Boot);
  refreshCapacity(State);
  updateMembers(State, Event, Now);
  dispatchQueued(State, Now, Effects);
}

void onSettingsLoaded(dispatcher_state &State, const settings_loaded &Event,
                      instant Now, effects &Effects) {
  if (Event.Settings.Revision > State.Settings.Revision) {
    useSettings(State, Event.Settings, Now, Effects);
  }
}

/// @returns whether queued tasks may start after it
bool fireTimer(dispatcher_state &State, const timer &Timer, instant Now,
               effects &Effects) {
  switch (Timer.Kind) {
  case timer_kind::Deadline:
    onDeadline(State, Timer.Key, Now, Effects);
    return true;
  case timer_kind::Wait:
    onWaitOver(State, Timer.Key, Now, Effects);
    return false;
  case timer_kind::Dispatch:
    return true;
  case timer_kind::RenewLeases:
    onRenewLeases(State, Now, Effects);
    return false;
  case timer_kind::Heartbeat:
    onHeartbeatTimer(State, Now, Effects);
    return false;
  case timer_kind::Shares:
    onShareTimer(State, Now);
    return true;
  case timer_kind::Retry:
    onRetryDue(State, Timer.Key, Timer.Task, Now);
    return true;
  }
  return false;
}

/// Fires all timers that are due, and then dispatches once.
void fireDueTimers(dispatcher_state &State, instant Now, effects &Effects) {
  bool MayStart = false;
  while (!State.Timers.empty() && State.Timers.begin()->first <= Now.Boot) {
    const timer Timer = std::move(State.Timers.begin()->second);
    State.Timers.erase(State.Timers.begin());
    MayStart = fireTimer(State, Timer, Now, Effects) || MayStart;
  }
  if (MayStart) {
    dispatchQueued(State, Now, Effects);
  }
}

/// Passes each kind of event to its module.
struct event_visitor {
  dispatcher_state &State;
  instant Now;
  effects &Effects;

  void operator()(const session_requested &Event) const {
    onSessionRequested(State, Event, Effects);
  }
  void operator()(const job_submitted &Event) const {
    onJobSubmitted(State, Event, Now, Effects);
  }
  void operator()(const job_queried &Event) const {
    onJobQueried(State, Event, Now, Effects);
  }
  void operator()(const job_cancelled &Event) const {
    onJobCancelled(State, Event, Now, Effects);
  }
  void operator()(const status_requested &Event) const {
    onStatusRequested(State, Event, Now, Effects);
  }
  void operator()(const task_replied &Event) const {
    onTaskReplied(State, Event, Now, Effects);
  }
  void operator()(const leases_answered &Event) const {
    onLeasesAnswered(State, Event, Now, Effects);
  }
  void operator()(const stop_answered &Event) const {
    onStopAnswered(State, Event, Now, Effects);
  }
  void operator()(const claims_received &Event) const {
    onClaimsReceived(State, Event, Now, Effects);
  }
  void operator()(const fetch_received &Event) const {
    onFetchReceived(State, Event, Now, Effects);
  }
  void operator()(const heartbeat_received &Event) const {
    onHeartbeatReceived(State, Event, Now, Effects);
  }
  void operator()(const claims_answered &Event) const {
    onClaimsAnswered(State, Event, Now, Effects);
  }
  void operator()(const fetch_answered &Event) const {
    onFetchAnswered(State, Event, Now, Effects);
  }
  void operator()(const heartbeat_answered &Event) const {
    onHeartbeatAnswered(State, Event, Now);
  }
  void operator()(const peer_input_refused &Event) const {
    State.Figures.Reasons.add(Event.Reason);
  }
  void operator()(const hosts_listed &Event) const {
    onHostsListed(State, Event, Now, Effects);
  }
  void operator()(const settings_loaded &Event) const {
    onSettingsLoaded(State, Event, Now, Effects);
  }
  void operator()(const settings_offered &Event) const {
    onSettingsOffered(State, Event, Now, Effects);
  }
  void operator()(const settings_unreadable &Event) const {
    onSettingsUnreadable(State, Event, Effects);
  }
  void operator()(const store_contact &Event) const {
    onStoreContact(State, Event, Now, Effects);
  }
  void operator()(const reason_counted &Event) const {
    State.Figures.Reasons.add(Event.Reason);
  }
  void operator()(const shutdown_requested & /*Event*/) const {
    State.ShuttingDown = true;
    announceLeaving(State, Effects);
  }
  void operator()(const timer_fired & /*Event*/) const {}
};

/// Tells once that nothing is in flight after a shutdown was asked for.
void tellShutdown(dispatcher_state &State, effects &Effects) {
  const bool IsIdle = State.RunningJobs == 0 && State.RunningTasks == 0;
  if (State.ShuttingDown && IsIdle && !State.ShutdownTold) {
    State.ShutdownTold = true;
    Effects.emplace_back(shutdown_finished{});
  }
}
} // namespace

void dispatcher_deleter::operator()(dispatcher_state *State) const {
  delete State;
}

dispatcher makeDispatcher(const dispatcher_init &Init) {
  dispatcher State(new dispatcher_state(Init));
  State->Settings = defaultSettings(Init.Self.FailureDomain);
  State->Random.seed(Init.RandomSeed);
  State->Peers.Claims.Rules = Init.Rules;
  State->Peers.Asks.Rules = Init.Rules;
  configureTeams(*State, {});
  return State;
}

void useSettings(dispatcher_state &State, settings_tree Tree, instant Now,
                 effects &Effects) {
  State.Settings = std::move(Tree);
  configureTeams(State, Now);
  dispatchQueued(State, Now, Effects);
}

void setTimer(dispatcher_state &State, boot_time When, timer_kind Kind,
              std::string Key, std::uint32_t Task) {
  State.Timers.emplace(When, timer{Kind, std::move(Key), Task});
}

std::vector<effect> reduce(dispatcher_state &State, const event &Event,
                           instant Now) {
  effects Effects;
  std::visit(event_visitor{State, Now, Effects}, Event);
  fireDueTimers(State, Now, Effects);
  tellShutdown(State, Effects);
  retireEndedJobs(State, Now);
  return Effects;
}

std::optional<boot_time> nextTimer(const dispatcher_state &State) {
  if (State.Timers.empty()) {
    return std::nullopt;
  }
  return State.Timers.begin()->first;
}

dispatcher_figures figures(const dispatcher_state &State) {
  dispatcher_figures Figures = State.Figures;
  Figures.TasksQueued = State.Queues.size().Tasks;
  Figures.TasksRunning = State.RunningTasks;
  Figures.JobsKept = State.Jobs.size() + State.Answers.size();
  Figures.Targets = State.Targets.size();
  Figures.SettingsRevision = State.Settings.Revision;
  return Figures;
}

} // namespace tarragonbridge
