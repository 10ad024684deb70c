/// A host freezes for five seconds. Later a part of the clients leaves and
/// hands its jobs in again. A task must not run twice at the same time.
#include "world.h"

#include <iostream>

using namespace review;

namespace {
const job_kind Quick{"/quick/", 2, 2'000, 200, 1'500};
const job_kind Long{"/long/", 8, 33, 8'000, 20'000};
constexpr double FreezeMs = 5'000;
constexpr double LeavePart = 0.4;
constexpr double LeaveWithinMs = 900;
constexpr double LeaveForMs = 6'000;
constexpr double PauseMs = 1'000;

bool isBroken(const world &World) { return World.brokenCount("TWICE") > 0; }

void freeze(world &World) {
  World.signal(0, SIGSTOP);
  World.runFor(FreezeMs);
  World.signal(0, SIGCONT);
}
} // namespace

int main(int Count, char **Values) {
  if (Count < 3) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = std::getenv("TROUBLE");
  const char *Seed = std::getenv("SEED");
  world_init Init;
  Init.Root = Values[1];
  Init.Folder = Values[2];
  Init.Seed = Seed == nullptr ? 1 : std::stoull(Seed);
  world World(Init);
  if (!World.start()) {
    std::cout << "the deployment didn't start\n";
    return 2;
  }
  World.setTraffic(Quick, 60);
  World.runFor(3'000);
  if (Trouble == nullptr || std::string(Trouble) != "0") {
    freeze(World);
  } else {
    World.runFor(FreezeMs);
  }
  World.runFor(5'000);
  World.setTraffic(Quick, 90);
  World.runFor(15'000);
  World.setTraffic(Quick, 10);
  const double Until = World.elapsedMs() + 75'000;
  while (!isBroken(World) && World.elapsedMs() < Until) {
    World.note("a part of the clients of /long/ leaves from now on");
    World.setTraffic(Long, 48, LeavePart, LeaveWithinMs);
    World.runUntil([&] { return isBroken(World); }, LeaveForMs);
    World.note("no more clients leave");
    World.setTraffic(Long, 48);
    World.runUntil([&] { return isBroken(World); }, PauseMs);
  }
  World.runFor(2'000);
  World.note(World.figures());
  std::cout << World.figures() << ", TWICE " << World.brokenCount("TWICE")
            << "\n";
  return isBroken(World) ? 1 : 0;
}
