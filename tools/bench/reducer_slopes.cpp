/// Prints what the reducer costs by the number of targets: processor time for a
/// task from submission to reply, and bytes kept for each target, job and task.
#include "tarragonbridge/dispatcher.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <malloc.h>

using namespace tarragonbridge;

namespace {
constexpr std::uint32_t SlotsPerTarget = 8;
constexpr std::uint32_t TasksPerJob = 10;
constexpr std::size_t JobCount = 4'000;
constexpr double LoadOfSlots = 0.8;
constexpr microseconds StepBetweenEvents{5};

const session_home Self{"curepipe", "cp-1", 7};

std::size_t bytesInUse() { return mallinfo2().uordblks; }

std::vector<host_entry> makeTargets(std::size_t Count) {
  std::vector<host_entry> Targets(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    host_entry &Target = Targets[Index];
    Target.Name = "t" + std::to_string(Index);
    Target.FailureDomain = "curepipe";
    Target.Rack = "r" + std::to_string(Index / SlotsPerTarget);
    Target.Address = "10.0.0.1:" + std::to_string(Index);
    Target.Slots = SlotsPerTarget;
    Target.Capacity = {30, 65'536, 0};
    Target.Connections = 60;
  }
  return Targets;
}

job_request makeJob(std::size_t Number, wall_time SubmittedAt) {
  job_request Job;
  Job.Key = formatSession(Self, 1) + "." + std::to_string(Number);
  Job.Team = "default";
  Job.Class = "quote";
  Job.SubmittedAt = SubmittedAt;
  Job.TimeLimit = milliseconds(600'000);
  Job.Digest = Number;
  for (std::uint32_t Task = 0; Task < TasksPerJob; ++Task) {
    Job.Tasks.push_back(
        {R"({"role":"extra","days":2})", milliseconds(100), {}});
  }
  return Job;
}

/// Drives one dispatcher at a steady load and answers every start in order.
class steady_run {
public:
  explicit steady_run(std::size_t TargetCount)
      : Dispatcher(makeDispatcher({Self, "127.0.0.1:8080", 1})),
        MostRunning(static_cast<std::size_t>(static_cast<double>(TargetCount) *
                                             SlotsPerTarget * LoadOfSlots)) {
    apply(hosts_listed{makeTargets(TargetCount)});
  }

  void submitAll() {
    for (std::size_t Number = 1; Number <= JobCount; ++Number) {
      apply(job_submitted{request_handle(Number), makeJob(Number, Now.Wall),
                          false});
      while (Running.size() > MostRunning) {
        replyToOldest();
      }
    }
    while (Starts < JobCount * TasksPerJob || !Running.empty()) {
      if (Running.empty()) {
        waitForTimer();
      } else {
        replyToOldest();
      }
    }
  }

  std::size_t starts() const { return Starts; }

private:
  void apply(const event &Event) {
    Now.Boot += StepBetweenEvents;
    for (effect &Effect : reduce(*Dispatcher, Event, Now)) {
      if (auto *Start = std::get_if<start_task>(&Effect)) {
        Running.push_back(std::move(*Start));
        ++Starts;
      }
    }
  }

  /// Lets time pass until a task that was held back may start.
  void waitForTimer() {
    Now.Boot = std::max(Now.Boot, *nextTimer(*Dispatcher));
    apply(timer_fired{});
  }

  void replyToOldest() {
    const start_task Start = std::move(Running.front());
    Running.pop_front();
    apply(task_replied{Start.Target,
                       Start.Id,
                       {reply_kind::Done, reason::Count, R"({"rate":1})", ""}});
  }

  dispatcher Dispatcher;
  std::size_t MostRunning;
  instant Now{boot_time(std::chrono::hours(1)),
              wall_time(milliseconds(1'790'000'000'000))};
  std::deque<start_task> Running;
  std::size_t Starts = 0;
};

void measure(std::size_t TargetCount) {
  const std::size_t Before = bytesInUse();
  steady_run Run(TargetCount);
  const std::size_t WithTargets = bytesInUse();
  const auto Began = std::chrono::steady_clock::now();
  Run.submitAll();
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Began;
  const std::size_t WithAnswers = bytesInUse();
  const auto PerTarget = (WithTargets - Before) / TargetCount;
  const auto PerTask = (WithAnswers - WithTargets) / (JobCount * TasksPerJob);
  std::printf("%8zu %12zu %14.2f %18zu %16zu\n", TargetCount, Run.starts(),
              Took.count() / static_cast<double>(Run.starts()), PerTarget,
              PerTask);
}
} // namespace

int main() {
  std::printf("%8s %12s %14s %18s %16s\n", "targets", "starts", "us/start",
              "bytes/target", "bytes/kept task");
  constexpr std::array<std::size_t, 4> Sizes{50, 170, 500, 1'700};
  for (const std::size_t Size : Sizes) {
    measure(Size);
  }
  return 0;
}
