#include "checker/promises.h"

#include "core/json_reader.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>

namespace tarragonbridge {

namespace {
constexpr std::array<std::string_view, static_cast<std::size_t>(promise::Count)>
    Names{"started_once",  "answer_whole",    "answer_own",
          "answers_agree", "not_run_is_true", "leaving_is_idle"};

/// What an answer says.
struct answer_facts {
  std::string State;
  bool OutcomeKnown = false;
  bool NotRun = false;
};

/// All that the records tell of one job.
struct job_history {
  std::vector<const call_line *> Submissions;
  std::vector<const call_line *> Answers;
  std::vector<const target_line *> Starts;

  bool isRepeatable() const {
    return !Submissions.empty() && Submissions.front()->Repeatable;
  }
};

answer_facts readFacts(const Json::Value &Root) {
  if (!Root.isObject()) {
    return {};
  }
  return {Root.get("state", "").asString(),
          Root.get("outcome", "").asString() == "known",
          Root.get("not_run", false).asBool()};
}

class promise_checker {
public:
  promise_checker(std::vector<target_line> Lines, std::vector<call_line> Calls,
                  const promise_bounds &Bounds)
      : Lines(std::move(Lines)), Calls(std::move(Calls)), Bounds(Bounds) {
    std::stable_sort(this->Lines.begin(), this->Lines.end(),
                     isEarlier<target_line>);
    std::stable_sort(this->Calls.begin(), this->Calls.end(),
                     isEarlier<call_line>);
    for (const call_line &Call : this->Calls) {
      if (Call.Event == call_event::Submitted) {
        Jobs[Call.Key].Submissions.push_back(&Call);
      } else if (Call.Event == call_event::Answered) {
        Jobs[Call.Key].Answers.push_back(&Call);
      }
    }
    for (const target_line &Line : this->Lines) {
      if (Line.Event == "start") {
        Jobs[jobKeyOf(Line.Task)].Starts.push_back(&Line);
      }
    }
  }

  std::vector<breach> check() {
    for (const auto &[Key, Job] : Jobs) {
      checkStarts(Job);
      checkAnswers(Key, Job);
    }
    checkLeaving();
    return std::move(Breaches);
  }

private:
  template <class T> static bool isEarlier(const T &Left, const T &Right) {
    return Left.At < Right.At;
  }

  void add(promise Promise, const std::string &Subject, std::string Message) {
    Breaches.push_back({Promise, Subject, std::move(Message)});
  }

  /// @returns when an attempt surely ran no longer, nothing if unknown
  std::optional<wall_time> endOf(const target_line &Start) const {
    std::optional<wall_time> End;
    const auto Take = [&](wall_time At) {
      End = End ? std::min(*End, At) : At;
    };
    for (const target_line &Line : Lines) {
      const bool IsEnd = Line.Event != "start" && Line.Task == Start.Task &&
                         Line.Attempt == Start.Attempt &&
                         Line.Target == Start.Target && Line.At >= Start.At;
      if (IsEnd) {
        Take(Line.At);
      }
    }
    for (const call_line &Call : Calls) {
      const bool IsDown = Call.Event == call_event::Down &&
                          Call.Peer == Start.Target && Call.At >= Start.At;
      if (IsDown) {
        Take(Call.At + Bounds.Lease);
      }
    }
    return End;
  }

  void checkStarts(const job_history &Job) {
    std::map<std::string_view, const target_line *> Earlier;
    for (const target_line *Start : Job.Starts) {
      const target_line *&Last = Earlier[Start->Task];
      if (Last != nullptr && !Job.isRepeatable()) {
        add(promise::StartedOnce, Start->Task,
            "started at " + Last->Target + " and at " + Start->Target);
      } else if (Last != nullptr) {
        const auto End = endOf(*Last);
        if (!End || *End > Start->At) {
          add(promise::StartedOnce, Start->Task,
              "started at " + Start->Target + " while it may have run at " +
                  Last->Target);
        }
      }
      Last = Start;
    }
  }

