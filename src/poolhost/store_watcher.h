/// Watches the configuration, targets and hosts in the platform's store, and
/// keeps this host registered there under a lease.
#pragma once

#include "platform/wire.h"
#include "poolhost/async_http_client.h"
#include "tarragonbridge/pool/events.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace tarragonbridge::poolhost {

struct store_watcher_init {
  std::string StoreAddress;
  pool::member_record Self;
};

class store_watcher {
public:
  using event_handler = std::function<void(pool::event &&)>;
  /// Called with the key of an item that can't be decoded, and the reason.
  using invalid_item_handler =
      std::function<void(const std::string &Key, const std::string &Reason)>;

  store_watcher(async_http_client &Calls, store_watcher_init Init,
                event_handler OnEvent, invalid_item_handler OnFault);

  /// Sends the requests that are due.
  void onTimer(boot_time Now);
  boot_time nextDue() const;
  /// Revokes the registration's lease, and stops renewing it.
  void unregister();
  /// Reads the configuration in addition to its watch, which may miss a change.
  void rereadConfiguration();

  std::uint64_t requestCount() const { return RequestCount; }
  std::uint64_t failedCalls() const { return FailedCalls; }

private:
  /// A prefix of keys that is read as a snapshot and then watched.
  struct watched_prefix {
    std::string Prefix;
    milliseconds Wait{};        ///< long-poll wait of a watch
    milliseconds Pause{};       ///< from a watch's response to the next watch
    std::uint64_t Revision = 0; ///< 0: a snapshot has to be read
    std::string PageAfter;
    platform::store_items Pages; ///< of the snapshot, read so far
    boot_time DueAt;
    bool IsUnderway = false;
    milliseconds Backoff{};
  };

  void call(platform::http_request Call, milliseconds Timeout,
            async_http_client::completion Done);
  void readOrWatch(watched_prefix &Followed);
  void onRange(watched_prefix &Followed, const received_response &Result);
  void onWatch(watched_prefix &Followed, const received_response &Result);
  void onFailure(watched_prefix &Followed);
  void deliver(const watched_prefix &Followed,
               const platform::store_items &Items, bool IsWhole);
  template <class Listed, class Read>
  void deliverEntries(const watched_prefix &Followed,
                      const platform::store_items &Items, bool IsWhole,
                      Read &&ReadEntry);
  /// Evicts removed targets, and all of them before a snapshot.
  void forgetTargets(const platform::store_items &Items, bool IsWhole);
  /// Decodes a target's item, or returns the cached record if the item is
  /// equivalent to the last one: targets write heartbeats all the time.
  std::optional<pool::target_record>
  readTarget(const platform::store_item &Item, std::string &Fault);
  void deliverConfiguration(const platform::store_item &Item);
  void renewOrRegister();
  void grant();
  void write();
  void noteContact(bool IsReachable);

  struct known_target {
    std::string Entry;
    pool::target_record Record;
  };

  async_http_client &Client;
  store_watcher_init Init;
  event_handler OnEvent;
  invalid_item_handler OnFault;
  watched_prefix Configuration;
  watched_prefix Targets;
  watched_prefix Members;
  std::map<std::string, known_target> KnownTargets; ///< by key
  bool RereadIsUnderway = false;
  std::uint64_t ConfigurationRevision = 0; ///< of the last delivery
  boot_time MemberDueAt;
  bool MemberIsUnderway = false;
  bool IsShuttingDown = false;
  std::uint64_t Lease = 0; ///< 0: none
  bool IsWritten = false;  ///< under the lease
  std::uint32_t FailuresInARow = 0;
  bool WasReachable = false;
  bool NewConnection = false;
  std::uint64_t RequestCount = 0;
  std::uint64_t FailedCalls = 0;
  std::map<std::string, std::uint64_t> FaultyRevisions; ///< already reported
};

} // namespace tarragonbridge::poolhost
