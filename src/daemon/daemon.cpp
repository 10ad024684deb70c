#include "daemon/daemon.h"

#include "base/clock.h"
#include "base/codec.h"
#include "base/log.h"
#include "core/json_separators.h"

#include <algorithm>
#include <sys/resource.h>
#include <thread>

namespace tarragonbridge {

namespace {
constexpr int StatusUnavailable = 503;
constexpr milliseconds ShutdownPollInterval{10};
constexpr std::size_t MaxDescriptors = 16'000;
/// Larger bodies are decoded one at a time, as they take many times their size.
constexpr std::size_t LargeBodyBytes = 64U << 10U;
/// Memory of the process for each value of a body: a fifth of it is taken when
/// one is decoded.
constexpr std::size_t MemoryBytesPerValue = 1'024;

http_response toResponse(answer_request &&Answer) {
  http_response Response;
  Response.Status = Answer.Status;
  Response.Body = std::move(Answer.Body);
  if (Answer.RetryAfter > milliseconds::zero()) {
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(Answer.RetryAfter);
    Response.Headers.emplace_back("Retry-After",
                                  std::to_string(Seconds.count()));
  }
  return Response;
}

std::size_t descriptorsOf(const daemon_config &Config) {
  rlimit Limit{};
  const bool IsKnown = getrlimit(RLIMIT_NOFILE, &Limit) == 0;
  const std::size_t Allowed = IsKnown ? Limit.rlim_cur : MaxDescriptors;
  const std::size_t Wanted =
      Config.FileDescriptors != 0 ? Config.FileDescriptors : MaxDescriptors;
  return std::min({Wanted, Allowed, MaxDescriptors});
}

std::size_t memoryOf(const daemon_config &Config) {
  return std::size_t{Config.MemoryMb} << 20U;
}

process_upload_limits limitsOf(const daemon_config &Config) {
  process_upload_limits Limits =
      makeUploadLimits(memoryOf(Config), descriptorsOf(Config));
  Limits.Callers.MaxUploadTime = config::MaxUploadTime;
  Limits.Internal.MaxUploadTime = config::MaxUploadTime;
  return Limits;
}

dispatcher_init makeInit(const daemon_config &Config) {
  dispatcher_init Init;
  Init.Self = {Config.FailureDomain, Config.Host, randomNumber()};
  Init.Address = Config.Listen;
  Init.RandomSeed = randomNumber();
  Init.Placement = Config.Placement;
  Init.Limits = makeDispatcherLimits(memoryOf(Config));
  // The other connections are for requests that are answered at once.
  Init.Limits.MaxWaiters = limitsOf(Config).Callers.MaxConnections / 2;
  return Init;
}

http_server_init makeServerInit(const daemon_config &Config,
                                std::shared_ptr<connection_guard> Guard) {
  http_server_init Init;
  Init.Guard = std::move(Guard);
  Init.Listen = Config.Listen;
  Init.MaxBodyBytes = std::min(config::MaxBodyBytes,
                               memoryOf(Config) / config::BodyMemoryDivisor);
  Init.HandlesWithoutRoom = true; // it may repeat a job that runs
  return Init;
}
} // namespace

daemon::daemon(const daemon_config &Config)
    : Init(makeInit(Config)),
      CallerGuard(makeServerGuard(limitsOf(Config).Callers)),
      PeerGuard(makeServerGuard(limitsOf(Config).Internal)),
      MaxSeparators(memoryOf(Config) / MemoryBytesPerValue),
      Server(makeServerInit(Config, CallerGuard)),
      Loop(makeDispatcher(Init),
           [this](effect &&Effect) { carryOut(std::move(Effect)); }),
      Targets(TargetClient,
              [this](event &&Event) { Loop.post(std::move(Event)); }),
      Peers(Init.Self, Config.PeerListen, PeerGuard,
            [this](event &&Event) { Loop.post(std::move(Event)); }) {}

daemon::~daemon() {
  Platform.reset();
  Loop.stop();
}

result<std::unique_ptr<daemon>> daemon::start(const daemon_config &Config) {
  std::unique_ptr<daemon> Self(new daemon(Config));
  const auto OnRequest = [Raw = Self.get()](request_handle Handle,
                                            http_request &&Request) {
    Raw->onRequest(Handle, std::move(Request));
  };
  BOOST_LEAF_CHECK(Self->Peers.start());
  const store_client Store(Self->StoreClient, Config.Store);
  Self->Operators = std::make_unique<operator_api>(
      Store,
      [Raw = Self.get()](request_handle Handle, http_response Response) {
        Raw->Server.respond(Handle, std::move(Response));
      },
      [Raw = Self.get()](event &&Event) { Raw->Loop.post(std::move(Event)); });
  BOOST_LEAF_CHECK(Self->Server.start(OnRequest));
  Self->Platform = std::make_unique<platform_watch>(
      Store,
      [Raw = Self.get()](event &&Event) { Raw->Loop.post(std::move(Event)); });
  logEvent("started",
           {{"host", Config.Host},
            {"failure_domain", Config.FailureDomain},
            {"listen", Config.Listen},
            {"incarnation", std::to_string(Self->Init.Self.Incarnation)}});
  return Self;
}

http_response daemon::describeHealth() const {
  if (ShuttingDown) {
    return {
        StatusUnavailable, R"({"state":"leaving"})", {}, "application/json"};
  }
  if (Loop.currentFigures().SettingsRevision == 0) {
    return {
        StatusUnavailable, R"({"state":"starting"})", {}, "application/json"};
  }
  return {200, R"({"state":"live"})", {}, "application/json"};
}

bool daemon::answerLocally(request_handle Handle, const http_request &Request) {
  if (Request.Method != "GET") {
    return false;
  }
  if (Request.Path == "/healthz") {
    Server.respond(Handle, describeHealth());
    return true;
  }
  if (Request.Path == "/metrics") {
    Server.respond(Handle,
                   {200,
                    formatMetrics(Loop.currentFigures(), CallerGuard->figures(),
                                  PeerGuard->figures()) +
                        Times.format(),
                    {},
                    "text/plain"});
    return true;
  }
  return false;
}

void daemon::onRequest(request_handle Handle, http_request &&Request) {
  if (answerLocally(Handle, Request)) {
    return;
  }
  if (!Request.HasRoom && !isSubmission(Request)) {
    Server.respond(Handle,
                   refusalResponse({"read body", Request.Peer,
                                    reason::QueueFull, "too many bytes"}));
    return;
  }
  if (operator_api::takes(Request)) {
    Operators->onRequest(Handle, std::move(Request));
    return;
  }
  if (hasMoreSeparators(Request.Body, MaxSeparators)) {
    Server.respond(Handle,
                   refusalResponse({"read body", Request.Peer,
                                    reason::Malformed, "too many values"}));
    return;
  }
  std::unique_lock<std::mutex> ParseLock(ParseMutex, std::defer_lock);
  if (Request.Body.size() > LargeBodyBytes || !Request.HasRoom) {
    ParseLock.lock();
  }
  tryOr(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Event, parseCallerRequest(Handle, Request));
        Loop.post(std::move(Event));
        return {};
      },
      [&](const error &Error) {
        logEvent("request_refused",
                 {{"peer", Request.Peer},
                  {"reason", std::string(describe(Error.Reason).Name)},
                  {"message", Error.Message}});
        Server.respond(Handle, refusalResponse(Error));
      });
}

