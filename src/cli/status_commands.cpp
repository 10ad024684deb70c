#include "cli/status_commands.h"

#include <iostream>
#include <tclap/CmdLine.h>

namespace tarragonbridge::cli {

namespace {
constexpr int StatusOk = 200;
}

exit_code showStatus(const arguments &Arguments) {
  TCLAP::CmdLine Line("Tells whether a host is well.", ' ', "0.1.0");
  const TCLAP::ValueArg<std::string> To("t", "to", "host to ask, IP and port",
                                        false, "127.0.0.1:8080", "ADDR", Line);
  arguments Copy = Arguments;
  Line.parse(Copy);
  http_call Call;
  Call.Method = "GET";
  Call.Url = "/v1/status";
  const http_result Result = callHost(To.getValue(), std::move(Call));
  if (Result.Status != StatusOk) {
    return reportFailure(To.getValue(), Result);
  }
  std::cout << Result.Body << '\n';
  return exit_code::Success;
}

exit_code showVersion(const arguments & /*Arguments*/) {
  std::cout << "tarragonbridge 0.1.0\n";
  return exit_code::Success;
}

} // namespace tarragonbridge::cli
