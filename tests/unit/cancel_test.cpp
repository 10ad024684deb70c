#include "dispatcher_fixture.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
constexpr resources Capacity{16, 1000, 0};
constexpr int WaveJobs = 10'000;

struct cancel_fixture : dispatcher_fixture {
  cancel_fixture() {
    loadTeams({{"a", {}}, {"b", {}}});
    listTargets(2, 4, Capacity);
  }

  /// @returns the body that tells how the job stands
  std::string cancel(int Number) {
    apply(job_cancelled{request_handle{2}, keyOf(Number)});
    return Answers.back().Body;
  }
};

struct cancel_case {
  int Number;
  const char *Told; ///< part of the answer
  std::size_t Stops;
};
} // namespace

TEST_CASE_METHOD(cancel_fixture, "a job is cancelled in whatever state it is") {
  apply(job(1, "a", 1));
  finish(start_task(Started.back())); // finished
  apply(job(2, "a", 8));              // running
  apply(job(3, "a", 5));              // queued
  const auto [Number, Told, Stops] = GENERATE(values<cancel_case>({
      {1, R"("state":"complete")", 0},
      {2, R"("reason":"cancelled","outcome":"unknown","not_run":false)", 8},
      {3, R"("reason":"cancelled","outcome":"known","not_run":true)", 0},
      {4, R"("reason":"unknown_key")", 0},
  }));
  CAPTURE(Number);
  const std::string First = cancel(Number);
  CHECK(First.find(Told) != std::string::npos);
  CHECK(Stopped.size() == Stops);
  CHECK(cancel(Number) == First);
  CHECK(Stopped.size() == Stops);
}

TEST_CASE_METHOD(cancel_fixture, "a wave of cancellations leaves nothing") {
  for (int Number = 0; Number < WaveJobs; ++Number) {
    apply(job(Number, Number % 2 == 0 ? "a" : "b", 1 + Number % 3));
  }
  // Each cancelled job that runs is stopped once, and its slots stay taken.
  for (int Number = WaveJobs - 1; Number >= 0; --Number) {
    cancel(Number);
    cancel(Number);
  }
  CHECK(Started.size() == 8);
  CHECK(Stopped.size() == 8);
  CHECK(figures(*State).TasksQueued == 0);
  CHECK(figures(*State).TasksRunning == 8);
  for (std::size_t Index = 0; Index < 8; ++Index) {
    finish(start_task(Started[Index]));
  }
  CHECK(figures(*State).TasksRunning == 0);
  apply(job(WaveJobs, "a", 8));
  CHECK(countStarted(WaveJobs) == 8);
}

TEST_CASE_METHOD(cancel_fixture, "deadlines of a wave pass in one event") {
  for (int Number = 0; Number < 100; ++Number) {
    apply(job(Number, "a", 3));
  }
  Now = {Now.Boot + milliseconds(60'000), Now.Wall + milliseconds(60'000)};
  apply(timer_fired{});
  CHECK(count(reason::DeadlineExceeded) == 100);
  CHECK(Started.size() == 8);
  CHECK(figures(*State).TasksQueued == 0);
}
