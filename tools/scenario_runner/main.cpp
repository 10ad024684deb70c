/// Scenario runner: plays a Lua script against real processes.
///
/// Ends with 0 when the script ran to its end, 1 when it failed; the directory
/// of logs and records is kept after a failure.
#include "base/log.h"
#include "scenario_runner/scenario.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace tarragonbridge;

namespace {
constexpr int ExitFailed = 1;

std::string makeDirectory() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
  return mkdtemp(Name.data()) == nullptr ? "" : Name;
}

/// Lets the script require modules from a directory lib beside it or above.
void setModulePath(lua_State *Lua, const std::string &File) {
  const auto Directory = std::filesystem::absolute(File).parent_path();
  const std::string Path = (Directory / "lib" / "?.lua").string() + ";" +
                           (Directory.parent_path() / "lib" / "?.lua").string();
  lua_getglobal(Lua, "package");
  lua_pushstring(Lua, Path.c_str());
  lua_setfield(Lua, -2, "path");
  lua_pop(Lua, 1);
}

int addTraceback(lua_State *Lua) {
  luaL_traceback(Lua, Lua, lua_tostring(Lua, 1), 1);
  return 1;
}

/// @returns what went wrong, empty when the script ran to its end
std::string play(scenario &Scenario) {
  lua_State *Lua = luaL_newstate();
  luaL_openlibs(Lua);
  setModulePath(Lua, Scenario.Init.File);
  defineRunner(Lua, Scenario);
  lua_pushcfunction(Lua, addTraceback);
  const bool IsPlayed =
      luaL_loadfile(Lua, Scenario.Init.File.c_str()) == LUA_OK &&
      lua_pcall(Lua, 0, 0, 1) == LUA_OK;
  std::string Fault = IsPlayed ? "" : lua_tostring(Lua, -1);
  lua_close(Lua);
  return Fault;
}
} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Plays a scenario against real processes.", ' ', "0.1.0");
  const TCLAP::ValueArg<std::string> Programs(
      "b", "bin", "directory of the programs", true, "", "DIR", Line);
  const TCLAP::ValueArg<std::uint64_t> Seed("", "seed", "seed of the scenario",
                                            false, 1, "N", Line);
  const TCLAP::UnlabeledValueArg<std::string> File("file", "the scenario", true,
                                                   "", "FILE", Line);
  Line.parse(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  initLog({"scenario_runner"});
  const std::string Directory = makeDirectory();
  const std::string Fault = [&] {
    scenario Scenario(
        {File.getValue(), Programs.getValue(), Directory, Seed.getValue()});
    return play(Scenario);
  }();
  if (Fault.empty()) {
    std::filesystem::remove_all(Directory);
    std::cout << "passed: " << File.getValue() << " seed " << Seed.getValue()
              << '\n';
    return 0;
  }
  std::cout << "FAILED: " << File.getValue() << " seed " << Seed.getValue()
            << "\n"
            << Fault << "\nlogs and records: " << Directory << '\n';
  return ExitFailed;
}
