/// Follows a prefix of the store: reads it once, then watches it.
#pragma once

#include "base/thread.h"
#include "platform/call_budget.h"
#include "platform/store_client.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace tarragonbridge {

/// What a follower tells. No two calls overlap; none may block.
struct follower_events {
  /// All keys of the prefix, at the start and whenever changes may have been
  /// missed.
  std::function<void(const store_range &)> OnWhole;
  /// Changes since then, in order.
  std::function<void(const std::vector<store_change> &)> OnChanges;
  /// Whether the store was reached at the latest call, and why not.
  std::function<void(bool Reached, const std::string &Message)> OnContact;
};

/// @remarks A watch that is silent is renewed from where it stood; one that
/// was cut, whose start was compacted, or that meets a store older than seen
/// before leads to a whole read. Failed calls are repeated after a back-off.
class store_follower {
public:
  store_follower(const std::string &ThreadName, store_client Store,
                 std::string Prefix, follower_events Events);
  ~store_follower();
  store_follower(const store_follower &) = delete;
  store_follower &operator=(const store_follower &) = delete;

  /// Asks the thread to end, which the destructor waits for.
  void stop();

private:
  void run();
  /// @returns whether the call succeeded
  bool readWhole();
  bool watchOnce();
  bool onMessage(const watch_message &Message);
  bool isStopping() const;
  void waitFor(milliseconds Time);

  const store_client Store;
  const std::string Prefix;
  const follower_events Events;
  mutable std::mutex Mutex;
  std::condition_variable Ready;
  bool Stopping = false; ///< guarded by Mutex
  backoff Backoff;
  std::int64_t Next = 0; ///< first revision that was not told
  std::int64_t Seen = 0; ///< highest revision of the store
  bool NeedsWhole = true;
  boot_time ReadAt;
  posix_thread Thread;
};

} // namespace tarragonbridge
