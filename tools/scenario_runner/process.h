/// Processes that a scenario starts, signals and waits for.
#pragma once

#include "tarragonbridge/time.h"

#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tarragonbridge {

/// The child processes of a runner. All that are left end with it.
class process_table {
public:
  process_table() = default;
  ~process_table();
  process_table(const process_table &) = delete;
  process_table &operator=(const process_table &) = delete;

  /// Starts a process.
  ///
  /// @param[in] Arguments program and its arguments
  /// @param[in] LogFile appended with its output
  /// @returns its number, or -1
  pid_t start(const std::vector<std::string> &Arguments,
              const std::string &LogFile);

  /// Sends a signal to a process that this table started.
  ///
  /// @returns false for any other process, or one that has ended
  bool signal(pid_t Process, int Signal);

  /// Waits for the end of a process.
  ///
  /// @returns its exit code, minus the signal that ended it, or nothing when
  /// it still runs after Bound
  std::optional<int> wait(pid_t Process, milliseconds Bound);

private:
  std::optional<int> reap(pid_t Process);

  /// Exit code of each process, nothing while it runs.
  std::map<pid_t, std::optional<int>> Processes;
};

} // namespace tarragonbridge
