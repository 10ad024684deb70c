#include "scenario_runner/scenario.h"

#include "base/clock.h"
#include "base/codec.h"
#include "checker/promises.h"
#include "core/json_reader.h"
#include "core/json_text.h"
#include "net/address.h"
#include "scenario_runner/lua_json.h"
#include "standins/own_address.h"

#include <array>
#include <csignal>
#include <random>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace tarragonbridge {

namespace {
scenario &current(lua_State *Lua) {
  return *static_cast<scenario *>(lua_touserdata(Lua, lua_upvalueindex(1)));
}

std::string stringAt(lua_State *Lua, int Index) {
  std::size_t Size = 0;
  const char *Text = luaL_checklstring(Lua, Index, &Size);
  return {Text, Size};
}

milliseconds millisecondsAt(lua_State *Lua, int Index, milliseconds Default) {
  return milliseconds(luaL_optinteger(Lua, Index, Default.count()));
}

/// start(log, program, arguments...) -> process
int startProcess(lua_State *Lua) {
  scenario &Scenario = current(Lua);
  const std::string Log =
      Scenario.Init.Directory + "/" + stringAt(Lua, 1) + ".log";
  std::vector<std::string> Arguments{Scenario.Init.Programs + "/" +
                                     stringAt(Lua, 2)};
  for (int Index = 3; Index <= lua_gettop(Lua); ++Index) {
    Arguments.push_back(stringAt(Lua, Index));
  }
  lua_pushinteger(Lua, Scenario.Processes.start(Arguments, Log));
  return 1;
}

/// signal(process, "KILL" | "STOP" | "CONT" | "TERM" | "HUP") -> whether it was
/// sent
int signalProcess(lua_State *Lua) {
  constexpr std::array<const char *, 6> Names{"KILL", "STOP", "CONT",
                                              "TERM", "HUP",  nullptr};
  constexpr std::array Signals{SIGKILL, SIGSTOP, SIGCONT, SIGTERM, SIGHUP};
  const auto Process = static_cast<pid_t>(luaL_checkinteger(Lua, 1));
  const int Which = luaL_checkoption(Lua, 2, nullptr, Names.data());
  const int Signal = Signals.at(static_cast<std::size_t>(Which));
  lua_pushboolean(Lua, current(Lua).Processes.signal(Process, Signal) ? 1 : 0);
  return 1;
}

/// wait(process, bound_ms) -> exit code, or nil
int waitForProcess(lua_State *Lua) {
  const auto Process = static_cast<pid_t>(luaL_checkinteger(Lua, 1));
  const auto Code = current(Lua).Processes.wait(
      Process, millisecondsAt(Lua, 2, milliseconds(0)));
  if (!Code) {
    return 0;
  }
  lua_pushinteger(Lua, *Code);
  return 1;
}

/// send(method, url, body, header...) -> call
int sendCall(lua_State *Lua) {
  constexpr milliseconds Timeout{60'000};
  http_call Call;
  Call.Method = stringAt(Lua, 1);
  Call.Url = stringAt(Lua, 2);
  Call.Body = luaL_optstring(Lua, 3, "");
  for (int Index = 4; Index <= lua_gettop(Lua); ++Index) {
    Call.Headers.push_back(stringAt(Lua, Index));
  }
  Call.Timeout = Timeout;
  lua_pushinteger(Lua, current(Lua).Calls.send(std::move(Call)));
  return 1;
}

/// submit(address, key, body, repeatable, tasks) -> call
int submitJob(lua_State *Lua) {
  job_call Job;
  Job.Address = stringAt(Lua, 1);
  Job.Key = stringAt(Lua, 2);
  Job.Body = stringAt(Lua, 3);
  Job.Repeatable = lua_toboolean(Lua, 4) != 0;
  Job.Tasks = static_cast<std::size_t>(luaL_checkinteger(Lua, 5));
  lua_pushinteger(Lua, current(Lua).Calls.submit(Job));
  return 1;
}

/// result(call) -> {status, body, etag, error}, or nil while it is under way
int callResult(lua_State *Lua) {
  const auto Result =
      current(Lua).Calls.result(static_cast<int>(luaL_checkinteger(Lua, 1)));
  if (!Result) {
    return 0;
  }
  lua_newtable(Lua);
  lua_pushinteger(Lua, Result->Status);
  lua_setfield(Lua, -2, "status");
  lua_pushlstring(Lua, Result->Body.data(), Result->Body.size());
  lua_setfield(Lua, -2, "body");
  lua_pushstring(Lua, Result->ETag.c_str());
  lua_setfield(Lua, -2, "etag");
  lua_pushstring(Lua, Result->Error.c_str());
  lua_setfield(Lua, -2, "error");
  return 1;
}

/// record("leaving" | "down", target)
int recordTarget(lua_State *Lua) {
  const bool IsLeaving = stringAt(Lua, 1) == "leaving";
  call_line Line;
  Line.Event = IsLeaving ? call_event::Leaving : call_event::Down;
  Line.At = wallNow();
  Line.Peer = stringAt(Lua, 2);
  current(Lua).Journal.write(Line);
  return 0;
}

/// starts(target, key) -> number of starts that the target's record tells of a
/// key, or of all keys
int countStarts(lua_State *Lua) {
  const std::string File =
      current(Lua).Init.Directory + "/" + stringAt(Lua, 1) + ".rec";
  const std::string Key = luaL_optstring(Lua, 2, "");
  lua_Integer Count = 0;
  tryOr(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Lines, readTargetRecord(File));
        for (const target_line &Line : Lines) {
          const bool IsAsked = Key.empty() || jobKeyOf(Line.Task) == Key;
          Count += Line.Event == "start" && IsAsked ? 1 : 0;
        }
        return {};
      },
      [](const error &) {}); // a target that has started nothing has no record
  lua_pushinteger(Lua, Count);
  return 1;
}

