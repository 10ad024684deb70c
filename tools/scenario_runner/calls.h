/// HTTP calls of a scenario, with a record of submissions and answers.
#pragma once

#include "checker/call_journal.h"
#include "net/http_client.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace tarragonbridge {

/// A submission of a job.
struct job_call {
  std::string Address; ///< of the entry host
  std::string Key;
  std::string Body;
  bool Repeatable = false;
  std::size_t Tasks = 0;
  milliseconds Timeout{60'000};
};

/// Calls under way and their results.
class scenario_calls {
public:
  explicit scenario_calls(call_journal &Journal) : Journal(Journal) {}

  /// Starts a call. @returns its number
  int send(http_call Call);

  /// Submits a job and records the submission, and later the answer.
  ///
  /// @returns the number of the call
  int submit(const job_call &Job);

  /// @returns the result of a call, nothing while it is under way
  std::optional<http_result> result(int Number) const;

private:
  void finish(int Number, http_result &&Result);

  call_journal &Journal;
  mutable std::mutex Mutex;
  std::map<int, http_result> Results; ///< guarded by Mutex
  int Next = 1;
  http_client Client{MaxConnections}; ///< last: its thread uses all above

  static constexpr long MaxConnections = 2'000;
};

} // namespace tarragonbridge
