/// Client of the platform's store: the etcd v3 JSON API over HTTP.
#pragma once

#include "net/http_client.h"
#include "platform/store_messages.h"
#include "tarragonbridge/error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// Counts of the calls of one host.
struct store_counters {
  std::uint64_t Calls = 0;
  std::uint64_t Failures = 0;
  std::uint64_t OverBudget = 0;
  std::uint64_t WatchesOpened = 0;
  std::uint64_t WatchesSilent = 0; ///< ended for want of any message
};

/// Why a watch ended.
enum class watch_end : std::uint8_t {
  Done,   ///< the handler or KeepGoing ended it
  Silent, ///< nothing was heard for config::WatchSilence
  Cut,    ///< the store ended it
};

/// Takes the messages of a watch. @returns false to end it
using watch_handler = std::function<bool(const watch_message &)>;

/// Calls the store's endpoints in turn, within a budget of calls a second.
///
/// @remarks Copies share the budget, the endpoint in use and the counters.
/// All calls may come from any thread; they block until they are answered or
/// timed out. No call is repeated by the client itself. Errors:
/// - store_unreachable: proved to have had no effect
/// - store_outcome_unknown: a write that may have taken effect, or may yet
/// - store_budget_spent: nothing was sent
class store_client {
public:
  /// @param[in] Client carries the calls; must outlive this object
  /// @param[in] Addresses IP and port of each endpoint, tried in turn
  store_client(http_client &Client, std::vector<std::string> Addresses);

  /// Reads all keys below a prefix.
  result<store_range> range(std::string_view Prefix) const;

  /// Reads one key; its entry is absent when the key doesn't exist.
  result<store_range> get(std::string_view Key) const;

  /// Writes all or nothing. Not succeeding isn't an error: the outcome then
  /// holds the present entries of the compared keys.
  result<store_outcome> txn(const store_transaction &Transaction) const;

  /// Follows a prefix until the handler or KeepGoing ends it, the store ends
  /// it, or nothing was heard for config::WatchSilence.
  ///
  /// @param[in] Prefix of the keys
  /// @param[in] Start first revision to tell
  /// @param[in] Handler called on the client's thread; must not block
  /// @param[in] KeepGoing asked about once a second
  /// @returns an error when the store could not be reached
  result<watch_end> watch(std::string_view Prefix, std::int64_t Start,
                          watch_handler Handler,
                          std::function<bool()> KeepGoing) const;

  store_counters counters() const;

private:
  struct shared_state;

  /// @returns the endpoint for one call, an error when the budget is spent
  result<std::string> beginCall(std::string_view Step) const;
  /// Counts a failed call and turns to the next endpoint.
  boost::leaf::error_id fail(std::string_view Step, const std::string &Address,
                             reason Reason, const http_result &Answer) const;
  result<std::string> call(std::string_view Step, std::string_view Path,
                           std::string Body, bool IsWrite) const;

  http_client &Client;
  std::shared_ptr<shared_state> Shared;
};

} // namespace tarragonbridge
