#include "cli/settings_commands.h"

#include "core/json_reader.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace tarragonbridge::cli {

namespace {
constexpr int StatusOk = 200;
constexpr int StatusChanged = 412;

/// Arguments that the commands on settings share.
struct settings_line {
  settings_line(const std::string &Summary)
      : Line(Summary, ' ', "0.1.0"), To("t", "to", "host to ask, IP and port",
                                        false, "127.0.0.1:8080", "ADDR", Line),
        Json("j", "json", "print the host's answer as JSON", Line),
        Path("path", "path of the subtree, / for the root", true, "", "PATH",
             Line) {}

  void parse(const arguments &Arguments) { parseArguments(Line, Arguments); }
  std::string url(const std::string &Prefix) const {
    const std::string &Name = Path.getValue();
    return Prefix + "/" + (Name == "/" ? "" : Name);
  }

  TCLAP::CmdLine Line;
  TCLAP::ValueArg<std::string> To;
  TCLAP::SwitchArg Json;
  TCLAP::UnlabeledValueArg<std::string> Path;
};

std::string textOf(const Json::Value &Body, const char *Name) {
  const Json::Value Value = Body.get(Name, "");
  return Value.isNull() ? "none" : Value.asString();
}

void printVersion(const Json::Value &Version) {
  std::cout << "// revision " << textOf(Version, "revision") << ", by "
            << textOf(Version, "by") << ", at " << textOf(Version, "at_ms")
            << " ms, why: " << textOf(Version, "why") << '\n'
            << textOf(Version, "text") << '\n';
}

void printEffective(const Json::Value &Values) {
  for (const std::string &Name : Values.getMemberNames()) {
    const Json::Value &Row = Values[Name];
    std::cout << Name << " = " << textOf(Row, "value") << " ("
              << textOf(Row, "unit") << "), from " << textOf(Row, "origin")
              << '\n';
  }
}

exit_code ask(const settings_line &Line, const std::string &Url) {
  http_call Call;
  Call.Method = "GET";
  Call.Url = Url;
  const http_result Result = callHost(Line.To.getValue(), std::move(Call));
  if (Result.Status != StatusOk) {
    return reportFailure(Line.To.getValue(), Result);
  }
  const json_document Document(Result.Body, json_comments::Refused);
  const Json::Value &Body = Document.root();
  if (Line.Json.getValue() || !Document.isValid()) {
    std::cout << Result.Body << '\n';
  } else if (Body.isMember("values")) {
    printEffective(Body["values"]);
  } else if (Body.isMember("versions")) {
    for (const Json::Value &Version : Body["versions"]) {
      printVersion(Version);
    }
  } else {
    printVersion(Body);
  }
  return exit_code::Success;
}

exit_code reportChange(const std::string &Body) {
  const json_document Document(Body, json_comments::Refused);
  const Json::Value &Present = Document.root();
  std::cerr << "Not accepted: someone else changed these settings since you "
               "read them. They now say:\n";
  printVersion(Present);
  std::cerr << "Put your change into this text and set it again with "
               "--revision "
            << textOf(Present, "revision") << ".\n";
  return exit_code::Refused;
}
} // namespace

exit_code getSettings(const arguments &Arguments) {
  settings_line Line("Prints a subtree of the settings. Example: "
                     "tarragonbridge settings get agents --effective");
  const TCLAP::SwitchArg Effective(
      "e", "effective", "print the values in force and where each comes from",
      Line.Line);
  Line.parse(Arguments);
  return ask(Line, Line.url("/v1/settings") +
                       (Effective.getValue() ? "?effective=1" : ""));
}

exit_code showSettingsHistory(const arguments &Arguments) {
  settings_line Line("Prints the versions of a subtree, latest first, with "
                     "who, when and why. Example: tarragonbridge settings "
                     "history agents");
  Line.parse(Arguments);
  return ask(Line, Line.url("/v1/settings") + "?history=1");
}

exit_code setSettings(const arguments &Arguments) {
  settings_line Line(
      "Changes a subtree. The revision is the one that get printed, 0 to "
      "create the subtree. Example: tarragonbridge settings set agents "
      "agents.json --revision 7");
  const TCLAP::UnlabeledValueArg<std::string> File(
      "file", "JSON with comments, - for standard input", true, "", "FILE",
      Line.Line);
  const TCLAP::ValueArg<std::string> Revision(
      "r", "revision", "revision that is edited", true, "", "N", Line.Line);
  const TCLAP::ValueArg<std::string> Token("k", "token", "operator's token",
                                           false, "", "TOKEN", Line.Line);
  Line.parse(Arguments);
  http_call Call;
  Call.Method = "PUT";
  Call.Url = Line.url("/v1/settings");
  Call.Body = readInput(File.getValue());
  Call.Timeout = 2 * config::SettingsWriteTime;
  Call.Headers.push_back("If-Match: \"" + Revision.getValue() + "\"");
  if (!Token.getValue().empty()) {
    Call.Headers.push_back("Authorization: Bearer " + Token.getValue());
  }
  if (const char *User = std::getenv("USER")) {
    Call.Headers.push_back("From: " + std::string(User));
  }
  const http_result Result = callHost(Line.To.getValue(), std::move(Call));
  if (Line.Json.getValue()) {
    std::cout << Result.Body << '\n';
  }
  if (Result.Status == StatusChanged) {
    return reportChange(Result.Body);
  }
  if (Result.Status != StatusOk) {
    return reportFailure(Line.To.getValue(), Result);
  }
  std::cout << "accepted as revision " << Result.ETag << '\n';
  return exit_code::Success;
}

exit_code checkSettings(const arguments &Arguments) {
  settings_line Line("Checks a subtree without changing anything. Example: "
                     "tarragonbridge settings check agents agents.json");
  const TCLAP::UnlabeledValueArg<std::string> File(
      "file", "JSON with comments, - for standard input", true, "", "FILE",
      Line.Line);
  Line.parse(Arguments);
  http_call Call;
  Call.Url = Line.url("/v1/settings-check");
  Call.Body = readInput(File.getValue());
  const http_result Result = callHost(Line.To.getValue(), std::move(Call));
  if (Line.Json.getValue()) {
    std::cout << Result.Body << '\n';
  }
  if (Result.Status != StatusOk) {
    return reportFailure(Line.To.getValue(), Result);
  }
  std::cout << "no faults\n";
  return exit_code::Success;
}

} // namespace tarragonbridge::cli
