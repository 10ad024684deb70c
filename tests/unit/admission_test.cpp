#include "dispatcher_fixture.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
constexpr resources Small{4, 1000, 0};
constexpr milliseconds Long(10'000);

struct admission_fixture : dispatcher_fixture {
  admission_fixture() {
    loadTeams({{"a", {}}, {"b", {}}});
    listTargets(2, 4, Small);
  }

  /// Submits a job with declared run times.
  int submit(int Number, const char *Team, std::size_t Tasks,
             milliseconds Expected, milliseconds TimeLimit,
             resources Needs = {}) {
    job_submitted Event = job(Number, Team, Tasks, Needs);
    Event.Job.TimeLimit = TimeLimit;
    for (task_request &Task : Event.Job.Tasks) {
      Task.Expected = Expected;
    }
    apply(Event);
    return Answers.back().Status;
  }

  bool refusedFor(reason Reason) const {
    const std::string Name(describe(Reason).Name);
    const std::string &Body = Answers.back().Body;
    return Body.find('"' + Name + '"') != std::string::npos &&
           Body.find(R"("not_run":true)") != std::string::npos;
  }
};

struct fit_case {
  resources Needs;
  int Status;
};
} // namespace

TEST_CASE_METHOD(admission_fixture, "a job fits if some target can hold it") {
  const auto [Needs, Status] = GENERATE(values<fit_case>({
      {{4, 1000, 0}, 202},
      {{5, 0, 0}, 422},
      {{1, 1001, 0}, 422},
      {{1, 0, 1}, 422},
  }));
  CHECK(submit(1, "a", 2, Long, 3 * Long, Needs) == Status);
  CHECK((Status == 202 || refusedFor(reason::NeverFits)));
}

namespace {
struct lateness_case {
  std::size_t TasksAhead; ///< of the same team, each declared as long
  std::size_t Tasks;
  milliseconds TimeLimit;
  bool IsLate;
};
} // namespace

