#include "cli/job_commands.h"

#include "base/clock.h"
#include "core/json_reader.h"
#include "core/json_text.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace tarragonbridge::cli {

namespace {
constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusAccepted = 202;

/// Prints a job's body. @returns the exit code for its state
exit_code printJob(const std::string &Body) {
  std::cout << Body << '\n';
  const json_document Document(Body, json_comments::Refused);
  const bool Failed =
      Document.isValid() && Document.root().get("state", "") == "failed";
  return Failed ? exit_code::JobFailed : exit_code::Success;
}

/// Opens a session. @returns its name, empty when it failed
std::string openSession(const std::string &Address, http_result &Result) {
  http_call Call;
  Call.Url = "/v1/sessions";
  Result = callHost(Address, std::move(Call));
  if (Result.Status != StatusCreated) {
    return "";
  }
  const json_document Document(Result.Body, json_comments::Refused);
  return Document.root().get("session", "").asString();
}

exit_code sendJob(const std::string &Address, Json::Value Job, bool Async) {
  if (!Job.isMember("key")) {
    http_result Opened;
    const std::string Session = openSession(Address, Opened);
    if (Session.empty()) {
      return reportFailure(Address, Opened);
    }
    Job["key"] = Session + ".1";
  }
  if (!Job.isMember("submitted_at_ms")) {
    Job["submitted_at_ms"] = Json::Int64(wallNow().time_since_epoch().count());
  }
  http_call Call;
  Call.Url = "/v1/jobs";
  Call.Body = writeJson(Job);
  Call.Timeout = config::MaxTimeLimit;
  if (Async) {
    Call.Headers.emplace_back("Prefer: respond-async");
  }
  const http_result Result = callHost(Address, std::move(Call));
  if (Result.Status != StatusOk && Result.Status != StatusAccepted) {
    std::cerr << "key " << Job["key"].asString() << '\n';
    return reportFailure(Address, Result);
  }
  return printJob(Result.Body);
}

/// Arguments of a command that names a job.
struct named_job {
  std::string Address;
  std::string Key;
};

named_job parseNamedJob(const arguments &Arguments,
                        const std::string &Summary) {
  TCLAP::CmdLine Line(Summary, ' ', "0.1.0");
  const TCLAP::ValueArg<std::string> To("t", "to", "host to ask, IP and port",
                                        false, "127.0.0.1:8080", "ADDR", Line);
  const TCLAP::UnlabeledValueArg<std::string> Key("key", "key of the job", true,
                                                  "", "KEY", Line);
  parseArguments(Line, Arguments);
  return {To.getValue(), Key.getValue()};
}

exit_code askAboutJob(const named_job &Job, const std::string &Method) {
  http_call Call;
  Call.Method = Method;
  Call.Url = "/v1/jobs/" + Job.Key;
  const http_result Result = callHost(Job.Address, std::move(Call));
  return Result.Status == StatusOk ? printJob(Result.Body)
                                   : reportFailure(Job.Address, Result);
}
} // namespace

exit_code submitJob(const arguments &Arguments) {
  TCLAP::CmdLine Line(
      "Submits a job and prints its answer. The file holds the job as JSON; "
      "key and submitted_at_ms are filled in when they are absent.",
      ' ', "0.1.0");
  const TCLAP::ValueArg<std::string> To("t", "to", "host to ask, IP and port",
                                        false, "127.0.0.1:8080", "ADDR", Line);
  const TCLAP::SwitchArg Async("a", "async", "don't wait for the answer", Line);
  const TCLAP::UnlabeledValueArg<std::string> File(
      "file", "job, - for standard input", true, "", "FILE", Line);
  parseArguments(Line, Arguments);
  const std::string Text = readInput(File.getValue());
  const json_document Document(Text, json_comments::Allowed);
  if (!Document.isValid() || !Document.root().isObject()) {
    std::cerr << File.getValue() << ": "
              << (Document.isValid() ? "expected an object" : Document.faults())
              << '\n';
    return exit_code::BadArguments;
  }
  return sendJob(To.getValue(), Document.root(), Async.getValue());
}

exit_code showJob(const arguments &Arguments) {
  return askAboutJob(parseNamedJob(Arguments, "Tells how a job stands."),
                     "GET");
}

exit_code cancelJob(const arguments &Arguments) {
  return askAboutJob(parseNamedJob(Arguments, "Cancels a job."), "DELETE");
}

} // namespace tarragonbridge::cli
