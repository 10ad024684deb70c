/// The daemon: a dispatcher with its sockets, timers and threads.
#pragma once

#include "base/time_histograms.h"
#include "daemon/caller_api.h"
#include "daemon/daemon_config.h"
#include "daemon/operator_api.h"
#include "daemon/peer_calls.h"
#include "daemon/platform_watch.h"
#include "daemon/target_calls.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace tarragonbridge {

class daemon {
public:
  /// Starts to serve.
  static result<std::unique_ptr<daemon>> start(const daemon_config &Config);
  ~daemon();
  daemon(const daemon &) = delete;
  daemon &operator=(const daemon &) = delete;

  /// Finishes what is in flight. @returns whether nothing was cut off
  bool shutDown();

private:
  explicit daemon(const daemon_config &Config);
  void onRequest(request_handle Handle, http_request &&Request);
  http_response describeHealth() const;
  bool answerLocally(request_handle Handle, const http_request &Request);
  void carryOut(effect &&Effect);

  dispatcher_init Init;
  std::mutex Mutex;
  std::condition_variable Ready;
  bool Finished = false; ///< guarded by Mutex
  std::atomic<bool> ShuttingDown{false};
  time_histograms Times;
  std::shared_ptr<connection_guard> CallerGuard;
  std::shared_ptr<connection_guard> PeerGuard;
  std::size_t MaxSeparators; ///< in the body of a request
  std::mutex ParseMutex;     ///< held while a large body is decoded
  http_server Server;
  event_loop Loop; ///< outlives the clients, which post to it until they end
  http_client TargetClient;
  http_client StoreClient;
  target_calls Targets;
  std::unique_ptr<operator_api> Operators;
  peer_calls Peers;
  std::unique_ptr<platform_watch> Platform;
};

} // namespace tarragonbridge
