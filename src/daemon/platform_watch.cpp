#include "daemon/platform_watch.h"

#include "base/log.h"

namespace tarragonbridge {

namespace {
constexpr std::string_view HostsPrefix = "platform/hosts/";
} // namespace

platform_watch::platform_watch(const store_client &Store, event_sink Sink)
    : Sink(std::move(Sink)),
      HostFollower("host-list", Store, std::string(HostsPrefix), hostEvents()),
      SettingsFollower("settings", Store, std::string(SettingsPrefix),
                       settingsEvents()) {}

platform_watch::~platform_watch() {
  HostFollower.stop();
  SettingsFollower.stop();
}

follower_events platform_watch::hostEvents() {
  return {[this](const store_range &Range) {
            Hosts.clear();
            for (const store_entry &Entry : Range.Entries) {
              readHost(Entry);
            }
            tellHosts();
          },
          [this](const std::vector<store_change> &Changes) {
            for (const store_change &Change : Changes) {
              Hosts.erase(Change.Entry.Key);
              if (!Change.IsDelete) {
                readHost(Change.Entry);
              }
            }
            tellHosts();
          },
          [](bool /*Reached*/, const std::string & /*Message*/) {}};
}

void platform_watch::readHost(const store_entry &Entry) {
  const std::string Name = Entry.Key.substr(HostsPrefix.size());
  tryOr(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Host, parseHostEntry(Name, Entry.Value));
        Hosts.emplace(Entry.Key, std::move(Host));
        return {};
      },
      [](const error &Error) {
        logEvent("host_entry_ignored", {{"step", Error.Step},
                                        {"peer", Error.Peer},
                                        {"message", Error.Message}});
      });
}

void platform_watch::tellHosts() {
  hosts_listed Event;
  for (const auto &[Key, Host] : Hosts) {
    Event.Hosts.push_back(Host);
  }
  Sink(std::move(Event));
}

follower_events platform_watch::settingsEvents() {
  return {[this](const store_range &Range) {
            settings_offered Offer;
            Offer.Peer = "store";
            Offer.IsWhole = true;
            for (const store_entry &Entry : Range.Entries) {
              readSettings(Entry, Offer);
            }
            Sink(std::move(Offer));
          },
          [this](const std::vector<store_change> &Changes) {
            settings_offered Offer;
            Offer.Peer = "store";
            for (const store_change &Change : Changes) {
              if (Change.IsDelete) {
                Offer.Missing.push_back(
                    Change.Entry.Key.substr(SettingsPrefix.size()));
              } else {
                readSettings(Change.Entry, Offer);
              }
            }
            Sink(std::move(Offer));
          },
          [this](bool Reached, const std::string &Message) {
            Sink(store_contact{Reached, Message});
          }};
}

void platform_watch::readSettings(const store_entry &Entry,
                                  settings_offered &Offer) {
  const std::string Path = Entry.Key.substr(SettingsPrefix.size());
  tryOr(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Document, parseStoredDocument(Path, Entry.ModRevision,
                                                      Entry.Value));
        Offer.Snapshot.Documents[Path] = std::move(Document);
        return {};
      },
      [&](const error &Error) {
        Sink(settings_unreadable{Path, Entry.ModRevision, Error.Message});
      });
}

} // namespace tarragonbridge
