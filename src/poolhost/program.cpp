#include "poolhost/program.h"

#include "base/clock.h"
#include "base/log.h"
#include "platform/wire.h"
#include "poolhost/signal_pipe.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <sys/epoll.h>

namespace tarragonbridge::poolhost {

namespace {
namespace config = pool::config;

process_upload_limits limitsOf(const platform::process_settings &Settings) {
  return makeUploadLimits(Settings.MemoryBytes, Settings.FileDescriptors);
}

std::shared_ptr<connection_guard> makeGuard(const upload_limits &Limits) {
  return std::make_shared<connection_guard>(Limits, "");
}

/// @returns an estimate of the memory that a job takes while it is open; the
/// start command of each task repeats the specification
std::size_t heldBytes(const pool::job_submission &Job) {
  std::size_t Tasks = 0;
  for (const pool::job_step &Step : Job.Steps) {
    Tasks += std::min<std::size_t>(Step.Count, config::MaxTasksPerJob);
  }
  const std::size_t BytesPerTask =
      config::HeldBytesPerTask + Job.Specification.size();
  return Job.Steps.capacity() * sizeof(pool::job_step) +
         std::min(Tasks, config::MaxTasksPerJob) * BytesPerTask;
}

server_init serverInit(const std::string &Listen,
                       std::shared_ptr<connection_guard> Guard) {
  server_init Init;
  Init.ListenAddress = Listen;
  Init.TimeLimitHeader = platform::TimeLimitHeader;
  Init.MaxBodyBytes = config::MaxBodyBytes;
  Init.Guard = std::move(Guard);
  Init.IdleTimeout = config::CallerIdleTimeout;
  return Init;
}

/// @returns a higher number in each later process of a host, unless the system
/// clock was set back in between
std::uint64_t makeIncarnation() {
  return static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
}

pool::pool_init poolInit(const platform::process_settings &Settings,
                         std::uint64_t Incarnation) {
  pool::pool_init Init;
  Init.Name = Settings.Host;
  Init.FailureDomain = Settings.FailureDomain;
  Init.Incarnation = Incarnation;
  Init.RandomSeed = Incarnation;
  Init.MaxLeaseTime = Settings.MaxLeaseTime;
  Init.Limits = pool::makePoolLimits(Settings.MemoryBytes);
  return Init;
}

std::string peerAddress(const platform::process_settings &Settings) {
  return Settings.IpAddress + ":" + std::to_string(Settings.PeerPort);
}

store_watcher_init storeInit(const platform::process_settings &Settings,
                             std::uint64_t Incarnation) {
  return {Settings.StoreAddress,
          {{Settings.Host, Incarnation},
           peerAddress(Settings),
           Settings.FailureDomain}};
}
} // namespace

program::program(const platform::process_settings &Given)
    : Settings(Given), Client(Loop, config::MaxConnectionsPerTarget),
      Host(pool::makePoolHost(poolInit(Given, makeIncarnation()))),
      StoreWatcher(
          Client, storeInit(Given, pool::incarnationOf(*Host)),
          [this](pool::event &&Event) { dispatch(std::move(Event)); },
          [this](const std::string &Key, const std::string &Reason) {
            ++InvalidStoreItems;
            logEvent("store_entry_refused", {{"key", Key}, {"reason", Reason}});
          }),
      CallerGuard(makeGuard(limitsOf(Given).Callers)),
      InternalGuard(makeGuard(limitsOf(Given).Internal)),
      CallerServer(Loop, serverInit(Given.CallerAddress, CallerGuard)),
      ReadinessServer(Loop, serverInit(Given.ReadinessAddress, InternalGuard)) {
  if (!Given.MetricsAddress.empty()) {
    MetricsServer = std::make_unique<async_http_server>(
        Loop, serverInit(Given.MetricsAddress, InternalGuard));
  }
}

result<void> program::start() {
  BOOST_LEAF_CHECK(PeerSocket.bind(peerAddress(Settings)));
  Loop.watch(PeerSocket.descriptor(), EPOLLIN,
             [this](std::uint32_t) { handleDatagrams(); });
  Loop.watch(signalDescriptor(), EPOLLIN,
             [this](std::uint32_t) { handleSignals(); });
  const auto Listen = [this](async_http_server &Server) {
    return Server.start(
        [this, &Server](request_handle Request, server_request &&Received) {
          handleRequest(Server, Request, std::move(Received));
        },
        [this](request_handle Request) {
          dispatch(pool::caller_disconnected{Request});
        });
  };
  BOOST_LEAF_CHECK(Listen(CallerServer));
  BOOST_LEAF_CHECK(Listen(ReadinessServer));
  if (MetricsServer) {
    BOOST_LEAF_CHECK(Listen(*MetricsServer));
  }
  logEvent("started", {{"host", Settings.Host},
                       {"failure_domain", Settings.FailureDomain},
                       {"callers", Settings.CallerAddress},
                       {"store", Settings.StoreAddress}});
  return {};
}

void program::run() {
  PassFinishedAt = bootNow();
  while (!IsFinished) {
    const boot_time Due = std::min(
        {pool::nextTimerAt(*Host), Client.nextDueAt(), StoreWatcher.nextDueAt(),
         CallerServer.nextDueAt(), ReadinessServer.nextDueAt(),
         MetricsServer ? MetricsServer->nextDueAt() : boot_time::max()});
    const boot_time WokenAt = Loop.runOnce(Due);
    Client.onTimer();
    Client.completeRequests();
    const boot_time Now = bootNow();
    StoreWatcher.onTimer(Now);
    if (pool::nextTimerAt(*Host) <= Now) {
      dispatch(pool::timer_fired{});
    }
    CallerServer.flush(Now);
    ReadinessServer.flush(Now);
    if (MetricsServer) {
      MetricsServer->flush(Now);
    }
    flushLog();
    recordPass(Due, WokenAt);
  }
  logEvent("ended", {{"host", Settings.Host}});
}

void program::recordPass(boot_time Due, boot_time WokenAt) {
  const boot_time ExpectedAt = std::max(Due, PassFinishedAt);
  PassFinishedAt = bootNow();
  const auto Late =
      std::chrono::duration_cast<milliseconds>(WokenAt - ExpectedAt);
  const auto Busy =
      std::chrono::duration_cast<milliseconds>(PassFinishedAt - WokenAt);
  if (std::max(Late, Busy) < config::StallLogThreshold) {
    return;
  }
  ++Stalls;
  logEvent("stalled", {{"woken_late_ms", std::to_string(Late.count())},
                       {"busy_ms", std::to_string(Busy.count())}});
}

void program::handleSignals() {
  for (const signal_kind Signal : readSignals()) {
    if (Signal == signal_kind::Reload) {
      logEvent("reloaded", {{"host", Settings.Host}});
      continue;
    }
    StoreWatcher.unregister();
    dispatch(pool::shutdown_requested{Settings.ShutdownTime});
  }
}

void program::handleRequest(async_http_server &Server, request_handle Request,
                            server_request &&Received) {
  if (&Server == MetricsServer.get()) {
    Server.respond(Request, {200, formatMetrics(), {}, "text/plain"});
    return;
  }
  if (Received.Path == platform::ReadinessPath) {
    dispatch(pool::readiness_queried{Request});
    return;
  }
  if (Received.Method != "POST") {
    dispatch(pool::job_queried{Request, std::move(Received.HostName),
                               std::move(Received.Path),
                               Received.Method == "DELETE"});
    return;
  }
  std::string ErrorMessage;
  pool::job_submitted Submitted;
  Submitted.Request = Request;
  const bool IsDecoded = tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_ASSIGN(Submitted.Job, platform::decodeJob(Received.Body));
        return true;
      },
      [&](const error &Error) {
        ErrorMessage = Error.Message;
        return false;
      });
  if (!IsDecoded) {
    ++MalformedBodies;
    logEvent("body_refused",
             {{"path", Received.Path}, {"reason", ErrorMessage}});
    Server.respond(Request, {400, "{}", {}});
    return;
  }
  Submitted.HasRoom =
      Server.hold(Request, heldBytes(Submitted.Job) + Received.Path.capacity());
  Submitted.HostName = std::move(Received.HostName);
  Submitted.Path = std::move(Received.Path);
  Submitted.TimeLimit = platform::decodeTimeLimit(Received.TimeLimit);
  dispatch(std::move(Submitted));
}

