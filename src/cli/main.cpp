/// tarragonbridge: the command-line tool.
#include "cli/command.h"

#include <algorithm>
#include <iostream>

using namespace tarragonbridge::cli;

namespace {
void printHelp(std::ostream &Out) {
  Out << "usage: tarragonbridge NOUN [VERB] [ARGUMENTS]\n\n";
  for (const command &Command : commandTable()) {
    std::string Words(Command.Noun);
    Words += Command.Verb.empty() ? "" : " " + std::string(Command.Verb);
    constexpr std::size_t Width = 20;
    Words.resize(std::max(Width, Words.size() + 1), ' ');
    Out << "  " << Words << Command.Summary << '\n';
  }
  Out << "\nEach command tells its arguments with --help.\n";
}

bool matches(const command &Command, const arguments &Words) {
  const bool HasVerb = Words.size() > 1 && Words[1] == Command.Verb;
  return !Words.empty() && Words[0] == Command.Noun &&
         (Command.Verb.empty() || HasVerb);
}
} // namespace

int main(int Argc, char **Argv) {
  const arguments Words(Argv + 1, Argv + Argc);
  if (!Words.empty() && (Words[0] == "--help" || Words[0] == "help")) {
    printHelp(std::cout);
    return 0;
  }
  for (const command &Command : commandTable()) {
    if (!matches(Command, Words)) {
      continue;
    }
    // The parser takes the first word as the program's name.
    const std::size_t Skipped = Command.Verb.empty() ? 0 : 1;
    arguments Rest(Words.begin() + static_cast<std::ptrdiff_t>(Skipped),
                   Words.end());
    return static_cast<int>(Command.Run(Rest));
  }
  printHelp(std::cerr);
  return static_cast<int>(exit_code::BadArguments);
}
