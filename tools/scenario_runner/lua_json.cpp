#include "scenario_runner/lua_json.h"

namespace tarragonbridge {

namespace {
Json::Value readTable(lua_State *Lua, int Index) {
  const auto Length = static_cast<lua_Integer>(lua_rawlen(Lua, Index));
  if (Length != 0) {
    Json::Value Array(Json::arrayValue);
    for (lua_Integer At = 1; At <= Length; ++At) {
      lua_rawgeti(Lua, Index, At);
      Array.append(readJson(Lua, -1));
      lua_pop(Lua, 1);
    }
    return Array;
  }
  Json::Value Object(Json::objectValue);
  lua_pushnil(Lua);
  while (lua_next(Lua, Index) != 0) {
    Object[luaL_checkstring(Lua, -2)] = readJson(Lua, -1);
    lua_pop(Lua, 1);
  }
  return Object;
}
} // namespace

void pushJson(lua_State *Lua, const Json::Value &Value) {
  luaL_checkstack(Lua, 3, "JSON nested too deep");
  if (Value.isObject()) {
    lua_newtable(Lua);
    for (const std::string &Name : Value.getMemberNames()) {
      pushJson(Lua, Value[Name]);
      lua_setfield(Lua, -2, Name.c_str());
    }
  } else if (Value.isArray()) {
    lua_newtable(Lua);
    for (Json::ArrayIndex Index = 0; Index < Value.size(); ++Index) {
      pushJson(Lua, Value[Index]);
      lua_rawseti(Lua, -2, static_cast<lua_Integer>(Index) + 1);
    }
  } else if (Value.isString()) {
    lua_pushstring(Lua, Value.asCString());
  } else if (Value.isBool()) {
    lua_pushboolean(Lua, Value.asBool() ? 1 : 0);
  } else if (Value.isInt64()) {
    lua_pushinteger(Lua, Value.asInt64());
  } else if (Value.isNumeric()) {
    lua_pushnumber(Lua, Value.asDouble());
  } else {
    lua_pushnil(Lua);
  }
}

Json::Value readJson(lua_State *Lua, int Index) {
  luaL_checkstack(Lua, 3, "table nested too deep");
  switch (lua_type(Lua, Index)) {
  case LUA_TNIL:
    return {};
  case LUA_TBOOLEAN:
    return lua_toboolean(Lua, Index) != 0;
  case LUA_TNUMBER:
    if (lua_isinteger(Lua, Index) != 0) {
      return Json::Int64(lua_tointeger(Lua, Index));
    }
    return lua_tonumber(Lua, Index);
  case LUA_TSTRING:
    return lua_tostring(Lua, Index);
  case LUA_TTABLE:
    return readTable(Lua, lua_absindex(Lua, Index));
  default:
    luaL_error(Lua, "a %s has no form in JSON", luaL_typename(Lua, Index));
    return {};
  }
}

} // namespace tarragonbridge
