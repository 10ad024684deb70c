/// Watches what operators write, targets and hosts in the platform's store, and
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

  store_watcher(async_http_client &HttpClient, store_watcher_init Init,
                event_handler OnEvent, invalid_item_handler OnInvalidItem);

  /// Sends the requests that are due.
  void onTimer(boot_time Now);
  boot_time nextDueAt() const;
  /// Revokes the registration's lease, and stops renewing it.
  void unregister();
  /// Reads what operators have written in addition to its watch, which may miss
  /// a change.
  ///
  /// @param[in] IsAfterNow whether a read that is in flight doesn't do: its
  /// response may be from before a pause of this process
  void rereadOperatorItems(bool IsAfterNow);

  std::uint64_t requestCount() const { return RequestCount; }
  std::uint64_t failedRequestCount() const { return FailedRequestCount; }

private:
  /// A prefix of keys that is read as a snapshot and then watched.
  struct watched_prefix {
    std::string Prefix;
    milliseconds Wait{}; ///< long-poll wait of a watch
    /// From a watch's response to the next watch, but for late responses.
    milliseconds MinInterval{};
    std::uint64_t Revision = 0; ///< 0: a snapshot has to be read
    std::string PageAfterKey;
    platform::store_items Pages; ///< of the snapshot, read so far
    boot_time DueAt;
    boot_time SentAt; ///< the latest request
    bool IsRequestInFlight = false;
    milliseconds Backoff{};
  };

  void sendRequest(platform::http_request Request, milliseconds Timeout,
                   async_http_client::completion Done);
  void readOrWatch(watched_prefix &Watched);
  void onRange(watched_prefix &Watched, const received_response &Response);
  void onWatch(watched_prefix &Watched, const received_response &Response);
  void onFailure(watched_prefix &Watched);
  void deliver(const watched_prefix &Watched,
               const platform::store_items &Items, bool IsSnapshot);
  template <class Listed, class Decoder>
  void deliverItems(const watched_prefix &Watched,
                    const platform::store_items &Items, bool IsSnapshot,
                    Decoder &&DecodeItem);
  /// Evicts removed targets, and all of them before a snapshot.
  void evictTargets(const platform::store_items &Items, bool IsSnapshot);
  /// Decodes a target's item, or returns the cached record if the item is
  /// equivalent to the last one: targets write heartbeats all the time.
  std::optional<pool::target_record>
  decodeTargetIfChanged(const platform::store_item &Item,
                        std::string &ErrorMessage);
  /// Delivers the configuration and the evacuations.
  ///
  /// @param[in] ReadAt when the store was asked
  void deliverOperatorItems(const platform::store_items &Items, bool IsSnapshot,
                            boot_time ReadAt);
  void deliverEvacuations(const platform::store_items &Items, bool IsSnapshot,
                          boot_time ReadAt);
  /// Reports an item that can't be decoded, unless it was reported before.
  void reportInvalidOnce(const platform::store_item &Item,
                         const std::string &Reason);
  void deliverConfiguration(const platform::store_item &Item);

  /// A read beside the watch, of one or several pages.
  struct reread {
    boot_time SentAt; ///< the first page's request
    platform::store_items Pages;
  };
  void readRereadPage(reread Reread);
  void onReread(reread &&Reread, const received_response &Response);
  void renewOrRegister();
  void grantMemberLease();
  void writeMember();
  /// Notes a pass of the event loop, or a response before the first pass after
  /// a pause.
  void notePause(boot_time Now);
  /// Records what a response, or none, proves of the store.
  void recordResponse(boot_time SentAt, int Status);
  void recordReachability(bool IsReachable);

  struct cached_target {
    std::string ItemValue;
    pool::target_record Record;
  };

  async_http_client &Client;
  store_watcher_init Init;
  event_handler OnEvent;
  invalid_item_handler OnInvalidItem;
  watched_prefix OperatorItems;
  watched_prefix Targets;
  watched_prefix Members;
  std::map<std::string, cached_target> CachedTargets; ///< by key
  std::size_t RereadsInFlight = 0;
  std::uint64_t ConfigurationRevision = 0; ///< of the last delivery
  boot_time MemberDueAt;
  bool IsMemberRequestInFlight = false;
  bool IsShuttingDown = false;
  std::uint64_t Lease = 0;   ///< 0: none
  bool IsRegistered = false; ///< under the lease
  boot_time LastPassAt;      ///< of the event loop, epoch: none yet
  boot_time ResumedAt;       ///< the end of the latest pause, epoch: none yet
  std::uint32_t ConsecutiveFailures = 0;
  bool WasReachable = false;
  bool NewConnection = false;
  std::uint64_t RequestCount = 0;
  std::uint64_t FailedRequestCount = 0;
  /// By key; of operators' items.
  std::map<std::string, std::uint64_t> ReportedInvalidRevisions;
};

} // namespace tarragonbridge::poolhost
