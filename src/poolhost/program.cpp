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

server_init entryInit(const std::string &Listen) {
  server_init Init;
  Init.Listen = Listen;
  Init.TimeLimitHeader = platform::TimeLimitHeader;
  Init.MaxBodyBytes = config::MaxBodyBytes;
  Init.MaxConnections = config::MaxCallerConnections;
  Init.IdleTimeout = config::CallerIdleTimeout;
  return Init;
}

/// @returns a higher number in each later process of a host, unless the system
/// clock was set back in between
std::uint64_t drawIncarnation() {
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
      Host(pool::makePoolHost(poolInit(Given, drawIncarnation()))),
      Store(
          Client, storeInit(Given, pool::incarnationOf(*Host)),
          [this](pool::event &&Event) { dispatch(std::move(Event)); },
          [this](const std::string &Key, const std::string &Reason) {
            ++BadEntries;
            logEvent("store_entry_refused", {{"key", Key}, {"reason", Reason}});
          }),
      CallerServer(Loop, entryInit(Given.CallerAddress)),
      Readiness(Loop, entryInit(Given.ReadinessAddress)) {
  if (!Given.MetricsAddress.empty()) {
    Metrics = std::make_unique<async_http_server>(
        Loop, entryInit(Given.MetricsAddress));
  }
}

result<void> program::start() {
  BOOST_LEAF_CHECK(Peers.bind(peerAddress(Settings)));
  Loop.watch(Peers.descriptor(), EPOLLIN,
             [this](std::uint32_t) { handleDatagrams(); });
  Loop.watch(signalDescriptor(), EPOLLIN,
             [this](std::uint32_t) { handleSignals(); });
  const auto Listen = [this](async_http_server &Entry) {
    return Entry.start(
        [this, &Entry](request_handle Request, server_request &&Received) {
          handleRequest(Entry, Request, std::move(Received));
        },
        [this](request_handle Request) {
          dispatch(pool::caller_left{Request});
        });
  };
  BOOST_LEAF_CHECK(Listen(CallerServer));
  BOOST_LEAF_CHECK(Listen(Readiness));
  if (Metrics) {
    BOOST_LEAF_CHECK(Listen(*Metrics));
  }
  logEvent("started", {{"host", Settings.Host},
                       {"failure_domain", Settings.FailureDomain},
                       {"callers", Settings.CallerAddress},
                       {"store", Settings.StoreAddress}});
  return {};
}

void program::run() {
  while (!IsFinished) {
    const boot_time Due =
        std::min({pool::nextTimer(*Host), Client.nextDue(), Store.nextDue(),
                  CallerServer.nextDue(), Readiness.nextDue(),
                  Metrics ? Metrics->nextDue() : boot_time::max()});
    Loop.runOnce(Due);
    Client.onTimer();
    Client.completeCalls();
    const boot_time Now = bootNow();
    Store.onTimer(Now);
    if (pool::nextTimer(*Host) <= Now) {
      dispatch(pool::timer_fired{});
    }
    CallerServer.flush(Now);
    Readiness.flush(Now);
    if (Metrics) {
      Metrics->flush(Now);
    }
    flushLog();
  }
  logEvent("ended", {{"host", Settings.Host}});
}

void program::handleSignals() {
  for (const signal_kind Signal : readSignals()) {
    if (Signal == signal_kind::Reload) {
      logEvent("reloaded", {{"host", Settings.Host}});
      continue;
    }
    Store.unregister();
    dispatch(pool::shutdown_requested{Settings.ShutdownTime});
  }
}

void program::handleRequest(async_http_server &Entry, request_handle Request,
                            server_request &&Received) {
  if (&Entry == Metrics.get()) {
    Entry.respond(Request, {200, metricsText(), {}, "text/plain"});
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
  std::string Fault;
  pool::job_submitted Posted;
  Posted.Request = Request;
  const bool IsDecoded = tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_ASSIGN(Posted.Job, platform::decodeJob(Received.Body));
        return true;
      },
      [&](const error &Error) {
        Fault = Error.Message;
        return false;
      });
  if (!IsDecoded) {
    ++BadBodies;
    logEvent("body_refused", {{"path", Received.Path}, {"reason", Fault}});
    Entry.respond(Request, {400, "{}", {}});
    return;
  }
  Posted.HostName = std::move(Received.HostName);
  Posted.Path = std::move(Received.Path);
  Posted.TimeLimit = platform::decodeTimeLimit(Received.TimeLimit);
  dispatch(std::move(Posted));
}

