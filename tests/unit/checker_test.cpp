#include "checker/promises.h"

#include <catch2/catch.hpp>
#include <set>

using namespace tarragonbridge;

namespace {
constexpr const char *OwnAnswer =
    R"({"key":"k","state":"complete","results":[)"
    R"({"task":0,"output":{"echo":"k#0"}},{"task":1,"output":{"echo":"k#1"}}]})";

target_line line(int At, const char *Event, const char *Task,
                 std::uint32_t Attempt = 1, const char *Target = "t1") {
  return {wall_time(milliseconds(At)), Event, Task, Attempt, Target};
}
call_line submitted(int At, bool Repeatable = false, const char *Peer = "e1") {
  return {call_event::Submitted,
          wall_time(milliseconds(At)),
          "k",
          Peer,
          Repeatable,
          2,
          0,
          ""};
}
call_line answered(int At, const char *Body, const char *Peer = "e1") {
  return {call_event::Answered,
          wall_time(milliseconds(At)),
          "k",
          Peer,
          false,
          0,
          200,
          Body};
}
call_line ofTarget(call_event Event, int At) {
  return {Event, wall_time(milliseconds(At)), "", "t1", false, 0, 0, ""};
}

/// A whole run without a breach, to which each case adds one.
struct record_case {
  const char *Name;
  std::vector<target_line> Lines;
  std::vector<call_line> Calls;
  std::set<promise> Broken;
};

const std::vector<record_case> &cases() {
  static const std::vector<record_case> Cases{
      {"clean",
       {line(1, "start", "k#0"), line(5, "done", "k#0"),
        line(1, "start", "k#1"), line(6, "done", "k#1")},
       {submitted(0), answered(7, OwnAnswer), submitted(3, false, "e2"),
        answered(8, OwnAnswer, "e2")},
       {}},
      {"second start of a task not repeatable",
       {line(1, "start", "k#0"), line(2, "done", "k#0"),
        line(3, "start", "k#0", 2, "t2")},
       {submitted(0)},
       {promise::StartedOnce}},
      {"second start of a job that no caller recorded",
       {line(1, "start", "x#0"), line(2, "done", "x#0"),
        line(3, "start", "x#0", 2, "t2")},
       {},
       {promise::StartedOnce}},
      {"second attempt after the end of the first",
       {line(1, "start", "k#0"), line(2, "lapsed", "k#0"),
        line(3, "start", "k#0", 2, "t2")},
       {submitted(0, true)},
       {}},
      {"second attempt while the first runs",
       {line(1, "start", "k#0"), line(3, "start", "k#0", 2, "t2"),
        line(9, "done", "k#0")},
       {submitted(0, true)},
       {promise::StartedOnce}},
      {"second attempt after the lease at a target that is down",
       {line(1, "start", "k#0"), line(2'100, "start", "k#0", 2, "t2")},
       {submitted(0, true), ofTarget(call_event::Down, 50)},
       {}},
      {"second attempt within the lease at a target that is down",
       {line(1, "start", "k#0"), line(2'000, "start", "k#0", 2, "t2")},
       {submitted(0, true), ofTarget(call_event::Down, 50)},
       {promise::StartedOnce}},
      {"results left out",
       {},
       {submitted(0),
        answered(7, R"({"key":"k","state":"complete","results":[]})")},
       {promise::AnswerWhole}},
      {"results out of order",
       {},
       {submitted(0),
        answered(
            7,
            R"({"key":"k","state":"complete","results":[{"task":1,"output":{"echo":"k#1"}},{"task":0,"output":{"echo":"k#0"}}]})")},
       {promise::AnswerWhole, promise::AnswerOwn}},
      {"results in a failed answer",
       {},
       {submitted(0),
        answered(7, R"({"key":"k","state":"failed","results":[]})")},
       {promise::AnswerWhole}},
      {"an answer cut short",
       {},
       {submitted(0), answered(7, R"({"key":"k","state":"comp)")},
       {promise::AnswerWhole}},
      {"results of another job",
       {},
       {submitted(0),
        answered(
            7,
            R"({"key":"k","state":"complete","results":[{"task":0,"output":{"echo":"x#0"}},{"task":1,"output":{"echo":"k#1"}}]})")},
       {promise::AnswerOwn}},
      {"complete and failed",
       {},
       {submitted(0), answered(7, OwnAnswer), submitted(8),
        answered(9, R"({"key":"k","state":"failed","outcome":"known"})")},
       {promise::AnswersAgree}},
      {"complete and unknown",
       {},
       {submitted(0), answered(7, OwnAnswer), submitted(8, false, "e2"),
        answered(9, R"({"key":"k","state":"failed","outcome":"unknown"})",
                 "e2")},
       {}},
      {"refused as not run, then run",
       {line(5, "start", "k#0")},
       {submitted(0), answered(7, R"({"state":"refused","not_run":true})")},
       {promise::NotRunIsTrue}},
      {"run, then refused as not run",
       {line(5, "start", "k#0")},
       {submitted(0), answered(9, OwnAnswer), submitted(10, false, "e2"),
        answered(11, R"({"state":"refused","not_run":true})", "e2")},
       {promise::NotRunIsTrue}},
      {"refused as not run, then submitted again",
       {line(9, "start", "k#0")},
       {submitted(0), answered(7, R"({"state":"refused","not_run":true})"),
        submitted(8), answered(19, OwnAnswer)},
       {}},
      {"start at a target long after it began to leave",
       {line(5'051, "start", "k#0")},
       {submitted(0), ofTarget(call_event::Leaving, 50)},
       {promise::LeavingIsIdle}},
      {"start at a target that has just begun to leave",
       {line(5'050, "start", "k#0")},
       {submitted(0), ofTarget(call_event::Leaving, 50)},
       {}},
  };
  return Cases;
}
} // namespace

TEST_CASE("each kind of breach in a record is found") {
  const record_case &Case =
      cases()[GENERATE(range<std::size_t>(0, cases().size()))];
  CAPTURE(Case.Name);
  std::set<promise> Broken;
  for (const breach &Breach : checkPromises(Case.Lines, Case.Calls, {})) {
    Broken.insert(Breach.Promise);
  }
  CHECK(Broken == Case.Broken);
}

TEST_CASE("a line of a caller's record is read as it was written") {
  const call_line Line = answered(7, OwnAnswer, "127.0.0.1:1");
  const bool IsSame = tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(Read, parseCallLine(formatCallLine(Line)));
        return formatCallLine(Read) == formatCallLine(Line) &&
               Read.Body == Line.Body;
      },
      [](const error &) { return false; });
  CHECK(IsSame);
}

TEST_CASE("lines of a target's record are read strictly") {
  const auto [Text, IsValid] = GENERATE(values<std::pair<const char *, bool>>({
      {"at_ms=5 event=start task=s1.a.b.c#0 attempt=1", true},
      {"at_ms=5 event=start task=s1.a.b.c#0 attempt=", false},
      {"at_ms=5 event=start task=s1", false},
      {"at_ms=x event=start task=a attempt=1", false},
      {"", false},
  }));
  CAPTURE(Text);
  CHECK(parseTargetLine(Text).has_value() == IsValid);
}
