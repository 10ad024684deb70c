/// Costs of queues, shares and task starts in the reducer.
#include "tarragonbridge/dispatcher.h"
#include "tarragonbridge/shares.h"
#include "tarragonbridge/team_queues.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace tarragonbridge {
namespace {
constexpr int Teams = 44;
constexpr std::uint32_t SlotsPerTarget = 8;
constexpr std::size_t TasksPerJob = 10;
constexpr instant Start{boot_time(std::chrono::hours(1)),
                        wall_time(std::chrono::hours(400'000))};

std::string teamName(int Number) { return "team-" + std::to_string(Number); }

/// One task through the queues of 44 teams with a backlog each.
void serveTask(benchmark::State &Bench) {
  team_queues Queues;
  const auto Push = [&](int Team, std::uint64_t Job) {
    Queues.push({"job-" + std::to_string(Job),
                 teamName(Team),
                 boot_time(microseconds(Job)),
                 TasksPerJob,
                 100,
                 {}});
  };
  std::uint64_t Job = 0;
  for (; Job < static_cast<std::uint64_t>(Bench.range(0)); ++Job) {
    Push(static_cast<int>(Job % Teams), Job);
  }
  for (auto _ : Bench) {
    int Left = TasksPerJob;
    Queues.serve([&](const std::string &, std::uint32_t) {
      return Left-- > 0
                 ? offer_result{offer_outcome::Started, milliseconds(100), 10}
                 : offer_result{offer_outcome::TeamBound, {}, 0};
    });
    Push(static_cast<int>(Job % Teams), Job);
    ++Job;
  }
  Bench.counters["time_per_task"] = benchmark::Counter(
      TasksPerJob, benchmark::Counter::kIsIterationInvariantRate |
                       benchmark::Counter::kInvert);
}
BENCHMARK(serveTask)->Arg(100)->Arg(1'000)->Arg(10'000);

/// One division of a limit between hosts.
void divide(benchmark::State &Bench) {
  std::vector<share_member> Members;
  Members.reserve(Bench.range(0));
  for (int Index = 0; Index < Bench.range(0); ++Index) {
    Members.push_back(
        {"host-" + std::to_string(Index),
         share_demand{static_cast<std::uint64_t>(Index) * 7, 0, 1}});
  }
  for (auto _ : Bench) {
    benchmark::DoNotOptimize(divideLimit({"limit", 800, 0}, Members));
  }
}
BENCHMARK(divide)->Arg(8)->Arg(40);

/// A dispatcher with targets and teams.
struct loaded_dispatcher {
  dispatcher State = makeDispatcher({{"d", "h", 7}, "", 1});
  std::uint64_t NextJob = 0;

  explicit loaded_dispatcher(std::int64_t Targets) {
    settings_tree Tree = defaultSettings("d");
    Tree.Revision = 1;
    for (int Team = 0; Team < Teams; ++Team) {
      Tree.Teams[teamName(Team)] = {};
    }
    reduce(*State, settings_loaded{Tree}, Start);
    hosts_listed Listed;
    for (std::int64_t Index = 0; Index < Targets; ++Index) {
      host_entry Host;
      Host.Name = "target-" + std::to_string(Index);
      Host.FailureDomain = "d";
      Host.Slots = SlotsPerTarget;
      Host.Capacity = {30, 65'536, 0};
      Host.Connections = 60;
      Listed.Hosts.push_back(Host);
    }
    reduce(*State, Listed, Start);
  }

  std::vector<effect> submit() {
    job_request Job;
    Job.Key = formatSession({"d", "h", 7}, 1) + "." + std::to_string(NextJob);
    Job.Team = teamName(static_cast<int>(NextJob++ % Teams));
    Job.SubmittedAt = Start.Wall;
    Job.TimeLimit = milliseconds(600'000);
    Job.Tasks.resize(TasksPerJob, task_request{"null", std::nullopt, {}});
    return reduce(*State, job_submitted{request_handle{1}, Job, true}, Start);
  }
};

/// One start and one reply with all slots taken and a backlog: 100 jobs.
void startTask(benchmark::State &Bench) {
  loaded_dispatcher Dispatcher(Bench.range(0));
  std::vector<start_task> Out;
  std::size_t Next = 0;
  const auto Collect = [&](std::vector<effect> Effects) {
    for (effect &Effect : Effects) {
      if (auto *Task = std::get_if<start_task>(&Effect)) {
        Out.push_back(std::move(*Task));
      }
    }
  };
  const auto Backlog = 100 * TasksPerJob;
  while (figures(*Dispatcher.State).TasksQueued < Backlog) {
    Collect(Dispatcher.submit());
  }
  for (auto _ : Bench) {
    if (Next % TasksPerJob == 0) {
      Collect(Dispatcher.submit());
    }
    const start_task &Task = Out[Next++];
    Collect(reduce(*Dispatcher.State,
                   task_replied{Task.Target,
                                Task.Id,
                                {reply_kind::Done, reason::Count, "1", ""}},
                   Start));
  }
}
BENCHMARK(startTask)->Arg(50)->Arg(500)->Arg(1'700)->Iterations(20'000);

/// Bytes that a queued task adds, its job's part with it.
void queuedBytes(benchmark::State &Bench) {
  constexpr int Jobs = 5'000;
  for (auto _ : Bench) {
    loaded_dispatcher Dispatcher(1);
    Dispatcher.submit();
    const std::size_t Before = mallinfo2().uordblks;
    for (int Job = 0; Job < Jobs; ++Job) {
      Dispatcher.submit();
    }
    Bench.counters["bytes_per_task"] =
        static_cast<double>(mallinfo2().uordblks - Before) /
        (Jobs * TasksPerJob);
  }
}
BENCHMARK(queuedBytes)->Iterations(1);
} // namespace
} // namespace tarragonbridge

BENCHMARK_MAIN();
