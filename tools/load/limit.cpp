#include "load/limit.h"

#include <algorithm>
#include <set>

namespace tarragonbridge {

namespace {
struct slot {
  double Speed = 1;
  microseconds FreeAt{};
};

/// A job with tasks that wait, the longest one last.
struct waiting_job {
  std::size_t Index = 0;
  microseconds WorkLeft{};
  std::vector<microseconds> Tasks;
};

microseconds runTime(microseconds AtSpeedOne, double Speed) {
  return std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double, std::micro>(AtSpeedOne) / Speed);
}

waiting_job makeWaiting(const planned_job &Job, std::size_t Index) {
  waiting_job Waiting;
  Waiting.Index = Index;
  for (const planned_task &Task : Job.Tasks) {
    Waiting.Tasks.emplace_back(Task.Run);
    Waiting.WorkLeft += Task.Run;
  }
  std::sort(Waiting.Tasks.begin(), Waiting.Tasks.end());
  return Waiting;
}

/// One schedule under construction.
class offline_schedule {
public:
  explicit offline_schedule(const std::vector<target_shape> &Targets) {
    for (const target_shape &Target : Targets) {
      Slots.insert(Slots.end(), Target.Slots, slot{Target.Speed, {}});
    }
  }

  void add(waiting_job Job) { Waiting.push_back(std::move(Job)); }

  /// Starts what ends first on a slot that is free now.
  void startTasks(microseconds Now, std::vector<microseconds> &Ends) {
    std::vector<microseconds> Busy;
    for (const slot &Slot : Slots) {
      Busy.push_back(std::max(Slot.FreeAt, Now));
    }
    std::sort(Waiting.begin(), Waiting.end(),
              [](const waiting_job &Left, const waiting_job &Right) {
                return Left.WorkLeft < Right.WorkLeft;
              });
    for (waiting_job &Job : Waiting) {
      if (!hasFreeSlot(Busy, Now)) {
        break;
      }
      startTasksOf(Job, Now, Busy, Ends[Job.Index]);
    }
    std::erase_if(Waiting,
                  [](const waiting_job &Job) { return Job.Tasks.empty(); });
  }

  /// @returns the time of the next end, nothing when no task waits for it
  std::optional<microseconds> nextEnd(microseconds Now) const {
    std::optional<microseconds> Next;
    for (const slot &Slot : Slots) {
      if (Slot.FreeAt > Now && (!Next || Slot.FreeAt < *Next)) {
        Next = Slot.FreeAt;
      }
    }
    return Waiting.empty() ? std::nullopt : Next;
  }

private:
  static bool hasFreeSlot(const std::vector<microseconds> &Busy,
                          microseconds Now) {
    return std::any_of(Busy.begin(), Busy.end(),
                       [&](microseconds Until) { return Until <= Now; });
  }

  /// @returns the slot on which a task would end first
  std::size_t bestSlot(microseconds Task,
                       const std::vector<microseconds> &Busy) const {
    std::size_t Best = 0;
    microseconds BestEnd = microseconds::max();
    for (std::size_t Index = 0; Index < Slots.size(); ++Index) {
      const microseconds End = Busy[Index] + runTime(Task, Slots[Index].Speed);
      if (End < BestEnd) {
        Best = Index;
        BestEnd = End;
      }
    }
    return Best;
  }

  /// Tasks that had better wait for a busy slot take it up in Busy only.
  void startTasksOf(waiting_job &Job, microseconds Now,
                    std::vector<microseconds> &Busy, microseconds &JobEnd) {
    std::vector<microseconds> Kept;
    while (!Job.Tasks.empty() && hasFreeSlot(Busy, Now)) {
      const microseconds Task = Job.Tasks.back();
      Job.Tasks.pop_back();
      const std::size_t Best = bestSlot(Task, Busy);
      const bool IsFree = Busy[Best] <= Now;
      Busy[Best] += runTime(Task, Slots[Best].Speed);
      if (!IsFree) {
        Kept.push_back(Task);
        continue;
      }
      Slots[Best].FreeAt = Busy[Best];
      Job.WorkLeft -= Task;
      JobEnd = std::max(JobEnd, Busy[Best]);
    }
    Job.Tasks.insert(Job.Tasks.end(), Kept.rbegin(), Kept.rend());
  }

  std::vector<slot> Slots;
  std::vector<waiting_job> Waiting;
};
} // namespace

microseconds idealResponse(const planned_job &Job,
                           const std::vector<target_shape> &Targets) {
  double Fastest = 0;
  for (const target_shape &Target : Targets) {
    Fastest = std::max(Fastest, Target.Speed);
  }
  milliseconds Longest{};
  for (const planned_task &Task : Job.Tasks) {
    Longest = std::max(Longest, Task.Run);
  }
  return runTime(Longest, Fastest);
}

std::vector<microseconds>
scheduleOffline(const std::vector<planned_job> &Jobs,
                const std::vector<target_shape> &Targets) {
  offline_schedule Schedule(Targets);
  std::vector<microseconds> Ends(Jobs.size());
  microseconds Now{};
  std::size_t Next = 0;
  while (true) {
    const std::optional<microseconds> End = Schedule.nextEnd(Now);
    const bool HasArrival = Next < Jobs.size();
    if (!End && !HasArrival) {
      break;
    }
    if (HasArrival && (!End || Jobs[Next].At <= *End)) {
      Now = std::max(Now, Jobs[Next].At);
      Schedule.add(makeWaiting(Jobs[Next], Next));
      ++Next;
    } else {
      Now = *End;
    }
    Schedule.startTasks(Now, Ends);
  }
  for (std::size_t Index = 0; Index < Jobs.size(); ++Index) {
    Ends[Index] -= Jobs[Index].At;
  }
  return Ends;
}

} // namespace tarragonbridge
