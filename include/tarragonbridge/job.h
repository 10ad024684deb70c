/// Jobs as callers submit them, and their keys.
#pragma once

#include "tarragonbridge/error.h"
#include "tarragonbridge/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// What a task needs of a target while it runs.
struct resources {
  std::uint32_t Cores = 1;
  std::uint64_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;

  bool fitsIn(const resources &Other) const {
    return Cores <= Other.Cores && MemoryMb <= Other.MemoryMb &&
           Accelerators <= Other.Accelerators;
  }
};

/// One task of a submission.
struct task_request {
  std::string Payload; ///< JSON text, passed on unchanged
  std::optional<milliseconds> Expected;
  resources Needs;
};

/// One submission as parsed from a caller's body.
struct job_request {
  std::string Key;
  std::string Home; ///< failure domain of a plain key, may be empty
  std::string Team;
  std::string Class;
  wall_time SubmittedAt;
  milliseconds TimeLimit{}; ///< zero: the team's default
  bool Repeatable = false;
  std::vector<task_request> Tasks;
  std::uint64_t Digest = 0; ///< hash of all fields, tells a reused key
};

/// Parses the body of POST /v1/jobs.
///
/// @param[in] Body JSON text
/// @param[in] HeaderKey value of Idempotency-Key, empty if absent
/// @returns the request, or all faults of the body in one error
result<job_request> parseJobRequest(std::string_view Body,
                                    std::string_view HeaderKey);

/// The host incarnation that a session key names as its home.
struct session_home {
  std::string FailureDomain;
  std::string Host;
  std::uint64_t Incarnation = 0;

  bool operator==(const session_home &) const = default;
};

/// @returns whether a key belongs to a session
bool isSessionKey(std::string_view Key);

/// @returns the home in a session or session key, nothing if it has another
/// form
std::optional<session_home> parseSessionHome(std::string_view Key);

/// @returns the name of a session:
/// s1.<failure_domain>.<host>.<incarnation>.<number>
std::string formatSession(const session_home &Home, std::uint64_t Number);

/// @returns whether the text may be used as a key
bool isValidKey(std::string_view Key);

} // namespace tarragonbridge
