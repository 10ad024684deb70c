#include "core/dispatch_p.h"

#include "core/attempts_p.h"
#include "core/placement_p.h"

namespace tarragonbridge {

namespace {
bool isStillQueued(const dispatcher_state &State, const queue_entry &Entry) {
  const auto Found = State.Jobs.find(Entry.Key);
  return Found != State.Jobs.end() &&
         Found->second.Phase == job_phase::Running &&
         Found->second.Tasks[Entry.Task].Phase == task_phase::Queued;
}

/// Starts tasks of one team in order until one finds no target.
void dispatchTeam(dispatcher_state &State, std::deque<queue_entry> &Queue,
                  instant Now, effects &Effects) {
  while (!Queue.empty()) {
    const queue_entry Entry = Queue.front();
    if (!isStillQueued(State, Entry)) {
      Queue.pop_front();
      continue;
    }
    job_record &Job = State.Jobs.at(Entry.Key);
    const task_record &Task = Job.Tasks[Entry.Task];
    target_record *Target = chooseTarget(State, Job, Task, Now);
    if (Target == nullptr) {
      return;
    }
    Queue.pop_front();
    startAttempt(State, Job, Entry.Task, *Target, Now, Effects);
  }
}
} // namespace

void enqueueTask(dispatcher_state &State, const job_record &Job,
                 std::uint32_t Task) {
  State.Queues[Job.Team].push_back({Job.Key, Task});
  ++State.QueuedTasks;
}

void enqueueJob(dispatcher_state &State, const job_record &Job) {
  for (std::uint32_t Task = 0; Task < Job.Tasks.size(); ++Task) {
    enqueueTask(State, Job, Task);
  }
}

void dispatchQueued(dispatcher_state &State, instant Now, effects &Effects) {
  for (auto &[Team, Queue] : State.Queues) {
    dispatchTeam(State, Queue, Now, Effects);
  }
}

} // namespace tarragonbridge
