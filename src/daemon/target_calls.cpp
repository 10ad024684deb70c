#include "daemon/target_calls.h"

#include "core/json_text.h"

namespace tarragonbridge {

namespace {
std::string startBody(const start_task &Effect) {
  return R"({"task":)" + quoteJson(formatTaskId(Effect.Id)) + R"(,"attempt":)" +
         std::to_string(Effect.Id.Attempt) + R"(,"lease_ms":)" +
         std::to_string(Effect.Lease.count()) + R"(,"payload":)" +
         Effect.Payload + R"(,"cores":)" + std::to_string(Effect.Needs.Cores) +
         R"(,"memory_mb":)" + std::to_string(Effect.Needs.MemoryMb) +
         R"(,"accelerators":)" + std::to_string(Effect.Needs.Accelerators) +
         "}";
}

target_reply readReply(const attempt_id &Id, const http_result &Result) {
  if (!Result.WasSent) {
    return {reply_kind::NotRun, reason::TargetUnreachable, "", Result.Error};
  }
  if (Result.Status == 0) {
    return {reply_kind::Unknown, reason::TargetLost, "", Result.Error};
  }
  return parseTargetReply(Result.Status, Result.Body, formatTaskId(Id),
                          Id.Attempt);
}

stop_result readStopReply(const http_result &Result) {
  if (Result.IsRefused) {
    return stop_result::ProcessGone;
  }
  return parseStopReply(Result.Status, Result.Body);
}

std::string renewBody(const renew_leases &Effect) {
  std::string Body = R"({"lease_ms":)" + std::to_string(Effect.Lease.count()) +
                     R"(,"tasks":[)";
  for (const attempt_id &Id : Effect.Attempts) {
    Body += (Body.back() == '[' ? "[" : ",[") + quoteJson(formatTaskId(Id)) +
            "," + std::to_string(Id.Attempt) + "]";
  }
  return Body + "]}";
}
} // namespace

target_calls::target_calls(http_client &Client, event_sink Sink)
    : Client(Client), Sink(std::move(Sink)) {}

void target_calls::start(start_task &&Effect) {
  http_call Call;
  Call.Url = "http://" + Effect.Address + "/v1/tasks";
  Call.Body = startBody(Effect);
  Call.Timeout = Effect.Timeout;
  Client.send(std::move(Call),
              [this, Target = std::move(Effect.Target),
               Id = std::move(Effect.Id)](http_result &&Result) {
                Sink(task_replied{Target, Id, readReply(Id, Result)});
              });
}

void target_calls::stop(const stop_task &Effect) {
  http_call Call;
  Call.Url = "http://" + Effect.Address + "/v1/stop";
  Call.Body = R"({"task":)" + quoteJson(formatTaskId(Effect.Id)) +
              R"(,"attempt":)" + std::to_string(Effect.Id.Attempt) + "}";
  Call.Timeout = config::StopTimeout;
  Client.send(std::move(Call), [this, Target = Effect.Target,
                                Id = Effect.Id](http_result &&Result) {
    Sink(stop_answered{Target, Id, readStopReply(Result)});
  });
}

void target_calls::renew(const renew_leases &Effect) {
  http_call Call;
  Call.Url = "http://" + Effect.Address + "/v1/leases/renew";
  Call.Body = renewBody(Effect);
  Call.Timeout = config::RenewTimeout;
  Client.send(std::move(Call), [this, Target = Effect.Target,
                                Renewed =
                                    Effect.Attempts](http_result &&Result) {
    auto Lapsed = parseLapsed(Result.Status, Result.Body, Renewed);
    const bool IsAnswered = Lapsed.has_value();
    Sink(leases_answered{Target, Renewed,
                         std::move(Lapsed).value_or(std::vector<attempt_id>{}),
                         IsAnswered});
  });
}

} // namespace tarragonbridge
