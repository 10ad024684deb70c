// A host that is alone in its zone stands still and wakes again. The client of
// one of its jobs has left meanwhile and handed the job in at another host.
#include "cases.h"

namespace standin {

int runResumedHost(const std::string &Folder, bool HasTrouble) {
  deployment World({{"marmara-topkapi", 2, 4},
                    {"marmara-ikitelli", 2, 4},
                    {"marmara-gebze", 1, 6},
                    {"marmara-bursa", 1, 4}},
                   Folder);
  if (!World.start()) {
    return CouldNotRun;
  }
  deployment::host &Frozen = World.hostOf("marmara-gebze");
  deployment::host &Other = World.hostOf("marmara-bursa");
  // Four clients, one of which leaves (a quarter).
  constexpr int Clients = 4;
  constexpr std::int64_t FreezeMs = 2'000;
  constexpr std::int64_t ResendMs = 1'300;
  std::vector<job> Jobs;
  std::vector<std::unique_ptr<attempt>> Attempts;
  for (int Number = 1; Number <= Clients; ++Number) {
    Jobs.push_back({jobId(static_cast<std::uint64_t>(Number)), 1, 6'800, 3'000,
                    10'000});
    Attempts.push_back(std::make_unique<attempt>(World, Frozen, Jobs.back()));
  }
  sleepMs(400);
  const std::int64_t FrozenAt = nowMs();
  if (HasTrouble) {
    World.signal(Frozen, SIGSTOP);
  }
  sleepUntil(FrozenAt + 300);
  Attempts[0]->leave();
  sleepUntil(FrozenAt + 300 + ResendMs);
  attempt Second(World, Other, Jobs[0]);
  sleepUntil(FrozenAt + FreezeMs);
  if (HasTrouble) {
    World.signal(Frozen, SIGCONT);
  }
  Second.await();
  for (int Number = 1; Number < Clients; ++Number) {
    Attempts[static_cast<std::size_t>(Number)]->await();
  }
  sleepMs(500);
  return report(World, runsAtTheSameTime(World.runs()));
}

} // namespace standin
