/// The process of a pool host: turns input of sockets and timers into events of
/// the reducer and executes its effects, on a single thread.
#pragma once

#include "base/time_histograms.h"
#include "platform/settings.h"
#include "poolhost/async_http_client.h"
#include "poolhost/async_http_server.h"
#include "poolhost/datagram_socket.h"
#include "poolhost/store_watcher.h"
#include "tarragonbridge/pool/pool.h"

#include <memory>
#include <string>

namespace tarragonbridge::poolhost {

class program {
public:
  explicit program(const platform::process_settings &Settings);

  /// Opens all listening sockets.
  result<void> start();
  /// Runs the event loop until the shutdown is finished.
  void run();

private:
  void handleSignals();
  void handleRequest(async_http_server &Server, request_handle Request,
                     server_request &&Received);
  void handleDatagrams();
  /// Logs a pass of the event loop that was late or long.
  void recordPass(boot_time Due, boot_time WokenAt);
  void dispatch(pool::event &&Event);

  void execute(pool::respond_to_caller &&Response);
  void execute(pool::start_attempt &&Start);
  void execute(pool::stop_attempt &&Stop);
  void execute(pool::renew_target_lease &&Renewal);
  void execute(pool::reread_configuration &&);
  void execute(pool::send_datagram &&Datagram);
  void execute(pool::log_line &&Line);
  void execute(observe_time &&Observation);
  void execute(pool::shutdown_finished &&);

  void sendToTarget(const std::string &Address,
                    platform::http_request HttpRequest, milliseconds Timeout,
                    bool NewConnection,
                    std::function<void(platform::http_response &&)> Done);
  std::string formatMetrics() const;

  platform::process_settings Settings;
  epoll_loop Loop;
  async_http_client Client;
  datagram_socket PeerSocket;
  pool::pool_host Host;
  store_watcher StoreWatcher;
  std::shared_ptr<connection_guard> CallerGuard;
  std::shared_ptr<connection_guard> InternalGuard; ///< of the other servers
  async_http_server CallerServer;
  async_http_server ReadinessServer;
  std::unique_ptr<async_http_server> MetricsServer;
  time_histograms TimeHistograms;
  bool IsFinished = false;
  std::uint64_t MalformedDatagrams = 0;
  std::uint64_t InvalidStoreItems = 0;
  std::uint64_t MalformedBodies = 0;
  std::uint64_t Stalls = 0;
  boot_time PassFinishedAt; ///< the latest pass of the event loop
};

} // namespace tarragonbridge::poolhost
