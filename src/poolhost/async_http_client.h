/// HTTP client on the loop's thread: libcurl's multi socket interface.
#pragma once

#include "poolhost/epoll_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tarragonbridge::poolhost {

struct outgoing_request {
  std::string Method = "POST";
  std::string Address; ///< IP and port
  std::string Path;
  std::string Body;
  std::vector<std::string> Headers; ///< whole lines
  milliseconds Timeout{1'000};      ///< from send(); what is over isn't sent
  bool NewConnection = false;       ///< kept ones may have gone silent
};

struct received_response {
  int Status = 0; ///< 0: no answer
  std::string Body;
  bool WasSent = true; ///< false: no byte left
};

class async_http_client {
public:
  using completion = std::function<void(received_response &&)>;

  async_http_client(epoll_loop &Loop, long MaxConnectionsPerHost);
  ~async_http_client();
  async_http_client(const async_http_client &) = delete;
  async_http_client &operator=(const async_http_client &) = delete;

  /// Starts a call; its completion is called once, by completeCalls().
  void send(outgoing_request Call, completion Done);
  /// Calls the completions of calls that have ended.
  void completeCalls();
  /// @returns when libcurl wants to be called again
  boot_time nextDue() const;
  /// Lets libcurl handle its timeouts.
  void onTimer();
  /// Connections opened since the start.
  std::uint64_t newConnections() const;
  std::size_t inFlight() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace tarragonbridge::poolhost