/// check(target...) -> list of breaches, each as a text
int checkRecords(lua_State *Lua) {
  const scenario &Scenario = current(Lua);
  std::vector<target_line> Lines;
  std::vector<call_line> Calls;
  const std::string Fault = tryOr(
      [&]() -> result<std::string> {
        BOOST_LEAF_ASSIGN(Calls, readCallJournal(Scenario.JournalFile));
        for (int Index = 1; Index <= lua_gettop(Lua); ++Index) {
          BOOST_LEAF_AUTO(More,
                          readTargetRecord(Scenario.Init.Directory + "/" +
                                           stringAt(Lua, Index) + ".rec"));
          Lines.insert(Lines.end(), More.begin(), More.end());
        }
        return std::string();
      },
      [](const error &Error) { return Error.Peer + ": " + Error.Message; });
  lua_newtable(Lua);
  lua_Integer At = 0;
  if (!Fault.empty()) {
    lua_pushstring(Lua, Fault.c_str());
    lua_rawseti(Lua, -2, ++At);
  }
  for (const breach &Breach : checkPromises(Lines, Calls, {})) {
    const std::string Text = std::string(nameOf(Breach.Promise)) + ": " +
                             Breach.Subject + ": " + Breach.Message;
    lua_pushstring(Lua, Text.c_str());
    lua_rawseti(Lua, -2, ++At);
  }
  return 1;
}

bool isFree(const std::string &Text) {
  sockaddr_in Address = *parseAddress(Text);
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool IsBound =
      bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) == 0;
  close(Socket);
  return IsBound;
}

/// freeAddress() -> IP and a port that nothing listens on, never the same twice
int freeAddress(lua_State *Lua) {
  // Below the ports that outgoing connections take.
  static std::mt19937 Random{std::random_device()()};
  std::uniform_int_distribution<std::uint16_t> Ports(10'000, 32'000);
  static std::set<std::string> Given;
  std::string Address = ownAddress(Ports(Random));
  while (Given.contains(Address) || !isFree(Address)) {
    Address = ownAddress(Ports(Random));
  }
  Given.insert(Address);
  lua_pushstring(Lua, Address.c_str());
  return 1;
}

/// writeFile(name, text) -> path, in the scenario's directory
int writeFile(lua_State *Lua) {
  const std::string Path = current(Lua).Init.Directory + "/" + stringAt(Lua, 1);
  std::ofstream(Path) << stringAt(Lua, 2);
  lua_pushstring(Lua, Path.c_str());
  return 1;
}

int sleepFor(lua_State *Lua) {
  std::this_thread::sleep_for(millisecondsAt(Lua, 1, milliseconds(0)));
  return 0;
}

int wallTime(lua_State *Lua) {
  lua_pushinteger(Lua, wallNow().time_since_epoch().count());
  return 1;
}

int toBase64(lua_State *Lua) {
  lua_pushstring(Lua, encodeBase64(stringAt(Lua, 1)).c_str());
  return 1;
}

int fromBase64(lua_State *Lua) {
  const std::string Bytes = decodeBase64(stringAt(Lua, 1)).value_or("");
  lua_pushlstring(Lua, Bytes.data(), Bytes.size());
  return 1;
}

int encodeJson(lua_State *Lua) {
  lua_pushstring(Lua, writeJson(readJson(Lua, 1)).c_str());
  return 1;
}

/// decode(text) -> value, or nil when it is not JSON
int decodeJson(lua_State *Lua) {
  const std::string Text = stringAt(Lua, 1);
  const json_document Document(Text, json_comments::Allowed);
  if (!Document.isValid()) {
    return 0;
  }
  pushJson(Lua, Document.root());
  return 1;
}
} // namespace

void defineRunner(lua_State *Lua, scenario &Scenario) {
  constexpr std::array<luaL_Reg, 18> Functions{{
      {"start", startProcess},
      {"signal", signalProcess},
      {"wait", waitForProcess},
      {"send", sendCall},
      {"submit", submitJob},
      {"result", callResult},
      {"record", recordTarget},
      {"starts", countStarts},
      {"check", checkRecords},
      {"freeAddress", freeAddress},
      {"writeFile", writeFile},
      {"sleep", sleepFor},
      {"now", wallTime},
      {"toBase64", toBase64},
      {"fromBase64", fromBase64},
      {"encode", encodeJson},
      {"decode", decodeJson},
      {nullptr, nullptr},
  }};
  lua_newtable(Lua);
  lua_pushlightuserdata(Lua, &Scenario);
  luaL_setfuncs(Lua, Functions.data(), 1);
  lua_pushinteger(Lua, static_cast<lua_Integer>(Scenario.Init.Seed));
  lua_setfield(Lua, -2, "seed");
  lua_pushstring(Lua, Scenario.Init.Directory.c_str());
  lua_setfield(Lua, -2, "directory");
  lua_setglobal(Lua, "runner");
}

} // namespace tarragonbridge
