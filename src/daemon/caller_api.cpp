#include "daemon/caller_api.h"

#include "core/json_text.h"

#include <charconv>
#include <sstream>

namespace tarragonbridge {

namespace {
constexpr std::string_view JobsPath = "/v1/jobs";
constexpr std::string_view JobPrefix = "/v1/jobs/";

boost::leaf::error_id refuse(const http_request &Request, reason Reason,
                             std::string Message) {
  return boost::leaf::new_error(
      error{"read request", Request.Peer, Reason, std::move(Message)});
}

/// Keeps what tells whether the job was submitted before.
void dropPayloads(job_request &Job) {
  for (task_request &Task : Job.Tasks) {
    std::string().swap(Task.Payload);
  }
}

result<event> parseSubmission(request_handle Handle,
                              const http_request &Request) {
  BOOST_LEAF_AUTO(
      Job, parseJobRequest(Request.Body, Request.header("idempotency-key")));
  if (!Request.HasRoom) {
    dropPayloads(Job);
  }
  const bool Async =
      Request.header("prefer").find("respond-async") != std::string::npos;
  return event(job_submitted{Handle, std::move(Job), Async, Request.HasRoom});
}

result<event> parseQuery(request_handle Handle, const http_request &Request,
                         std::string Key) {
  const std::string Text = Request.query("wait_ms");
  std::int64_t Wait = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data(), End, Wait);
  const bool IsNumber = Failure == std::errc{} && Stop == End && Wait >= 0;
  if (!Text.empty() && !IsNumber) {
    return refuse(Request, reason::Malformed,
                  "wait_ms: expected a number of milliseconds");
  }
  return event(job_queried{Handle, std::move(Key), milliseconds(Wait)});
}
} // namespace

bool isSubmission(const http_request &Request) {
  return Request.Path == JobsPath && Request.Method == "POST";
}

result<event> parseCallerRequest(request_handle Handle,
                                 const http_request &Request) {
  const std::string_view Path = Request.Path;
  if (Path == "/v1/sessions" && Request.Method == "POST") {
    return event(session_requested{Handle});
  }
  if (Path == "/v1/status" && Request.Method == "GET") {
    return event(status_requested{Handle});
  }
  if (isSubmission(Request)) {
    return parseSubmission(Handle, Request);
  }
  if (!Path.starts_with(JobPrefix)) {
    return refuse(Request, reason::NotFound,
                  "no such resource: " + Request.Path);
  }
  const std::string Key(Path.substr(JobPrefix.size()));
  if (!isValidKey(Key)) {
    return refuse(Request, reason::Malformed, "the path holds no valid key");
  }
  if (Request.Method == "GET") {
    return parseQuery(Handle, Request, Key);
  }
  if (Request.Method == "DELETE") {
    return event(job_cancelled{Handle, Key});
  }
  return refuse(Request, reason::NotFound, "no such method: " + Request.Method);
}

http_response refusalResponse(const error &Error) {
  Json::Value Body;
  Body["key"] = "";
  Body["state"] = "refused";
  Body["reason"] = std::string(describe(Error.Reason).Name);
  // The submission was not read, but an earlier one of its key may have run.
  Body["not_run"] = false;
  Body["step"] = Error.Step;
  Body["peer"] = Error.Peer;
  Body["message"] = Error.Message;
  http_response Response{describe(Error.Reason).HttpStatus,
                         writeJson(Body),
                         {},
                         "application/json"};
  if (Error.Reason == reason::QueueFull) {
    Response.Headers.emplace_back("Retry-After", "1");
  }
  return Response;
}

std::string formatMetrics(const dispatcher_figures &Figures,
                          const upload_figures &Callers,
                          const upload_figures &Peers) {
  std::ostringstream Text;
  const auto Write = [&](std::string_view Name, std::string_view Type,
                         auto Value) {
    Text << "# TYPE tarragonbridge_" << Name << ' ' << Type
         << "\ntarragonbridge_" << Name << ' ' << Value << '\n';
  };
  Write("jobs_submitted_total", "counter", Figures.JobsSubmitted);
  Write("jobs_completed_total", "counter", Figures.JobsCompleted);
  Write("jobs_failed_total", "counter", Figures.JobsFailed);
  Write("tasks_started_total", "counter", Figures.TasksStarted);
  Write("task_replies_total", "counter", Figures.TaskReplies);
  Write("tasks_queued", "gauge", Figures.TasksQueued);
  Write("tasks_running", "gauge", Figures.TasksRunning);
  Write("jobs_kept", "gauge", Figures.JobsKept);
  Write("targets", "gauge", Figures.Targets);
  Write("settings_revision", "gauge", Figures.SettingsRevision);
  const auto Add = [&](std::string_view Name, auto Value) {
    Write(Name, Name.ends_with("_total") ? "counter" : "gauge", Value);
  };
  addMetrics(Callers, "caller", Add);
  addMetrics(Peers, "peer", Add);
  Text << "# TYPE tarragonbridge_reasons_total counter\n";
  constexpr std::array<std::string_view, 4> Kinds{"refusal", "failure", "retry",
                                                  "ignored"};
  for (const reason_info &Info : reasonTable()) {
    Text << "tarragonbridge_reasons_total{kind=\""
         << Kinds.at(static_cast<std::size_t>(Info.Kind)) << "\",reason=\""
         << Info.Name << "\"} " << Figures.Reasons.get(Info.Code) << '\n';
  }
  return Text.str();
}

} // namespace tarragonbridge
