/// The operators' API: settings are read, checked and changed over HTTP.
#pragma once

#include "base/thread.h"
#include "net/http_server.h"
#include "platform/store_client.h"
#include "tarragonbridge/event.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace tarragonbridge {

/// Answers requests below /v1/settings on a thread of its own, since the
/// store may be slow.
class operator_api {
public:
  using responder = std::function<void(request_handle, http_response)>;
  using event_sink = std::function<void(event &&)>;

  operator_api(store_client Store, responder Respond, event_sink Sink);
  ~operator_api();
  operator_api(const operator_api &) = delete;
  operator_api &operator=(const operator_api &) = delete;

  /// @returns whether the request is one of operators
  static bool takes(const http_request &Request);
  /// Queues a request; a full queue refuses it.
  void onRequest(request_handle Handle, http_request &&Request);
  /// Takes over the settings in force.
  void apply(std::shared_ptr<const settings_snapshot> Snapshot);

private:
  /// A subtree as the store and this host have it.
  struct subtree_state {
    settings_document Document; ///< the newer one
    std::int64_t ModRevision = 0;
    bool FromStore = false;
  };

  void run();
  http_response answer(const http_request &Request);
  result<http_response> get(const http_request &Request,
                            const std::string &Path);
  result<http_response> put(const http_request &Request,
                            const std::string &Path);
  result<http_response> check(const http_request &Request,
                              const std::string &Path);
  result<subtree_state> read(const std::string &Path);
  /// Writes one version and settles its outcome. @returns the version that
  /// then stands in the store
  result<settings_document> write(const subtree_state &Base,
                                  const settings_document &Next);
  /// Tells from the answer to a write what stands in the store.
  ///
  /// @param[in] MayHaveEffect an earlier copy of the write went unanswered
  static result<settings_document> settle(const store_outcome &Outcome,
                                          const subtree_state &Base,
                                          const settings_document &Next,
                                          bool MayHaveEffect);
  std::shared_ptr<const settings_snapshot> held() const;

  store_client Store;
  responder Respond;
  event_sink Sink;
  mutable std::mutex Mutex;
  std::condition_variable Ready;
  std::shared_ptr<const settings_snapshot> Held; ///< guarded by Mutex
  std::deque<std::pair<request_handle, http_request>>
      Queue;             ///< guarded by Mutex
  bool Stopping = false; ///< guarded by Mutex
  posix_thread Thread;
};

} // namespace tarragonbridge
