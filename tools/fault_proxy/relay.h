/// Relays TCP connections over links whose faults can be changed at any time.
#pragma once

#include "base/thread.h"
#include "fault_proxy/stream.h"

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <poll.h>
#include <string>
#include <vector>

namespace tarragonbridge {

/// All links of a process. Its functions may be called from any thread.
class link_relay {
public:
  explicit link_relay(std::uint64_t Seed);
  ~link_relay();
  link_relay(const link_relay &) = delete;
  link_relay &operator=(const link_relay &) = delete;

  /// Listens for a new link.
  ///
  /// @param[in] Name of the link, must be new
  /// @param[in] Listen address, port 0 for any that is free
  /// @param[in] To address that connections are relayed to
  /// @returns the address listened on
  result<std::string> add(const std::string &Name, const std::string &Listen,
                          const std::string &To);

  /// Changes the faults of a link, see applyFaults.
  result<void> change(const std::string &Name, std::string_view Body);

private:
  struct connection {
    relay_stream Forward;
    relay_stream Backward;
  };
  struct link {
    int Listener = -1;
    std::string To;
    link_faults Faults;
    std::list<connection> Connections;
  };

  void run();
  int prepare(std::vector<pollfd> &Polled);
  void serve(const std::vector<pollfd> &Polled);
  void serveLink(link &Link, const std::map<int, short> &Ready);
  void acceptAll(link &Link);
  void wake() const;
  static void resetAll(link &Link);

  std::mutex Mutex;
  std::map<std::string, link> Links; ///< guarded by Mutex
  std::mt19937_64 Random;            ///< guarded by Mutex
  int WakeUp = -1;
  std::atomic<bool> Stopping{false};
  posix_thread Thread;
};

} // namespace tarragonbridge
