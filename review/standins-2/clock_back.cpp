// Workers restart under their ids just after the time of day of their machines
// jumped back, so that the start of the new life lies before that of the old.
#include "cases.h"

namespace standin {

int runClockBack(const std::string &Folder, bool HasTrouble) {
  deployment World({{"marmara-topkapi", 2, 6},
                    {"marmara-ikitelli", 2, 6},
                    {"marmara-gebze", 1, 6},
                    {"marmara-bursa", 1, 6}},
                   Folder);
  if (!World.start()) {
    return CouldNotRun;
  }
  return CouldNotRun;
}

} // namespace standin
