/// Embeds the dispatcher: events in, effects out, with clocks of the embedder's
/// choice.
#include "tarragonbridge/dispatcher.h"

#include <iostream>

using namespace tarragonbridge;

int main() {
  const session_home Self{"curepipe", "cp-1", 7};
  dispatcher Dispatcher = makeDispatcher({Self, "127.0.0.1:8080", 1});
  const instant Now{boot_time(microseconds(1)),
                    wall_time(milliseconds(1'790'000'000'000))};

  host_entry Target;
  Target.Name = "t1";
  Target.FailureDomain = "curepipe";
  Target.Address = "127.0.0.1:9001";
  Target.Slots = 8;
  Target.Capacity = {30, 65'536, 0};
  Target.Connections = 60;
  reduce(*Dispatcher, hosts_listed{{Target}}, Now);

  job_request Job;
  Job.Key = formatSession(Self, 1) + ".1";
  Job.Team = "default";
  Job.SubmittedAt = Now.Wall;
  Job.TimeLimit = milliseconds(5'000);
  Job.Tasks.push_back({R"({"role":"extra"})", {}, {}});

  for (const effect &Effect :
       reduce(*Dispatcher, job_submitted{request_handle(1), Job, false}, Now)) {
    if (const auto *Start = std::get_if<start_task>(&Effect)) {
      std::cout << "start " << formatTaskId(Start->Id) << " at "
                << Start->Address << '\n';
      return 0;
    }
  }
  return 1;
}
