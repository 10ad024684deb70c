// The client's side of the link of a machine that stands still, network and
// all.
#pragma once

#include <atomic>
#include <string>

namespace standin {

/// Passes the channels of clients on to a machine. A client leaves by resetting
/// its channel. The reset is sent once: a machine that stands still never
/// gets it.
class client_link {
public:
  client_link(const std::string &Ip, std::string Machine);
  const std::string &address() const { return Address; }
  void stopMachine() { IsStopped = true; }
  void continueMachine() { IsStopped = false; }

private:
  void accept(int Listener);
  void pass(int Client);

  std::string Address;
  std::string Machine;
  std::atomic<bool> IsStopped = false;
};

/// Sends a job and leaves after some time, if it isn't answered by then.
/// @returns whether it was answered
bool postAndLeave(const std::string &Address, const std::string &Path,
                  const std::string &Body, int LimitMs, int LeavesAfterMs);

} // namespace standin
