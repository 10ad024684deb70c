/// Conversion between Lua values and JSON.
#pragma once

#include <json/json.h>
#include <lua5.4/lua.hpp>

namespace tarragonbridge {

/// Pushes a JSON value. Null becomes nil, arrays begin at 1.
void pushJson(lua_State *Lua, const Json::Value &Value);

/// Reads the value at an index of the stack.
///
/// @remarks A table is an array when it has a value at 1, else an object.
/// Raises a Lua error for functions and the like.
Json::Value readJson(lua_State *Lua, int Index);

} // namespace tarragonbridge
