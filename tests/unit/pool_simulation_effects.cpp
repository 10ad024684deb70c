// Executes the effects of simulated hosts at the targets and at other hosts.
#include "pool_simulation_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

void pool_simulation::execute(std::size_t Host, effect &&Effect) {
  if (auto *Response = std::get_if<respond_to_caller>(&Effect)) {
    request_record &Record =
        Requests[static_cast<std::uint64_t>(Response->Request)];
    Record.Response = Response->Kind;
    Record.RespondedAt = Now;
    Checker.noteAnswer(Record.Job,
                       Response->Kind == response_kind::Overloaded ||
                           Response->Kind == response_kind::ShuttingDown);
  } else if (auto *Start = std::get_if<start_attempt>(&Effect)) {
    execute(Host, std::move(*Start));
  } else if (auto *Stop = std::get_if<stop_attempt>(&Effect)) {
    execute(Host, std::move(*Stop));
  } else if (auto *Renewal = std::get_if<renew_target_lease>(&Effect)) {
    execute(Host, std::move(*Renewal));
  } else if (auto *Datagram = std::get_if<send_datagram>(&Effect)) {
    execute(Host, std::move(*Datagram));
  } else if (std::holds_alternative<reread_configuration>(Effect)) {
    ++ConfigurationReads;
    at(Now + StoreLatency, [this, Host, Generation = Hosts[Host].Generation] {
      respondToReread(Host, Generation);
    });
  } else if (const auto *Line = std::get_if<log_line>(&Effect)) {
    trace(hostName(Host), *Line);
  } else if (std::holds_alternative<shutdown_finished>(Effect)) {
    Hosts[Host].HasShutDown = true;
    at(Now, [this, Host] { kill(Host); });
  }
}

void pool_simulation::respondToReread(std::size_t Host,
                                      std::uint64_t Generation) {
  const microseconds Delay =
      randomDelayOr(Faults.SlowResponses, Faults.MaxResponseDelay);
  at(Now + Delay, [this, Host, Generation, Evacuations = evacuationSnapshot(),
                   Configuration = makeConfiguration()]() mutable {
    if (Hosts[Host].Generation != Generation || !mayRespond(Host, {}) ||
        CutFromOperators.contains(Host)) {
      return;
    }
    post(Host, std::move(Evacuations));
    post(Host, configuration_read{std::move(Configuration)});
  });
}

microseconds pool_simulation::lateDelay() {
  constexpr milliseconds MinDelay{100};
  return std::chrono::duration_cast<microseconds>(
      MinDelay + randomFraction() * (Faults.MaxDelay - MinDelay));
}

microseconds pool_simulation::randomDelayOr(double SlowFraction,
                                            milliseconds MaxSlow) {
  microseconds Delay = randomDelay();
  if (happens(SlowFraction)) {
    Delay +=
        std::chrono::duration_cast<microseconds>(randomFraction() * MaxSlow);
  }
  return Delay;
}

void pool_simulation::execute(std::size_t Host, start_attempt &&Start) {
  const std::uint64_t Generation = Hosts[Host].Generation;
  const bool IsLate = randomFraction() < Faults.LateStarts;
  const bool IsLost = happens(Faults.LostResponses);
  const bool IsReached = isReachable(Host, Start.Target);
  if (IsLate || IsLost || !IsReached || Faults.ReportsTimeouts) {
    // Has no effect if a response was delivered.
    at(Now + config::CommandTimeout, [this, Host, Generation, Start] {
      if (Hosts[Host].Generation == Generation) {
        post(Host, start_response{Start.Target, Start.Attempt, Start.Token,
                                  command_outcome::NoAnswer, std::nullopt});
      }
    });
  }
  if (!IsReached) {
    return;
  }
  if (!IsLate && happens(Faults.Unhealthy)) {
    deliverResponse(Host, Generation,
                    start_response{Start.Target, Start.Attempt, Start.Token,
                                   command_outcome::Unhealthy, std::nullopt},
                    Start.Target);
    return;
  }
  const microseconds Late = lateDelay();
  at(Now + (IsLate ? Late : randomDelay()),
     [this, Host, Generation, Start, IsLate, IsLost] {
       executeStart(Host, Generation, Start, IsLate, IsLost);
     });
}

