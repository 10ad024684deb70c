#include "deployment.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

namespace json = boost::json;

void sleepMs(std::int64_t Time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Time));
}

void sleepUntil(std::int64_t At) {
  sleepMs(std::max<std::int64_t>(0, At - nowMs()));
}

std::string jobId(std::uint64_t Number) {
  std::string Text(16, '0');
  std::uint64_t Value = Number * 0x9e3779b97f4a7c15U;
  for (char &Digit : Text) {
    Digit = "0123456789abcdef"[Value >> 60U];
    Value <<= 4U;
  }
  return Text;
}

deployment::deployment(std::vector<zone_init> Given, const std::string &Folder)
    : Zones(std::move(Given)), Folder(Folder), Record(Folder + "/record.txt") {}

void deployment::end() {
  for (host &Host : Hosts) {
    if (Host.Pid > 0) {
      kill(Host.Pid, SIGKILL);
      kill(Host.Pid, SIGCONT);
      waitpid(Host.Pid, nullptr, 0);
      Host.Pid = -1;
    }
  }
  if (!Temporary.empty() && std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(Temporary);
  }
}

worker &deployment::addWorker(worker_init Init) {
  Init.Service = Service;
  Workers.push_back(
      std::make_unique<worker>(std::move(Init), Store, Runs, Record));
  return *Workers.back();
}

deployment::host &deployment::hostOf(const std::string &Zone, int Index) {
  for (host &Host : Hosts) {
    if (Host.Zone == Zone && Index-- == 0) {
      return Host;
    }
  }
  return Hosts.front();
}

void deployment::writeSettings(host &Host) {
  Host.SettingsPath = Temporary + "/" + Host.Name + ".conf";
  std::ofstream File(Host.SettingsPath);
  const std::string Ip = "127.0.0.1";
  File << "nodeName=" << Host.Name << "\nrole=pool\nmachineClass=front\n"
       << "serves=front,control\nipAddress=" << Ip << "\nzone=" << Host.Zone
       << "\nregion=marmara\n";
  for (const zone_init &Zone : Zones) {
    File << "zones." << Zone.Name << "=marmara\n";
  }
  File
      << "listenAddresses.front=" << Ip << ":" << Host.FrontPort
      << "\nlistenAddresses.ready=" << Ip << ":" << Host.ReadyPort
      << "\nlistenAddresses.control=" << Ip << ":" << Host.ControlPort
      << "\ninternalPortRange=" << Host.PeerPort << "," << Host.PeerPort
      << "\nseeds=" << Seeds
      << "\nbootstrap=true\ncountedInTolerance=false\nlimits.cpuShare=0.25\n"
         "limits.cores=1\nlimits.memoryMb=260\nlimits.fileDescriptors=4100\n"
         "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
         "entry=virtual_ip\nheartbeatMs=1500\n"
         "contracts=base,drain,config,cost,recover,sched,platform,advice,"
         "upkeep,sharing\n"
         "tolerance.machines=1\ntolerance.zones=1\ntolerance.regions=0\n"
         "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\n"
         "bounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\n"
         "bounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configMs=2000\n"
         "bounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\n"
         "bounds.recoveryS=12\nbounds.holdMaxMs=1000\nbounds.stopMs=50\n"
         "bounds.gangMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
         "bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
         "bounds.farFactor=2\nbounds.checkpointS=0.5\nbounds.restoreMs=600\n"
         "bounds.noticeMs=4500\nbounds.moveS=1.5\nbounds.upkeepS=2\n"
         "bounds.fencingRequired=true\nbounds.leaseMs=3000\nbounds.thawMs=300\n"
         "bounds.paceMs=100\nbounds.harmMs=4000\nbounds.resendMs=1300\n"
         "orders=invocation\nadvice=127.0.0.1:9\n"
      << "platform.address=" << Ip << ":" << Store.port()
      << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS="
         "2000\n"
         "platform.historyS=20\nplatform.valueBytes=1048576\n"
         "platform.ttlMinMs=1000\ncloud.address=127.0.0.1:9\n"
         "cloud.ratePerS=60.0\ncloud.duties=\ncloud.dutyPerS=60.0\n";
}

void deployment::launch(host &Host) {
  const std::string LogPath = Temporary + "/" + Host.Name + ".log";
  const pid_t Pid = fork();
  if (Pid == 0) {
    const int Log = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    setenv("TARRAGONBRIDGE_BOOT", Host.SettingsPath.c_str(), 1);
    const char *Program = "target/bin/tarragonbridge-pool"; // the deploy file's
    execl(Program, Program, nullptr);
    _exit(127);
  }
  Host.Pid = Pid;
  Record.line("host " + Host.Name + " started");
}

bool deployment::isReady(const host &Host) {
  return request(Host.ReadyPort, "GET", "/-/readiness", "", 300) == 200;
}

