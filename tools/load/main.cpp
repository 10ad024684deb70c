/// Load tool: submits jobs at random times and measures what callers see.
#include "base/clock.h"
#include "base/signals.h"
#include "core/json_text.h"
#include "load/report.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

using namespace tarragonbridge;

namespace {
constexpr int TripSamples = 21;
constexpr int ExitBadInput = 2;

struct load_options {
  callers_init Callers;
  arrivals_init Arrivals;
  std::vector<std::string> Records; ///< files of targets
  std::string JournalFile;
  std::string JsonFile;
};

/// Parses "speed:slots" or "speed:slots:record".
bool parseTarget(const std::string &Text, load_options &Options) {
  std::istringstream Stream(Text);
  target_shape Target;
  char Colon = 0;
  if (!(Stream >> Target.Speed >> Colon >> Target.Slots) || Colon != ':' ||
      Target.Speed <= 0) {
    return false;
  }
  Options.Arrivals.Targets.push_back(Target);
  std::string Record;
  if (Stream >> Colon >> Record) {
    Options.Records.push_back(Record);
  }
  return true;
}

/// What the command line may hold.
struct load_arguments {
  TCLAP::CmdLine Line{
      "Submits jobs at random times and measures what callers see.", ' ',
      "0.1.0"};
  TCLAP::MultiArg<std::string> Entries{
      "e", "entry", "address of an entry host", true, "ADDR", Line};
  TCLAP::MultiArg<std::string> Targets{
      "t",
      "target",
      "speed, slots and record file of a target",
      true,
      "SPEED:SLOTS[:FILE]",
      Line};
  TCLAP::ValueArg<std::string> Mix{
      "m", "mix", "rates-desk or ekslibris", false, "rates-desk", "NAME", Line};
  TCLAP::ValueArg<double> Load{
      "l", "load", "part of the targets' capacity", false, 0.5, "PART", Line};
  TCLAP::ValueArg<double> Seconds{
      "s", "seconds", "time over which jobs arrive", false, 10, "S", Line};
  TCLAP::ValueArg<std::uint64_t> Seed{
      "", "seed", "seed of the arrivals", false, 1, "N", Line};
  TCLAP::ValueArg<double> Repeatable{
      "",     "repeatable", "part of the jobs marked repeatable", false, 0.5,
      "PART", Line};
  TCLAP::ValueArg<double> Resubmit{
      "",     "resubmit", "part of the jobs submitted again", false, 0.02,
      "PART", Line};
  TCLAP::SwitchArg Elsewhere{"", "resubmit-elsewhere",
                             "resubmit by another entry host", Line};
  TCLAP::ValueArg<std::string> Team{
      "", "team", "path of a team", false, "default", "PATH", Line};
  TCLAP::ValueArg<std::int64_t> Limit{
      "",  "time-limit-ms", "time limit of jobs, 0: by the mix", false, 0, "MS",
      Line};
  TCLAP::ValueArg<std::string> Journal{
      "", "record", "file of submissions and answers", false, "", "FILE", Line};
  TCLAP::ValueArg<std::string> Json{
      "", "json", "file for the figures", false, "", "FILE", Line};
};

load_options toOptions(load_arguments &Arguments) {
  const auto Mix = findMix(Arguments.Mix.getValue());
  if (!Mix) {
    throw TCLAP::CmdLineParseException("no such mix", "mix");
  }
  load_options Options;
  for (const std::string &Target : Arguments.Targets.getValue()) {
    if (!parseTarget(Target, Options)) {
      throw TCLAP::CmdLineParseException("not SPEED:SLOTS[:FILE]", "target");
    }
  }
  Options.Arrivals.Mix = *Mix;
  Options.Arrivals.OfferedLoad = Arguments.Load.getValue();
  Options.Arrivals.Length = std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(Arguments.Seconds.getValue()));
  Options.Arrivals.Seed = Arguments.Seed.getValue();
  Options.Arrivals.RepeatableShare = Arguments.Repeatable.getValue();
  Options.Arrivals.ResubmitShare = Arguments.Resubmit.getValue();
  Options.Callers.Entries = Arguments.Entries.getValue();
  Options.Callers.Team = Arguments.Team.getValue();
  Options.Callers.ResubmitElsewhere = Arguments.Elsewhere.getValue();
  Options.Callers.TimeLimit = Arguments.Limit.getValue() == 0
                                  ? Mix->TimeLimit
                                  : milliseconds(Arguments.Limit.getValue());
  Options.JournalFile = Arguments.Journal.getValue();
  Options.JsonFile = Arguments.Json.getValue();
  return Options;
}

load_options parseArguments(int Argc, char **Argv) {
  load_arguments Arguments;
  try {
    Arguments.Line.parse(Argc, Argv);
    return toOptions(Arguments);
  } catch (TCLAP::ArgException &Fault) {
    std::cerr << Fault.argId() << ": " << Fault.error() << '\n';
    std::exit(ExitBadInput);
  }
}

/// @returns the median round trip of a small request to the first entry host
microseconds measureTrip(http_client &Client, const std::string &Entry) {
  std::vector<microseconds> Trips;
  for (int Sample = 0; Sample < TripSamples; ++Sample) {
    http_call Call;
    Call.Method = "GET";
    Call.Url = "http://" + Entry + "/healthz";
    const boot_time Began = bootNow();
    (void)sendAndWait(Client, std::move(Call));
    Trips.push_back(bootNow() - Began);
  }
  std::sort(Trips.begin(), Trips.end());
  return Trips[Trips.size() / 2];
}

result<std::vector<target_line>>
readRecords(const std::vector<std::string> &Files, wall_time Since) {
  std::vector<target_line> All;
  for (const std::string &File : Files) {
    BOOST_LEAF_AUTO(Lines, readTargetRecord(File));
    std::erase_if(Lines,
                  [&](const target_line &Line) { return Line.At < Since; });
    All.insert(All.end(), Lines.begin(), Lines.end());
  }
  return All;
}

result<run_figures> measure(const load_options &Options) {
  http_client Client;
  call_journal Journal(Options.JournalFile);
  const std::vector<std::string> &Entries = Options.Callers.Entries;
  const std::vector<planned_job> Jobs = planArrivals(Options.Arrivals);
  const microseconds Trip = measureTrip(Client, Entries.front());
  const metric_values Before = readMetrics(Client, Entries);
  const wall_time Began = wallNow();
  BOOST_LEAF_AUTO(Outcome, runCallers(Options.Callers, Jobs, Journal));
  const metric_values After = readMetrics(Client, Entries);
  BOOST_LEAF_AUTO(Records, readRecords(Options.Records, Began));
  return makeFigures(Options.Arrivals, Jobs, Outcome,
                     countMessages(Records, Before, After), Trip);
}
} // namespace

int main(int Argc, char **Argv) {
  const load_options Options = parseArguments(Argc, Argv);
  blockTerminationSignals();
  return tryOr(
      [&]() -> result<int> {
        BOOST_LEAF_AUTO(Figures, measure(Options));
        printTable(std::cout, Figures);
        if (!Options.JsonFile.empty()) {
          std::ofstream(Options.JsonFile) << writeJson(toJson(Figures)) << '\n';
        }
        return 0;
      },
      [](const error &Error) {
        std::cerr << Error.Step << ": " << Error.Peer << ": " << Error.Message
                  << '\n';
        return ExitBadInput;
      });
}
