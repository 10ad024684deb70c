/// Follows the store: the host list and the settings.
#pragma once

#include "base/thread.h"
#include "daemon/event_loop.h"
#include "platform/store_client.h"

#include <condition_variable>
#include <mutex>

namespace tarragonbridge {

class platform_watch {
public:
  using event_sink = std::function<void(event &&)>;

  platform_watch(store_client Store, std::string FailureDomain,
                 event_sink Sink);
  ~platform_watch();
  platform_watch(const platform_watch &) = delete;
  platform_watch &operator=(const platform_watch &) = delete;

private:
  void run();
  void readHosts();
  void readSettings();

  store_client Store;
  std::string FailureDomain;
  event_sink Sink;
  std::mutex Mutex;
  std::condition_variable Ready;
  bool Stopping = false; ///< guarded by Mutex
  posix_thread Thread;
};

} // namespace tarragonbridge
