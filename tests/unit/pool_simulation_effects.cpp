// What simulated hosts send, and what targets and other hosts make of it.
#include "pool_simulation_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
constexpr milliseconds StoreTime{5}; ///< a call to the store
} // namespace

void pool_simulation::carryOut(std::size_t Host, effect &&Effect) {
  if (auto *Answer = std::get_if<respond_to_caller>(&Effect)) {
    request_record &Record =
        Requests[static_cast<std::uint64_t>(Answer->Request)];
    Record.Answer = Answer->Kind;
    Record.AnsweredAt = Now;
    Checker.noteAnswer(Record.Job,
                       Answer->Kind == response_kind::Overloaded ||
                           Answer->Kind == response_kind::ShuttingDown);
  } else if (auto *Start = std::get_if<start_attempt>(&Effect)) {
    carryOut(Host, std::move(*Start));
  } else if (auto *Stop = std::get_if<stop_attempt>(&Effect)) {
    carryOut(Host, std::move(*Stop));
  } else if (auto *Hold = std::get_if<renew_target_lease>(&Effect)) {
    carryOut(Host, std::move(*Hold));
  } else if (auto *Datagram = std::get_if<send_datagram>(&Effect)) {
    carryOut(Host, std::move(*Datagram));
  } else if (std::holds_alternative<reread_configuration>(Effect)) {
    ++ConfigurationReads;
    at(Now + StoreTime, [this, Host, Life = Hosts[Host].Life] {
      reply(Host, Life, configuration_read{makeConfiguration()});
    });
  } else if (const auto *Line = std::get_if<log_line>(&Effect)) {
    trace(hostName(Host), *Line);
  } else if (std::holds_alternative<shutdown_finished>(Effect)) {
    Hosts[Host].HasEnded = true;
    at(Now, [this, Host] { kill(Host); });
  }
}

void pool_simulation::carryOut(std::size_t Host, start_attempt &&Start) {
  const std::uint64_t Life = Hosts[Host].Life;
  const bool IsLate = draw() < LateShare;
  const bool IsReached = reaches(Host, Start.Target);
  if (IsLate || !IsReached) {
    at(Now + config::CommandTimeout, [this, Host, Life, Start] {
      if (Hosts[Host].Life == Life) {
        post(Host, start_response{Start.Target, Start.Attempt, Start.Token,
                                  command_outcome::NoAnswer, std::nullopt});
      }
    });
  }
  if (!IsReached) {
    return;
  }
  const auto Late = std::chrono::duration_cast<microseconds>(
      milliseconds(100) + draw() * milliseconds(5'900));
  at(Now + (IsLate ? Late : delay()), [this, Host, Life, Start, IsLate] {
    emulator::target_model *Target = find(Start.Target);
    if (Target == nullptr) {
      return;
    }
    advanceTargets();
    const command_outcome Outcome =
        Target->start(Start.Attempt, Start.Token, Start.LeaseDeadline,
                      profileOf(Start.Attempt), Now);
    if (IsLate && Outcome == command_outcome::Accepted &&
        Start.Incarnation != Target->incarnation()) {
      StartedLateInAnotherLife.insert(Start.Target);
    }
    if (!IsLate) {
      reply(Host, Life,
            start_response{Start.Target, Start.Attempt, Start.Token, Outcome,
                           Target->clock(Now)});
    }
  });
}

void pool_simulation::carryOut(std::size_t Host, stop_attempt &&Stop) {
  if (!reaches(Host, Stop.Target)) {
    return;
  }
  at(Now + delay(), [this, Host, Life = Hosts[Host].Life, Stop] {
    if (emulator::target_model *Target = find(Stop.Target)) {
      const command_outcome Outcome =
          Target->stop(Stop.Attempt, Stop.Token, Now);
      reply(Host, Life,
            stop_response{Stop.Target, Stop.Attempt, Stop.Token, Outcome});
    }
  });
}

void pool_simulation::carryOut(std::size_t Host, renew_target_lease &&Hold) {
  if (!reaches(Host, Hold.Target)) {
    return;
  }
  at(Now + delay(), [this, Host, Life = Hosts[Host].Life, Hold] {
    answerHold(Host, Life, Hold, Now + Hold.LongPollWait);
  });
}

void pool_simulation::carryOut(std::size_t Host, send_datagram &&Sent) {
  if (draw() < Init.DatagramLoss) {
    return;
  }
  const std::string From = hostName(Host);
  at(Now + delay(), [this, Host, From, Sent] {
    for (std::size_t Other = 0; Other < Hosts.size(); ++Other) {
      if (hostName(Other) != Sent.Address ||
          CutHosts.contains(std::minmax(Host, Other))) {
        continue;
      }
      if (auto Datagram = decodeDatagram(Sent.Bytes)) {
        post(Other, datagram_received{std::move(*Datagram), From});
      }
    }
  });
}

void pool_simulation::reply(std::size_t Host, std::uint64_t Life, event Event) {
  at(Now + delay(), [this, Host, Life, Event = std::move(Event)]() mutable {
    if (Hosts[Host].Life == Life && !CutFromTargets.contains(Host)) {
      post(Host, std::move(Event));
    }
  });
}

bool pool_simulation::reaches(std::size_t Host,
                              const std::string &Target) const {
  return !CutFromTargets.contains(Host) && Targets.contains(Target);
}

void pool_simulation::answerHold(std::size_t Host, std::uint64_t Life,
                                 renew_target_lease Hold, boot_time Until) {
  emulator::target_model *Target = find(Hold.Target);
  if (Target == nullptr) {
    return;
  }
  renewal_response Answer;
  Answer.Target = Hold.Target;
  Answer.Token = Hold.Token;
  Answer.RenewalNumber = Hold.RenewalNumber;
  Answer.Outcome = Target->hold(Hold.Token, Hold.LastOutcomeNumber,
                                Hold.LeaseDeadline, Answer, Now);
  Answer.TargetClock = Target->clock(Now);
  const bool IsWaiting = Answer.Outcome == command_outcome::Accepted &&
                         Answer.Outcomes.empty() && Now < Until;
  if (!IsWaiting) {
    reply(Host, Life, std::move(Answer));
    return;
  }
  Hold.LeaseDeadline.reset();
  const boot_time Next = std::clamp(Target->nextEnd(), Now + milliseconds(2),
                                    std::min(Until, Now + milliseconds(10)));
  at(Next,
     [this, Host, Life, Hold, Until] { answerHold(Host, Life, Hold, Until); });
}

void pool_simulation::advanceTargets() {
  for (auto &[Id, Target] : Targets) {
    Target.advance(Now);
  }
}

} // namespace tarragonbridge::pool
