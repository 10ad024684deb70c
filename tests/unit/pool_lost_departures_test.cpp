/// Callers whose hosts don't notice that they leave: the network has lost the
/// end of their connection. They submit their jobs again, to any host.
#include "pool_simulation.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
constexpr milliseconds ResubmitDelay{1'300};
constexpr milliseconds TimeLimit{1'500}; ///< of all jobs
constexpr std::size_t Callers = 8;
constexpr std::size_t Leaving = 3;
constexpr std::size_t Host = 0; ///< that the callers leave

struct departure_case {
  std::string Name;
  /// How long the host stands still each time, from 40 ms after the submission
  /// on, with 50 ms in between.
  std::vector<milliseconds> Pauses{};
  milliseconds LeavesAfter{80};
  std::uint32_t Tasks = 1; ///< of a job
  std::size_t Hosts = 3;
  std::size_t Domains = 1;
  std::size_t ResubmittedTo = 1;
  double LateStops = 0; ///< fraction that stays unanswered
  std::size_t TargetsPerDomain = 12;
};

simulation_init worldOf(const departure_case &Case, std::uint64_t Seed) {
  simulation_init Init;
  Init.Hosts = Case.Hosts;
  Init.Domains = Case.Domains;
  Init.TargetsPerDomain = Case.TargetsPerDomain;
  Init.Seed = Seed;
  Init.ResumesWithTimers = true;
  if (std::getenv("TRACE_DEPARTURES") != nullptr) {
    Init.Trace = [](boot_time At, const std::string &Line) {
      std::cout << std::chrono::duration<double>(At.time_since_epoch()).count()
                << " " << Line << "\n";
    };
  }
  return Init;
}

simulated_job jobOf(const departure_case &Case, std::size_t Number) {
  simulated_job Job{"j" + std::to_string(Number), Case.Tasks};
  Job.RunTime = 1'490ms;
  Job.EstimatedRunTime = 900ms;
  Job.TimeLimit = TimeLimit;
  return Job;
}

/// Callers of one host, of which the first few leave it unnoticed.
class departures {
public:
  departures(const departure_case &Case, std::uint64_t Seed)
      : Case(Case), World(worldOf(Case, Seed)) {}

  /// @param[in] Faults of requests to targets up to the resubmission
  void play(request_faults Faults = {}) {
    constexpr milliseconds FirstPauseAfter{40};
    constexpr milliseconds BetweenPauses{50};
    World.settle();
    for (std::size_t Number = 0; Number < Callers; ++Number) {
      Requests.push_back(World.submit(Host, jobOf(Case, Number)));
    }
    SubmittedAt = World.now();
    World.loseDisconnections(Host);
    World.setRequestFaults(Faults);
    milliseconds PauseAt = FirstPauseAfter;
    for (const milliseconds PauseTime : Case.Pauses) {
      runUntil(PauseAt);
      World.pause(Host);
      runUntil(PauseAt + PauseTime);
      World.resume(Host);
      PauseAt += PauseTime + BetweenPauses;
    }
    Faults.LateStops = Case.LateStops;
    World.setRequestFaults(Faults);
    runUntil(Case.LeavesAfter + ResubmitDelay);
    for (std::size_t Number = 0; Number < Leaving; ++Number) {
      Resubmitted.push_back(
          World.submit(Case.ResubmittedTo, jobOf(Case, Number)));
    }
    World.runFor(400ms);
    World.setRequestFaults({});
    World.runFor(4s);
  }

  std::string violations() { return World.violations(); }
  /// @returns how many of the callers that stayed were served
  std::size_t servedStaying() const {
    return servedOf({Requests.begin() + Leaving, Requests.end()});
  }
  std::size_t servedResubmitted() const { return servedOf(Resubmitted); }

private:
  std::size_t servedOf(const std::vector<request_handle> &Of) const {
    return static_cast<std::size_t>(
        std::count_if(Of.begin(), Of.end(), [&](request_handle Request) {
          return World.responseOf(Request) == response_kind::JobDone;
        }));
  }

  /// Runs up to a time after the submission. Those that leave do so on the way.
  void runUntil(milliseconds Time) {
    const boot_time LeaveAt = SubmittedAt + Case.LeavesAfter;
    if (!HasLeft && LeaveAt <= SubmittedAt + Time) {
      runTo(LeaveAt);
      HasLeft = true;
      for (std::size_t Number = 0; Number < Leaving; ++Number) {
        World.disconnect(Host, Requests[Number]);
      }
    }
    runTo(SubmittedAt + Time);
  }

  void runTo(boot_time Time) {
    if (Time > World.now()) {
      World.runFor(
          std::chrono::duration_cast<microseconds>(Time - World.now()));
    }
  }

  departure_case Case;
  pool_simulation World;
  boot_time SubmittedAt;
  bool HasLeft = false;
  std::vector<request_handle> Requests;
  std::vector<request_handle> Resubmitted;
};
} // namespace

// Guards against TWICE: a host goes on with the tasks of a caller that it
// doesn't know to have left, beside those of the caller's resubmission. Those
// that stayed are served all the same.
TEST_CASE("a job of a caller that left unnoticed doesn't run beside its "
          "resubmission",
          "[pool]") {
  const departure_case Case = GENERATE(values<departure_case>({
      {"no pause"},
      {"a pause that isn't noticed", {200ms}},
      {"a short pause", {500ms}},
      {"a pause that withdraws no job yet", {700ms}},
      {"several pauses", {240ms, 240ms, 240ms}},
      {"an owner on another host", {500ms}, 80ms, 1, 2, 2},
      {"jobs of several tasks", {500ms}, 80ms, 2},
      {"stops that stay unanswered", {500ms}, 80ms, 1, 3, 1, 1, 1.0},
      {"the same host", {}, 80ms, 1, 3, 1, 0},
      {"many hosts", {500ms}, 80ms, 1, 12},
      {"a departure at once", {500ms}, 41ms},
  }));
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U);
  CAPTURE(Case.Name, Seed);
  departures Departures(Case, Seed);
  Departures.play();
  CHECK_THAT(Departures.violations(), Catch::Equals(""));
  CHECK(Departures.servedStaying() == Callers - Leaving);
}