  void checkAnswers(const std::string &Key, const job_history &Job) {
    bool SomeComplete = false;
    bool SomeKnownFailure = false;
    std::vector<const call_line *> NotRun;
    for (const call_line *Answer : Job.Answers) {
      const json_document Document(Answer->Body, json_comments::Refused);
      const answer_facts Facts = readFacts(Document.root());
      if (Facts.State == "complete") {
        SomeComplete = true;
        checkResults(Key, Job, Document.root());
      } else if (Facts.State == "failed") {
        SomeKnownFailure = SomeKnownFailure || Facts.OutcomeKnown;
      }
      if (Facts.State != "complete" && Document.root().isObject() &&
          Document.root().isMember("results")) {
        add(promise::AnswerWhole, Key, "results in an answer not complete");
      }
      if (Facts.State.empty()) {
        add(promise::AnswerWhole, Key, "an answer without a state");
      }
      if (Facts.NotRun) {
        NotRun.push_back(Answer);
      }
    }
    if (SomeComplete && SomeKnownFailure) {
      add(promise::AnswersAgree, Key, "answered complete and failed");
    }
    checkNotRun(Key, Job, NotRun);
  }

  void checkResults(const std::string &Key, const job_history &Job,
                    const Json::Value &Root) {
    const Json::Value &Results = Root["results"];
    const std::size_t Tasks =
        Job.Submissions.empty() ? 0 : Job.Submissions.front()->Tasks;
    if (!Results.isArray() || Results.size() != Tasks) {
      add(promise::AnswerWhole, Key,
          std::to_string(Results.size()) + " results for " +
              std::to_string(Tasks) + " tasks");
      return;
    }
    if (Root["key"].asString() != Key) {
      add(promise::AnswerOwn, Key, "answer of " + Root["key"].asString());
    }
    for (Json::ArrayIndex Index = 0; Index < Results.size(); ++Index) {
      const Json::Value &Result = Results[Index];
      if (Result["task"].asUInt() != Index) {
        add(promise::AnswerWhole, Key,
            "result " + std::to_string(Index) + " is out of order");
      }
      const Json::Value &Output = Result["output"];
      const std::string Echo =
          Output.isObject() ? Output.get("echo", "").asString() : "";
      if (Echo != echoOf(Key, Index)) {
        add(promise::AnswerOwn, Key, "result of another task: " + Echo);
      }
    }
  }

  void checkNotRun(const std::string &Key, const job_history &Job,
                   const std::vector<const call_line *> &NotRun) {
    if (NotRun.empty() || Job.Starts.empty()) {
      return;
    }
    if (NotRun.size() >= Job.Submissions.size()) {
      add(promise::NotRunIsTrue, Key, "started, though every answer denied it");
      return;
    }
    const wall_time FirstStart = Job.Starts.front()->At;
    for (const call_line *Answer : NotRun) {
      if (FirstStart < sentAt(Job, *Answer)) {
        add(promise::NotRunIsTrue, Key, "had started before it was refused");
      }
    }
  }

  /// @returns when the request of an answer was sent
  static wall_time sentAt(const job_history &Job, const call_line &Answer) {
    wall_time Sent{};
    for (const call_line *Submission : Job.Submissions) {
      if (Submission->Peer == Answer.Peer && Submission->At <= Answer.At) {
        Sent = std::max(Sent, Submission->At);
      }
    }
    return Sent;
  }

  void checkLeaving() {
    for (const call_line &Call : Calls) {
      if (Call.Event != call_event::Leaving) {
        continue;
      }
      for (const target_line &Line : Lines) {
        if (Line.Event == "start" && Line.Target == Call.Peer &&
            Line.At > Call.At + Bounds.LeavingGrace) {
          add(promise::LeavingIsIdle, Line.Target, "started " + Line.Task);
        }
      }
    }
  }

  std::vector<target_line> Lines;
  std::vector<call_line> Calls;
  promise_bounds Bounds;
  std::map<std::string, job_history> Jobs;
  std::vector<breach> Breaches;
};
} // namespace

std::string_view nameOf(promise Promise) {
  return Names.at(static_cast<std::size_t>(Promise));
}

std::vector<breach> checkPromises(std::vector<target_line> Starts,
                                  std::vector<call_line> Calls,
                                  const promise_bounds &Bounds) {
  return promise_checker(std::move(Starts), std::move(Calls), Bounds).check();
}

} // namespace tarragonbridge
