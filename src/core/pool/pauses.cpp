#include "core/pool/pauses_p.h"

#include "core/pool/job_completion_p.h"
#include "tarragonbridge/pool/config.h"

namespace tarragonbridge::pool {

bool notePause(reducer_context &Ctx) {
  pause_state &Pause = Ctx.State.Pause;
  const boot_time Last = std::exchange(Pause.LastEventAt, Ctx.Now);
  if (Last == boot_time{} || Last + config::PauseThreshold >= Ctx.Now) {
    return false;
  }
  // Between two pauses that follow each other the departures may not have been
  // read.
  if (!isCheckingCallers(Ctx.State, Last)) {
    Pause.CallersKnownAt = Last;
    for (auto &[Name, Peer] : Ctx.State.Peers) {
      Peer.StateNumberBeforePause = Peer.StateNumber;
    }
  }
  Pause.ResumedAt = Ctx.Now;
  Pause.CallersCheckedBy = Ctx.Now + config::CallerCheckTime;
  Pause.PeersCheckedBy = Ctx.Now + config::PeerCheckTime;
  if (Last + config::JobListPause <= Ctx.Now) {
    Pause.JobListsReadBy = Ctx.Now + config::PeerCheckTime;
  }
  Ctx.count(counter::Pauses);
  Ctx.log("resumed",
          {{"paused_ms", millisecondsText(until(Ctx.Now, Last))},
           {"callers_unknown_ms",
            millisecondsText(until(Ctx.Now, Pause.CallersKnownAt))}});
  withdrawJobs(Ctx, Pause.CallersKnownAt);
  recheckEvacuations(Ctx, until(Ctx.Now, Last));
  for (auto &[Id, OwnedTarget] : Ctx.State.Owner.OwnedTargets) {
    OwnedTarget.onResume(Ctx.Now);
  }
  return true;
}

bool isCheckingCallers(const pool_state &State, boot_time Now) {
  return Now < State.Pause.CallersCheckedBy;
}

bool isCheckingPeers(const pool_state &State, boot_time Now) {
  return Now < State.Pause.PeersCheckedBy;
}

bool isListUnread(const pool_state &State, boot_time ReadAt, boot_time Now) {
  const boot_time ResumedAt = State.Pause.ResumedAt;
  return ResumedAt != boot_time{} && ReadAt < ResumedAt &&
         Now < ResumedAt + config::ResumedListTime;
}

boot_time callersKnownAt(const pool_state &State, boot_time Now) {
  return isCheckingCallers(State, Now) ? State.Pause.CallersKnownAt : Now;
}

} // namespace tarragonbridge::pool
