#include "core/answers_p.h"

#include "core/json_text.h"

namespace tarragonbridge {

namespace {
constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
constexpr milliseconds DefaultRetryAfter{1'000};

std::string runningBody(const job_record &Job) {
  return R"({"key":)" + quoteJson(Job.Key) + R"(,"state":"running","tasks":)" +
         std::to_string(Job.Tasks.size()) + R"(,"unsettled":)" +
         std::to_string(Job.Unsettled) + "}";
}

std::string completeBody(const job_record &Job) {
  std::string Body =
      R"({"key":)" + quoteJson(Job.Key) + R"(,"state":"complete","results":[)";
  for (std::size_t Index = 0; Index < Job.Tasks.size(); ++Index) {
    Body += Index == 0 ? "" : ",";
    Body += R"({"task":)" + std::to_string(Index) + R"(,"output":)";
    Body += Job.Tasks[Index].Output + "}";
  }
  return Body + "]}";
}

std::string placeFields(std::string_view Step, std::string_view Peer,
                        std::string_view Message) {
  return R"(,"step":)" + quoteJson(Step) + R"(,"peer":)" + quoteJson(Peer) +
         R"(,"message":)" + quoteJson(Message) + "}";
}

std::string failedBody(const job_record &Job) {
  const job_failure &Failure = Job.Failure;
  return R"({"key":)" + quoteJson(Job.Key) + R"(,"state":"failed","reason":)" +
         quoteJson(describe(Failure.Reason).Name) + R"(,"outcome":)" +
         (Failure.OutcomeKnown ? R"("known")" : R"("unknown")") +
         R"(,"not_run":)" + (Failure.NotRun ? "true" : "false") +
         placeFields(Failure.Step, Failure.Peer, Failure.Message);
}
} // namespace

answer_request answerRefusal(dispatcher_state &State, request_handle Request,
                             const refusal &Refusal) {
  State.Figures.Reasons.add(Refusal.Reason);
  const reason_info &Info = describe(Refusal.Reason);
  answer_request Answer{Request, Info.HttpStatus, "", {}};
  Answer.Body =
      R"({"key":)" + quoteJson(Refusal.Key) +
      R"(,"state":"refused","reason":)" + quoteJson(Info.Name) +
      R"(,"not_run":)" + (Refusal.NotRun ? "true" : "false") +
      placeFields(Refusal.Step, Refusal.Peer,
                  Refusal.Message.empty() ? Info.Text : Refusal.Message);
  if (Info.HttpStatus == StatusTooManyRequests ||
      Info.HttpStatus == StatusUnavailable) {
    Answer.RetryAfter = DefaultRetryAfter;
  }
  return Answer;
}

answer_request answerJob(const job_record &Job, request_handle Request) {
  switch (Job.Phase) {
  case job_phase::Running:
    return {Request, StatusOk, runningBody(Job), {}, false};
  case job_phase::Complete:
    return {Request, StatusOk, completeBody(Job), {}};
  case job_phase::Failed:
    break;
  }
  return {Request, StatusOk, failedBody(Job), {}};
}

answer_request answerLost(dispatcher_state &State, request_handle Request,
                          const std::string &Key, reason Reason,
                          const std::string &Peer) {
  State.Figures.Reasons.add(Reason);
  job_record Lost;
  Lost.Key = Key;
  Lost.Phase = job_phase::Failed;
  Lost.Failure = {Reason, false, false, "find answer", Peer, ""};
  Lost.Failure.Message = describe(Reason).Text;
  return answerJob(Lost, Request);
}

answer_request answerAccepted(const job_record &Job, request_handle Request) {
  answer_request Answer = answerJob(Job, Request);
  if (Job.Phase == job_phase::Running) {
    Answer.Status = StatusAccepted;
  }
  return Answer;
}

} // namespace tarragonbridge
