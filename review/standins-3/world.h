// A small installation on loopback addresses: a store, workers, machines of the
// system.
#pragma once

#include "platform.h"

#include <memory>

namespace standin {

struct world {
  std::string Network; ///< the first three parts of all its addresses
  run_log Log;
  std::unique_ptr<store> Store;
  std::vector<std::unique_ptr<worker>> Workers;
  std::vector<std::unique_ptr<host>> Hosts;

  /// Starts everything and waits until each machine is ready. Exits with 2 if
  /// that takes too long.
  world(const std::string &Folder, std::size_t Machines,
        std::size_t WorkerCount, const std::vector<std::string> &Zones);
  host &at(std::size_t Index) { return *Hosts.at(Index); }
  std::size_t runningCount();
};

/// The body of a job of one step.
std::string jobBody(int Tasks, int RunMs, int Cpu = 14000);
http_answer submit(const host &Host, const std::string &Id,
                   const std::string &Body, int LimitMs);
http_answer cancel(const host &Host, const std::string &Id);
/// A new ID of 16 hexadecimal digits.
std::string newId();
std::string show(const http_answer &Answer);

} // namespace standin
