/// Answers through libmicrohttpd.
#pragma once

#include <microhttpd.h>

namespace tarragonbridge {

/// Queues a whole answer on a connection.
///
/// @param[in] Response an aggregate with Status, Body, Headers, ContentType
template <class ResponseType>
MHD_Result queueResponse(MHD_Connection *Connection,
                         const ResponseType &Response) {
  MHD_Response *Raw = MHD_create_response_from_buffer(
      Response.Body.size(), const_cast<char *>(Response.Body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(Raw, MHD_HTTP_HEADER_CONTENT_TYPE,
                          Response.ContentType.c_str());
  for (const auto &[Name, Value] : Response.Headers) {
    MHD_add_response_header(Raw, Name.c_str(), Value.c_str());
  }
  const MHD_Result Queued = MHD_queue_response(
      Connection, static_cast<unsigned>(Response.Status), Raw);
  MHD_destroy_response(Raw);
  return Queued;
}

} // namespace tarragonbridge
