/// Walks every order of events that two attempts at a task can meet.
#include "core/attempt_table_p.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace tarragonbridge;
using in = attempt_input;

namespace {
/// Where an attempt stands at its target.
enum class place : std::uint8_t { Absent, OnTheWay, Running, Ended, Barred };

/// One attempt: the target's side, the messages and the dispatcher's side.
struct attempt_model {
  place Place = place::Absent;
  std::optional<in> Reply; ///< on its way back
  bool IsConnected = true; ///< the reply can still come
  bool StopOnTheWay = false;
  std::optional<in> StopAnswer; ///< on its way back
  bool Received = false;        ///< the dispatcher knows that it arrived
  attempt_state State = attempt_state::Settled;

  bool operator<(const attempt_model &Other) const {
    return fields() < Other.fields();
  }
  std::tuple<place, std::optional<in>, bool, bool, std::optional<in>, bool,
             attempt_state>
  fields() const {
    return {Place,      Reply,    IsConnected, StopOnTheWay,
            StopAnswer, Received, State};
  }
};

struct task_model {
  std::vector<attempt_model> Attempts;
  std::uint32_t Starts = 0; ///< at targets
  bool HasResult = false;
  bool HasFailed = false;

  bool operator<(const task_model &Other) const {
    return std::tie(Attempts, Starts, HasResult, HasFailed) <
           std::tie(Other.Attempts, Other.Starts, Other.HasResult,
                    Other.HasFailed);
  }
};

struct rules {
  attempt_table Table = attemptTable();
  attempt_rule Rule = attempt_rule::Repeatable;
  bool LeaseNeedsReceipt = true;
  std::size_t MaxAttempts = 2;
};

class explorer {
public:
  explicit explorer(const rules &Rules) : Rules(Rules) {}

  /// @returns the first broken promise, empty if none
  std::string run() {
    task_model First;
    start(First);
    visit(First);
    return Fault;
  }
  std::size_t states() const { return Seen.size(); }

private:
  static void start(task_model &Task) {
    attempt_model Attempt;
    Attempt.Place = place::OnTheWay;
    Attempt.State = attempt_state::Sent;
    Task.Attempts.push_back(Attempt);
  }

  void visit(const task_model &Task) {
    if (!Fault.empty() || !Seen.insert(Task).second) {
      return;
    }
    check(Task);
    for (std::size_t Index = 0; Index < Task.Attempts.size(); ++Index) {
      moveTarget(Task, Index);
      moveNetwork(Task, Index);
      moveClock(Task, Index);
    }
  }

  void check(const task_model &Task) {
    std::size_t Alive = 0;
    for (const attempt_model &Attempt : Task.Attempts) {
      Alive += Attempt.Place == place::Running ? 1 : 0;
    }
    if (Alive > 1) {
      Fault = "two attempts alive";
    }
    if (Rules.Rule == attempt_rule::Once && Task.Starts > 1) {
      Fault = "started twice";
    }
  }

  void with(const task_model &Task, std::size_t Index,
            const std::function<void(task_model &, attempt_model &)> &Move) {
    task_model Next = Task;
    Move(Next, Next.Attempts[Index]);
    visit(Next);
  }

  void moveTarget(const task_model &Task, std::size_t Index) {
    const attempt_model &At = Task.Attempts[Index];
    if (At.Place == place::OnTheWay) {
      with(Task, Index, [](task_model &T, attempt_model &A) {
        A.Place = place::Running;
        ++T.Starts;
      });
      with(Task, Index, [](task_model &, attempt_model &A) {
        A.Place = place::Barred;
        A.Reply = A.IsConnected ? std::optional(in::NotRun) : std::nullopt;
      });
    }
    if (At.Place == place::Running) {
      for (const in Reply : {in::Done, in::Failed}) {
        with(Task, Index, [&](task_model &, attempt_model &A) {
          A.Place = place::Ended;
          A.Reply = A.IsConnected ? std::optional(Reply) : std::nullopt;
        });
      }
    }
    if (At.StopOnTheWay) {
      with(Task, Index, [](task_model &, attempt_model &A) { arriveStop(A); });
    }
  }

  static void arriveStop(attempt_model &At) {
    At.StopOnTheWay = false;
    if (At.Place == place::Running) {
      At.Place = place::Ended;
      At.StopAnswer = in::Stopped;
      At.Reply = At.IsConnected ? std::optional(in::Failed) : std::nullopt;
    } else if (At.Place == place::Ended) {
      At.StopAnswer = in::HadEnded;
    } else {
      At.Place = place::Barred;
      At.StopAnswer = in::Unseen;
    }
  }

  void moveNetwork(const task_model &Task, std::size_t Index) {
    const attempt_model &At = Task.Attempts[Index];
    if (At.Reply) {
      hear(Task, Index, *At.Reply, [](attempt_model &A) {
        A.Reply.reset();
        A.IsConnected = false;
      });
    }
    if (At.IsConnected) {
      hear(Task, Index, in::ReplyLost, [](attempt_model &A) {
        A.Reply.reset();
        A.IsConnected = false;
      });
    }
    if (At.StopAnswer) {
      hear(Task, Index, *At.StopAnswer,
           [](attempt_model &A) { A.StopAnswer.reset(); });
    }
    if (At.Place == place::Running) {
      with(Task, Index,
           [](task_model &, attempt_model &A) { A.Received = true; });
    } else {
      hear(Task, Index, in::Lapsed, [](attempt_model &) {});
    }
  }

