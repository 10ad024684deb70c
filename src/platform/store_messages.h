/// Messages of the etcd v3 JSON API.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// One key of the store.
struct store_entry {
  std::string Key;
  std::string Value;
  std::int64_t ModRevision = 0; ///< 0: the key doesn't exist
  std::int64_t Version = 0;
};

/// Keys of the store, at one revision of it.
struct store_range {
  std::int64_t Revision = 0;
  std::vector<store_entry> Entries;
};

/// Holds when the key was last changed at the revision; 0: it doesn't exist.
struct store_compare {
  std::string Key;
  std::int64_t ModRevision = 0;
};
struct store_put {
  std::string Key;
  std::string Value;
};

/// Writes that take effect together, if all compares hold.
struct store_transaction {
  std::vector<store_compare> Compares;
  std::vector<store_put> Puts;
  std::vector<std::string> Deletes;
};

/// What a transaction did.
struct store_outcome {
  bool Succeeded = false;
  std::int64_t Revision = 0;        ///< of the store after it
  std::vector<store_entry> Present; ///< compared keys, when it didn't succeed
};

/// A key that was written or deleted.
struct store_change {
  store_entry Entry;
  bool IsDelete = false;
};

/// One message of a watch.
struct watch_message {
  std::int64_t Revision = 0;
  bool Created = false;
  bool Canceled = false;
  std::int64_t CompactRevision = 0; ///< set when the start was compacted
  std::vector<store_change> Changes;
};

/// @returns the first key after all keys with the prefix
std::string endOfPrefix(std::string_view Prefix);

std::string formatRange(std::string_view Key, std::string_view End);
std::string formatTransaction(const store_transaction &Transaction);
/// @param[in] Prefix of the keys to watch
/// @param[in] Start first revision to tell
std::string formatWatch(std::string_view Prefix, std::int64_t Start);

/// These return nothing when the text has another form.
std::optional<store_range> parseRange(std::string_view Body);
std::optional<store_outcome> parseOutcome(std::string_view Body);
std::optional<watch_message> parseWatchMessage(std::string_view Line);

} // namespace tarragonbridge
