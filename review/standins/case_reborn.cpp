/// A worker leaves a start unanswered, crashes, is back under its id, and
/// carries the start out. The task must not run twice at the same time.
#include "world.h"

#include <iostream>

using namespace review;

namespace {
const job_kind Quick{"/quick/", 2, 2'000, 200, 1'500};
const job_kind Long{"/long/", 2, 500, 6'000, 20'000};
constexpr double AppliedAfterMs = 3'000;
constexpr double DownMs = 2'790;
constexpr int Rounds = 6;

/// One worker of 14: a start is late, and the worker is down meanwhile.
void disturb(world &World, worker &Worker) {
  World.note("the next start at " + Worker.id() + " is carried out late");
  Worker.delayNextStart(AppliedAfterMs);
  World.runUntil([&] { return Worker.hasDelayedStart(); }, 3'000);
  World.runFor(150); // the order counts as unanswered
  World.note(Worker.id() + " crashes");
  Worker.crash(DownMs);
}
} // namespace

int main(int Count, char **Values) {
  if (Count < 3) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = std::getenv("TROUBLE");
  const bool HasTrouble = Trouble == nullptr || std::string(Trouble) != "0";
  const char *Seed = std::getenv("SEED");
  world_init Init;
  Init.Root = Values[1];
  Init.Folder = Values[2];
  Init.Seed = Seed == nullptr ? 1 : std::stoull(Seed);
  Init.Shares = {1, 1, 1};
  Init.Workers = {4, 5, 5};
  world World(Init);
  if (!World.start()) {
    std::cout << "the deployment didn't start\n";
    return 2;
  }
  World.setTraffic(Quick, 30);
  World.setTraffic(Long, 10);
  World.runFor(5'000);
  for (std::size_t Round = 0; Round < Rounds && World.brokenCount("TWICE") == 0;
       ++Round) {
    if (HasTrouble) {
      disturb(World, *World.workers()[2 * Round + 1]);
    }
    World.runFor(10'000);
  }
  World.note(World.figures());
  std::cout << World.figures() << ", TWICE " << World.brokenCount("TWICE")
            << "\n";
  return World.brokenCount("TWICE") > 0 ? 1 : 0;
}
