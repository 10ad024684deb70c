/// Events of the platform: its host list and the settings in its store.
#pragma once

#include "tarragonbridge/settings.h"
#include "tarragonbridge/target.h"

#include <vector>

namespace tarragonbridge {

struct hosts_listed {
  std::vector<host_entry> Hosts;
};
struct settings_loaded {
  settings_tree Settings;
};

} // namespace tarragonbridge
