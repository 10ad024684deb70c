/// Prints docs/SETTINGS.md from the table of keys.
#include "tarragonbridge/settings.h"

#include <iostream>

using namespace tarragonbridge;

int main() {
  std::cout
      << "# Settings\n\n"
         "Each path is a subtree: `/` the root, then one for each team, nested "
         "by `/`. The nearest\nvalue counts; a limit never exceeds one further "
         "up. This page is printed from the table in\n"
         "`src/core/settings_fields.cpp` by `scripts/docs`.\n\n"
         "| key | unit | bounds | default | meaning |\n|---|---|---|---|---|\n";
  for (const settings_field &Field : settingsFields()) {
    const bool IsUnlimited = Field.IsLimit && Field.Default == 0;
    std::cout << "| `" << Field.Name << "` | " << Field.Unit << " | "
              << Field.Least << " to " << Field.Most << " | "
              << (IsUnlimited ? "no limit" : std::to_string(Field.Default))
              << " | " << Field.Text << " |\n";
  }
  std::cout
      << "| `failure_domains` | names | one or more, root only | the host's "
         "own | Failure domains of the system. |\n"
         "| `operators` | list of `{name, token_sha256}` | 1 to "
      << config::MaxOperators
      << ", the root first | none: anyone | Who may change the subtree and "
         "those below that name none. |\n"
         "| `why` | text | up to "
      << config::MaxSettingsNoteBytes
      << " bytes | none | Why the edit is made; kept in the history. |\n\n"
         "## Limits of a process\n\n"
         "They stand in the process's own file, not in the store, and are "
         "checked at its start;\n[LIMITS.md](LIMITS.md) tells what is derived "
         "from them. Not set by themselves, but\nfollowing the memory: "
         "unfinished bodies, jobs and responses held, the largest body, values "
         "of\na body, requests that wait, queued tasks, payloads, kept answers "
         "and remembered jobs of\n`tarragonbridged`; the first two, ended "
         "jobs, "
         "cancellations, messages to other hosts and hosts\nthat no list shows "
         "of `tarragonbridge-pool`. Connections follow both.\n\n"
         "| process | key | unit | least | default | meaning |\n"
         "|---|---|---|---|---|---|\n"
         "| `tarragonbridged` | `memory_mb` | MiB | "
      << config::MinMemoryMb << " | " << config::DefaultMemoryMb
      << " | Memory that the process may use. |\n"
         "| `tarragonbridged` | `file_descriptors` | descriptors | "
      << config::MinFileDescriptors
      << " | the process's own limit | Descriptors that it may open. |\n"
         "| `tarragonbridge-pool` | `limits.memoryMb` | MiB | 20 | 120 | "
         "Memory that the process may use; given by the platform. |\n"
         "| `tarragonbridge-pool` | `limits.fileDescriptors` | descriptors | "
         "300 | 3000 | Descriptors that it may open; given by the platform. "
         "|\n";
}