TEST_CASE_METHOD(admission_fixture, "only jobs that are sure to be late are "
                                    "refused for lateness") {
  // A declared time of 10 s may stand for 1 s, and for 0.5 s on a fast target.
  const auto Case = GENERATE(values<lateness_case>({
      {0, 1, milliseconds(600), false},
      {0, 1, milliseconds(500), true},
      {0, 80, milliseconds(5'100), false},
      {0, 80, milliseconds(4'900), true},
      {88, 1, milliseconds(5'700), false}, // 80 queued, 8 running
      {88, 1, milliseconds(5'000), true},
  }));
  if (Case.TasksAhead > 0) {
    REQUIRE(submit(1, "a", Case.TasksAhead, Long, 60 * Long) == 202);
    advance(milliseconds(200));
  }
  CAPTURE(Case.TasksAhead, Case.Tasks, Case.TimeLimit.count());
  CHECK(submit(2, "a", Case.Tasks, Long, Case.TimeLimit) ==
        (Case.IsLate ? 503 : 202));
  CHECK((!Case.IsLate || refusedFor(reason::TooLate)));
  CHECK(submit(3, "b", 1, Long, milliseconds(600)) == 202);
}

// A refusal of its resubmission would say that the job hasn't run.
TEST_CASE_METHOD(admission_fixture,
                 "a submission without room joins the job that runs") {
  job_submitted First = job(1, "a", 1);
  apply(First);
  REQUIRE(Answers.back().Status == 202);
  First.HasRoom = false;
  First.Job.Tasks.front().Payload.clear();
  apply(First);
  CHECK(Answers.back().Status == 202);
  job_submitted Second = job(2, "a", 1);
  Second.HasRoom = false;
  apply(Second);
  CHECK(Answers.back().Status == 429);
  CHECK(refusedFor(reason::QueueFull));
  CHECK(countStarted(2) == 0);
}

namespace {
struct waiting_fixture : dispatcher_fixture {
  static constexpr std::uint64_t Waiters = 20;

  waiting_fixture() {
    dispatcher_init Init{{"curepipe", "cp-1", 7}, "", 1};
    Init.Limits.MaxWaiters = 5;
    State = makeDispatcher(Init);
    loadTeams({{"a", {}}});
    listTargets(1, 4, Small);
    apply(job(1, "a", 1));
    Answers.clear();
  }

  std::size_t countRunning() const {
    return std::count_if(
        Answers.begin(), Answers.end(), [](const answer_request &Answer) {
          return Answer.Body.find(R"("state":"running")") != std::string::npos;
        });
  }
};
} // namespace

// Guards against a crowd that waits for one job: its connections stay open as
// long as it likes, and there is none left for others.
TEST_CASE_METHOD(waiting_fixture, "few requests wait for jobs at a time") {
  const bool IsQuery = GENERATE(true, false);
  CAPTURE(IsQuery);
  for (std::uint64_t Number = 1; Number <= Waiters; ++Number) {
    job_submitted Again = job(1, "a", 1);
    Again.Async = false;
    Again.Request = request_handle{Number};
    if (IsQuery) {
      apply(job_queried{Again.Request, keyOf(1), milliseconds(600'000)});
    } else {
      apply(Again);
    }
  }
  CHECK(countRunning() == Waiters - 5);
  CHECK(Answers.front().Request == request_handle{1}); // the longest first
  finish(Started.front());
  CHECK(Answers.size() == Waiters);
  CHECK(countRunning() == Waiters - 5);
}

// Guards against timers without bound: a query that is gone leaves its timer.
TEST_CASE_METHOD(waiting_fixture, "each wait ends when it is over") {
  apply(job_queried{request_handle{1}, keyOf(1), milliseconds(3'000)});
  apply(job_queried{request_handle{2}, keyOf(1), milliseconds(1'000)});
  apply(job_queried{request_handle{3}, keyOf(1), milliseconds(2'000)});
  for (const std::uint64_t Number : {2U, 3U, 1U}) {
    advance(milliseconds(1'100));
    REQUIRE_FALSE(Answers.empty());
    CHECK(Answers.back().Request == request_handle{Number});
  }
  CHECK(Answers.size() == 3);
}

TEST_CASE("limits of a dispatcher follow its memory") {
  struct limits_case {
    std::size_t MemoryMb;
    std::size_t MaxQueuedTasks;
    std::size_t MaxJobBytes;
    std::size_t MaxKeptAnswerMb;
    std::size_t MaxKeptJobs;
  };
  const auto Case = GENERATE(values<limits_case>({
      {40, 4'096, 5'452'590, 4, 59'918},
      {1'024, 100'000, 256U << 20U, 96, 1'500'000}, // the default
      {8'192, 100'000, 256U << 20U, 96, 1'500'000},
  }));
  CAPTURE(Case.MemoryMb);
  const dispatcher_limits Limits = makeDispatcherLimits(Case.MemoryMb << 20U);
  CHECK(Limits.MaxQueuedTasks == Case.MaxQueuedTasks);
  CHECK(Limits.MaxJobBytes == Case.MaxJobBytes);
  CHECK(Limits.MaxKeptAnswerBytes == Case.MaxKeptAnswerMb << 20U);
  CHECK(Limits.MaxKeptJobs == Case.MaxKeptJobs);
}

// Guards against running jobs that hold more than the queue may.
TEST_CASE("payloads of all jobs that haven't ended are bounded") {
  dispatcher_fixture World;
  dispatcher_init Init{{"curepipe", "cp-1", 7}, "", 1};
  Init.Limits.MaxJobBytes = 100;
  World.State = makeDispatcher(Init);
  World.loadTeams({{"a", {}}});
  World.listTargets(4, 4, Small);
  const auto Submit = [&](int Number, std::size_t Bytes) {
    job_submitted Event = World.job(Number, "a", 1);
    Event.Job.Tasks.front().Payload = std::string(Bytes, '1');
    World.apply(Event);
    return World.Answers.back().Status;
  };
  CHECK(Submit(1, 150) == 202); // alone
  CHECK(Submit(2, 1) == 429);
  World.finish(World.Started.front());
  CHECK(Submit(3, 60) == 202);
  CHECK(Submit(4, 40) == 202);
  CHECK(Submit(5, 1) == 429);
}
