/// The platform's targets over HTTP, with faults to order.
#pragma once

#include "emulator/schedule.h"
#include "emulator/store_server.h"
#include "emulator/target_model.h"
#include "poolhost/async_http_server.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace tarragonbridge::emulator {

struct target_faults {
  double LateOrders = 0; ///< part that gets no answer and is carried out late
  bool IsMute = false;   ///< no call gets an answer or does anything
};

struct target_addresses {
  std::string Listen;
  std::string Published; ///< what the store tells; may lead through a proxy
};

/// One target: its model, its server and its entry in the store.
class target_server {
public:
  using profile_lookup = std::function<task_profile(const attempt_ref &)>;

  target_server(poolhost::epoll_loop &Loop, schedule &Schedule,
                store_server &Store, target_model_init Init,
                target_addresses Addresses, target_model::recorder Record,
                profile_lookup Profiles, std::uint64_t Seed);

  /// @param[in] BeforeStart called before a task starts, so that the ends at
  /// other targets are on record first
  result<void> start(std::function<void()> BeforeStart);
  void onTimer(boot_time Now);
  boot_time nextDueAt() const;
  void flush(boot_time Now) { Entry.flush(Now); }
  /// Writes the target's entry in the store.
  void report(boot_time Now);
  /// Takes the entry out of the store.
  void leave();
  void crash(boot_time Now);

  void setDraining() { IsDraining = true; }
  target_faults &faults() { return Faults; }
  target_model &model() { return Model; }

private:
  struct waiting_hold {
    request_handle Request;
    std::uint64_t Token = 0;
    std::uint64_t LastEnd = 0;
    boot_time Until;
  };

  void take(request_handle Request, poolhost::server_request &&Received);
  void takeStart(request_handle Request, const Json::Value &Body);
  void takeStop(request_handle Request, const Json::Value &Body);
  void takeHold(request_handle Request, const Json::Value &Body);
  bool answerHold(const waiting_hold &Hold,
                  std::optional<milliseconds> Deadline, boot_time Now);
  void respond(request_handle Request, command_outcome Outcome);
  bool isLate();

  schedule &Schedule;
  store_server &Store;
  target_addresses Addresses;
  poolhost::async_http_server Entry;
  target_model Model;
  profile_lookup Profiles;
  std::function<void()> BeforeStart;
  std::mt19937_64 Random;
  target_faults Faults;
  bool IsDraining = false;
  std::uint64_t Sequence = 0;
  std::vector<waiting_hold> Holds;
};

} // namespace tarragonbridge::emulator
