// A worker restarts under its id just after the time of day of its machine
// jumped back, so that the start of the new life lies before that of the old.
#include "cases.h"

namespace standin {

int runClockBack(const std::string &Folder, bool HasTrouble) {
  constexpr std::int64_t StepMs = 2'400;  // by which the time of day jumps
  constexpr std::int64_t DrainMs = 2'000; // bounds.drainMs
  constexpr std::int64_t LargeCpu = 24'000;
  constexpr std::int64_t SmallCpu = 16'000;
  deployment &World = *new deployment({{"marmara-topkapi", 2, 3},
                                       {"marmara-ikitelli", 2, 3},
                                       {"marmara-gebze", 1, 3},
                                       {"marmara-bursa", 1, 2}},
                                      Folder);
  if (!World.start()) {
    return giveUp(World);
  }
  deployment::host &Host = World.hostOf("marmara-bursa");
  worker_init Init;
  Init.Id = "i-7f3a91c2";
  Init.Zone = "marmara-bursa";
  Init.Kind = "b";
  Init.Cpu = LargeCpu;
  worker &Restarted = World.addWorker(Init);
  Restarted.begin(HasTrouble ? StepMs : 0);
  sleepMs(1'000);
  Restarted.crash();
  sleepMs(300);
  Restarted.setKind("a");
  Restarted.setCpu(SmallCpu);
  Restarted.begin(); // its clock is right again
  const std::int64_t RestartedAt = nowMs();
  // Whatever was done by the old capacity before all hosts had the time to hear
  // of the restart isn't judged.
  sleepMs(4'000);
  constexpr int Jobs = 9; // more than the zone's workers take at once
  std::vector<std::unique_ptr<attempt>> Attempts;
  std::uint64_t Number = 0;
  const auto Submit = [&](std::int64_t WorkMs, std::int64_t LimitMs) {
    const job Job{jobId(++Number), 1, 6'800, WorkMs, LimitMs};
    Attempts.push_back(std::make_unique<attempt>(World, Host, Job));
    sleepMs(10);
  };
  for (int Count = 0; Count < Jobs; ++Count) {
    Submit(500, 1'500);
  }
  for (const auto &Attempt : Attempts) {
    Attempt->await();
  }
  Attempts.clear();
  sleepMs(2'000);
  Restarted.drain();
  const std::int64_t DrainingAt = nowMs();
  sleepMs(DrainMs + 1'000);
  for (int Count = 0; Count < Jobs; ++Count) {
    Submit(500, 1'500);
  }
  for (const auto &Attempt : Attempts) {
    Attempt->await();
  }
  std::vector<std::string> Broken = startsOverCapacity(
      World.runs(), [&](const std::string &Worker, std::int64_t At) {
        const bool IsSmall = Worker != Restarted.id() || At > RestartedAt;
        return IsSmall ? SmallCpu : LargeCpu;
      });
  for (const run_entry &Run : World.runs().entries()) {
    if (Run.Worker == Restarted.id() && Run.BeganAt > DrainingAt + DrainMs) {
      Broken.push_back("DRAIN " + Run.Task + " starts on " + Run.Worker + " " +
                       std::to_string(Run.BeganAt - DrainingAt) +
                       " ms after the store accepted that it is draining");
    }
  }
  World.log().line(Restarted.id() + " was held " +
                   std::to_string(Restarted.holds()) + " times");
  return report(World, Broken);
}

} // namespace standin
