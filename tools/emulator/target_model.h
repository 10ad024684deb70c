/// Model of one of the platform's targets: fencing tokens, leases, runs and
/// their ends, as its page describes them. Pure; the time is passed in.
#pragma once

#include "tarragonbridge/pool/events.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tarragonbridge::emulator {

using pool::attempt_outcome;
using pool::attempt_ref;
using pool::command_outcome;
using pool::resource_vector;

struct target_model_init {
  std::string Id;
  std::string Service;
  std::string FailureDomain;
  std::string Kind = "a";
  resource_vector Capacity{32'000, 65'536, 0};
  double Speed = 1;
  double ClockRate = 1; ///< of its steady clock; may be 2 % slow
  milliseconds LongestLease{1'000};
};

/// What a target does at one moment, for the checker.
struct target_event {
  enum class kind : std::uint8_t { Started, Ended, Crashed };
  kind Kind = kind::Started;
  boot_time At;
  std::string Target;
  attempt_ref Attempt;
  attempt_outcome End = attempt_outcome::Done;
};

/// What a task is, which the target learns from its specification.
struct task_profile {
  resource_vector Needs;
  milliseconds Work{}; ///< at speed 1
  bool Fails = false;
  /// The target crashes this long after the start.
  std::optional<milliseconds> CrashesAfter = {};
};

class target_model {
public:
  /// Told of each start and end.
  using recorder = std::function<void(const target_event &)>;

  target_model(target_model_init Init, boot_time StartedAt,
               std::int64_t Incarnation, recorder Record);

  command_outcome start(const attempt_ref &Attempt, std::uint64_t Token,
                        milliseconds Deadline, const task_profile &Profile,
                        boot_time Now);
  command_outcome stop(const attempt_ref &Attempt, std::uint64_t Token,
                       boot_time Now);
  /// Fills the lists of an answer when the token is accepted.
  command_outcome hold(std::uint64_t Token, std::uint64_t LastEnd,
                       std::optional<milliseconds> Deadline,
                       pool::renewal_response &Answer, boot_time Now);
  /// Ends what is done or whose lease is over.
  void advance(boot_time Now);
  /// @returns when something ends next
  boot_time nextEnd() const;

  /// Loses everything and begins a new life.
  void crash(boot_time Now, std::int64_t Incarnation);
  /// The process is gone since a task crashed it, until crash() begins the
  /// next life.
  bool isDown() const { return IsDown; }
  /// Work takes this many times as long from now on; 0: it stands still.
  void setSlowness(double Factor, boot_time Now);
  /// The room that it lists; what runs there goes on.
  void setCapacity(const resource_vector &Capacity) {
    Init.Capacity = Capacity;
  }
  /// Everything that is started fails at once.
  void setFailing(bool Fails) { IsFailing = Fails; }

  bool hasEnds() const { return !Ended.empty(); }
  bool isRunning() const { return !Running.empty(); }
  std::uint64_t highestToken() const { return Token; }
  milliseconds clock(boot_time Now) const;
  const target_model_init &init() const { return Init; }
  std::int64_t incarnation() const { return Incarnation; }
  pool::target_record record(const std::string &Address) const;

private:
  struct run {
    attempt_ref Attempt;
    task_profile Profile;
    double LeftMs = 0; ///< of work, at speed 1
    boot_time CrashAt = boot_time::max();
  };
  void prolong(milliseconds Deadline, boot_time Now);
  void finish(std::size_t Index, attempt_outcome End, boot_time Now);
  /// Ends everything after the task of a run has crashed the process.
  void goDown(std::size_t Index, boot_time Now);
  double rate() const;
  boot_time leaseEnd() const;

  target_model_init Init;
  boot_time StartedAt;
  std::int64_t Incarnation = 0;
  recorder Record;
  std::uint64_t Token = 0;
  milliseconds Deadline{}; ///< on its clock
  std::vector<run> Running;
  std::vector<pool::listed_outcome> Ended; ///< not taken note of
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>,
           std::uint32_t>
      HighestEnded; ///< run, by task
  std::uint64_t LastNumber = 0;
  boot_time AdvancedTo;
  double Slowness = 1;
  bool IsFailing = false;
  bool IsDown = false;
};

} // namespace tarragonbridge::emulator
