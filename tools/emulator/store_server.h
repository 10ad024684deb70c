/// The platform's store over HTTP, with faults to order.
#pragma once

#include "emulator/kv_model.h"
#include "emulator/schedule.h"
#include "poolhost/async_http_server.h"

#include <json/json.h>

#include <random>
#include <string>

namespace tarragonbridge::emulator {

struct store_faults {
  bool IsDown = false;        ///< every call gets 503 and does nothing
  bool IsSilent = false;      ///< no call gets an answer or does anything
  milliseconds Slow{};        ///< every answer is late by this
  double LosesAnswers = 0;    ///< part of the writes done and not answered
  bool MissesWatches = false; ///< watches hear nothing
};

class store_server {
public:
  store_server(poolhost::epoll_loop &Loop, schedule &Schedule,
               const std::string &Listen, std::uint64_t Seed);

  result<void> start();
  void onTimer(boot_time Now);
  void flush(boot_time Now) { Entry.flush(Now); }
  boot_time nextDueAt() const { return Entry.nextDueAt(); }

  void setFaults(const store_faults &Given, boot_time Now);
  /// Writes as the platform itself does.
  void write(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  kv_model &keys() { return Keys; }
  std::uint64_t callCount() const { return Calls; }

private:
  struct open_watch {
    request_handle Request;
    std::string Prefix;
    std::uint64_t After = 0;
    boot_time Until;
  };

  void take(request_handle Request, poolhost::server_request &&Received);
  poolhost::server_response answer(const poolhost::server_request &Received);
  poolhost::server_response transact(const std::string &Body);
  void beginWatch(request_handle Request,
                  const poolhost::server_request &Received);
  bool answerWatch(const open_watch &Watch, boot_time Now);
  void respond(request_handle Request, poolhost::server_response Response);

  schedule &Schedule;
  poolhost::async_http_server Entry;
  std::mt19937_64 Random;
  kv_model Keys;
  store_faults Faults;
  boot_time DownSince;
  std::vector<open_watch> Watches;
  std::uint64_t Calls = 0;
};

} // namespace tarragonbridge::emulator
