/// Named POSIX thread that its destructor joins.
#pragma once

#include <functional>
#include <memory>
#include <pthread.h>
#include <string>

namespace tarragonbridge {

class posix_thread {
public:
  posix_thread() = default;
  /// Starts a thread.
  ///
  /// @param[in] Name shown by debuggers and process tools, at most 15 bytes
  /// @param[in] Body function that the thread runs
  posix_thread(const std::string &Name, std::function<void()> Body);
  ~posix_thread() { join(); }
  posix_thread(const posix_thread &) = delete;
  posix_thread &operator=(const posix_thread &) = delete;
  posix_thread(posix_thread &&Other) noexcept;
  posix_thread &operator=(posix_thread &&Other) noexcept;

  void join();

private:
  pthread_t Handle{};
  bool Joinable = false;
};

} // namespace tarragonbridge
