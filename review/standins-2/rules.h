/// The rules that the cases judge, by what the workers saw.
#pragma once

#include "deployment.h"

namespace standin {

/// @returns pairs of runs of one task that ran at the same time (TWICE)
inline std::vector<std::string> runsAtTheSameTime(run_log &Runs) {
  std::vector<std::string> Found;
  const std::vector<run_entry> Entries = Runs.entries();
  const std::int64_t Now = nowMs();
  const auto EndOf = [&](const run_entry &Run) {
    return Run.EndedAt == 0 ? Now : Run.EndedAt;
  };
  for (std::size_t A = 0; A < Entries.size(); ++A) {
    for (std::size_t B = A + 1; B < Entries.size(); ++B) {
      const run_entry &First = Entries[A];
      const run_entry &Second = Entries[B];
      const std::int64_t From = std::max(First.BeganAt, Second.BeganAt);
      const std::int64_t Until = std::min(EndOf(First), EndOf(Second));
      if (First.Task == Second.Task && From < Until) {
        Found.push_back("TWICE task " + First.Task + ": run " +
                        std::to_string(First.Run) + " on " + First.Worker +
                        " and run " + std::to_string(Second.Run) + " on " +
                        Second.Worker + " from " + std::to_string(From) +
                        " to " + std::to_string(Until) + " ms");
      }
    }
  }
  return Found;
}

/// @returns the starts that brought a worker over its capacity (LIMIT)
/// @param[in] CapacityAt capacity of a worker at a time
template <class Capacity>
std::vector<std::string> startsOverCapacity(run_log &Runs,
                                            Capacity &&CapacityAt) {
  std::vector<std::string> Found;
  const std::vector<run_entry> Entries = Runs.entries();
  for (const run_entry &Start : Entries) {
    std::int64_t Used = 0;
    for (const run_entry &Other : Entries) {
      const bool IsThere =
          Other.Worker == Start.Worker && Other.BeganAt <= Start.BeganAt &&
          &Other <= &Start &&
          (Other.EndedAt == 0 || Other.EndedAt > Start.BeganAt);
      Used += IsThere ? Other.Cpu : 0;
    }
    const std::int64_t Room = CapacityAt(Start.Worker, Start.BeganAt);
    if (Used > Room) {
      Found.push_back("LIMIT the start of " + Start.Task + " on " +
                      Start.Worker + " at " + std::to_string(Start.BeganAt) +
                      " ms brings it to " + std::to_string(Used) + " of " +
                      std::to_string(Room));
    }
  }
  return Found;
}

} // namespace standin
