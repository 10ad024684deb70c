/// A request of an http_server and what becomes of it, as libmicrohttpd sees
/// it.
#pragma once

#include "net/http_server.h"

#include <microhttpd.h>
#include <mutex>
#include <optional>
#include <string>

namespace tarragonbridge {

/// A request, from its first byte until its response is sent or its connection
/// closes.
struct exchange {
  MHD_Connection *Connection = nullptr;
  connection_handle Guarded{};
  request_handle Handle{};
  http_request Request;
  std::optional<http_response> Response;
  bool IsRefused = false; ///< while its body was read, which is dropped
  std::size_t DroppedBytes = 0;
  bool Delivered = false;
  bool IsStream = false;
  bool StreamEnded = false;
  bool IsWaiting = false; ///< connection suspended until Pending grows
  std::string Pending;    ///< bytes of the stream not yet sent
  std::mutex *Mutex = nullptr;
};

/// @returns IP and port of the client, "unknown" if it isn't IPv4
std::string peerOf(MHD_Connection *Connection);

/// Reads the headers and the query arguments of a request.
void collectFields(MHD_Connection *Connection, http_request &Request);

/// Queues a response of unknown length on the connection of an exchange.
MHD_Result queueStream(exchange &Exchange);

/// Resumes a connection that is suspended until its stream has more bytes.
void resumeStream(exchange &Exchange);

} // namespace tarragonbridge
