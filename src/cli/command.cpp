#include "cli/command.h"

#include "cli/job_commands.h"
#include "cli/settings_commands.h"
#include "cli/status_commands.h"
#include "core/json_reader.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace tarragonbridge::cli {

namespace {
constexpr std::array Table{
    command{"job", "submit", "submit a job and print its answer", submitJob},
    command{"job", "status", "tell how a job stands", showJob},
    command{"job", "cancel", "cancel a job", cancelJob},
    command{"settings", "get", "print a subtree, or what is in force",
            getSettings},
    command{"settings", "set", "change a subtree", setSettings},
    command{"settings", "check", "check a subtree before it is set",
            checkSettings},
    command{"settings", "history", "print the versions of a subtree",
            showSettingsHistory},
    command{"status", "", "tell whether a host is well", showStatus},
    command{"targets", "", "list the targets as a host sees them", showTargets},
    command{"peers", "", "list the other entry hosts", showPeers},
    command{"version", "", "print the version", showVersion},
};
} // namespace

std::span<const command> commandTable() { return Table; }

void parseArguments(TCLAP::CmdLine &Line, const arguments &Arguments) {
  arguments Copy = Arguments;
  Line.setExceptionHandling(false);
  try {
    Line.parse(Copy);
  } catch (const TCLAP::ArgException &Thrown) {
    std::cerr << Arguments.front() << ": " << Thrown.error() << ' '
              << Thrown.argId() << "\nArguments are told by --help.\n";
    std::exit(static_cast<int>(exit_code::BadArguments));
  } catch (const TCLAP::ExitException &Ended) { // help or version was shown
    std::exit(Ended.getExitStatus());
  }
}

std::string readInput(const std::string &File) {
  std::ostringstream Text;
  if (File == "-") {
    Text << std::cin.rdbuf();
  } else {
    Text << std::ifstream(File).rdbuf();
  }
  return Text.str();
}

http_result callHost(const std::string &Address, http_call Call) {
  http_client Client;
  Call.Url = "http://" + Address + Call.Url;
  return sendAndWait(Client, std::move(Call));
}

exit_code reportFailure(const std::string &Address, const http_result &Result) {
  if (Result.Status == 0) {
    std::cerr << Address << " did not answer: " << Result.Error << '\n';
    return exit_code::Unreachable;
  }
  const json_document Document(Result.Body, json_comments::Refused);
  const bool HasMessage =
      Document.isValid() && Document.root().isMember("message");
  std::cerr << Address << " refused the request (" << Result.Status << "): "
            << (HasMessage ? Document.root()["message"].asString()
                           : Result.Body)
            << '\n';
  return exit_code::Refused;
}

} // namespace tarragonbridge::cli
