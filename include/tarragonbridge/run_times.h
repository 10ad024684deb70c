/// Run times learnt from finished tasks, by team and class.
#pragma once

#include "tarragonbridge/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace tarragonbridge {

/// Mean and variance of a logarithm, with recent values weighing more.
struct log_average {
  double Mean = 0;
  double Variance = 0;
  std::size_t Count = 0;

  void add(double Value);
};

/// What is expected of a task on a target of speed 1.
struct run_time_estimate {
  milliseconds Mean{};
  double LogMean = 0; ///< natural logarithm of the median in milliseconds
  /// Standard deviation of the natural logarithm of the run time.
  double Spread = 0;
  /// Finished tasks behind the estimate; 0: declared or default only.
  std::size_t Samples = 0;
};

/// Learns run times for each team and class.
///
/// @remarks Declared times are used as far as they have predicted the finished
/// tasks of the class: by their learnt ratio when that varies less than the run
/// times themselves, and not at all otherwise.
class run_times {
public:
  /// Learns from a finished task.
  ///
  /// @param[in] Team path of the team
  /// @param[in] Class class of the job, may be empty
  /// @param[in] Declared run time that the caller expected, if any
  /// @param[in] RunTime measured run time times the target's speed
  void learn(std::string_view Team, std::string_view Class,
             std::optional<milliseconds> Declared, microseconds RunTime);

  /// @returns the estimate, with its confidence
  run_time_estimate estimate(std::string_view Team, std::string_view Class,
                             std::optional<milliseconds> Declared) const;

  /// @returns the mean run time on a target of speed 1
  milliseconds expected(std::string_view Team, std::string_view Class,
                        std::optional<milliseconds> Declared) const {
    return estimate(Team, Class, Declared).Mean;
  }

private:
  struct class_record {
    log_average RunTime;  ///< of milliseconds
    log_average Declared; ///< of run time over declared time
  };
  using classes = std::map<std::string, class_record, std::less<>>;

  class_record &findOrAdd(std::string_view Team, std::string_view Class);
  const class_record *find(std::string_view Team, std::string_view Class) const;

  std::map<std::string, classes, std::less<>> Teams;
  std::size_t Size = 0;
};

} // namespace tarragonbridge