void program::handleDatagrams() {
  Peers.receiveAll([this](std::string_view Bytes, const std::string &From) {
    if (auto Datagram = pool::decodeDatagram(Bytes)) {
      dispatch(pool::datagram_received{std::move(*Datagram), From});
    } else {
      ++BadDatagrams;
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

void program::execute(pool::respond_to_caller &&Answer) {
  platform::caller_response Reply = platform::encodeCallerResponse(Answer);
  server_response Response{Reply.Status, std::move(Reply.Body),
                           std::move(Reply.Headers)};
  if (!CallerServer.respond(Answer.Request, Response)) {
    Readiness.respond(Answer.Request, std::move(Response));
  }
}

void program::callTarget(const std::string &Address,
                         platform::http_request Call, milliseconds Timeout,
                         bool NewConnection,
                         std::function<void(platform::http_response &&)> Done) {
  outgoing_request Outgoing;
  Outgoing.Method = std::move(Call.Method);
  Outgoing.Address = Address;
  Outgoing.Path = std::move(Call.Path);
  Outgoing.Body = std::move(Call.Body);
  Outgoing.Headers = std::move(Call.Headers);
  Outgoing.Timeout = Timeout;
  Outgoing.NewConnection = NewConnection;
  Client.send(std::move(Outgoing),
              [Done = std::move(Done)](received_response &&Result) {
                Done({Result.Status, std::move(Result.Body), Result.WasSent});
              });
}

void program::execute(pool::start_attempt &&Start) {
  platform::http_request Call = platform::encodeStart(Start);
  const std::string Address = Start.Address;
  const bool NewConnection = Start.NewConnection;
  callTarget(
      Address, std::move(Call), config::CommandTimeout, NewConnection,
      [this, Start = std::move(Start)](platform::http_response &&Answer) {
        dispatch(platform::decodeStart(Start, Answer));
      });
}

void program::execute(pool::stop_attempt &&Stop) {
  platform::http_request Call = platform::encodeStop(Stop);
  const std::string Address = Stop.Address;
  callTarget(Address, std::move(Call), config::CommandTimeout, false,
             [this, Stop = std::move(Stop)](platform::http_response &&Answer) {
               dispatch(platform::decodeStop(Stop, Answer));
             });
}

void program::execute(pool::renew_target_lease &&Hold) {
  platform::http_request Call = platform::encodeRenewal(Hold);
  const std::string Address = Hold.Address;
  const milliseconds Timeout = Hold.LongPollWait + config::RenewalTimeoutMargin;
  const bool NewConnection = Hold.NewConnection;
  callTarget(Address, std::move(Call), Timeout, NewConnection,
             [this, Hold = std::move(Hold)](platform::http_response &&Answer) {
               dispatch(platform::decodeRenewal(Hold, Answer));
             });
}

void program::execute(pool::reread_configuration &&) {
  Store.rereadConfiguration();
}

void program::execute(pool::send_datagram &&Datagram) {
  Peers.send(Datagram.Address, Datagram.Bytes);
}

void program::execute(pool::log_line &&Line) {
  logEvent(Line.Event, Line.Fields);
}

void program::execute(observe_time &&Observation) { Times.add(Observation); }

void program::execute(pool::shutdown_finished &&) { IsFinished = true; }

std::string program::metricsText() const {
  const pool::pool_metrics Figures = pool::metricsOf(*Host, bootNow());
  std::string Text;
  const auto Add = [&Text](std::string_view Name, auto Value) {
    Text += "tarragonbridge_" + std::string(Name) + " " +
            std::to_string(Value) + "\n";
  };
  for (std::size_t Index = 0; Index < Figures.Counters.size(); ++Index) {
    Add(std::string(nameOf(static_cast<pool::counter>(Index))) + "_total",
        Figures.Counters.at(Index));
  }
  Add("jobs_open", Figures.JobsOpen);
  Add("tasks_queued", Figures.TasksQueued);
  Add("attempts_running", Figures.AttemptsRunning);
  Add("targets_owned", Figures.TargetsOwned);
  Add("targets_listed", Figures.TargetsListed);
  Add("peers_heard", Figures.PeersHeard);
  Add("configuration_version", Figures.ConfigurationVersion);
  Add("store_calls_total", Store.requestCount());
  Add("store_calls_failed_total", Store.failedCalls());
  Add("connections_opened_total", Client.newConnections());
  Add("calls_underway", Client.inFlight());
  Add("requests_open", CallerServer.openRequests());
  Add("requests_malformed_total", CallerServer.malformed() + BadBodies);
  Add("datagrams_refused_total", BadDatagrams);
  Add("store_entries_refused_total", BadEntries);
  Add("log_lines_dropped_total", logMetrics().LinesDropped);
  Add("log_lines_summed_total", logMetrics().LinesSuppressed);
  return Text + Times.format();
}

} // namespace tarragonbridge::poolhost