void pool_simulation::executeStart(std::size_t Host, std::uint64_t Generation,
                                   const start_attempt &Start, bool IsLate,
                                   bool IsLost) {
  advanceTargets();
  emulator::target_model *Target = findRunningTarget(Start.Target);
  if (Target == nullptr) {
    at(Now + config::CommandTimeout, [this, Host, Generation, Start] {
      if (Hosts[Host].Generation == Generation) {
        post(Host, start_response{Start.Target, Start.Attempt, Start.Token,
                                  command_outcome::NoAnswer, std::nullopt});
      }
    });
    return;
  }
  const command_outcome Outcome =
      Target->start(Start.Attempt, Start.Token, Start.LeaseDeadline,
                    profileOf(Start.Attempt), Now);
  if (Outcome == command_outcome::Accepted &&
      Start.Incarnation != Target->incarnation()) {
    (IsLate ? TargetsWithStaleStarts : TargetsWithUnknownRestarts)
        .insert(Start.Target);
  }
  if (!IsLate && !IsLost) {
    deliverResponse(Host, Generation,
                    start_response{Start.Target, Start.Attempt, Start.Token,
                                   Outcome, Target->clock(Now)},
                    Start.Target);
  }
}

void pool_simulation::execute(std::size_t Host, stop_attempt &&Stop) {
  if (!isReachable(Host, Stop.Target) || happens(Faults.Unhealthy)) {
    return;
  }
  const bool IsLate = happens(Faults.LateStops);
  const bool IsLost = IsLate || happens(Faults.LostResponses);
  microseconds Delay = IsLate ? lateDelay() : randomDelay();
  if (Faults.MaxStopTime > milliseconds(0)) {
    Delay += std::chrono::duration_cast<microseconds>(randomFraction() *
                                                      Faults.MaxStopTime);
  }
  at(Now + Delay, [this, Host, Generation = Hosts[Host].Generation, Stop,
                   IsLost] {
    emulator::target_model *Target = findRunningTarget(Stop.Target);
    if (Target == nullptr) {
      return;
    }
    const command_outcome Outcome = Target->stop(Stop.Attempt, Stop.Token, Now);
    if (!IsLost) {
      deliverResponse(
          Host, Generation,
          stop_response{Stop.Target, Stop.Attempt, Stop.Token, Outcome},
          Stop.Target);
    }
  });
}

void pool_simulation::execute(std::size_t Host, renew_target_lease &&Renewal) {
  if (!isReachable(Host, Renewal.Target) || happens(Faults.Unhealthy)) {
    return;
  }
  const bool IsLate = happens(Faults.LateRenewals);
  if (IsLate || happens(Faults.LostResponses)) {
    const std::int64_t Incarnation = findTarget(Renewal.Target)->incarnation();
    at(Now + (IsLate ? lateDelay() : randomDelay()),
       [this, Renewal, Incarnation] { renewUnanswered(Renewal, Incarnation); });
    return;
  }
  at(Now + randomDelay(),
     [this, Host, Generation = Hosts[Host].Generation, Renewal] {
       respondToRenewal(Host, Generation, Renewal, Now + Renewal.LongPollWait);
     });
}

void pool_simulation::renewUnanswered(const renew_target_lease &Renewal,
                                      std::int64_t Incarnation) {
  emulator::target_model *Target = findRunningTarget(Renewal.Target);
  if (Target == nullptr) {
    return;
  }
  renewal_response Unused;
  Target->hold(Renewal.Token, Renewal.LastOutcomeNumber, Renewal.LeaseDeadline,
               Unused, Now);
  if (Target->incarnation() != Incarnation) {
    TargetsWithStaleStarts.insert(Renewal.Target);
  }
}

