/// tarragonbridged: the daemon of an entry host.
#include "base/log.h"
#include "base/memory.h"
#include "base/signals.h"
#include "daemon/daemon.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace tarragonbridge;

namespace {
constexpr int ExitCutOff = 1;
constexpr int ExitBadConfiguration = 2;

int serve(const daemon_config &Config) {
  returnFreedMemory();
  blockTerminationSignals();
  initLog({"tarragonbridged",
           log_writer::Thread,
           {.PriorityEvents = {"request_refused"}}});
  return tryOr(
      [&]() -> result<int> {
        BOOST_LEAF_AUTO(Daemon, daemon::start(Config));
        waitForTerminationSignal();
        return Daemon->shutDown() ? 0 : ExitCutOff;
      },
      [](const error &Error) {
        logEvent("start_failed", {{"step", Error.Step},
                                  {"peer", Error.Peer},
                                  {"message", Error.Message}});
        return ExitBadConfiguration;
      });
}
} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Serves callers and operators on an entry host.", ' ',
                      "0.1.0");
  const TCLAP::ValueArg<std::string> File("c", "config", "the daemon's file",
                                          true, "", "FILE", Line);
  const TCLAP::ValueArg<std::string> Placement(
      "", "placement",
      "how targets are chosen, for measurements: expected, random, round-robin "
      "or power-of-two",
      false, "expected", "NAME", Line);
  Line.parse(Argc, Argv);
  const auto Kind = parsePlacement(Placement.getValue());
  if (!Kind) {
    std::cerr << "--placement: no such way: " << Placement.getValue() << '\n';
    return ExitBadConfiguration;
  }
  return tryOr(
      [&]() -> result<int> {
        BOOST_LEAF_AUTO(Config, loadDaemonConfig(File.getValue()));
        Config.Placement = *Kind;
        return serve(Config);
      },
      [](const error &Error) {
        std::cerr << Error.Peer << ":\n" << Error.Message << '\n';
        return ExitBadConfiguration;
      });
}
