/// HTTP server on libmicrohttpd; requests are held until they are answered.
#pragma once

#include "net/connection_guard.h"
#include "tarragonbridge/config.h"
#include "tarragonbridge/error.h"
#include "tarragonbridge/event.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// A request, read whole.
struct http_request {
  std::string Method;
  std::string Path;
  std::string Peer;
  std::string Body;
  std::map<std::string, std::string, std::less<>> Query;
  /// Headers, names in lower case.
  std::map<std::string, std::string, std::less<>> Headers;
  bool HasRoom = true; ///< in the memory for jobs, see http_server_init

  /// @returns a header, empty if absent
  std::string header(std::string_view Name) const;
  /// @returns a query argument, empty if absent
  std::string query(std::string_view Name) const;
};

struct http_response {
  int Status = 200;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string ContentType = "application/json";
};

struct http_server_init {
  std::string Listen; ///< IP and port
  unsigned Threads = config::ServerThreads;
  std::size_t MaxBodyBytes = config::MaxBodyBytes;
  std::chrono::seconds IdleTimeout = config::ServerIdleTimeout;
  /// Whether a request that finds no room in the memory for jobs is handled,
  /// too. Otherwise the server refuses it.
  bool HandlesWithoutRoom = false;
  /// Shared by all servers of the process; one of its own if there is none.
  std::shared_ptr<connection_guard> Guard{};
};

/// @param[in] Limits of all servers of the process
/// @returns a guard whose refusals are told as those of this server
std::shared_ptr<connection_guard> makeServerGuard(const upload_limits &Limits);

class http_server {
public:
  /// Called on a server thread for each whole request; must not block.
  using handler = std::function<void(request_handle, http_request &&)>;

  explicit http_server(const http_server_init &Init);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Starts to listen.
  ///
  /// @param[in] Handler may be called before this returns
  /// @returns an error that names the address when it can't be listened on
  result<void> start(handler Handler);

  /// Answers a held request, from any thread. An unknown handle is ignored.
  void respond(request_handle Request, http_response Response);

  /// Begins an answer of unknown length to a held request; the body of the
  /// response is its first part.
  void beginStream(request_handle Request, http_response Head);

  /// Adds to an answer begun by beginStream. @returns false when its request
  /// is gone
  bool writeStream(request_handle Request, std::string_view Part);

  /// Ends an answer begun by beginStream.
  void endStream(request_handle Request);

  /// Stops taking new connections; those that are open go on.
  void stopAccepting();

  /// @returns how many requests wait for their answer or are being answered
  std::size_t openRequests() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace tarragonbridge
