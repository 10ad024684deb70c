/// Calls between entry hosts: the peer server, the calls sent, and their
/// replies as events.
#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_rpc.h"
#include "tarragonbridge/event.h"

#include <functional>
#include <mutex>
#include <unordered_map>

namespace tarragonbridge {

class peer_calls {
public:
  using event_sink = std::function<void(event &&)>;

  /// @param[in] Self identity of this host
  /// @param[in] Listen IP and port for peers
  /// @param[in] Guard of the listener for peers
  /// @param[in] Sink takes events from any thread
  peer_calls(host_identity Self, const std::string &Listen,
             std::shared_ptr<connection_guard> Guard, event_sink Sink);

  /// Starts to listen.
  result<void> start();

  /// Carries out an effect between hosts. @returns false for any other effect
  bool carryOut(const effect &Effect);

  /// Answers a fetch with the answer of its job.
  void answer(const answer_request &Answer);

  /// @returns how many calls of peers wait for their reply
  std::size_t openCalls() const { return Server.openRequests(); }
  void stopAccepting() { Server.stopAccepting(); }

private:
  void onRequest(request_handle Handle, http_request &&Request);
  result<event> parseCall(request_handle Handle, const std::string &Method,
                          std::string_view Parameters);
  void refuse(request_handle Handle, reason Reason, std::string Reply);
  void reply(request_handle Request, const std::string &Result);
  void call(const std::string &Address, const std::string &Method,
            const std::string &Parameters, std::chrono::milliseconds Timeout,
            std::function<void(const std::string &Result)> Done);

  void send(const send_claims &Effect);
  void send(const send_fetch &Effect);
  void send(const send_heartbeat &Effect);

  host_identity Self;
  event_sink Sink;
  rpc_server Rpc;
  std::mutex Mutex;
  std::unordered_map<std::uint64_t, std::string> Requests; ///< guarded by Mutex
  http_server Server;
  http_client Client;
};

} // namespace tarragonbridge
