/// Client of the platform's store: the etcd v3 JSON API over HTTP.
#pragma once

#include "net/http_client.h"
#include "tarragonbridge/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// One key of the store.
struct store_entry {
  std::string Key;
  std::string Value;
  std::int64_t ModRevision = 0;
  std::int64_t Version = 0;
};

/// The keys below a prefix, at one revision of the store.
struct store_range {
  std::int64_t Revision = 0;
  std::vector<store_entry> Entries;
};

class store_client {
public:
  /// @param[in] Client carries the calls; must outlive this object
  /// @param[in] Addresses IP and port of each endpoint, tried in turn
  store_client(http_client &Client, std::vector<std::string> Addresses);

  /// Reads all keys below a prefix; blocks until answered or timed out.
  result<store_range> range(std::string_view Prefix);

private:
  http_client &Client;
  std::vector<std::string> Addresses;
  std::size_t Current = 0;
};

} // namespace tarragonbridge
