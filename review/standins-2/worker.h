/// A worker: runs tasks under a lease as the platform's pages say, notes what
/// it ran in the record, and lists itself in the store. A crash ends all that
/// runs; a restart under the same id knows nothing of before.
#pragma once

#include "record.h"
#include "store.h"

#include <optional>
#include <vector>

namespace standin {

/// One run of a task, as the worker saw it.
struct run_entry {
  std::string Worker;
  std::string Task;
  std::int64_t Run = 0;
  std::int64_t Cpu = 0;
  std::int64_t BeganAt = 0; ///< of the record's clock
  std::int64_t EndedAt = 0; ///< 0: it runs
  std::string How;
};

/// What all workers ran.
class run_log {
public:
  std::size_t begin(run_entry Entry);
  void end(std::size_t Index, const std::string &How);
  std::vector<run_entry> entries();

private:
  std::mutex Mutex;
  std::vector<run_entry> Entries;
};

struct worker_init {
  std::string Id;
  std::string Service;
  std::string Zone;
  std::string Kind = "a";
  std::string Rack = "r1-1";
  std::int64_t Cpu = 16'000;
  std::int64_t MemMb = 65'536;
  double Speed = 1;
  std::int64_t StopMs = 20; ///< that a stop takes
};

class worker {
public:
  worker(worker_init Init, store &Store, run_log &Runs, record &Record);

  /// Begins a life: serves, and lists the worker.
  /// @param[in] ClockAheadMs by how much its time of day is ahead of the true
  /// one
  void begin(std::int64_t ClockAheadMs = 0);
  /// Ends the life at once. The item in the store remains until it expires.
  void crash();
  /// Changes the capacity of the next life.
  void setCpu(std::int64_t Cpu) { Init.Cpu = Cpu; }
  void setKind(const std::string &Kind) { Init.Kind = Kind; }
  /// Reports the worker as draining.
  void drain();

  const std::string &id() const { return Init.Id; }
  /// @returns how often it was held in its life
  std::int64_t holds();

private:
  struct running_task {
    std::string Task;
    std::int64_t Run = 0;
    std::int64_t EndsAt = 0;  ///< done then, of the record's clock
    std::int64_t StopsAt = 0; ///< 0: no stop was ordered
    std::size_t LogIndex = 0;
  };
  struct ended_task {
    std::int64_t Number = 0;
    std::string Task;
    std::int64_t Run = 0;
    std::string How;
  };

  http_reply handle(const http_message &Message);
  http_reply start(const http_message &Message);
  http_reply stop(const http_message &Message);
  http_reply hold(const http_message &Message);
  http_reply refuse(const std::string &Reason);
  http_reply accept();
  bool isFenced(const http_message &Message);
  void prolong(std::int64_t Deadline);
  void finish(std::size_t Index, const std::string &How);
  void advance();
  void work();
  void publish();
  std::int64_t clock() const { return nowMs() - LifeBeganAt + 1; }

  worker_init Init;
  store &Store;
  run_log &Runs;
  record &Record;
  std::mutex Mutex;
  std::condition_variable Ended;
  bool IsUp = false;
  bool IsDraining = false;
  std::int64_t Life = 0;
  std::int64_t LifeBeganAt = 0;
  std::int64_t Born = 0;
  std::int64_t Sequence = 0;
  std::int64_t PublishedAt = 0;
  std::uint64_t Token = 0;
  std::int64_t Deadline = 0; ///< of the lease, on the worker's clock
  std::int64_t LastNumber = 0;
  std::int64_t Holds = 0;
  std::vector<running_task> Running;
  std::vector<ended_task> Ends;
  std::map<std::string, std::int64_t> HighestEnded;
  int Port = 0;
  std::unique_ptr<http_server> Server;
  std::thread Worker;
};

} // namespace standin
