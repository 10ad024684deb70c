/// A dispatcher with listed targets, driven by hand.
#pragma once

#include "tarragonbridge/dispatcher.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace tarragonbridge {

/// Feeds events and keeps what came of them.
struct dispatcher_fixture {
  dispatcher State = makeDispatcher({{"curepipe", "cp-1", 7}, "", 1});
  instant Now{boot_time(std::chrono::hours(1)),
              wall_time(std::chrono::hours(400'000))};
  std::vector<start_task> Started;
  std::vector<stop_task> Stopped;
  std::vector<answer_request> Answers;

  void apply(const event &Event) {
    for (effect &Effect : reduce(*State, Event, Now)) {
      if (auto *Start = std::get_if<start_task>(&Effect)) {
        Started.push_back(std::move(*Start));
      } else if (auto *Stop = std::get_if<stop_task>(&Effect)) {
        Stopped.push_back(std::move(*Stop));
      } else if (auto *Answer = std::get_if<answer_request>(&Effect)) {
        Answers.push_back(std::move(*Answer));
      }
    }
  }

  void advance(milliseconds Time) {
    Now = {Now.Boot + Time, Now.Wall + Time};
    apply(timer_fired{});
  }

  void listTargets(int Count, std::uint32_t Slots, resources Capacity) {
    hosts_listed Event;
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
