#include "load/waste.h"

#include <cstdlib>
#include <set>

namespace tarragonbridge {

namespace {
constexpr std::uint64_t MessagesPerExchange = 2;
constexpr std::string_view RetryPrefix =
    "tarragonbridge_reasons_total{kind=\"retry\",reason=\"";
constexpr std::string_view IgnoredPrefix =
    "tarragonbridge_reasons_total{kind=\"ignored\",reason=\"";

double increase(const metric_values &Before, const std::string &Name,
                double After) {
  const auto Found = Before.find(Name);
  return Found == Before.end() ? After : After - Found->second;
}

/// @returns the reason in a metric's name, empty for another prefix
std::string reasonIn(std::string_view Name, std::string_view Prefix) {
  if (!Name.starts_with(Prefix)) {
    return "";
  }
  Name.remove_prefix(Prefix.size());
  return std::string(Name.substr(0, Name.find('"')));
}

/// A reason that tells of a request whose reply proved that nothing ran, or of
/// one that never left. The others show as repeated starts in the records.
bool isRefusedStart(std::string_view Reason) {
  return Reason == "target_full" || Reason == "target_leaving" ||
         Reason == "target_lapsed" || Reason == "target_too_large";
}

void countRecords(const std::vector<target_line> &Records,
                  message_counts &Counts) {
  std::set<std::string_view> Tasks;
  std::uint64_t Stopped = 0;
  for (const target_line &Line : Records) {
    if (Line.Event == "start") {
      ++Counts.Starts;
      Tasks.insert(Line.Task);
    }
    Stopped += Line.Event == "stopped" ? 1U : 0U;
  }
  Counts.StartedTasks = Tasks.size();
  Counts.Wasted["repeated_start"] =
      MessagesPerExchange * (Counts.Starts - Counts.StartedTasks);
  Counts.Wasted["stop"] = MessagesPerExchange * Stopped;
}
} // namespace

metric_values parseMetrics(std::string_view Text) {
  metric_values Values;
  while (!Text.empty()) {
    const std::string_view Line = Text.substr(0, Text.find('\n'));
    Text.remove_prefix(std::min(Text.size(), Line.size() + 1));
    const std::size_t Space = Line.rfind(' ');
    if (Line.starts_with('#') || Space == std::string_view::npos) {
      continue;
    }
    const std::string Number(Line.substr(Space + 1));
    char *End = nullptr;
    const double Value = std::strtod(Number.c_str(), &End);
    if (End != Number.c_str()) {
      Values[std::string(Line.substr(0, Space))] = Value;
    }
  }
  return Values;
}

metric_values readMetrics(http_client &Client,
                          const std::vector<std::string> &Hosts) {
  metric_values Sum;
  for (const std::string &Host : Hosts) {
    http_call Call;
    Call.Method = "GET";
    Call.Url = "http://" + Host + "/metrics";
    const http_result Result = sendAndWait(Client, std::move(Call));
    for (const auto &[Name, Value] : parseMetrics(Result.Body)) {
      Sum[Name] += Value;
    }
  }
  return Sum;
}

message_counts countMessages(const std::vector<target_line> &Records,
                             const metric_values &Before,
                             const metric_values &After) {
  message_counts Counts;
  countRecords(Records, Counts);
  for (const auto &[Name, Value] : After) {
    const auto Grown = static_cast<std::uint64_t>(
        std::max(0.0, increase(Before, Name, Value)));
    const std::string Refused = reasonIn(Name, RetryPrefix);
    if (isRefusedStart(Refused)) {
      Counts.Wasted[Refused] += MessagesPerExchange * Grown;
    }
    const std::string Ignored = reasonIn(Name, IgnoredPrefix);
    if (!Ignored.empty()) {
      Counts.Wasted[Ignored] += Grown;
    }
  }
  return Counts;
}

} // namespace tarragonbridge
