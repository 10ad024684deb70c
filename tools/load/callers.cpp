#include "load/callers.h"

#include "base/clock.h"
#include "core/json_reader.h"
#include "core/json_text.h"
#include "net/http_client.h"

#include <condition_variable>
#include <queue>

namespace tarragonbridge {

namespace {
constexpr long MaxConnections = 4'000;
constexpr int StatusCreated = 201;
constexpr int StatusUnavailable = 503;
constexpr std::uint32_t MaxSendsPerJob = 6;
constexpr milliseconds LostAnswerBackoff{250};
constexpr milliseconds AnswerMargin{10'000};

/// One request that is due at a time.
struct due_send {
  boot_time At;
  std::size_t Job = 0;
  bool IsVoluntary = false; ///< resubmitted though nothing was lost

  bool operator>(const due_send &Other) const { return At > Other.At; }
};

/// A job under way.
struct open_job {
  std::string Key;
  std::string Body;
  std::size_t Entry = 0;
  std::uint32_t Sends = 0;
  boot_time PlannedAt;
  bool IsSettled = false;
};

struct parsed_answer {
  std::string State;
  std::string Reason;
  bool NotRun = false;
};

parsed_answer parseAnswer(const std::string &Body) {
  const json_document Document(Body, json_comments::Refused);
  if (!Document.isValid() || !Document.root().isObject()) {
    return {};
  }
  const Json::Value &Root = Document.root();
  return {Root.get("state", "").asString(), Root.get("reason", "").asString(),
          Root.get("not_run", false).asBool()};
}

std::string writeBody(const std::string &Key, const callers_init &Init,
                      const planned_job &Job, wall_time SubmittedAt) {
  std::string Body = R"({"key":)" + quoteJson(Key) + R"(,"team":)" +
                     quoteJson(Init.Team) + R"(,"submitted_at_ms":)" +
                     std::to_string(SubmittedAt.time_since_epoch().count()) +
                     R"(,"time_limit_ms":)" +
                     std::to_string(Init.TimeLimit.count()) +
                     R"(,"class":"load","repeatable":)" +
                     (Job.Repeatable ? "true" : "false") + R"(,"tasks":[)";
  for (std::size_t Index = 0; Index < Job.Tasks.size(); ++Index) {
    const planned_task &Task = Job.Tasks[Index];
    Body += Index == 0 ? "" : ",";
    Body += R"({"payload":{"run_ms":)" + std::to_string(Task.Run.count()) +
            R"(,"echo":)" + quoteJson(echoOf(Key, Index)) +
            R"(},"expected_ms":)" + std::to_string(Task.Expected.count()) + "}";
  }
  return Body + "]}";
}

std::string readSession(const http_result &Result) {
  const json_document Document(Result.Body, json_comments::Refused);
  const bool IsSession = Result.Status == StatusCreated && Document.isValid() &&
                         Document.root().isObject();
  return IsSession ? Document.root().get("session", "").asString() : "";
}

http_call sessionCall(const std::string &Entry) {
  http_call Call;
  Call.Url = "http://" + Entry + "/v1/sessions";
  Call.Body = "{}";
  return Call;
}

class callers {
public:
  callers(const callers_init &Init, const std::vector<planned_job> &Jobs,
          call_journal &Journal)
      : Init(Init), Jobs(Jobs), Journal(Journal), Open(Jobs.size()),
        Client(MaxConnections) {
    Outcome.Jobs.resize(Jobs.size());
  }

  result<void> openSessions() {
    for (const std::string &Entry : Init.Entries) {
      const http_result Result = sendAndWait(Client, sessionCall(Entry));
      Sessions.push_back(readSession(Result));
      if (Sessions.back().empty()) {
        return boost::leaf::new_error(error{"open session", Entry,
                                            reason::HomeUnreachable,
                                            Result.Error + Result.Body});
      }
    }
    return {};
  }

  callers_outcome run() {
    std::unique_lock Lock(Mutex);
    BeganAt = bootNow();
    for (std::size_t Job = 0; Job < Jobs.size(); ++Job) {
      Due.push({BeganAt + Jobs[Job].At, Job, false});
    }
    while (InFlight != 0 || !Due.empty()) {
      if (Due.empty()) {
        Changed.wait(Lock);
      } else if (const auto Wait = Due.top().At - bootNow(); Wait.count() > 0) {
        Changed.wait_for(Lock, Wait);
      } else {
        const due_send Next = Due.top();
        Due.pop();
        send(Next);
      }
    }
    Outcome.Length = bootNow() - BeganAt;
    return Outcome;
  }

private:
  void prepare(std::size_t Index) {
    open_job &Job = Open[Index];
    Job.Entry = NextEntry++ % Init.Entries.size();
    Job.Key = Sessions[Job.Entry] + "." + std::to_string(Index);
    Job.PlannedAt = BeganAt + Jobs[Index].At;
    Job.Body = writeBody(Job.Key, Init, Jobs[Index], wallNow());
    if (const auto After = Jobs[Index].ResubmitAfter) {
      Due.push({Job.PlannedAt + *After, Index, true});
    }
  }

  void send(const due_send &Next) {
    open_job &Job = Open[Next.Job];
    if (Job.Sends == 0) {
      prepare(Next.Job);
    }
    const bool Elsewhere = Init.ResubmitElsewhere && Job.Sends != 0;
    const std::size_t Shift = Elsewhere ? Job.Sends : 0;
    const std::string &Entry =
        Init.Entries[(Job.Entry + Shift) % Init.Entries.size()];
    ++Job.Sends;
    ++Outcome.Sends;
    ++InFlight;
    Journal.write({call_event::Submitted, wallNow(), Job.Key, Entry,
                   Jobs[Next.Job].Repeatable, Jobs[Next.Job].Tasks.size(), 0,
                   ""});
    http_call Call;
    Call.Url = "http://" + Entry + "/v1/jobs";
    Call.Body = Job.Body;
    Call.Timeout = Init.TimeLimit + AnswerMargin;
    Client.send(std::move(Call), [this, Next, Entry](http_result &&Result) {
      onAnswer(Next, Entry, Result);
    });
  }

  void onAnswer(const due_send &Sent, const std::string &Entry,
                const http_result &Result) {
    const boot_time Now = bootNow();
    const parsed_answer Answer = parseAnswer(Result.Body);
    const std::lock_guard Lock(Mutex);
    open_job &Job = Open[Sent.Job];
    if (Result.Status != 0) {
      Journal.write({call_event::Answered, wallNow(), Job.Key, Entry, false, 0,
                     Result.Status, Result.Body});
    }
    if (Sent.IsVoluntary) {
      ++Outcome.ResubmissionAnswers[nameOf(Result, Answer)];
    }
    if (!Job.IsSettled && !Sent.IsVoluntary) {
      settleOrResend(Sent.Job, Result, Answer, Now);
    }
    --InFlight;
    Changed.notify_one();
  }

  static std::string nameOf(const http_result &Result,
                            const parsed_answer &Answer) {
    if (Result.Status == 0) {
      return "lost";
    }
    return Answer.Reason.empty() ? Answer.State : Answer.Reason;
  }

  void settleOrResend(std::size_t Index, const http_result &Result,
                      const parsed_answer &Answer, boot_time Now) {
    open_job &Job = Open[Index];
    const bool IsOpen = Result.Status == 0 ||
                        (Result.Status == StatusUnavailable && !Answer.NotRun);
    if (Answer.Reason == "home_unreachable" || Result.Status == 0) {
      renewSession(Job.Entry);
    }
    if (IsOpen && Job.Sends < MaxSendsPerJob) {
      Due.push({Now + LostAnswerBackoff, Index, false});
      return;
    }
    Job.IsSettled = true;
    if (!Jobs[Index].ResubmitAfter) {
      Job.Body.clear();
    }
    job_outcome &Ended = Outcome.Jobs[Index];
    Ended.Reason = nameOf(Result, Answer);
    Ended.Response = Now - Job.PlannedAt;
    if (Answer.State == "complete") {
      Ended.State = job_state::Complete;
    } else if (Answer.State == "failed") {
      Ended.State = job_state::Failed;
    } else if (Answer.State == "refused") {
      Ended.State = job_state::Refused;
    }
  }

  /// Asks for a new session, so that new jobs don't meet the same loss.
  void renewSession(std::size_t Entry) {
    ++InFlight;
    Client.send(sessionCall(Init.Entries[Entry]),
                [this, Entry](http_result &&Result) {
                  const std::string Session = readSession(Result);
                  const std::lock_guard Lock(Mutex);
                  if (!Session.empty()) {
                    Sessions[Entry] = Session;
                  }
                  --InFlight;
                  Changed.notify_one();
                });
  }

  const callers_init &Init;
  const std::vector<planned_job> &Jobs;
  call_journal &Journal;
  std::mutex Mutex; ///< guards all below
  std::condition_variable Changed;
  std::vector<open_job> Open;
  std::vector<std::string> Sessions; ///< one for each entry host
  std::priority_queue<due_send, std::vector<due_send>, std::greater<>> Due;
  std::size_t NextEntry = 0;
  std::size_t InFlight = 0;
  boot_time BeganAt;
  callers_outcome Outcome;
  http_client Client; ///< last: its thread uses all above
};
} // namespace

result<callers_outcome> runCallers(const callers_init &Init,
                                   const std::vector<planned_job> &Jobs,
                                   call_journal &Journal) {
  callers Callers(Init, Jobs, Journal);
  BOOST_LEAF_CHECK(Callers.openSessions());
  return Callers.run();
}

} // namespace tarragonbridge
