// Stand-ins of the platform for the cases of the third review: store, workers,
// clients. They follow PROTOCOL.md; where it is silent, they behave like sound
// ones. One thread a connection.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

/// Milliseconds on the steady clock since the start of this program.
std::int64_t nowMs();
void sleepMs(std::int64_t Time);
/// Writes a line with the time into the record.
void record(const std::string &Line);
void openRecord(const std::string &Path);

/// A JSON value, as far as these bodies need it.
struct json {
  enum class kind { Null, Bool, Number, Text, List, Object } Kind = kind::Null;
  bool Bool = false;
  std::int64_t Number = 0;
  std::string Text;
  std::vector<json> List;
  std::map<std::string, json> Object;

  const json &at(const std::string &Name) const;
  bool has(const std::string &Name) const { return Object.contains(Name); }
};
json parseJson(std::string_view Text);
std::string quoteJson(std::string_view Text);

struct http_request {
  std::string Method;
  std::string Target; ///< with the query, as it was sent
  std::map<std::string, std::string> Headers; ///< names in lower case
  std::string Body;
  std::string path() const { return Target.substr(0, Target.find('?')); }
  /// A parameter of the query, decoded.
  std::string query(const std::string &Name) const;
};
struct http_answer {
  int Status = 0; ///< 0: none
  std::string Body;
  std::map<std::string, std::string> Headers;
};

/// Serves HTTP/1.1 on an address; the handler may block.
class http_server {
public:
  using handler = std::function<http_answer(const http_request &)>;
  http_server(const std::string &Ip, int Port, handler Handler);
  int port() const { return Port; }
  std::string address() const { return Ip + ":" + std::to_string(Port); }

private:
  void serve(int Socket);
  std::string Ip;
  int Port = 0;
  handler Handler;
};

/// Sends one request on a connection of its own and waits for the answer.
http_answer call(const std::string &Address, const std::string &Method,
                 const std::string &Target, const std::string &Body,
                 const std::vector<std::string> &Headers, int TimeoutMs);

/// A free TCP and UDP port of an address.
int freePort(const std::string &Ip);

/// The platform's store.
class store {
public:
  explicit store(const std::string &Ip);
  const std::string address() const { return Server->address(); }
  /// A write of the operator or of a worker.
  void write(const std::string &Key, const std::string &Value);
  std::size_t count(const std::string &Prefix);

private:
  struct item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct change {
    std::uint64_t Revision = 0;
    std::string Key;
    std::string Value;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
    bool IsRemoved = false;
  };
  struct lease {
    std::int64_t TtlMs = 0;
    std::int64_t EndsAt = 0;
  };
  http_answer answer(const http_request &Request);
  http_answer range(const http_request &Request);
  http_answer watch(const http_request &Request);
  http_answer transact(const http_request &Request);
  void set(const std::string &Key, const std::string &Value,
           std::uint64_t Lease);
  void remove(const std::string &Key);
  void endLeases();
  void endLease(std::uint64_t Id);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, item> Items;
  std::vector<change> History;
  std::map<std::uint64_t, lease> Leases;
  std::uint64_t Revision = 100;
  std::uint64_t LastLease = 0;
  std::unique_ptr<http_server> Server;
};

/// What the workers did.
struct run_event {
  std::int64_t AtMs = 0;
  std::string Worker;
  std::string Task;
  std::int64_t Run = 0;
  std::string What; ///< start, or how it ended
};
class run_log {
public:
  void add(run_event Event);
  std::vector<run_event> all();

private:
  std::mutex Mutex;
  std::vector<run_event> Events;
};

/// A worker: runs each task for the time that its specification names, "run
/// MS".
class worker {
public:
  worker(const std::string &Ip, std::string Id, std::string Zone, store &Store,
         run_log &Log);
  std::string address() const { return Server->address(); }

private:
  struct running {
    std::int64_t Run = 0;
    std::int64_t EndsAt = 0;
  };
  struct ended {
    std::int64_t Number = 0;
    std::string Task;
    std::int64_t Run = 0;
    std::string How;
  };
  http_answer answer(const http_request &Request);
  http_answer start(const json &Body);
  http_answer stop(const json &Body);
  http_answer hold(const json &Body, std::unique_lock<std::mutex> &Lock);
  http_answer refuse(const std::string &Reason);
  void extendLease(const json &Body);
  void endTask(const std::string &Task, const std::string &How);
  void tick();
  void report();
  std::int64_t clock() const { return nowMs() + ClockBase; }

  std::string Id;
  std::string Zone;
  store &Store;
  run_log &Log;
  std::int64_t Born = 0;
  std::int64_t ClockBase = 500'000;
  std::mutex Mutex;
  std::condition_variable Ended;
  std::int64_t HighestToken = 0;
  std::int64_t LeaseEnd = 0;
  std::map<std::string, running> Running;
  std::map<std::string, std::int64_t> LastRun; ///< stopped or ended
  std::vector<ended> Ends;
  std::int64_t LastNumber = 0;
  std::int64_t Sequence = 0;
  std::unique_ptr<http_server> Server;
};

/// A machine of the system: the program of the deploy file.
class host {
public:
  host(std::string Name, std::string Zone, std::string Ip, int PeerPort,
       const store &Store, const std::string &Folder);
  ~host();
  void launch();
  void signal(int Number);
  void end();
  bool isReady() const;
  bool isRunning() const;
  std::int64_t metric(const std::string &Name) const;
  const std::string &name() const { return Name; }
  const std::string &front() const { return Front; }

private:
  std::string Name;
  std::string Front;
  std::string Ready;
  std::string Control;
  std::string Settings;
  std::string Log;
  int Pid = 0;
};

/// The configuration with one route, as the operator writes it.
std::string configuration(std::int64_t Version, const std::string &Route);

} // namespace standin
