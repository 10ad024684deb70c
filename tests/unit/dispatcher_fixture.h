/// A dispatcher with listed targets, driven by hand.
#pragma once

#include "tarragonbridge/dispatcher.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace tarragonbridge {

/// @returns the effects of one kind
template <class T> std::vector<T> only(const std::vector<effect> &Effects) {
  std::vector<T> Found;
  for (const effect &Effect : Effects) {
    if (const T *Match = std::get_if<T>(&Effect)) {
      Found.push_back(*Match);
    }
  }
  return Found;
}

/// Feeds events and keeps what came of them.
struct dispatcher_fixture {
  dispatcher State = makeDispatcher({{"curepipe", "cp-1", 7}, "", 1});
  instant Now{boot_time(std::chrono::hours(1)),
              wall_time(std::chrono::hours(400'000))};
  std::vector<start_task> Started;
  std::vector<stop_task> Stopped;
  std::vector<answer_request> Answers;

  std::vector<effect> apply(const event &Event) {
    std::vector<effect> Effects = reduce(*State, Event, Now);
    for (const effect &Effect : Effects) {
      if (const auto *Start = std::get_if<start_task>(&Effect)) {
        Started.push_back(*Start);
      } else if (const auto *Stop = std::get_if<stop_task>(&Effect)) {
        Stopped.push_back(*Stop);
      } else if (const auto *Answer = std::get_if<answer_request>(&Effect)) {
        Answers.push_back(*Answer);
      }
    }
    return Effects;
  }

  /// Lets time pass and fires each timer when it is due.
  std::vector<effect> advance(milliseconds Time) {
    std::vector<effect> All;
    const instant Until{Now.Boot + Time, Now.Wall + Time};
    while (true) {
      const auto Due = nextTimer(*State);
      if (!Due || *Due > Until.Boot) {
        break;
      }
      if (*Due > Now.Boot) {
        Now.Boot = *Due;
        Now.Wall =
            Until.Wall - std::chrono::floor<milliseconds>(Until.Boot - *Due);
      }
      for (effect &Effect : apply(timer_fired{})) {
        All.push_back(std::move(Effect));
      }
    }
    Now = Until;
    return All;
  }

  /// Lists targets, and other entry hosts of the same failure domain.
  void listTargets(int Count, std::uint32_t Slots, resources Capacity,
                   int OtherEntries = 0) {
    hosts_listed Event;
    for (int Index = 0; Index < OtherEntries; ++Index) {
      host_entry Host;
      Host.Name = "other-" + std::to_string(Index);
      Host.Role = host_role::Entry;
      Host.FailureDomain = "curepipe";
      Host.PeerAddress = "127.0.0.1:1";
      Event.Hosts.push_back(Host);
    }
    for (int Index = 0; Index < Count; ++Index) {
      host_entry Host;
      Host.Name = "t" + std::to_string(Index);
      Host.FailureDomain = "curepipe";
      Host.Slots = Slots;
      Host.Capacity = Capacity;
      Host.Connections = Slots;
      Event.Hosts.push_back(Host);
    }
    apply(Event);
  }

  static std::string keyOf(int Number) {
    return formatSession({"curepipe", "cp-1", 7}, 1) + "." +
           std::to_string(Number);
  }

  job_submitted job(int Number, const std::string &Team, std::size_t Tasks,
                    resources Needs = {}) const {
    job_request Job;
    Job.Key = keyOf(Number);
    Job.Team = Team;
    Job.SubmittedAt = Now.Wall;
    Job.TimeLimit = milliseconds(60'000);
    Job.Tasks.resize(Tasks, task_request{"null", std::nullopt, Needs});
    return {request_handle{1}, Job, true};
  }

  /// Submits a job of one task of team "default".
  std::vector<effect> submit(int Number, bool Repeatable) {
    job_submitted Event = job(Number, "default", 1);
    Event.Async = false;
    Event.Job.Class = "quote";
    Event.Job.Repeatable = Repeatable;
    return apply(Event);
  }

  std::vector<effect> reply(const start_task &Start, reply_kind Kind,
                            reason Reason = reason::Count) {
    return apply(task_replied{
        Start.Target, Start.Id, {Kind, Reason, "1", "told by the target"}});
  }

  std::uint64_t count(reason Reason) const {
    return figures(*State).Reasons.get(Reason);
  }

  /// Answers a started task as done.
  void finish(const start_task &Task) {
    apply(task_replied{
        Task.Target, Task.Id, {reply_kind::Done, reason::TargetLost, "1", ""}});
  }

  void
  loadTeams(const std::vector<std::pair<std::string, team_settings>> &All) {
    settings_tree Tree = defaultSettings("curepipe");
    Tree.Revision = figures(*State).SettingsRevision + 1;
    for (const auto &[Name, Settings] : All) {
      Tree.Teams[Name] = Settings;
    }
    apply(settings_loaded{Tree});
  }

  std::size_t countStarted(int Number) const {
    return std::count_if(
        Started.begin(), Started.end(),
        [&](const start_task &Task) { return Task.Id.Key == keyOf(Number); });
  }
};

} // namespace tarragonbridge
