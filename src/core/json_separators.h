/// Bound on the values of a JSON text before it is decoded: values take many
/// times the memory of their text.
#pragma once

#include <cstddef>
#include <string_view>

namespace tarragonbridge {

/// @returns whether a text has more than a number of commas outside of strings
inline bool hasMoreSeparators(std::string_view Text, std::size_t Max) {
  if (Text.size() <= Max) {
    return false;
  }
  std::size_t Count = 0;
  bool IsInString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char C = Text[Index];
    Index += IsInString && C == '\\' ? 1 : 0;
    IsInString = IsInString != (C == '"');
    Count += !IsInString && C == ',' ? 1 : 0;
  }
  return Count > Max;
}

} // namespace tarragonbridge
