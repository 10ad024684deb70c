// A host that is alone in its zone stands still and wakes again. The client of
// one of its jobs has left meanwhile and handed the job in at another host.
#include "cases.h"

namespace standin {

int runResumedHost(const std::string &Folder, bool HasTrouble) {
  deployment &World = *new deployment({{"marmara-topkapi", 2, 4},
                                       {"marmara-ikitelli", 2, 4},
                                       {"marmara-gebze", 1, 12},
                                       {"marmara-bursa", 1, 12}},
                                      Folder);
  if (!World.start()) {
    return giveUp(World);
  }
  deployment::host &Frozen = World.hostOf("marmara-gebze");
  deployment::host &Other = World.hostOf("marmara-bursa");
  // A quarter of the clients leave, as in the site file.
  constexpr std::size_t Clients = 12;
  constexpr std::size_t Leaving = 3;
  constexpr std::int64_t FreezeMs = 2'000;
  constexpr std::int64_t LeaveAfterMs = 300;
  constexpr std::int64_t ResendMs = 1'300; // bounds.resendMs
  std::vector<job> Jobs;
  std::vector<std::unique_ptr<attempt>> Attempts;
  for (std::size_t Number = 1; Number <= Clients; ++Number) {
    Jobs.push_back({jobId(Number), 1, 6'800, 3'000, 10'000});
    Attempts.push_back(std::make_unique<attempt>(World, Frozen, Jobs.back()));
  }
  sleepMs(400);
  const std::int64_t FrozenAt = nowMs();
  if (HasTrouble) {
    World.signal(Frozen, SIGSTOP);
  }
  sleepUntil(FrozenAt + LeaveAfterMs);
  for (std::size_t Index = 0; Index < Leaving; ++Index) {
    Attempts[Index]->leave();
  }
  sleepUntil(FrozenAt + LeaveAfterMs + ResendMs);
  for (std::size_t Index = 0; Index < Leaving; ++Index) {
    Attempts[Index] = std::make_unique<attempt>(World, Other, Jobs[Index]);
  }
  sleepUntil(FrozenAt + FreezeMs);
  if (HasTrouble) {
    World.signal(Frozen, SIGCONT);
  }
  for (const auto &Attempt : Attempts) {
    Attempt->await();
  }
  sleepMs(500);
  return report(World, runsAtTheSameTime(World.runs()));
}

} // namespace standin
