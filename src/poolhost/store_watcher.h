/// Follows the platform's store: configuration, targets and entry hosts, and
/// keeps this host registered under a lease.
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
  /// Told of entries that can't be used, with the reason.
  using invalid_item_handler =
      std::function<void(const std::string &Key, const std::string &Reason)>;

  store_watcher(async_http_client &Calls, store_watcher_init Init,
                event_handler OnEvent, invalid_item_handler OnFault);

  /// Sends the calls that are due.
  void onTimer(boot_time Now);
  boot_time nextDue() const;
  /// Gives the registration back.
  void unregister();
  /// Reads the configuration beside the watch.
  void rereadConfiguration();

  std::uint64_t requestCount() const { return RequestCount; }
  std::uint64_t failedCalls() const { return FailedCalls; }

private:
  /// Reads a prefix whole, then watches it.
  struct watched_prefix {
    std::string Prefix;
    milliseconds Wait{};        ///< of a watch
    milliseconds Pause{};       ///< between watches
    std::uint64_t Revision = 0; ///< 0: to be read whole
    std::string PageAfter;
    platform::store_items Pages; ///< read so far
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
  /// Forgets what is removed, and all before a whole reading.
  void forgetTargets(const platform::store_items &Items, bool IsWhole);
  /// Decodes an entry unless it tells the same as before: targets report all
  /// the time.
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
  std::uint64_t ConfigurationRevision = 0; ///< delivered last
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
  std::map<std::string, std::uint64_t> FaultyRevisions; ///< told already
};

} // namespace tarragonbridge::poolhost
