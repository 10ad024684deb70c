/// Follows the store: the host list and the settings.
#pragma once

#include "daemon/event_loop.h"
#include "platform/store_follower.h"

#include <functional>
#include <map>
#include <string>

namespace tarragonbridge {

/// Keys of the store below which settings are kept.
constexpr std::string_view SettingsPrefix = "tarragonbridge/settings/";

class platform_watch {
public:
  using event_sink = std::function<void(event &&)>;

  platform_watch(const store_client &Store, event_sink Sink);
  ~platform_watch();
  platform_watch(const platform_watch &) = delete;
  platform_watch &operator=(const platform_watch &) = delete;

private:
  follower_events hostEvents();
  follower_events settingsEvents();
  void readHost(const store_entry &Entry);
  void tellHosts();
  /// Adds the document of a key to an offer.
  void readSettings(const store_entry &Entry, settings_offered &Offer);

  event_sink Sink;
  std::map<std::string, host_entry> Hosts; ///< by key; of the Hosts follower
  store_follower HostFollower;
  store_follower SettingsFollower;
};

} // namespace tarragonbridge
