/// The reducer's part for settings.
#pragma once

#include "core/state_p.h"

#include <json/json.h>

namespace tarragonbridge {

void onSettingsOffered(dispatcher_state &State, const settings_offered &Event,
                       instant Now, effects &Effects);
void onSettingsUnreadable(dispatcher_state &State,
                          const settings_unreadable &Event, effects &Effects);
void onStoreContact(dispatcher_state &State, const store_contact &Event,
                    instant Now, effects &Effects);

/// Puts a tree in force.
void useSettings(dispatcher_state &State, settings_tree Tree, instant Now,
                 effects &Effects);

/// @returns how settings and store stand, for /v1/status
Json::Value describeSettings(const dispatcher_state &State);

} // namespace tarragonbridge
