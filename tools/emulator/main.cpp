/// The emulator's arguments and process; platform_emulator.h tells what it
/// does.
#include "emulator/platform_emulator.h"

#include "base/log.h"
#include "poolhost/signal_pipe.h"

#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace tarragonbridge::emulator {

namespace {
std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');) {
    Parts.push_back(Part);
  }
  return Parts;
}

int fail(const error &Error) {
  std::cerr << Error.Step << " " << Error.Peer << ": " << Error.Message << "\n";
  return 1;
}

emulator_init parseArguments(int Count, char **Values) {
  TCLAP::CmdLine Line("Emulator of the users' platform.", ' ', "test");
  TCLAP::ValueArg<std::string> Store("", "store", "IP and port of the store",
                                     true, "", "address", Line);
  TCLAP::ValueArg<std::string> Admin("", "admin", "IP and port for orders",
                                     true, "", "address", Line);
  TCLAP::ValueArg<std::string> Targets(
      "", "targets", "IP and port of each target", true, "", "list", Line);
  TCLAP::ValueArg<std::string> Published(
      "", "published", "addresses of the targets in the store, if others",
      false, "", "list", Line);
  TCLAP::ValueArg<std::string> Domains("", "failure-domains", "names", false,
                                       "east,west", "list", Line);
  TCLAP::ValueArg<std::string> Speeds("", "speeds", "of the targets, in turn",
                                      false, "1", "list", Line);
  TCLAP::ValueArg<std::uint64_t> Seed("", "seed", "of all random numbers",
                                      false, 1, "number", Line);
  Line.parse(Count, Values);
  emulator_init Init;
  Init.StoreAddress = Store.getValue();
  Init.AdminAddress = Admin.getValue();
  Init.Targets = splitList(Targets.getValue());
  Init.Published = splitList(Published.getValue());
  if (Init.Published.size() != Init.Targets.size()) {
    Init.Published = Init.Targets;
  }
  Init.FailureDomains = splitList(Domains.getValue());
  Init.Speeds.clear();
  for (const std::string &Speed : splitList(Speeds.getValue())) {
    Init.Speeds.push_back(std::stod(Speed));
  }
  Init.Seed = Seed.getValue();
  return Init;
}
} // namespace

} // namespace tarragonbridge::emulator

int main(int Count, char **Values) {
  using namespace tarragonbridge; // NOLINT: the program's own
  const emulator::emulator_init Init = emulator::parseArguments(Count, Values);
  poolhost::installSignalHandlers();
  initLog({"platform_emulator"});
  return tryOr(
      [&]() -> result<int> {
        emulator::platform_emulator Emulator(Init);
        BOOST_LEAF_CHECK(Emulator.start());
        Emulator.run();
        return 0;
      },
      emulator::fail);
}
