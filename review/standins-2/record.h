/// The record of a case: a line for each thing that was sent, answered or run.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace standin {

/// @returns milliseconds since the program's start
inline std::int64_t nowMs() {
  using namespace std::chrono;
  static const steady_clock::time_point Start = steady_clock::now();
  return duration_cast<milliseconds>(steady_clock::now() - Start).count();
}

class record {
public:
  explicit record(const std::string &Path) : File(Path) {}
  void line(const std::string &Text) {
    const std::lock_guard Lock(Mutex);
    File << nowMs() << " ms  " << Text << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

} // namespace standin