bool deployment::start() {
  nowMs();
  if (access("target/bin/tarragonbridge-pool", X_OK) != 0) {
    Record.line("the deployed program isn't built");
    return false;
  }
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(Pattern.data()) == nullptr) {
    return false;
  }
  Temporary = Pattern;
  if (std::getenv("KEEP_LOGS") != nullptr) {
    Record.line("logs of the hosts are kept");
    std::ofstream(std::string(std::getenv("KEEP_LOGS"))) << Temporary << "\n";
  }
  if (!Store.start()) {
    return false;
  }
  Store.put(
      "op/config",
      json::serialize(json::object{
          {"version", 7},
          {"routes", json::array{json::object{{"name", Route.Name},
                                              {"host", Route.HostName},
                                              {"prefix", Route.Prefix},
                                              {"kind", "unsafe"},
                                              {"timeoutMs", 30'000},
                                              {"targetDurationMs", 60},
                                              {"priority", Route.Priority},
                                              {"service", Service},
                                              {"maxAttempts", 3},
                                              {"stretch", 1.6}}}},
          {"services", json::array{json::object{{"name", Service},
                                                {"healthPath", "/health"},
                                                {"connectionLimit", 64},
                                                {"protocol", "h1"},
                                                {"tls", false},
                                                {"admissionCheck", false},
                                                {"spare", false}}}},
          {"limits", json::object{{"maxHeaderBytes", 16'384},
                                  {"maxBodyBytes", 262'144},
                                  {"headerTimeoutMs", 3'000},
                                  {"idleTimeoutMs", 15'000}}}}));
  int Number = 0;
  for (const zone_init &Zone : Zones) {
    for (int Index = 0; Index < Zone.Workers; ++Index) {
      worker_init Init;
      Init.Id = "i-" + jobId(static_cast<std::uint64_t>(++Number)).substr(0, 8);
      Init.Zone = Zone.Name;
      addWorker(Init).begin();
    }
    for (int Index = 0; Index < Zone.Hosts; ++Index) {
      host Host;
      Host.Name = "front-" + Zone.Name + "-" + std::to_string(Index + 1);
      Host.Zone = Zone.Name;
      Host.FrontPort = freePort();
      Host.ReadyPort = freePort();
      Host.ControlPort = freePort();
      Host.PeerPort = freePort();
      Hosts.push_back(Host);
    }
  }
  for (std::size_t Index = 0; Index < 3 && Index < Hosts.size(); ++Index) {
    Seeds += (Index == 0 ? "" : ",") + std::string("127.0.0.1:") +
             std::to_string(Hosts[Index].ControlPort);
  }
  for (host &Host : Hosts) {
    writeSettings(Host);
    launch(Host);
  }
  for (int Try = 0; Try < 100; ++Try) {
    sleepMs(100);
    bool AreReady = true;
    for (const host &Host : Hosts) {
      AreReady = AreReady && isReady(Host);
    }
    if (AreReady) {
      Record.line("all hosts are ready");
      sleepMs(3'500); // calm for longer than stableWindowMs
      return true;
    }
  }
  Record.line("the hosts didn't become ready");
  return false;
}

void deployment::signal(host &Host, int Number) {
  Record.line("host " + Host.Name + " gets signal " + std::to_string(Number));
  kill(Host.Pid, Number);
}

attempt::attempt(deployment &Deployment, const deployment::host &Host,
                 const job &Job)
    : Deployment(Deployment), Host(Host.Name), Job(Job), SentAt(nowMs()) {
  const std::string Body = json::serialize(json::object{
      {"specification", "cpu=" + std::to_string(Job.Cpu) +
                            " work=" + std::to_string(Job.WorkMs)},
      {"bestEffort", true},
      {"steps", json::array{json::object{{"count", Job.Tasks},
                                         {"cpu", Job.Cpu},
                                         {"memMb", 64},
                                         {"estimatedMs", Job.WorkMs}}}}});
  Deployment.log().line("client sends job " + Job.Id + " to " + Host.Name +
                        ": " + Body);
  Call = std::make_unique<http_call>(
      Host.FrontPort, "POST", Deployment.route().Prefix + Job.Id,
      std::map<std::string, std::string>{
          {"Host", Deployment.route().HostName},
          {"Remaining-Milliseconds", std::to_string(Job.LimitMs)}},
      Body);
}

int attempt::await(std::string *Body) {
  std::string Text;
  const std::int64_t Left = SentAt + Job.LimitMs - nowMs();
  const int Status =
      Call->await(static_cast<int>(std::max<std::int64_t>(Left, 1)), &Text);
  Deployment.log().line("client of job " + Job.Id + " at " + Host + " gets " +
                        std::to_string(Status) + " " + Text);
  if (Body != nullptr) {
    *Body = Text;
  }
  return Status;
}

void attempt::leave() {
  Call->close();
  Deployment.log().line("client of job " + Job.Id + " leaves " + Host);
}

int cancel(deployment &Deployment, const deployment::host &Host,
           const std::string &Id) {
  Deployment.log().line("client sends DELETE of job " + Id + " to " +
                        Host.Name);
  std::string Body;
  const int Status =
      request(Host.FrontPort, "DELETE", Deployment.route().Prefix + Id, "",
              4'000, &Body, {{"Host", Deployment.route().HostName}});
  Deployment.log().line("DELETE of job " + Id + " is answered " +
                        std::to_string(Status) + " " + Body);
  return Status;
}

} // namespace standin
