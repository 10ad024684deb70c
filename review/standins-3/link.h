// The client's side of the link of a machine that stands still, network and
// all.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace standin {

/// Passes the channels of clients on to a machine. While the machine stands
/// still, what a client sends is lost and sent again as TCP does: 0.2 s later,
/// then after 0.4 s, 0.8 s and so on, until the machine is there to take it.
class client_link {
public:
  client_link(const std::string &Ip, std::string Machine);
  const std::string &address() const { return Address; }
  void stopMachine() { IsStopped = true; }
  void continueMachine() { IsStopped = false; }

private:
  void accept(int Listener);
  void pass(int Client);
  void waitUntilTaken(std::int64_t SentAt);

  std::string Address;
  std::string Machine;
  std::atomic<bool> IsStopped = false;
};

} // namespace standin
