#include "core/ended_jobs_p.h"

#include "core/answers_p.h"

namespace tarragonbridge {

namespace {
constexpr int StatusOk = 200;
}

void retireEndedJobs(dispatcher_state &State, instant Now) {
  State.Answers.forgetOld(Now.Boot);
  for (const std::string &Key : State.EndedJobs) {
    const auto Found = State.Jobs.find(Key);
    const job_record &Job = Found->second;
    State.Answers.keep(Key, Job.Digest, answerJob(Job, {}).Body, Now.Boot);
    State.JobBytes -= Job.PayloadBytes;
    State.Jobs.erase(Found);
  }
  State.EndedJobs.clear();
}

std::optional<std::uint64_t> findDigest(const dispatcher_state &State,
                                        const std::string &Key) {
  if (const auto Found = State.Jobs.find(Key); Found != State.Jobs.end()) {
    return Found->second.Digest;
  }
  if (const auto Kept = State.Answers.find(Key)) {
    return Kept->Digest;
  }
  return std::nullopt;
}

bool answerEnded(dispatcher_state &State, const std::string &Key,
                 request_handle Request, effects &Effects) {
  const auto Kept = State.Answers.find(Key);
  if (!Kept) {
    return false;
  }
  if (Kept->Body == nullptr) {
    Effects.emplace_back(
        answerRefusal(State, Request,
                      {Key, reason::AnswerDropped, false, "find answer",
                       State.Init.Self.Host, ""}));
    return true;
  }
  Effects.emplace_back(answer_request{Request, StatusOk, *Kept->Body, {}});
  return true;
}

} // namespace tarragonbridge
