/// HTTP client on the event loop, based on libcurl's multi socket interface.
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
  std::vector<std::string> Headers; ///< complete header lines
  milliseconds Timeout{1'000};      ///< from send(); not sent after it
  bool NewConnection = false;       ///< idle ones may be dead
};

struct received_response {
  int Status = 0; ///< 0: no response
  std::string Body;
  bool WasSent = true;     ///< false: no byte was sent
  bool IsTooLarge = false; ///< aborted for its size
};

class async_http_client {
public:
  using completion = std::function<void(received_response &&)>;

  async_http_client(epoll_loop &Loop, long MaxConnectionsPerHost);
  ~async_http_client();
  async_http_client(const async_http_client &) = delete;
  async_http_client &operator=(const async_http_client &) = delete;

  /// Starts a request. Its completion is called once, by completeRequests().
  void send(outgoing_request Request, completion Done);
  /// Calls the completions of finished requests.
  void completeRequests();
  /// @returns when onTimer() is due
  boot_time nextDueAt() const;
  /// Processes libcurl's timeouts if they are due.
  void onTimer();
  /// @returns the number of connections opened so far
  std::uint64_t openedConnections() const;
  std::size_t inFlight() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace tarragonbridge::poolhost
