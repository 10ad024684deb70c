/// Prints docs/REASONS.md from the reason table.
#include "tarragonbridge/reason.h"

#include <array>
#include <iostream>

using namespace tarragonbridge;

namespace {
struct section {
  reason_kind Kind;
  const char *Title;
  const char *Text;
};

constexpr std::array Sections{
    section{reason_kind::Refusal, "Refusals",
            "The request was not taken. The body's `not_run` says whether it "
            "is proved that "
            "nothing of the submission ran."},
    section{reason_kind::Failure, "Failures",
            "The job ended without a whole answer. The body's `outcome` says "
            "whether "
            "everything of it is known."},
    section{reason_kind::Retry, "Retries",
            "An attempt at a task ended without a result; the task may go "
            "elsewhere."},
    section{reason_kind::Ignored, "Ignored",
            "Messages that were counted and not used."},
};

void printSection(const section &Section) {
  std::cout << "\n## " << Section.Title << "\n\n" << Section.Text << "\n\n";
  std::cout << "| reason | HTTP status | meaning |\n|---|---|---|\n";
  for (const reason_info &Info : reasonTable()) {
    if (Info.Kind == Section.Kind) {
      std::cout << "| `" << Info.Name << "` | " << Info.HttpStatus << " | "
                << Info.Text << " |\n";
    }
  }
}
} // namespace

int main() {
  std::cout
      << "# Reasons\n\nEvery code of a refusal, failure, retry or ignored "
         "message. Each "
         "has a counter\n`tarragonbridge_reasons_total{kind,reason}` in "
         "`/metrics`. "
         "This page is printed from the\ntable in `src/core/reason.cpp` by "
         "`scripts/docs`; CI checks that they agree.\n";
  for (const section &Section : Sections) {
    printSection(Section);
  }
  return 0;
}
