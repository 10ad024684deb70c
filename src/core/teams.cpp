#include "core/teams_p.h"

#include "core/entry_shares_p.h"

#include <algorithm>

namespace tarragonbridge {

const team_settings &settingsOf(const dispatcher_state &State,
                                std::string_view Team) {
  static const team_settings Defaults;
  const auto Found = State.Settings.Teams.find(Team);
  return Found == State.Settings.Teams.end() ? Defaults : Found->second;
}

milliseconds timeLimitOf(const dispatcher_state &State,
                         const job_request &Job) {
  return Job.TimeLimit > milliseconds::zero()
             ? Job.TimeLimit
             : settingsOf(State, Job.Team).DefaultTimeLimit;
}

void configureTeams(dispatcher_state &State, instant Now) {
  for (const auto &[Name, Settings] : State.Settings.Teams) {
    const team_limits &Limits = Settings.Limits;
    State.Queues.configure(Name, Settings.Urgency,
                           {Limits.MaxQueuedTasks, Limits.MaxQueuedBytes});
  }
  refreshShares(State, Now);
}

void noteNeeds(dispatcher_state &State, const job_record &Job,
               std::uint32_t Begin, std::uint32_t End) {
  resources Smallest = State.Queues.size().Tasks == 0
                           ? Job.Tasks[Begin].Request.Needs
                           : State.SmallestNeeds;
  for (std::uint32_t Task = Begin; Task < End; ++Task) {
    const resources &Needs = Job.Tasks[Task].Request.Needs;
    Smallest = {std::min(Smallest.Cores, Needs.Cores),
                std::min(Smallest.MemoryMb, Needs.MemoryMb),
                std::min(Smallest.Accelerators, Needs.Accelerators)};
  }
  State.SmallestNeeds = Smallest;
}

} // namespace tarragonbridge
