/// Targets that crashed while tasks ran on them, by task. A task under which
/// several targets have crashed is probably the cause, and isn't started again.
#pragma once

#include "tarragonbridge/pool/peer_messages.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge::pool {

/// The crashes of this host's targets, kept for config::CrashRetention.
class crash_log {
public:
  /// Records that a target restarted while a task ran, or may have run, on it.
  void recordCrash(const task_ref &Task, const std::string &Target,
                   boot_time Now);
  /// Records that a target has been silent since a task was started on it.
  ///
  /// @param[in] IsSuspected false if this host is probably partitioned from its
  /// targets; then only a restart of the target counts
  void recordSilence(const task_ref &Task, const std::string &Target,
                     std::int64_t Incarnation, bool IsSuspected, boot_time Now);
  /// The target runs as a later incarnation: the earlier ones have ended.
  void noteRestart(std::string_view Target, std::int64_t Incarnation);
  /// The target has responded: this incarnation of it was only silent.
  void noteResponse(std::string_view Target, std::int64_t Incarnation);
  /// The platform has removed the target after a silence.
  void noteRemoval(std::string_view Target);
  void evictOld(boot_time Now);

  /// Adds the recorded crashes to a summary.
  void addTo(crash_summary &Summary) const;

private:
  struct entry {
    task_ref Task;
    std::string Target;
    std::int64_t Incarnation = 0; ///< that fell silent
    bool IsSuspected = false;
    bool IsConfirmed = false;
    boot_time At;
  };
  void add(entry Entry);

  std::deque<entry> Entries; ///< oldest first
};

} // namespace tarragonbridge::pool
