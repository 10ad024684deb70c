#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

// The parts of Boost.JSON, so that no library of it has to be linked.
#include <boost/json/src.hpp>

int main(int Count, char **Values) {
  using namespace standin; // NOLINT: the program's own
  if (Count != 3) {
    std::cerr << "usage: world CASE FOLDER\n";
    return CouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = std::getenv("TROUBLE");
  const bool HasTrouble = Trouble == nullptr || std::string(Trouble) != "0";
  const std::map<std::string, int (*)(const std::string &, bool)> Cases = {
      {"resumed-host", runResumedHost},
      {"clock-back", runClockBack},
      {"cancelled-duplicate", runCancelledDuplicate},
      {"cancel-elsewhere", runCancelElsewhere}};
  const auto Found = Cases.find(Values[1]);
  if (Found == Cases.end()) {
    return CouldNotRun;
  }
  std::_Exit(Found->second(Values[2], HasTrouble));
}
