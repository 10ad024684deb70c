#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

const route *findRoute(const configuration &Configuration,
                       std::string_view HostName, std::string_view Path) {
  const route *Best = nullptr;
  for (const route &Route : Configuration.Routes) {
    if (Route.HostName == HostName && Path.starts_with(Route.PathPrefix) &&
        (Best == nullptr ||
         Route.PathPrefix.size() > Best->PathPrefix.size())) {
      Best = &Route;
    }
  }
  return Best;
}

} // namespace tarragonbridge::pool
