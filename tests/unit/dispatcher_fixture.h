/// A dispatcher under test, driven by events at given times.
#pragma once

#include "tarragonbridge/dispatcher.h"

#include <string>
#include <vector>

namespace tarragonbridge {

/// Collects the effects of one kind.
template <class T> std::vector<T> only(const std::vector<effect> &Effects) {
  std::vector<T> Found;
  for (const effect &Effect : Effects) {
    if (const T *Match = std::get_if<T>(&Effect)) {
      Found.push_back(*Match);
    }
  }
  return Found;
}

class dispatcher_fixture {
public:
  explicit dispatcher_fixture(dispatcher_init Given = {})
      : Init(std::move(Given)) {
    Init.Self = {"curepipe", "cp-1", 7};
    State = makeDispatcher(Init);
  }

  std::vector<effect> apply(const event &Event) {
    return reduce(*State, Event, {Now, wall_time(Epoch + sinceStart())});
  }

  /// Lets time pass, firing every timer when it is due.
  std::vector<effect> advance(milliseconds Step) {
    std::vector<effect> All;
    const boot_time Until = Now + Step;
    for (auto Due = nextTimer(*State); Due && *Due <= Until;
         Due = nextTimer(*State)) {
      Now = std::max(Now, *Due);
      for (effect &Effect : apply(timer_fired{})) {
        All.push_back(std::move(Effect));
      }
    }
    Now = Until;
    return All;
  }

  static host_entry target(const std::string &Name, std::uint32_t Slots) {
    host_entry Host;
    Host.Name = Name;
    Host.FailureDomain = "curepipe";
    Host.Address = Name + ":1";
    Host.Slots = Slots;
    Host.Capacity = {64, 65'536, 0};
    return Host;
  }

  std::vector<effect> submit(const std::string &Number, bool Repeatable,
                             std::size_t Tasks = 1) {
    job_request Job;
    Job.Key = formatSession(Init.Self, 1) + "." + Number;
    Job.Team = "default";
    Job.Class = "quote";
    Job.SubmittedAt = wall_time(Epoch + sinceStart());
    Job.TimeLimit = milliseconds(30'000);
    Job.Repeatable = Repeatable;
    Job.Tasks.resize(Tasks);
    return apply(job_submitted{request_handle{1}, Job});
  }

  std::vector<effect> reply(const start_task &Start, reply_kind Kind,
                            reason Reason = reason::Count) {
    return apply(task_replied{
        Start.Target, Start.Id, {Kind, Reason, "1", "told by the target"}});
  }

  std::uint64_t count(reason Reason) const {
    return figures(*State).Reasons.get(Reason);
  }

  dispatcher_init Init;
  dispatcher State;
  boot_time Now{milliseconds(1'000)};

private:
  static constexpr milliseconds Epoch{1'790'000'000'000};
  milliseconds sinceStart() const {
    return std::chrono::floor<milliseconds>(Now.time_since_epoch());
  }
};

} // namespace tarragonbridge
