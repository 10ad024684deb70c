#include "daemon/platform_watch.h"

#include "base/log.h"
#include "core/json_reader.h"

namespace tarragonbridge {

namespace {
constexpr std::string_view HostsPrefix = "platform/hosts/";
constexpr std::string_view SettingsPrefix = "tarragonbridge/settings/";

void logFault(std::string_view Event, const error &Error) {
  logEvent(
      Event,
      {{"step", Error.Step}, {"peer", Error.Peer}, {"message", Error.Message}});
}

/// @returns the "settings" part of a stored value, which also tells of its edit
std::string settingsPart(const std::string &Value) {
  const json_document Document(Value, json_comments::Allowed);
  const bool HasPart =
      Document.isValid() && Document.root().isMember("settings");
  return HasPart ? std::string(Document.textOf(Document.root()["settings"]))
                 : Value;
}
} // namespace

platform_watch::platform_watch(store_client Store, std::string FailureDomain,
                               event_sink Sink)
    : Store(std::move(Store)), FailureDomain(std::move(FailureDomain)),
      Sink(std::move(Sink)) {
  Thread = posix_thread("platform", [this] { run(); });
}

platform_watch::~platform_watch() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Ready.notify_one();
  Thread.join();
}

void platform_watch::run() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    readSettings();
    readHosts();
    Lock.lock();
    Ready.wait_for(Lock, config::StorePollInterval,
                   [this] { return Stopping; });
  }
}

void platform_watch::readHosts() {
  tryOr(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Range, Store.range(HostsPrefix));
        hosts_listed Event;
        for (const store_entry &Entry : Range.Entries) {
          const std::string Name = Entry.Key.substr(HostsPrefix.size());
          tryOr(
              [&]() -> result<void> {
                BOOST_LEAF_AUTO(Host, parseHostEntry(Name, Entry.Value));
                Event.Hosts.push_back(std::move(Host));
                return {};
              },
              [](const error &Error) {
                logFault("host_entry_ignored", Error);
              });
        }
        Sink(std::move(Event));
        return {};
      },
      [](const error &Error) { logFault("host_list_failed", Error); });
}

void platform_watch::readSettings() {
  tryOr(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Range, Store.range(SettingsPrefix));
        std::vector<settings_document> Documents;
        std::int64_t Revision = 0;
        for (const store_entry &Entry : Range.Entries) {
          Documents.push_back({Entry.Key.substr(SettingsPrefix.size()),
                               settingsPart(Entry.Value)});
          Revision = std::max(Revision, Entry.ModRevision);
        }
        if (Documents.empty()) {
          return {};
        }
        BOOST_LEAF_AUTO(Tree,
                        parseSettings(Revision, Documents, FailureDomain));
        Sink(settings_loaded{std::move(Tree)});
        return {};
      },
      [](const error &Error) { logFault("settings_failed", Error); });
}

} // namespace tarragonbridge
