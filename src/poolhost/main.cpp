#include "base/log.h"
#include "base/memory.h"
#include "platform/settings.h"
#include "poolhost/program.h"
#include "poolhost/signal_pipe.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace tarragonbridge::poolhost {

namespace {
constexpr int ExitInvalidSettings = 2;

struct arguments {
  std::string SettingsPath;
  bool IsCheck = false;
};

arguments parseArguments(int Count, char **Values) {
  TCLAP::CmdLine CommandLine("Host of the task dispatcher on the platform.",
                             ' ', TARRAGONBRIDGE_VERSION);
  const char *DefaultPath = std::getenv(platform::SettingsPathVariable);
  TCLAP::ValueArg<std::string> Path(
      "", "settings",
      std::string("the platform's settings file; default: the value of ") +
          platform::SettingsPathVariable,
      false, DefaultPath == nullptr ? "" : DefaultPath, "path", CommandLine);
  TCLAP::SwitchArg Check("", "check",
                         "check the settings, report all errors, and exit",
                         CommandLine);
  CommandLine.parse(Count, Values);
  return {Path.getValue(), Check.getValue()};
}

result<platform::process_settings> readSettings(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File) {
    return boost::leaf::new_error(error{
        "read settings", Path, reason::Malformed, "the file can't be read"});
  }
  return platform::parseSettings(Text.str());
}

int fail(const error &Error) {
  std::cerr << Error.Step << " " << Error.Peer << ": " << Error.Message << "\n";
  return ExitInvalidSettings;
}

/// Gives priority under load to events of failed requests, and to those of a
/// host's view of its targets.
log_init logInit(const std::string &Host) {
  log_init Init{Host, log_writer::Caller, {}};
  Init.Limits.PriorityEvents = {
      "job_refused",       "job_failed",         "task_placed_again",
      "attempt_doubted",   "attempt_lost",       "attempt_not_started",
      "attempt_stopped",   "attempt_unknown",    "target_lost",
      "target_taken_over", "target_handed_over", "target_restarted",
      "task_held"};
  return Init;
}

int runProgram(const arguments &Arguments) {
  return tryOr(
      [&]() -> result<int> {
        BOOST_LEAF_AUTO(Settings, readSettings(Arguments.SettingsPath));
        if (Arguments.IsCheck) {
          std::cout << "settings are valid\n";
          return 0;
        }
        returnFreedMemory();
        installSignalHandlers();
        initLog(logInit(Settings.Host));
        program Program(Settings);
        BOOST_LEAF_CHECK(Program.start());
        Program.run();
        return 0;
      },
      fail);
}
} // namespace

} // namespace tarragonbridge::poolhost

int main(int Count, char **Values) {
  using namespace tarragonbridge::poolhost; // NOLINT: this program's namespace
  return runProgram(parseArguments(Count, Values));
}
