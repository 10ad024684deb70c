// Cancelled jobs.
#include "cases.h"

namespace standin {

namespace {
constexpr std::int64_t CancelMs = 3'000; // bounds.cancel_ms

/// @returns the starts of a job's tasks later than cancel_ms after its
/// cancelling was acknowledged (UNASKED)
std::vector<std::string> startsAfterCancel(run_log &Runs, const std::string &Id,
                                           std::int64_t AckedAt) {
  std::vector<std::string> Found;
  for (const run_entry &Run : Runs.entries()) {
    if (Run.Task.starts_with(Id) && Run.BeganAt > AckedAt + CancelMs) {
      Found.push_back("UNASKED " + Run.Task + " starts on " + Run.Worker + " " +
                      std::to_string(Run.BeganAt - AckedAt) +
                      " ms after its cancelling was acknowledged");
    }
  }
  return Found;
}
} // namespace

int runCancelledDuplicate(const std::string &Folder, bool HasTrouble) {
  deployment &World = *new deployment(
      {{"marmara-topkapi", 2, 4}, {"marmara-ikitelli", 2, 4}}, Folder);
  if (!World.start()) {
    return giveUp(World);
  }
  deployment::host &Host = World.hostOf("marmara-topkapi");
  const job Job{jobId(1), 2, 6'800, 3'000, 10'000};
  attempt First(World, Host, Job);
  sleepMs(500);
  cancel(World, Host, Job.Id);
  const std::int64_t AckedAt = nowMs();
  First.await();
  sleepUntil(AckedAt + CancelMs + 1'000);
  if (HasTrouble) {
    attempt Duplicate(World, Host, Job);
    Duplicate.await();
  }
  sleepMs(500);
  return report(World, startsAfterCancel(World.runs(), Job.Id, AckedAt));
}

int runCancelElsewhere(const std::string &Folder, bool HasTrouble) {
  deployment &World = *new deployment(
      {{"marmara-topkapi", 2, 4}, {"marmara-ikitelli", 2, 4}}, Folder);
  if (!World.start()) {
    return giveUp(World);
  }
  deployment::host &Host = World.hostOf("marmara-topkapi", 0);
  deployment::host &Other = World.hostOf("marmara-topkapi", 1);
  const job Job{jobId(1), 2, 6'800, 6'000, 12'000};
  attempt First(World, Host, Job);
  sleepMs(500);
  const int Status = cancel(World, HasTrouble ? Other : Host, Job.Id);
  const std::int64_t AckedAt = nowMs();
  First.await();
  sleepMs(500);
  std::vector<std::string> Broken;
  for (const run_entry &Run : World.runs().entries()) {
    const std::int64_t After = Run.EndedAt - AckedAt;
    if (Status / 100 == 2 || Status == 410) {
      if (Run.Task.starts_with(Job.Id) && After > CancelMs + 50) {
        Broken.push_back("UNASKED " + Run.Task + " runs on until " +
                         std::to_string(After) +
                         " ms after its cancelling was acknowledged");
      }
    }
  }
  return report(World, Broken);
}

} // namespace standin
