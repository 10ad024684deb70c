/// Calls to targets, and their answers as events.
#pragma once

#include "daemon/event_loop.h"
#include "net/http_client.h"

namespace tarragonbridge {

class target_calls {
public:
  using event_sink = std::function<void(event &&)>;

  target_calls(http_client &Client, event_sink Sink);

  void start(start_task &&Effect);
  void stop(const stop_task &Effect);
  void renew(const renew_leases &Effect);

private:
  http_client &Client;
  event_sink Sink;
};

} // namespace tarragonbridge
