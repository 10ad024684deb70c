/// A scenario under way: what its script can reach.
#pragma once

#include "scenario_runner/calls.h"
#include "scenario_runner/process.h"

#include <lua5.4/lua.hpp>
#include <string>

namespace tarragonbridge {

struct scenario_init {
  std::string File;      ///< the script
  std::string Programs;  ///< directory of the programs
  std::string Directory; ///< for logs and records, must exist
  std::uint64_t Seed = 1;
};

struct scenario {
  explicit scenario(const scenario_init &Init)
      : Init(Init), JournalFile(Init.Directory + "/calls.jsonl"),
        Journal(JournalFile), Calls(Journal) {}

  scenario_init Init;
  std::string JournalFile;
  call_journal Journal;
  process_table Processes;
  scenario_calls Calls;
};

/// Defines the table `runner` with all functions that scripts build on.
void defineRunner(lua_State *Lua, scenario &Scenario);

} // namespace tarragonbridge
