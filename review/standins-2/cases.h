/// The cases. Each returns the exit status of its script. The stand-ins live
/// until the process ends: their threads use them until then.
#pragma once

#include "rules.h"

namespace standin {

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Notes what broke a rule. @returns the exit status
inline int report(deployment &World, const std::vector<std::string> &Broken) {
  for (const std::string &Line : Broken) {
    World.log().line("BROKEN " + Line);
  }
  World.log().line(Broken.empty() ? "the rule held" : "the rule was broken");
  World.end();
  return Broken.empty() ? RuleHeld : RuleBroken;
}

/// @returns the exit status where the deployment could not be started
inline int giveUp(deployment &World) {
  World.end();
  return CouldNotRun;
}

int runResumedHost(const std::string &Folder, bool HasTrouble);
int runClockBack(const std::string &Folder, bool HasTrouble);
int runCancelledDuplicate(const std::string &Folder, bool HasTrouble);
int runCancelElsewhere(const std::string &Folder, bool HasTrouble);

} // namespace standin