void program::handleDatagrams() {
  PeerSocket.receiveAll(
      [this](std::string_view Bytes, const std::string &From) {
        if (auto Datagram = pool::decodeDatagram(Bytes)) {
          dispatch(pool::datagram_received{std::move(*Datagram), From});
        } else {
          ++MalformedDatagrams;
        }
      });
}

void program::dispatch(pool::event &&Event) {
  std::vector<pool::effect> Effects;
  pool::reduce(*Host, std::move(Event), bootNow(), Effects);
  for (pool::effect &Effect : Effects) {
    std::visit([this](auto &Kind) { execute(std::move(Kind)); }, Effect);
  }
}

void program::execute(pool::respond_to_caller &&Response) {
  platform::caller_response Encoded = platform::encodeCallerResponse(Response);
  server_response ServerResponse{Encoded.Status, std::move(Encoded.Body),
                                 std::move(Encoded.Headers)};
  if (!CallerServer.respond(Response.Request, ServerResponse)) {
    ReadinessServer.respond(Response.Request, std::move(ServerResponse));
  }
}

void program::sendToTarget(
    const std::string &Address, platform::http_request HttpRequest,
    milliseconds Timeout, bool NewConnection,
    std::function<void(platform::http_response &&)> Done) {
  outgoing_request Outgoing;
  Outgoing.Method = std::move(HttpRequest.Method);
  Outgoing.Address = Address;
  Outgoing.Path = std::move(HttpRequest.Path);
  Outgoing.Body = std::move(HttpRequest.Body);
  Outgoing.Body.shrink_to_fit(); // many may wait for their responses
  Outgoing.Headers = std::move(HttpRequest.Headers);
  Outgoing.Timeout = Timeout;
  Outgoing.NewConnection = NewConnection;
  Client.send(std::move(Outgoing),
              [Done = std::move(Done)](received_response &&Result) {
                Done({Result.Status, std::move(Result.Body), Result.WasSent,
                      Result.WasRepeated});
              });
}

