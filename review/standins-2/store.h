/// The platform's metadata store: items, revisions, watches and leases.
#pragma once

#include "http.h"

#include <condition_variable>
#include <cstdint>
#include <deque>

namespace standin {

class store {
public:
  store();
  ~store();
  bool start() { return Server.start(freePort()); }
  int port() const { return Server.port(); }

  /// Writes an item as the operator or a worker does.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);

private:
  struct item {
    std::string Value; ///< base64
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct change {
    std::uint64_t Revision = 0;
    std::string Key;
    bool IsRemoved = false;
    item Item;
  };
  struct lease {
    std::int64_t TtlMs = 0;
    std::int64_t EndsAt = 0;
  };

  http_reply handle(const http_message &Message);
  http_reply watch(const http_message &Message);
  http_reply transact(const http_message &Message);
  http_reply range(const http_message &Message);
  void set(const std::string &Key, const std::string &Base64,
           std::uint64_t Lease);
  void erase(const std::string &Key);
  void endLease(std::uint64_t Lease);
  void expireLeases();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, item> Items;
  std::deque<change> History;
  std::map<std::uint64_t, lease> Leases;
  std::uint64_t Revision = 1;
  std::uint64_t LastLease = 100;
  bool IsEnding = false;
  std::thread Expirer;
  http_server Server;
};

} // namespace standin
