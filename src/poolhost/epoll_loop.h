/// Single-threaded event loop based on epoll.
#pragma once

#include "tarragonbridge/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace tarragonbridge::poolhost {

class epoll_loop {
public:
  using handler = std::function<void(std::uint32_t Events)>;

  epoll_loop();
  ~epoll_loop();
  epoll_loop(const epoll_loop &) = delete;
  epoll_loop &operator=(const epoll_loop &) = delete;

  /// Registers a handler for events of a descriptor; replaces an earlier one.
  void watch(int Fd, std::uint32_t Events, handler Handler);
  /// Changes the event mask of a watched descriptor.
  void modify(int Fd, std::uint32_t Events);
  void unwatch(int Fd);

  /// Waits for events, at most until a time, and calls their handlers.
  /// @returns when the wait ended
  boot_time runOnce(boot_time Until);

private:
  struct watched_descriptor {
    std::uint32_t Generation = 0; ///< detects events of an earlier watch
    handler Handler;
  };
  int Epoll = -1;
  std::uint32_t LastGeneration = 0;
  std::unordered_map<int, std::shared_ptr<watched_descriptor>>
      WatchedDescriptors;
};

} // namespace tarragonbridge::poolhost
