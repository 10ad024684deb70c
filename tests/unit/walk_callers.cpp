#include "walk_callers.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace tarragonbridge::pool {

namespace {
constexpr milliseconds ResubmitDelay{1'300}; ///< after a break or a 504
constexpr milliseconds RetryDelay{50}; ///< while the host chosen doesn't run
} // namespace

walk_callers::walk_callers(pool_simulation &Simulation, std::mt19937_64 &Random,
                           std::size_t Hosts, std::uint64_t JobsPerLongJob)
    : Simulation(Simulation), Random(Random), Hosts(Hosts),
      JobsPerLongJob(JobsPerLongJob), Favourite(Random() % Hosts) {}

milliseconds walk_callers::between(milliseconds From, milliseconds To) {
  return From + milliseconds(Random() %
                             static_cast<std::uint64_t>((To - From).count()));
}

void walk_callers::submitNew() { submitTo(chooseHost(), makeJob()); }

std::string walk_callers::describeOpen() const {
  return Callers.empty() ? ""
                         : "CALLERS: " + std::to_string(Callers.size()) +
                               " without a response, first " +
                               Callers.front().Job.Id + "\n";
}

/// @returns the host that most callers use, or another one: a host with more
/// jobs than its own targets can run sends many messages
std::size_t walk_callers::chooseHost() {
  constexpr std::uint64_t JobsPerJobElsewhere = 3;
  return Random() % JobsPerJobElsewhere == 0 ? Random() % Hosts : Favourite;
}

simulated_job walk_callers::makeJob() {
  const bool IsLong = Random() % JobsPerLongJob == 0;
  simulated_job Job{"j" + std::to_string(++LastJobNumber),
                    static_cast<std::uint32_t>(1 + Random() % 4)};
  Job.RunTime = IsLong ? between(1s, 3s) : between(20ms, 60ms);
  return Job;
}

void walk_callers::submitTo(std::size_t Host, const simulated_job &Job) {
  if (Simulation.isRunning(Host)) {
    Callers.push_back(
        {Job, Host, Simulation.submit(Host, Job), Simulation.now(), {}});
  }
}

void walk_callers::update() {
  for (auto Entry = Callers.begin(); Entry != Callers.end();) {
    caller &Caller = *Entry;
    noteBreak(Caller);
    if (Caller.ResubmitAt && *Caller.ResubmitAt <= Simulation.now()) {
      resubmit(Caller);
    }
    const bool IsDone =
        !Caller.ResubmitAt && Simulation.responseOf(Caller.Request);
    Entry = IsDone ? Callers.erase(Entry) : std::next(Entry);
  }
}

/// Records that a caller got a 504 or that its host has died.
void walk_callers::noteBreak(caller &Caller) {
  if (Caller.ResubmitAt) {
    return;
  }
  const auto Response = Simulation.responseOf(Caller.Request);
  const boot_time EndedAt = Simulation.endedAt(Caller.Host);
  if (Response == response_kind::JobAbandoned) {
    Caller.ResubmitAt = Caller.SubmittedAt +
                        Simulation.responseTime(Caller.Request) + ResubmitDelay;
  } else if (!Response && EndedAt >= Caller.SubmittedAt) {
    Caller.ResubmitAt = EndedAt + ResubmitDelay;
  }
}

void walk_callers::resubmit(caller &Caller) {
  const std::size_t Host = (Caller.Host + 1 + Random() % (Hosts - 1)) % Hosts;
  if (!Simulation.isRunning(Host)) {
    Caller.ResubmitAt = Simulation.now() + RetryDelay;
    return;
  }
  Caller.Host = Host;
  Caller.Request = Simulation.submit(Host, Caller.Job);
  Caller.SubmittedAt = Simulation.now();
  Caller.ResubmitAt.reset();
}

/// Some callers disconnect, to submit their jobs elsewhere.
void walk_callers::leave() {
  constexpr std::size_t MaxLeaving = 4;
  std::vector<caller *> Open;
  for (caller &Caller : Callers) {
    noteBreak(Caller);
    if (!Caller.ResubmitAt && !Simulation.responseOf(Caller.Request)) {
      Open.push_back(&Caller);
    }
  }
  std::shuffle(Open.begin(), Open.end(), Random);
  Open.resize(std::min(Open.size(), 1 + Random() % MaxLeaving));
  for (caller *Caller : Open) {
    Simulation.disconnect(Caller->Host, Caller->Request);
    Caller->ResubmitAt = Simulation.now() + ResubmitDelay;
  }
}

} // namespace tarragonbridge::pool