void pool_simulation::execute(std::size_t Host, send_datagram &&Sent) {
  if (randomFraction() < Init.DatagramLoss) {
    return;
  }
  const std::string From = hostName(Host);
  const microseconds Delay =
      randomDelayOr(Faults.SlowDatagrams, Faults.MaxDatagramDelay);
  at(Now + Delay, [this, Host, From, Sent] {
    for (std::size_t Other = 0; Other < Hosts.size(); ++Other) {
      if (hostName(Other) != Sent.Address ||
          PartitionedHosts.contains(std::minmax(Host, Other)) ||
          CutDatagrams.contains({Host, Other})) {
        continue;
      }
      if (auto Datagram = decodeDatagram(Sent.Bytes)) {
        post(Other, datagram_received{std::move(*Datagram), From});
      }
    }
  });
}

void pool_simulation::deliverResponse(std::size_t Host,
                                      std::uint64_t Generation, event Event,
                                      const std::string &Target) {
  at(Now + randomDelayOr(Faults.SlowResponses, Faults.MaxResponseDelay),
     [this, Host, Generation, Event = std::move(Event), Target]() mutable {
       if (Hosts[Host].Generation == Generation && mayRespond(Host, Target)) {
         post(Host, std::move(Event));
       }
     });
}

bool pool_simulation::isReachable(std::size_t Host,
                                  const std::string &Target) const {
  const auto Cut = CutPaths.find({Host, Target});
  const bool IsCut =
      Cut != CutPaths.end() &&
      (Cut->second == path_cut::Requests || Cut->second == path_cut::Both);
  return !IsCut && !PartitionedFromTargets.contains(Host) &&
         Targets.contains(Target);
}

bool pool_simulation::mayRespond(std::size_t Host,
                                 const std::string &Target) const {
  const auto Cut = CutPaths.find({Host, Target});
  const bool IsCut =
      Cut != CutPaths.end() &&
      (Cut->second == path_cut::Responses || Cut->second == path_cut::Both);
  return !IsCut && !PartitionedFromTargets.contains(Host);
}

void pool_simulation::respondToRenewal(std::size_t Host,
                                       std::uint64_t Generation,
                                       renew_target_lease Renewal,
                                       boot_time Until) {
  emulator::target_model *Target = findRunningTarget(Renewal.Target);
  if (Target == nullptr) {
    return;
  }
  renewal_response Response;
  Response.Target = Renewal.Target;
  Response.Token = Renewal.Token;
  Response.RenewalNumber = Renewal.RenewalNumber;
  Response.Outcome = Target->hold(Renewal.Token, Renewal.LastOutcomeNumber,
                                  Renewal.LeaseDeadline, Response, Now);
  Response.TargetClock = Target->clock(Now);
  const bool IsWaiting = Response.Outcome == command_outcome::Accepted &&
                         Response.Outcomes.empty() && Now < Until;
  if (!IsWaiting) {
    deliverResponse(Host, Generation, std::move(Response), Renewal.Target);
    return;
  }
  Renewal.LeaseDeadline.reset();
  const boot_time Next = std::clamp(Target->nextEnd(), Now + milliseconds(2),
                                    std::min(Until, Now + milliseconds(10)));
  at(Next, [this, Host, Generation, Renewal, Until] {
    respondToRenewal(Host, Generation, Renewal, Until);
  });
}

emulator::target_model *
pool_simulation::findRunningTarget(const std::string &Id) {
  emulator::target_model *Target = findTarget(Id);
  if (Target == nullptr) {
    return nullptr;
  }
  Target->advance(Now);
  return Target->isDown() ? nullptr : Target;
}

void pool_simulation::advanceTargets() {
  for (auto &[Id, Target] : Targets) {
    Target.advance(Now);
  }
}

} // namespace tarragonbridge::pool
