/// Answers of jobs that other hosts hold.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// @returns whether two identities are processes of the same host
bool isSameHost(const host_identity &Left, const host_identity &Right);

/// Asks the holder of a key on behalf of a caller, who is answered in the end.
void fetchAnswer(dispatcher_state &State, const host_identity &Holder,
                 fetch_ask Ask, const remote_caller &Caller, instant Now,
                 effects &Effects);

/// Asks every host for a key whose home is proved dead.
void searchHolder(dispatcher_state &State, const host_identity &Home,
                  fetch_ask Ask, const remote_caller &Caller, effects &Effects);

void onFetchAnswered(dispatcher_state &State, const fetch_answered &Event,
                     instant Now, effects &Effects);

/// Answers a peer that asks for a job of this host.
void onFetchReceived(dispatcher_state &State, const fetch_received &Event,
                     instant Now, effects &Effects);

} // namespace tarragonbridge
