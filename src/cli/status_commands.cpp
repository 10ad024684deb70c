#include "cli/status_commands.h"

#include "cli/table.h"
#include "core/json_reader.h"

#include <array>
#include <iostream>
#include <tclap/CmdLine.h>

namespace tarragonbridge::cli {

namespace {
constexpr int StatusOk = 200;

/// Shows a host's status to people. @returns the exit code
using status_printer = exit_code (*)(const Json::Value &Status);

/// Parses the arguments, asks the host and shows its answer.
exit_code askStatus(const arguments &Arguments, const std::string &Help,
                    status_printer Print) {
  TCLAP::CmdLine Line(Help, ' ', "0.1.0");
  const TCLAP::ValueArg<std::string> To("t", "to", "host to ask, IP and port",
                                        false, "127.0.0.1:8080", "ADDR", Line);
  const TCLAP::SwitchArg AsJson("j", "json", "print the host's answer as JSON",
                                Line);
  parseArguments(Line, Arguments);
  http_call Call;
  Call.Method = "GET";
  Call.Url = "/v1/status";
  const http_result Result = callHost(To.getValue(), std::move(Call));
  if (Result.Status != StatusOk) {
    return reportFailure(To.getValue(), Result);
  }
  if (AsJson.getValue()) {
    std::cout << Result.Body << '\n';
    return exit_code::Success;
  }
  const json_document Document(Result.Body, json_comments::Refused);
  return Print(Document.root());
}

/// @returns what is not well, a sentence each
std::vector<std::string> findTroubles(const Json::Value &Status) {
  std::vector<std::string> Troubles;
  if (Status["state"].asString() != "live") {
    Troubles.emplace_back("The host is shutting down and takes no new work.");
  }
  if (Status["settings_revision"].asInt64() == 0) {
    Troubles.emplace_back(
        "No settings were read from the store yet: the defaults are in "
        "force, with one team, \"default\".");
  }
  if (Status["targets"].asUInt64() == 0) {
    Troubles.emplace_back(
        "No target is listed: jobs wait until the platform lists one.");
  }
  for (const Json::Value &Path : Status["settings"]["store_behind"]) {
    Troubles.push_back("The store holds an older state of the settings \"" +
                       Path.asString() + "\" than is in force here.");
  }
  for (const Json::Value &Path : Status["settings"]["malformed"]) {
    Troubles.push_back(
        "The settings \"" + Path.asString() +
        "\" in the store can't be read; the last good ones are in force.");
  }
  if (Status["settings"]["store"]["state"].asString() == "unreachable") {
    Troubles.emplace_back(
        "The store is out of reach: edits are refused, serving goes on.");
  }
  for (const Json::Value &Target : Status["target_list"]) {
    if (Target["health"].asString() != "well") {
      Troubles.push_back("Target " + Target["name"].asString() +
                         " fails what it starts; it is probed by itself.");
    }
  }
  return Troubles;
}

/// A total of the status and what people call it.
struct total_row {
  const char *Field;
  const char *Label;
};

constexpr std::array TotalRows{
    total_row{"settings_revision", "settings revision"},
    total_row{"targets", "targets"},
    total_row{"tasks_queued", "tasks queued"},
    total_row{"tasks_running", "tasks running"},
    total_row{"jobs_completed", "jobs completed"},
    total_row{"jobs_failed", "jobs failed"},
    total_row{"jobs_kept", "answers kept"},
};

exit_code printStatus(const Json::Value &Status) {
  const std::vector<std::string> Troubles = findTroubles(Status);
  std::cout << Status["host"].asString() << " in "
            << Status["failure_domain"].asString()
            << (Troubles.empty() ? " is well.\n" : " is not well:\n");
  for (const std::string &Trouble : Troubles) {
    std::cout << "  " << Trouble << '\n';
  }
  std::cout << '\n';
  std::vector<table_row> Rows;
  Rows.reserve(TotalRows.size());
  for (const total_row &Total : TotalRows) {
    Rows.push_back({Total.Label, Status[Total.Field].asString()});
  }
  const Json::Value &Reasons = Status["reasons"];
  for (const std::string &Name : Reasons.getMemberNames()) {
    Rows.push_back({"reason " + Name, Reasons[Name].asString()});
  }
  printTable(std::cout, {"since start", "count"}, Rows);
  return Troubles.empty() ? exit_code::Success : exit_code::NotWell;
}

/// Prints one list of the status, a column for each field.
void printList(const Json::Value &List, const table_row &Fields) {
  std::vector<table_row> Rows;
  for (const Json::Value &Entry : List) {
    table_row Row;
    for (const std::string &Field : Fields) {
      Row.push_back(Entry.get(Field, "").asString());
    }
    Rows.push_back(std::move(Row));
  }
  printTable(std::cout, Fields, Rows);
}

exit_code printTargets(const Json::Value &Status) {
  printList(Status["target_list"], {"name", "failure_domain", "state", "health",
                                    "listed", "running_here", "slots"});
  return exit_code::Success;
}

exit_code printPeers(const Json::Value &Status) {
  printList(Status["peers"], {"name", "failure_domain", "state",
                              "settings_revision", "heard_ms_ago"});
  return exit_code::Success;
}
} // namespace

exit_code showStatus(const arguments &Arguments) {
  return askStatus(
      Arguments,
      "Tells whether a host is well and, if not, why. Exit code 5 when it is "
      "not. Example: tarragonbridge status --to 10.0.0.1:8080",
      printStatus);
}

exit_code showTargets(const arguments &Arguments) {
  return askStatus(
      Arguments,
      "Lists the targets as one host sees them. Example: tarragonbridge "
      "targets --to 10.0.0.1:8080",
      printTargets);
}

exit_code showPeers(const arguments &Arguments) {
  return askStatus(
      Arguments,
      "Lists the other entry hosts as one host sees them. Example: "
      "tarragonbridge peers --to 10.0.0.1:8080",
      printPeers);
}

exit_code showVersion(const arguments & /*Arguments*/) {
  std::cout << "tarragonbridge 0.1.0\n";
  return exit_code::Success;
}

} // namespace tarragonbridge::cli