void daemon::carryOut(effect &&Effect) {
  if (auto *Answer = std::get_if<answer_request>(&Effect)) {
    const request_handle Handle = Answer->Request;
    if (isPeerRequest(Handle)) {
      Peers.answer(*Answer);
      return;
    }
    Server.respond(Handle, toResponse(std::move(*Answer)));
  } else if (Peers.carryOut(Effect)) {
    return;
  } else if (auto *Start = std::get_if<start_task>(&Effect)) {
    Targets.start(std::move(*Start));
  } else if (const auto *Stop = std::get_if<stop_task>(&Effect)) {
    Targets.stop(*Stop);
  } else if (const auto *Renew = std::get_if<renew_leases>(&Effect)) {
    Targets.renew(*Renew);
  } else if (const auto *Observation = std::get_if<observe_time>(&Effect)) {
    Times.add(*Observation);
  } else if (const auto *Line = std::get_if<log_line>(&Effect)) {
    logEvent(Line->Event, Line->Fields);
  } else if (auto *Applied = std::get_if<settings_applied>(&Effect)) {
    Operators->apply(std::move(Applied->Snapshot));
  } else if (std::holds_alternative<shutdown_finished>(Effect)) {
    const std::lock_guard Lock(Mutex);
    Finished = true;
    Ready.notify_one();
  }
}

bool daemon::shutDown() {
  const boot_time Started = bootNow();
  ShuttingDown = true;
  logEvent("shutting_down",
           {{"open_requests", std::to_string(Server.openRequests())}});
  Loop.post(shutdown_requested{});
  {
    std::unique_lock Lock(Mutex);
    Ready.wait_for(Lock, config::MaxShutdownTime, [this] { return Finished; });
  }
  // Answers are given; their last bytes may still be on the way out.
  while (Server.openRequests() + Peers.openCalls() != 0 &&
         bootNow() - Started < config::MaxShutdownTime) {
    std::this_thread::sleep_for(ShutdownPollInterval);
  }
  Server.stopAccepting();
  Peers.stopAccepting();
  const std::size_t CutOff = Server.openRequests() + Peers.openCalls();
  logEvent("stopped", {{"cut_off", std::to_string(CutOff)}});
  return CutOff == 0;
}

} // namespace tarragonbridge
