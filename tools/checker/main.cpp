/// Checker: counts broken promises in the records of targets and callers.
#include "checker/promises.h"

#include <iostream>
#include <map>
#include <tclap/CmdLine.h>

using namespace tarragonbridge;

namespace {
constexpr int ExitBreach = 1;
constexpr int ExitBadInput = 2;

result<std::vector<breach>>
checkFiles(const std::vector<std::string> &CallFiles,
           const std::vector<std::string> &TargetFiles) {
  std::vector<call_line> Calls;
  std::vector<target_line> Lines;
  for (const std::string &File : CallFiles) {
    BOOST_LEAF_AUTO(More, readCallJournal(File));
    Calls.insert(Calls.end(), More.begin(), More.end());
  }
  for (const std::string &File : TargetFiles) {
    BOOST_LEAF_AUTO(More, readTargetRecord(File));
    Lines.insert(Lines.end(), More.begin(), More.end());
  }
  std::cout << "lines of callers=" << Calls.size()
            << " lines of targets=" << Lines.size() << '\n';
  return checkPromises(std::move(Lines), std::move(Calls), {});
}

int report(const std::vector<breach> &Breaches) {
  std::map<promise, std::size_t> Counts;
  for (const breach &Breach : Breaches) {
    ++Counts[Breach.Promise];
    std::cout << nameOf(Breach.Promise) << ": " << Breach.Subject << ": "
              << Breach.Message << '\n';
  }
  for (std::size_t Index = 0; Index < static_cast<std::size_t>(promise::Count);
       ++Index) {
    const auto Promise = static_cast<promise>(Index);
    std::cout << "broken " << nameOf(Promise) << '=' << Counts[Promise] << '\n';
  }
  return Breaches.empty() ? 0 : ExitBreach;
}
} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Counts broken promises; ends with 1 if there are any.",
                      ' ', "0.1.0");
  TCLAP::MultiArg<std::string> Calls("c", "calls", "record of callers", true,
                                     "FILE", Line);
  TCLAP::MultiArg<std::string> Targets("t", "target", "record of a target",
                                       false, "FILE", Line);
  Line.parse(Argc, Argv);
  return tryOr(
      [&]() -> result<int> {
        BOOST_LEAF_AUTO(Breaches,
                        checkFiles(Calls.getValue(), Targets.getValue()));
        return report(Breaches);
      },
      [](const error &Error) {
        std::cerr << Error.Peer << ": " << Error.Message << '\n';
        return ExitBadInput;
      });
}
