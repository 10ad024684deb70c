/// Answers of ended jobs, kept for resubmissions within bounds of time and
/// bytes.
#pragma once

#include "tarragonbridge/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tarragonbridge {

struct answer_cache_init {
  std::size_t MaxBytes = 0; ///< of all bodies together
  milliseconds Retention{}; ///< from the end of the job
};

/// What is kept under a key.
struct kept_answer {
  std::uint64_t Digest = 0;          ///< of the submission
  const std::string *Body = nullptr; ///< nullptr: dropped for want of bytes
};

/// Remembers every ended job for the retention period, and its answer for as
/// long as the bound of bytes allows. The oldest answers are dropped first.
///
/// @remarks A key whose answer was dropped stays known, so that its submission
/// is never run again. Keys are held as 128-bit hashes.
class answer_cache {
public:
  explicit answer_cache(const answer_cache_init &Init) : Init(Init) {}

  /// Keeps the answer of a job that has ended. A key that is known stays as it
  /// is.
  ///
  /// @param[in] Now not earlier than in any call before
  void keep(std::string_view Key, std::uint64_t Digest, std::string Body,
            boot_time Now);

  /// @returns what is kept, nothing for an unknown or forgotten key
  std::optional<kept_answer> find(std::string_view Key) const;

  /// Forgets the jobs whose retention period is over.
  void forgetOld(boot_time Now);

  /// @returns jobs known, with or without their answer
  std::size_t size() const { return Entries.size(); }
  /// @returns bytes of all bodies
  std::size_t bytes() const { return Bytes; }
  /// @returns answers dropped for want of bytes since the start
  std::uint64_t dropped() const { return Dropped; }

private:
  struct key_hash {
    std::uint64_t Low = 0;
    std::uint64_t High = 0;
    bool operator==(const key_hash &) const = default;
  };
  struct hash_of_key_hash {
    std::size_t operator()(const key_hash &Hash) const { return Hash.Low; }
  };
  struct entry {
    std::uint64_t Digest = 0;
    std::unique_ptr<std::string> Body;
  };
  struct aged_key {
    key_hash Hash;
    boot_time ForgetAt;
  };

  static key_hash hashOf(std::string_view Key);
  void dropBody(entry &Entry);
  void dropOldestBodies();

  answer_cache_init Init;
  std::unordered_map<key_hash, entry, hash_of_key_hash> Entries;
  std::deque<aged_key> ByAge; ///< the oldest first
  std::size_t BodilessCount =
      0; ///< entries at the front of ByAge without a body
  std::size_t Bytes = 0;
  std::uint64_t Dropped = 0;
};

} // namespace tarragonbridge