  void moveClock(const task_model &Task, std::size_t Index) {
    const attempt_model &At = Task.Attempts[Index];
    hear(Task, Index, in::Silent, [](attempt_model &) {});
    const bool HasLease = At.Received || At.State == attempt_state::Ended ||
                          !Rules.LeaseNeedsReceipt;
    if (HasLease) {
      // The target has enforced the lease by the time that the margin is over.
      hear(Task, Index, in::LeaseOver, [](attempt_model &A) {
        A.Place = A.Place == place::Running ? place::Ended : A.Place;
      });
    }
  }

  /// Gives an input to the dispatcher's side.
  void hear(const task_model &Task, std::size_t Index, in Input,
            const std::function<void(attempt_model &)> &Consume) {
    task_model Next = Task;
    attempt_model &At = Next.Attempts[Index];
    Consume(At);
    if (At.State == attempt_state::Settled) {
      return visit(Next);
    }
    const bool IsOpen = !Next.HasResult && !Next.HasFailed;
    const attempt_rule Rule = IsOpen ? Rules.Rule : attempt_rule::Abandoned;
    const attempt_cell Cell = findRow(Rules.Table, At.State, Input)
                                  .Cells.at(static_cast<std::size_t>(Rule));
    At.State = Cell.Next;
    act(Next, At, Cell.Action);
    visit(Next);
  }

  void act(task_model &Task, attempt_model &At, attempt_action Action) {
    switch (Action) {
    case attempt_action::None:
      return;
    case attempt_action::Stop:
      At.StopOnTheWay = true;
      return;
    case attempt_action::Complete:
      Fault = Task.HasResult ? "two results" : Fault;
      Task.HasResult = true;
      return;
    case attempt_action::FailTask:
    case attempt_action::FailUnknown:
      Task.HasFailed = true;
      At.StopOnTheWay = true;
      return;
    case attempt_action::Requeue:
    case attempt_action::Retry:
      if (Task.HasResult) {
        Fault = "attempt after a result";
      }
      if (Task.Attempts.size() < Rules.MaxAttempts) {
        start(Task);
      }
      return;
    }
  }

  rules Rules;
  std::set<task_model> Seen;
  std::string Fault;
};

constexpr attempt_cell RetryNow{attempt_state::Settled, attempt_action::Retry};

struct removed_rule {
  const char *Text;
  attempt_rule Rule;
  attempt_state State;
  in Input;
  attempt_cell Instead;
  const char *Fault;
};
} // namespace

TEST_CASE("the table's rows stand in the order of states and inputs",
          "[attempts]") {
  for (std::size_t Index = 0; Index < AttemptRowCount; ++Index) {
    const attempt_row &Row = attemptTable().at(Index);
    CHECK(&findRow(attemptTable(), Row.From, Row.Input) == &Row);
  }
}

TEST_CASE("no order of replies breaks a promise", "[attempts]") {
  rules Rules;
  Rules.Rule = GENERATE(attempt_rule::Repeatable, attempt_rule::Once);
  explorer Explorer(Rules);
  CHECK(Explorer.run().empty());
  CHECK(Explorer.states() > 100);
}

TEST_CASE("each rule of the table is needed", "[attempts]") {
  using enum attempt_rule;
  const auto Row = GENERATE(values<removed_rule>({
      {"a lost reply proves no end", Repeatable, attempt_state::Sent,
       in::ReplyLost, RetryNow, "two attempts alive"},
      {"nor after a stop was sent", Repeatable, attempt_state::Stopping,
       in::ReplyLost, RetryNow, "two attempts alive"},
      {"a renewal may overtake the start", Repeatable, attempt_state::Sent,
       in::Lapsed, RetryNow, "two attempts alive"},
      {"even twice", Repeatable, attempt_state::Suspect, in::Lapsed, RetryNow,
       "two attempts alive"},
      {"silence proves nothing", Repeatable, attempt_state::Sent, in::Silent,
       RetryNow, "two attempts alive"},
      {"no second start after a lost reply", Once, attempt_state::Sent,
       in::ReplyLost, RetryNow, "started twice"},
      {"nor after an error", Once, attempt_state::Sent, in::Failed, RetryNow,
       "started twice"},
      {"nor after a stop", Once, attempt_state::Stopping, in::Stopped, RetryNow,
       "started twice"},
      {"nor after the lease", Once, attempt_state::Sent, in::LeaseOver,
       RetryNow, "started twice"},
  }));
  INFO(Row.Text);
  rules Rules;
  Rules.Rule = Row.Rule;
  for (attempt_row &Changed : Rules.Table) {
    if (Changed.From == Row.State && Changed.Input == Row.Input) {
      Changed.Cells.at(static_cast<std::size_t>(Row.Rule)) = Row.Instead;
    }
  }
  CHECK(explorer(Rules).run() == Row.Fault);
}

TEST_CASE("a lease's end proves nothing of a start that may still arrive",
          "[attempts]") {
  rules Rules;
  Rules.LeaseNeedsReceipt = false;
  CHECK(explorer(Rules).run() == "two attempts alive");
}
