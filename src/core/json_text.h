/// Writing of JSON text.
#pragma once

#include <json/json.h>
#include <string>
#include <string_view>

namespace tarragonbridge {

/// @returns a text as a JSON string, with its quotes
inline std::string quoteJson(std::string_view Text) {
  return Json::valueToQuotedString(std::string(Text).c_str());
}

/// @returns a value as JSON on one line
inline std::string writeJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Value);
}

} // namespace tarragonbridge
