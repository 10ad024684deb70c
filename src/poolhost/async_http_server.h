/// HTTP server on the event loop, based on libmicrohttpd with its own epoll
/// set.
#pragma once

#include "net/connection_guard.h"
#include "poolhost/epoll_loop.h"
#include "tarragonbridge/error.h"
#include "tarragonbridge/ids.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tarragonbridge::poolhost {

/// A complete request.
struct server_request {
  std::string Method;
  std::string Path;
  std::string HostName; ///< of the Host header, without a port
  std::string Body;
  std::string TimeLimit; ///< value of the time limit header, may be empty
  std::map<std::string, std::string, std::less<>> Query;

  /// @returns a query argument, or an empty string if it is absent
  std::string query(std::string_view Name) const {
    const auto Found = Query.find(Name);
    return Found == Query.end() ? "" : Found->second;
  }
};

struct server_response {
  int Status = 200;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string ContentType = "application/json";
};

struct server_init {
  std::string ListenAddress; ///< IP and port
  std::string TimeLimitHeader;
  std::size_t MaxBodyBytes = 256U << 10U;
  std::chrono::seconds IdleTimeout{60};
  /// Shared by all servers of the process.
  std::shared_ptr<connection_guard> Guard{};
};

class async_http_server {
public:
  /// Handles a complete request; may respond before it returns.
  using request_handler =
      std::function<void(request_handle, server_request &&)>;
  /// Called when a caller disconnects before its response was sent.
  using disconnect_handler = std::function<void(request_handle)>;

  async_http_server(epoll_loop &Loop, server_init Init);
  ~async_http_server();
  async_http_server(const async_http_server &) = delete;
  async_http_server &operator=(const async_http_server &) = delete;

  result<void> start(request_handler OnRequest,
                     disconnect_handler OnDisconnect);
  /// Responds to a request.
  ///
  /// @returns false if the request is not an open one of this server
  bool respond(request_handle Request, server_response Response);
  /// Counts memory of a request's job against what the process may hold, until
  /// the response.
  ///
  /// @returns false if there is no room: the request has to be refused
  bool hold(request_handle Request, std::size_t Bytes);
  /// Sends pending responses, and processes timeouts that are due.
  void flush(boot_time Now);
  /// @returns when flush() is due at the latest
  boot_time nextDueAt() const;
  /// Stops accepting connections; open ones are still served.
  void stopAccepting();
  std::size_t openRequests() const;
  /// @returns the number of requests that were too large, malformed or
  /// cut off before they were complete
  std::uint64_t malformedRequests() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace tarragonbridge::poolhost
