#include "scenario_runner/process.h"

#include "base/clock.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace tarragonbridge {

namespace {
constexpr int ExitNotStarted = 127;
constexpr milliseconds WaitInterval{5};

/// Becomes the program; only calls that are safe between fork and exec.
[[noreturn]] void execute(char *const *Arguments, int Log) {
  // Ends with the runner, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Arguments[0], Arguments);
  _exit(ExitNotStarted);
}
} // namespace

process_table::~process_table() {
  for (const auto &[Process, Code] : Processes) {
    if (!Code) {
      kill(Process, SIGKILL);
      waitpid(Process, nullptr, 0);
    }
  }
}

pid_t process_table::start(const std::vector<std::string> &Arguments,
                           const std::string &LogFile) {
  std::vector<char *> Raw;
  Raw.reserve(Arguments.size() + 1);
  for (const std::string &Argument : Arguments) {
    Raw.push_back(const_cast<char *>(Argument.c_str()));
  }
  Raw.push_back(nullptr);
  constexpr mode_t LogMode = 0644;
  const int Log =
      open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
  const pid_t Process = fork();
  if (Process == 0) {
    execute(Raw.data(), Log);
  }
  close(Log);
  if (Process > 0) {
    Processes[Process] = std::nullopt;
  }
  return Process;
}

std::optional<int> process_table::reap(pid_t Process) {
  const auto Found = Processes.find(Process);
  if (Found == Processes.end() || Found->second) {
    return Found == Processes.end() ? std::nullopt : Found->second;
  }
  int Status = 0;
  if (waitpid(Process, &Status, WNOHANG) == Process) {
    Found->second = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  }
  return Found->second;
}

bool process_table::signal(pid_t Process, int Signal) {
  const bool IsRunning = Processes.contains(Process) && !reap(Process);
  return IsRunning && kill(Process, Signal) == 0;
}

std::optional<int> process_table::wait(pid_t Process, milliseconds Bound) {
  const boot_time Until = bootNow() + Bound;
  std::optional<int> Code = reap(Process);
  while (!Code && bootNow() < Until) {
    std::this_thread::sleep_for(WaitInterval);
    Code = reap(Process);
  }
  return Code;
}

} // namespace tarragonbridge
