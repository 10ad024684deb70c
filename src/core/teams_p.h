/// Teams as this host knows them: limits, urgencies and needs.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// @returns the limits in a team's settings
team_limits limitsOf(const team_settings &Settings);

/// Takes over urgencies, bounds and limits of teams from the settings.
void configureTeams(dispatcher_state &State, instant Now);

/// Notes the needs of a job that is about to be queued.
void noteNeeds(dispatcher_state &State, const job_record &Job);

} // namespace tarragonbridge
