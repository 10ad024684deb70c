/// Whole dispatchers of several hosts with a network that loses, delays,
/// repeats and reorders their calls.
#pragma once

#include "tarragonbridge/dispatcher.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tarragonbridge {

/// One host: its present process and what that has out.
struct world_host {
  dispatcher State;
  std::uint64_t Incarnation = 0;
  std::vector<start_task> Running;
};

/// A call between hosts.
struct world_call {
  std::size_t From = 0;
  std::uint64_t FromIncarnation = 0;
  std::size_t To = 0;
  effect Sent;
  bool Ended = false; ///< its sender has got a reply or given up
};

/// A request of a caller.
struct world_request {
  std::string Key;
  bool HadStarted = false; ///< a task of the key had started before
};

/// Runs random steps and records the promises that were broken.
class hosts_world {
public:
  hosts_world(std::uint64_t Seed, const claim_rules &Rules);

  /// Takes one step: a submission, a delivery, a loss, a task's end, a crash
  /// with restart, or time that passes.
  void step();

  /// Texts of broken promises.
  std::vector<std::string> Broken;
  std::size_t Completed = 0; ///< answers told to callers as complete

private:
  std::size_t pick(std::size_t Count) { return Random() % Count; }
  void restart(std::size_t Host);
  void apply(std::size_t Host, const event &Event);
  void take(std::size_t Host, effect &&Effect);
  void noteStart(const start_task &Start);
  void noteAnswer(const answer_request &Answer);
  void send(std::size_t From, effect &&Effect, const std::string &Address);
  void submit();
  void ask();
  void deliver();
  void lose();
  void reply();
  void finishTask();
  void pass();

  std::mt19937_64 Random;
  claim_rules Rules;
  instant Now{boot_time(std::chrono::hours(1)),
              wall_time(std::chrono::hours(400'000))};
  std::vector<world_host> Hosts;
  std::map<std::uint64_t, world_call> Calls;            ///< by handle
  std::vector<std::uint64_t> Arriving;                  ///< handles of calls
  std::vector<std::pair<std::uint64_t, event>> Replies; ///< to senders
  std::map<std::uint64_t, world_request> Requests;      ///< by handle
  std::vector<std::string> Sessions;
  std::map<std::string, wall_time> SubmittedAt;        ///< by key
  std::map<std::string, int> Starts;                   ///< by key
  std::map<std::string, std::set<std::string>> Bodies; ///< complete, by key
  std::uint64_t NextHandle = 1;
};

} // namespace tarragonbridge
