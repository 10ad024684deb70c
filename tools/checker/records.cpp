#include "checker/records.h"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <map>

namespace tarragonbridge {

namespace {
using pair_map = std::map<std::string_view, std::string_view>;

pair_map splitPairs(std::string_view Line) {
  pair_map Pairs;
  while (!Line.empty()) {
    const std::string_view Pair = Line.substr(0, Line.find(' '));
    Line.remove_prefix(std::min(Line.size(), Pair.size() + 1));
    const std::size_t Sign = Pair.find('=');
    if (Sign != std::string_view::npos) {
      Pairs.emplace(Pair.substr(0, Sign), Pair.substr(Sign + 1));
    }
  }
  return Pairs;
}

template <class T>
bool readNumber(const pair_map &Pairs, const char *Name, T &Out) {
  const auto Found = Pairs.find(Name);
  if (Found == Pairs.end()) {
    return false;
  }
  const std::string_view Text = Found->second;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data(), End, Out);
  return Failure == std::errc{} && Stop == End && !Text.empty();
}
} // namespace

std::optional<target_line> parseTargetLine(std::string_view Line) {
  const pair_map Pairs = splitPairs(Line);
  target_line Parsed;
  std::int64_t At = 0;
  if (!readNumber(Pairs, "at_ms", At) ||
      !readNumber(Pairs, "attempt", Parsed.Attempt) ||
      !Pairs.contains("event") || !Pairs.contains("task")) {
    return std::nullopt;
  }
  Parsed.At = wall_time(milliseconds(At));
  Parsed.Event = Pairs.at("event");
  Parsed.Task = Pairs.at("task");
  return Parsed;
}

result<std::vector<target_line>> readTargetRecord(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream) {
    return boost::leaf::new_error(error{"read record", File, reason::Malformed,
                                        "the file can't be read"});
  }
  std::vector<target_line> Lines;
  const std::string Target = std::filesystem::path(File).stem().string();
  for (std::string Text; std::getline(Stream, Text);) {
    if (auto Line = parseTargetLine(Text)) {
      Line->Target = Target;
      Lines.push_back(std::move(*Line));
    }
  }
  return Lines;
}

std::string jobKeyOf(std::string_view Task) {
  return std::string(Task.substr(0, Task.rfind('#')));
}

} // namespace tarragonbridge
