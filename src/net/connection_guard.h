/// Keeps the connections of several HTTP listeners of a process within one
/// budget: closes those that upload_budget chooses. Its functions may be called
/// from any thread.
#pragma once

#include "base/upload_budget.h"

#include <microhttpd.h>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tarragonbridge {

class connection_guard {
public:
  /// @param[in] RefusalBody of responses to requests that are cut off. It must
  /// not deny that the same request was sent before and has run. Empty: they
  /// get none
  connection_guard(const upload_limits &Limits, std::string RefusalBody);

  /// @returns the limit of connections to be set for one listener or thread
  unsigned maxConnections() const;

  /// Called by libmicrohttpd when a connection begins or ends.
  static void onConnection(void *Guard, MHD_Connection *Connection,
                           void **SocketContext,
                           MHD_ConnectionNotificationCode Code);
  /// @returns the handle of a connection that onConnection was called for
  static connection_handle handleOf(MHD_Connection *Connection);

  void beginRequest(connection_handle Connection, boot_time Now);
  void setUnfinished(connection_handle Connection, std::size_t Bytes,
                     boot_time Now);
  /// Responds to a request whose body isn't whole, and sends nothing more; the
  /// caller drops the rest of the body.
  void refuse(connection_handle Connection, int Status, std::string_view Body,
              boot_time Now);
  /// @returns false if the request must not be handled: its client was told
  /// that it isn't run
  bool complete(connection_handle Connection);
  bool hold(connection_handle Connection, std::size_t Bytes);
  void answer(connection_handle Connection, std::size_t Bytes, boot_time Now);
  void finish(connection_handle Connection, boot_time Now);
  /// Closes connections that take too long.
  void closeOverdue(boot_time Now);

  upload_figures figures() const;

private:
  void closeEvicted(boot_time Now);

  mutable std::mutex Mutex;
  std::size_t MaxConnections;
  std::string RefusalBody;
  upload_budget Budget;                           ///< guarded by Mutex
  std::unordered_map<std::uint64_t, int> Sockets; ///< guarded by Mutex
};

/// @returns the length of the body that a request announces, 0 if it doesn't
std::size_t announcedBodyBytes(MHD_Connection *Connection);

/// Adds a part to a body. Past a small size, its memory is one that is given
/// back when it is freed, see base/memory.h.
void appendToBody(std::string &Body, std::string_view Part);

/// Bounds what the kernel buffers for each connection of a listener.
///
/// @param[in] ReceiveBytes of which the kernel takes twice as many
void limitSocketBuffers(MHD_Daemon *Daemon, int ReceiveBytes);

/// Writes the guard's metrics.
///
/// @param[in] Listeners that the guard is for, before the name of each metric
/// @param[in] Add called with the name and the value of each metric
template <class Function>
void addMetrics(const upload_figures &Figures, const std::string &Listeners,
                Function Add) {
  Add(Listeners + "_connections", Figures.Connections);
  Add(Listeners + "_unfinished_body_bytes", Figures.UnfinishedBytes);
  Add(Listeners + "_held_bytes", Figures.HeldBytes);
  Add(Listeners + "_holds_refused_total", Figures.HoldsRefused);
  for (std::size_t Index = 0; Index < Figures.Evictions.size(); ++Index) {
    const auto Reason = static_cast<eviction_reason>(Index);
    Add(Listeners + "_connections_cut_" + std::string(nameOf(Reason)) +
            "_total",
        Figures.Evictions.at(Index));
  }
}

} // namespace tarragonbridge
