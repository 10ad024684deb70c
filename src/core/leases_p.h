/// Leases of attempts: renewals in one batch for each target, and their end.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

void onLeasesAnswered(dispatcher_state &State, const leases_answered &Event,
                      instant Now, effects &Effects);

/// Renews leases, repeats stops without an answer and settles attempts whose
/// lease is over.
void onRenewLeases(dispatcher_state &State, instant Now, effects &Effects);

} // namespace tarragonbridge