// Guards against TWICE: tasks of a left job that aren't simply running when the
// job comes back.
TEST_CASE("a left job that is queued or in doubt doesn't run beside its "
          "resubmission",
          "[pool]") {
  struct trouble_case {
    std::string Name;
    std::uint32_t Tasks = 1;
    std::size_t TargetsPerDomain = 12;
    double LateStarts = 0;
    double LostResponses = 0;
    double Unhealthy = 0;
  };
  const trouble_case Case = GENERATE(values<trouble_case>({
      {"most tasks queued", 3, 2},
      {"starts carried out late", 2, 12, 0.3},
      {"responses lost", 2, 12, 0, 0.3},
      {"starts refused", 2, 12, 0, 0, 0.3},
      {"queued and in doubt", 3, 3, 0.2, 0.2, 0.1},
  }));
  const std::size_t ResubmittedTo = GENERATE(0U, 1U);
  const milliseconds PauseTime = GENERATE(0ms, 500ms);
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 6));
  CAPTURE(Case.Name, ResubmittedTo, PauseTime.count(), Seed);
  departure_case Departure{Case.Name, {}, 80ms,         Case.Tasks,
                           3,         1,  ResubmittedTo};
  Departure.TargetsPerDomain = Case.TargetsPerDomain;
  if (PauseTime > 0ms) {
    Departure.Pauses = {PauseTime};
  }
  departures Departures(Departure, Seed);
  request_faults Faults;
  Faults.LateStarts = Case.LateStarts;
  Faults.MaxDelay = 1s;
  Faults.LostResponses = Case.LostResponses;
  Faults.Unhealthy = Case.Unhealthy;
  Faults.ReportsTimeouts = true;
  Departures.play(Faults);
  CHECK_THAT(Departures.violations(), Catch::Equals(""));
}

namespace {
/// A caller leaves host 0 unnoticed, 80 ms after its submission, and submits
/// its job to host 1.
class single_departure {
public:
  explicit single_departure(std::uint64_t Seed)
      : World(worldOf({"", {}, 80ms, 1, 3}, Seed)) {
    World.settle();
    Job.RunTime = 3s;
    World.loseDisconnections(Host);
    const request_handle Request = World.submit(Host, Job);
    World.runFor(80ms);
    World.disconnect(Host, Request);
  }

  /// @param[in] After time since the caller has left
  void resubmit(milliseconds After = ResubmitDelay) {
    const boot_time LeftAt = ResubmitAt - ResubmitDelay;
    runTo(LeftAt + After);
    Again = World.submit(1, Job);
  }
  /// @param[in] After time since the caller has left
  void runUntil(milliseconds After) {
    runTo(ResubmitAt - ResubmitDelay + After);
  }
  std::optional<response_kind> response() const {
    return World.responseOf(Again);
  }

