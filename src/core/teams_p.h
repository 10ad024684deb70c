/// Teams as this host knows them: limits, urgencies and needs.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// @returns the settings of a team, the defaults for one that has none
const team_settings &settingsOf(const dispatcher_state &State,
                                std::string_view Team);

/// @returns the time limit of a job, its team's default when it names none
milliseconds timeLimitOf(const dispatcher_state &State, const job_request &Job);

/// Takes over urgencies, bounds and limits of teams from the settings.
void configureTeams(dispatcher_state &State, instant Now);

/// Notes the needs of tasks that are about to be queued.
///
/// @param[in] Begin first task of the job
/// @param[in] End one past the last
void noteNeeds(dispatcher_state &State, const job_record &Job,
               std::uint32_t Begin, std::uint32_t End);

} // namespace tarragonbridge