void program::execute(pool::start_attempt &&Start) {
  platform::http_request HttpRequest = platform::encodeStart(Start);
  std::string().swap(Start.Specification); // many may wait for their responses
  const std::string Address = Start.Address;
  const bool NewConnection = Start.NewConnection;
  sendToTarget(
      Address, std::move(HttpRequest), config::CommandTimeout, NewConnection,
      [this, Start = std::move(Start)](platform::http_response &&Response) {
        dispatch(platform::decodeStart(Start, Response));
      });
}

void program::execute(pool::stop_attempt &&Stop) {
  platform::http_request HttpRequest = platform::encodeStop(Stop);
  const std::string Address = Stop.Address;
  sendToTarget(
      Address, std::move(HttpRequest), config::CommandTimeout, false,
      [this, Stop = std::move(Stop)](platform::http_response &&Response) {
        dispatch(platform::decodeStop(Stop, Response));
      });
}

void program::execute(pool::renew_target_lease &&Renewal) {
  platform::http_request HttpRequest = platform::encodeRenewal(Renewal);
  const std::string Address = Renewal.Address;
  const milliseconds Timeout =
      Renewal.LongPollWait + config::RenewalTimeoutMargin;
  const bool NewConnection = Renewal.NewConnection;
  sendToTarget(
      Address, std::move(HttpRequest), Timeout, NewConnection,
      [this, Renewal = std::move(Renewal)](platform::http_response &&Response) {
        dispatch(platform::decodeRenewal(Renewal, Response));
      });
}

void program::execute(pool::reread_configuration &&Reread) {
  StoreWatcher.rereadOperatorItems(Reread.IsAfterNow);
}

void program::execute(pool::send_datagram &&Datagram) {
  PeerSocket.send(Datagram.Address, Datagram.Bytes);
}

void program::execute(pool::log_line &&Line) {
  logEvent(Line.Event, Line.Fields);
}

void program::execute(observe_time &&Observation) {
  TimeHistograms.add(Observation);
}

void program::execute(pool::shutdown_finished &&) { IsFinished = true; }

std::string program::formatMetrics() const {
  const pool::pool_metrics HostMetrics = pool::metricsOf(*Host, bootNow());
  std::string Text;
  const auto Add = [&Text](std::string_view Name, auto Value) {
    Text += "tarragonbridge_" + std::string(Name) + " " +
            std::to_string(Value) + "\n";
  };
  for (std::size_t Index = 0; Index < HostMetrics.Counters.size(); ++Index) {
    Add(std::string(nameOf(static_cast<pool::counter>(Index))) + "_total",
        HostMetrics.Counters.at(Index));
  }
  Add("jobs_open", HostMetrics.JobsOpen);
  Add("tasks_queued", HostMetrics.TasksQueued);
  Add("attempts_running", HostMetrics.AttemptsRunning);
  Add("targets_owned", HostMetrics.TargetsOwned);
  Add("targets_listed", HostMetrics.TargetsListed);
  Add("peers_heard", HostMetrics.PeersReachable);
  Add("peers_known", HostMetrics.PeersKnown);
  Add("configuration_version", HostMetrics.ConfigurationVersion);
  Add("failure_domains_evacuated", HostMetrics.EvacuatedDomains);
  Add("targets_evacuated", HostMetrics.EvacuatedTargets);
  Add("store_calls_total", StoreWatcher.requestCount());
  Add("store_calls_failed_total", StoreWatcher.failedRequestCount());
  Add("connections_opened_total", Client.openedConnections());
  Add("calls_underway", Client.inFlight());
  Add("requests_open", CallerServer.openRequests());
  Add("requests_malformed_total",
      CallerServer.malformedRequests() + MalformedBodies);
  addMetrics(CallerGuard->figures(), "caller", Add);
  addMetrics(InternalGuard->figures(), "internal", Add);
  Add("datagrams_refused_total", MalformedDatagrams);
  Add("event_loop_stalls_total", Stalls);
  Add("store_entries_refused_total", InvalidStoreItems);
  Add("log_lines_dropped_total", logMetrics().LinesDropped);
  Add("log_lines_summed_total", logMetrics().LinesSuppressed);
  return Text + TimeHistograms.format();
}

} // namespace tarragonbridge::poolhost