  pool_simulation World;

private:
  void runTo(boot_time Time) {
    World.runFor(std::chrono::duration_cast<microseconds>(Time - World.now()));
  }

  simulated_job Job{"left", 12};
  boot_time ResubmitAt =
      boot_time(std::chrono::seconds(100)) + 1'500ms + 80ms + ResubmitDelay;
  request_handle Again{};
};
} // namespace

// Guards against TWICE: the host that was left ends before the job comes back,
// and its new process knows nothing of it.
TEST_CASE("a left job doesn't run beside its resubmission when its host has "
          "restarted",
          "[pool]") {
  const milliseconds KilledAfter = GENERATE(300ms, 700ms, 1'000ms, 1'250ms);
  const milliseconds DownTime = GENERATE(20ms, 250ms, 3s);
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U);
  CAPTURE(KilledAfter.count(), DownTime.count(), Seed);
  single_departure Departure(Seed);
  Departure.runUntil(KilledAfter);
  Departure.World.kill(Host);
  if (KilledAfter + DownTime < ResubmitDelay) {
    Departure.runUntil(KilledAfter + DownTime);
    Departure.World.restart(Host);
  }
  Departure.resubmit();
  Departure.World.runFor(6s);
  CHECK_THAT(Departure.World.violations(), Catch::Equals(""));
  CHECK(Departure.response() == response_kind::JobDone);
}

// Guards against TWICE: the host that gets the job again stood still, or has
// just started, and doesn't know which jobs are open elsewhere.
TEST_CASE("a host reads which jobs are open elsewhere before it places any",
          "[pool]") {
  const bool IsRestarted = GENERATE(false, true);
  const milliseconds AwayTime = GENERATE(300ms, 700ms, 1'000ms, 1'290ms);
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U);
  CAPTURE(IsRestarted, AwayTime.count(), Seed);
  single_departure Departure(Seed);
  Departure.runUntil(ResubmitDelay - AwayTime);
  if (IsRestarted) {
    Departure.World.kill(1);
  } else {
    Departure.World.pause(1);
  }
  Departure.runUntil(ResubmitDelay);
  if (IsRestarted) {
    Departure.World.restart(1);
  } else {
    Departure.World.resume(1);
  }
  Departure.resubmit();
  Departure.World.runFor(6s);
  CHECK_THAT(Departure.World.violations(), Catch::Equals(""));
  CHECK(Departure.response() == response_kind::JobDone);
}

// Guards against jobs that no other host knows of: a host has more open jobs
// than it may list. Their callers can't be served past the time at which they
// might come back elsewhere.
TEST_CASE("jobs beyond the list of open ones are withdrawn", "[pool]") {
  constexpr std::size_t Excess = 5;
  simulation_init Init = worldOf({"", {}, 80ms, 1, 2}, 1);
  Init.TargetsPerDomain = 220;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job{"", 1};
  Job.RunTime = 1'400ms;
  std::vector<request_handle> Requests;
  for (std::size_t Number = 0; Number < config::MaxListedJobs + Excess;
       ++Number) {
    Job.Id = "j" + std::to_string(Number);
    Requests.push_back(World.submit(0, Job));
    World.runFor(100us);
  }
  World.runFor(3s);
  CHECK(World.count(response_kind::JobDone) == config::MaxListedJobs);
  CHECK(World.count(response_kind::JobAbandoned) == Excess);
  CHECK_THAT(World.violations(), Catch::Equals(""));
}

// Listed in KNOWN-RED.txt: TWICE. Hosts that haven't heard each other for 0.9 s
// don't know of each other's jobs.
TEST_CASE("a left job that comes back to a host cut off from its own: known "
          "red",
          "[pool][!mayfail]") {
  const milliseconds CutBefore = GENERATE(100ms, 1'000ms, 2'000ms);
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U);
  CAPTURE(CutBefore.count(), Seed);
  pool_simulation World(worldOf({"", {}, 80ms, 1, 3}, Seed));
  World.settle();
  World.partitionHosts(0, 1);
  World.runFor(CutBefore);
  World.loseDisconnections(Host);
  simulated_job Job{"left", 1};
  Job.RunTime = 3s;
  const request_handle Request = World.submit(Host, Job);
  World.runFor(80ms);
  World.disconnect(Host, Request);
  World.runFor(ResubmitDelay);
  World.submit(1, Job);
  World.runFor(6s);
  CHECK_THAT(World.violations(), Catch::Equals(""));
}
