/// Events of the platform's host list.
#pragma once

#include "tarragonbridge/target.h"

#include <vector>

namespace tarragonbridge {

struct hosts_listed {
  std::vector<host_entry> Hosts;
};

} // namespace tarragonbridge
