/// HTTP client on libcurl's multi interface, with kept connections.
#pragma once

#include "tarragonbridge/config.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

struct http_call {
  std::string Method = "POST";
  std::string Url;
  std::string Body;
  std::vector<std::string> Headers; ///< whole lines, "Name: value"
  std::chrono::milliseconds ConnectTimeout = config::ConnectTimeout;
  std::chrono::milliseconds Timeout = config::StoreTimeout;
  /// Takes each part of the answer as it arrives; the result has no body then.
  std::function<void(std::string_view)> OnPart;
  /// Asked about once a second; false ends the call without a result.
  std::function<bool()> KeepGoing;
};

struct http_result {
  bool IsRefused = false; ///< no process listens at the address
  bool WasSent = true;    ///< false: no connection was made, so no byte left
  int Status = 0;         ///< 0: no answer
  std::string Body;
  std::string ETag;
  std::string Error; ///< text when Status is 0
};

/// Sends calls from its own thread.
///
/// @remarks A call's body is sent at most once. When a kept connection turns
/// out to be closed, the call fails; it is not sent again on a new connection.
class http_client {
public:
  using completion = std::function<void(http_result &&)>;

  explicit http_client(
      long MaxConnectionsPerHost = config::MaxConnectionsPerTarget);
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Starts a call, from any thread.
  ///
  /// @param[in] Call what to send
  /// @param[in] Done called once, on the client's thread; must not block
  void send(http_call Call, completion Done);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// Sends one call and waits for its result.
http_result sendAndWait(http_client &Client, http_call Call);

} // namespace tarragonbridge
