/// Commands of the tool: a noun, a verb and what they do.
#pragma once

#include "net/http_client.h"
#include "tarragonbridge/error.h"

#include <span>
#include <string>
#include <string_view>
#include <tclap/CmdLine.h>
#include <vector>

namespace tarragonbridge::cli {

/// Exit codes of the tool.
enum class exit_code : int {
  Success = 0,
  JobFailed = 1,    ///< the job ended without a whole answer
  BadArguments = 2, ///< nothing was sent
  Refused = 3,      ///< the host refused the request
  Unreachable = 4,  ///< no host answered
  NotWell = 5,      ///< the host answered that something is wrong with it
};

using arguments = std::vector<std::string>;

/// One row of the command table.
struct command {
  std::string_view Noun;
  std::string_view Verb;
  std::string_view Summary;
  exit_code (*Run)(const arguments &Arguments);
};

/// @returns all commands
std::span<const command> commandTable();

/// Parses the arguments of a command.
///
/// @param[in,out] Line what the command takes
/// @remarks Ends the process with exit_code::BadArguments, and what was
/// expected, when they don't fit.
void parseArguments(TCLAP::CmdLine &Line, const arguments &Arguments);

/// @returns the content of a file, or of standard input for -
std::string readInput(const std::string &File);

/// Sends one call to a host and waits for its answer.
///
/// @param[in] Address IP and port of the host
/// @param[in] Call its Url holds the path only
http_result callHost(const std::string &Address, http_call Call);

/// Prints the host's error or refusal. @returns the exit code for it
exit_code reportFailure(const std::string &Address, const http_result &Result);

} // namespace tarragonbridge::cli
