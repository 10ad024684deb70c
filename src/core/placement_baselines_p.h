/// Baselines that the product's own placement is measured against.
#pragma once

#include "core/placement_p.h"

namespace tarragonbridge {

struct random_placement {
  target_record *choose(dispatcher_state &State,
                        const placement_request &Request) const;
};
struct round_robin_placement {
  target_record *choose(dispatcher_state &State,
                        const placement_request &Request) const;
};
struct power_of_two_placement {
  target_record *choose(dispatcher_state &State,
                        const placement_request &Request) const;
};

static_assert(placement_policy<random_placement> &&
              placement_policy<round_robin_placement> &&
              placement_policy<power_of_two_placement>);

} // namespace tarragonbridge
