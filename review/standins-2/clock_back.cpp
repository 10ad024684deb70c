// A worker restarts under its id just after the time of day of its machine
// jumped back, so that the start of the new life lies before that of the old.
#include "cases.h"

namespace standin {

int runClockBack(const std::string &Folder, bool HasTrouble) {
  constexpr std::int64_t StepMs = 2'400; // by which the time of day jumps
  constexpr std::int64_t FirstLifeMs = 1'000;
  constexpr std::int64_t DownMs = 300;
  deployment &World = *new deployment({{"marmara-topkapi", 2, 4},
                                       {"marmara-ikitelli", 2, 4},
                                       {"marmara-gebze", 1, 4},
                                       {"marmara-bursa", 1, 3}},
                                      Folder);
  if (!World.start()) {
    return giveUp(World);
  }
  deployment::host &Host = World.hostOf("marmara-bursa");
  worker_init Init;
  Init.Id = "i-7f3a91c2";
  Init.Zone = "marmara-bursa";
  worker &Restarted = World.addWorker(Init);
  Restarted.begin(HasTrouble ? StepMs : 0);
  sleepMs(FirstLifeMs);
  Restarted.crash();
  sleepMs(DownMs);
  Restarted.begin(); // its clock is right again
  // Short and long jobs by turns fill the zone's workers, this one too.
  constexpr int Pairs = 8;
  std::vector<std::unique_ptr<attempt>> Attempts;
  std::uint64_t Number = 0;
  for (int Pair = 0; Pair < Pairs; ++Pair) {
    const job Short{jobId(++Number), 1, 6'800, 300, 1'500};
    const job Long{jobId(++Number), 1, 6'800, 6'000, 20'000};
    Attempts.push_back(std::make_unique<attempt>(World, Host, Short));
    Attempts.push_back(std::make_unique<attempt>(World, Host, Long));
  }
  for (const auto &Attempt : Attempts) {
    Attempt->await();
  }
  sleepMs(500);
  World.log().line(Restarted.id() + " was held " +
                   std::to_string(Restarted.holds()) + " times in its life");
  return report(World, runsAtTheSameTime(World.runs()));
}

} // namespace standin
