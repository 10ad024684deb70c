#include "core/pool/crash_log_p.h"

#include "tarragonbridge/pool/config.h"

namespace tarragonbridge::pool {

void crash_log::add(entry Entry) {
  Entries.push_back(std::move(Entry));
  if (Entries.size() > config::MaxCrashRecords) {
    Entries.pop_front();
  }
}

void crash_log::recordCrash(const task_ref &Task, const std::string &Target,
                            boot_time Now) {
  add({Task, Target, 0, true, true, Now});
}

void crash_log::recordSilence(const task_ref &Task, const std::string &Target,
                              std::int64_t Incarnation, bool IsSuspected,
                              boot_time Now) {
  add({Task, Target, Incarnation, IsSuspected, false, Now});
}

void crash_log::noteRestart(std::string_view Target, std::int64_t Incarnation) {
  for (entry &Entry : Entries) {
    if (Entry.Target == Target && Entry.Incarnation < Incarnation) {
      Entry.IsConfirmed = true;
    }
  }
}

void crash_log::noteResponse(std::string_view Target,
                             std::int64_t Incarnation) {
  std::erase_if(Entries, [&](const entry &Entry) {
    return Entry.Target == Target && Entry.Incarnation == Incarnation;
  });
  noteRestart(Target, Incarnation);
}

void crash_log::noteRemoval(std::string_view Target) {
  for (entry &Entry : Entries) {
    Entry.IsConfirmed = Entry.IsConfirmed || Entry.Target == Target;
  }
}

void crash_log::evictOld(boot_time Now) {
  while (!Entries.empty() &&
         Entries.front().At + config::CrashRetention < Now) {
    Entries.pop_front();
  }
}

void crash_log::addTo(crash_summary &Summary) const {
  for (const entry &Entry : Entries) {
    if (Entry.IsConfirmed || Entry.IsSuspected) {
      Summary[Entry.Task].add(Entry.IsConfirmed);
    }
  }
}

} // namespace tarragonbridge::pool
