#include "tarragonbridge/pool/peer_messages.h"

#include "tarragonbridge/pool/config.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

// A datagram is a line of JSON with header and messages, followed by a second
// line with the sender's host state if there is one. Structures are encoded as
// arrays, mostly in the order of their fields. A decoder ignores additional
// values at the end of an array and rejects the whole datagram if a value has
// the wrong type. Boost.JSON is used because a slower library would spend most
// of a host's processor time here.

namespace tarragonbridge::pool {

namespace {
using boost::json::array;
using boost::json::value;

/// Speeds are encoded as integer multiples of this.
constexpr double SpeedUnit = 1e-4;

template <class... Ts> array row(Ts &&...Values) {
  array Row;
  Row.reserve(sizeof...(Values));
  (Row.emplace_back(std::forward<Ts>(Values)), ...);
  return Row;
}

std::int64_t encodeTime(milliseconds Time) { return Time.count(); }
std::int64_t encodeSpeed(double Speed) {
  return std::llround(Speed / SpeedUnit);
}

const value &at(const value &Row, std::size_t Index) {
  return Row.as_array().at(Index);
}
std::string decodeText(const value &Node) {
  return std::string(std::string_view(Node.as_string()));
}
template <class T> T decodeNumber(const value &Node) {
  return Node.to_number<T>();
}
std::uint64_t decodeUint64(const value &Node) {
  return decodeNumber<std::uint64_t>(Node);
}
milliseconds decodeTime(const value &Node) {
  return milliseconds(decodeNumber<std::int64_t>(Node));
}
double decodeSpeed(const value &Node) {
  return static_cast<double>(decodeNumber<std::int64_t>(Node)) * SpeedUnit;
}

array encode(const resource_vector &Resources) {
  return row(std::int64_t(Resources.CpuMilli), std::int64_t(Resources.MemoryMb),
             std::int64_t(Resources.Accelerators));
}
resource_vector decodeResources(const value &Row) {
  return {decodeNumber<std::int64_t>(at(Row, 0)),
          decodeNumber<std::int64_t>(at(Row, 1)),
          decodeNumber<std::int64_t>(at(Row, 2))};
}

array encode(const attempt_ref &Attempt) {
  return row(Attempt.Job, Attempt.Step, Attempt.Task, Attempt.AttemptNumber);
}
attempt_ref decodeAttempt(const value &Row) {
  return {decodeText(at(Row, 0)), decodeNumber<std::uint32_t>(at(Row, 1)),
          decodeNumber<std::uint32_t>(at(Row, 2)),
          decodeNumber<std::uint32_t>(at(Row, 3))};
}

array encode(const host_ref &Host) { return row(Host.Name, Host.Incarnation); }
host_ref decodeHost(const value &Row) {
  return {decodeText(at(Row, 0)), decodeUint64(at(Row, 1))};
}

array encode(const std::vector<attempt_ref> &Attempts) {
  array Rows;
  for (const attempt_ref &Attempt : Attempts) {
    Rows.emplace_back(encode(Attempt));
  }
  return Rows;
}
std::vector<attempt_ref> decodeAttempts(const value &Rows) {
  std::vector<attempt_ref> Attempts;
  for (const value &Row : Rows.as_array()) {
    Attempts.push_back(decodeAttempt(Row));
  }
  return Attempts;
}

// A message is encoded as ["kind", fields...].

array encode(const task_offer &Offer) {
  array Tasks;
  for (const offered_task &Task : Offer.Tasks) {
    Tasks.emplace_back(
        row(Task.Step, Task.Task, Task.AttemptNumber,
            encode(Task.RequiredResources), encodeTime(Task.ExpectedRunTime),
            encodeTime(Task.ObjectiveDeadline), encodeTime(Task.ExpiresIn),
            Task.MayQueue, Task.AvoidTarget, Task.RunsAlone));
  }
  return row("offer", Offer.Job, Offer.Service, Offer.Priority,
             Offer.Specification, Tasks);
}
task_offer decodeOffer(const value &Row) {
  constexpr std::size_t RunsAloneIndex = 9;
  task_offer Offer{decodeText(at(Row, 1)),
                   decodeText(at(Row, 2)),
                   decodeNumber<int>(at(Row, 3)),
                   decodeText(at(Row, 4)),
                   {}};
  for (const value &Task : at(Row, 5).as_array()) {
    Offer.Tasks.push_back({decodeNumber<std::uint32_t>(at(Task, 0)),
                           decodeNumber<std::uint32_t>(at(Task, 1)),
                           decodeNumber<std::uint32_t>(at(Task, 2)),
                           decodeResources(at(Task, 3)),
                           decodeTime(at(Task, 4)), decodeTime(at(Task, 5)),
                           decodeTime(at(Task, 6)), at(Task, 7).as_bool(),
                           decodeText(at(Task, 8)),
                           Task.as_array().size() > RunsAloneIndex &&
                               at(Task, RunsAloneIndex).as_bool()});
  }
  return Offer;
}

array encode(const offer_refused &Refused) {
  return row("refused", encode(Refused.Attempts),
             encodeTime(Refused.PredictedQueueWait));
}

/// @returns the outcome for hosts of a version that knows no crashes
attempt_outcome basicOutcome(attempt_outcome Outcome) {
  const bool IsCrash = Outcome == attempt_outcome::Crashed ||
                       Outcome == attempt_outcome::Vanished;
  return IsCrash ? attempt_outcome::Lost : Outcome;
}

array encode(const task_ended &Ended) {
  return row("ended", encode(Ended.Attempt),
             static_cast<unsigned>(basicOutcome(Ended.Outcome)), Ended.Target,
             encodeTime(Ended.RunTime), static_cast<unsigned>(Ended.Outcome));
}
task_ended decodeEnded(const value &Row) {
  constexpr std::size_t BasicIndex = 2;
  constexpr std::size_t ExactIndex = 5;
  const unsigned OutcomeValue = decodeNumber<std::uint32_t>(
      at(Row, Row.as_array().size() > ExactIndex ? ExactIndex : BasicIndex));
  if (OutcomeValue > static_cast<unsigned>(attempt_outcome::Vanished)) {
    throw std::out_of_range("unknown attempt outcome");
  }
  return {decodeAttempt(at(Row, 1)), static_cast<attempt_outcome>(OutcomeValue),
          decodeText(at(Row, 3)), decodeTime(at(Row, 4))};
}

array encode(const tasks_cancelled &Cancelled) {
  array Jobs;
  for (const std::string &Job : Cancelled.Jobs) {
    Jobs.emplace_back(Job);
  }
  return row("cancelled", encode(Cancelled.Attempts), Jobs);
}

tasks_cancelled decodeCancelled(const value &Row) {
  constexpr std::size_t JobsIndex = 2;
  tasks_cancelled Cancelled{decodeAttempts(at(Row, 1))};
  if (Row.as_array().size() > JobsIndex) {
    for (const value &Job : at(Row, JobsIndex).as_array()) {
      Cancelled.Jobs.push_back(decodeText(Job));
    }
  }
  return Cancelled;
}

array encode(const attempts_reassigned &Reassigned) {
  return row("moved", encode(Reassigned.Attempts), Reassigned.Token);
}
attempts_reassigned decodeReassigned(const value &Row) {
  constexpr std::size_t TokenIndex = 2;
  const bool HasToken = Row.as_array().size() > TokenIndex;
  return {decodeAttempts(at(Row, 1)),
          HasToken ? decodeUint64(at(Row, TokenIndex)) : 0};
}

array encode(const std::vector<std::uint64_t> &Numbers) {
  return array(Numbers.begin(), Numbers.end());
}
std::vector<std::uint64_t> decodeNumbers(const value &Row) {
  std::vector<std::uint64_t> Numbers;
  for (const value &Number : Row.as_array()) {
    Numbers.push_back(decodeUint64(Number));
  }
  return Numbers;
}

array encode(const jobs_resubmitted &Resubmitted) {
  return row("resubmitted", encode(Resubmitted.Jobs));
}

array encode(const target_handover &Handover) {
  array Attempts;
  for (const handover_attempt &HandoverAttempt : Handover.Attempts) {
    Attempts.emplace_back(row(
        encode(HandoverAttempt.Attempt), encode(HandoverAttempt.Coordinator),
        encode(HandoverAttempt.RequiredResources),
        encodeTime(HandoverAttempt.ExpectedRunTime),
        encodeTime(HandoverAttempt.Age), HandoverAttempt.IsConfirmed));
  }
  return row("handover", Handover.Target, Handover.Token,
             Handover.LastOutcomeNumber, std::int64_t(Handover.Incarnation),
             encodeSpeed(Handover.Speed), Attempts);
}
target_handover decodeHandover(const value &Row) {
  target_handover Handover{
      decodeText(at(Row, 1)),   decodeUint64(at(Row, 2)),
      decodeUint64(at(Row, 3)), decodeNumber<std::int64_t>(at(Row, 4)),
      decodeSpeed(at(Row, 5)),  {}};
  for (const value &HandoverAttempt : at(Row, 6).as_array()) {
    Handover.Attempts.push_back({decodeAttempt(at(HandoverAttempt, 0)),
                                 decodeHost(at(HandoverAttempt, 1)),
                                 decodeResources(at(HandoverAttempt, 2)),
                                 decodeTime(at(HandoverAttempt, 3)),
                                 decodeTime(at(HandoverAttempt, 4)),
                                 at(HandoverAttempt, 5).as_bool()});
  }
  return Handover;
}

peer_message decodeMessage(const value &Row) {
  const std::string Kind = decodeText(at(Row, 0));
  if (Kind == "offer") {
    return decodeOffer(Row);
  }
  if (Kind == "refused") {
    return offer_refused{decodeAttempts(at(Row, 1)), decodeTime(at(Row, 2))};
  }
  if (Kind == "ended") {
    return decodeEnded(Row);
  }
  if (Kind == "cancelled") {
    return decodeCancelled(Row);
  }
  if (Kind == "moved") {
    return decodeReassigned(Row);
  }
  if (Kind == "handover") {
    return decodeHandover(Row);
  }
  if (Kind == "resubmitted") {
    return jobs_resubmitted{decodeNumbers(at(Row, 1))};
  }
  throw std::out_of_range("unknown kind of message");
}

array encode(const crash_summary &Crashes) {
  array Rows;
  for (const auto &[Task, Count] : Crashes) {
    Rows.emplace_back(
        row(Task.Job, Task.Step, Task.Task, Count.Confirmed, Count.Suspected));
  }
  return Rows;
}
crash_summary decodeCrashes(const value &Rows) {
  crash_summary Crashes;
  for (const value &Row : Rows.as_array()) {
    const task_ref Task{decodeText(at(Row, 0)),
                        decodeNumber<std::uint32_t>(at(Row, 1)),
                        decodeNumber<std::uint32_t>(at(Row, 2))};
    Crashes[Task] = {decodeNumber<std::uint32_t>(at(Row, 3)),
                     decodeNumber<std::uint32_t>(at(Row, 4))};
  }
  return Crashes;
}

array encode(const std::vector<evacuation_record> &Evacuations) {
  array Rows;
  for (const evacuation_record &Record : Evacuations) {
    Rows.emplace_back(
        row(Record.FailureDomain, Record.IsEvacuated, Record.Revision));
  }
  return Rows;
}
std::vector<evacuation_record> decodeEvacuations(const value &Rows) {
  std::vector<evacuation_record> Evacuations;
  for (const value &Row : Rows.as_array()) {
    Evacuations.push_back({decodeText(at(Row, 0)), at(Row, 1).as_bool(),
                           decodeUint64(at(Row, 2))});
  }
  return Evacuations;
}

array encode(const host_state &State) {
  array Targets;
  for (const target_free_capacity &FreeCapacity : State.Targets) {
    Targets.emplace_back(row(
        FreeCapacity.Target, FreeCapacity.Service, encode(FreeCapacity.Free),
        encodeSpeed(FreeCapacity.Speed), FreeCapacity.IsSpeedMeasured,
        FreeCapacity.IsSchedulable, FreeCapacity.Token));
  }
  return row(State.IsShuttingDown, std::int64_t(State.ConfigurationVersion),
             encodeTime(State.PredictedQueueWait), State.Slots, Targets,
             encode(State.Crashes), State.CanOwnTargets,
             encode(State.Evacuations), encode(State.OpenJobs));
}
host_state decodeState(const value &Row) {
  host_state State{at(Row, 0).as_bool(),
                   decodeNumber<std::int64_t>(at(Row, 1)),
                   decodeTime(at(Row, 2)),
                   decodeNumber<std::uint32_t>(at(Row, 3)),
                   {},
                   {}};
  constexpr std::size_t CrashesIndex = 5;
  if (Row.as_array().size() > CrashesIndex) {
    State.Crashes = decodeCrashes(at(Row, CrashesIndex));
  }
  constexpr std::size_t CanOwnIndex = 6;
  State.CanOwnTargets =
      Row.as_array().size() <= CanOwnIndex || at(Row, CanOwnIndex).as_bool();
  constexpr std::size_t EvacuationsIndex = 7;
  if (Row.as_array().size() > EvacuationsIndex) {
    State.Evacuations = decodeEvacuations(at(Row, EvacuationsIndex));
  }
  constexpr std::size_t OpenJobsIndex = 8;
  if (Row.as_array().size() > OpenJobsIndex) {
    State.OpenJobs = decodeNumbers(at(Row, OpenJobsIndex));
  }
  for (const value &FreeCapacity : at(Row, 4).as_array()) {
    State.Targets.push_back(
        {decodeText(at(FreeCapacity, 0)), decodeText(at(FreeCapacity, 1)),
         decodeResources(at(FreeCapacity, 2)), decodeSpeed(at(FreeCapacity, 3)),
         at(FreeCapacity, 4).as_bool(), decodeUint64(at(FreeCapacity, 6)),
         at(FreeCapacity, 5).as_bool()});
  }
  return State;
}
} // namespace

namespace {
/// Decodes a name that is kept for as long as its host is known.
std::string decodeKeptName(const value &Node) {
  if (Node.as_string().size() > config::MaxHostNameBytes) {
    throw std::length_error("name too long");
  }
  return decodeText(Node);
}

/// Parses JSON into values that are allocated from the given memory.
value parse(std::string_view Text,
            boost::json::monotonic_resource &ParseMemory) {
  constexpr std::size_t MaxDepth = 16;
  boost::json::parse_options Options;
  Options.max_depth = MaxDepth;
  return boost::json::parse(Text, &ParseMemory, Options);
}
} // namespace

std::string encodeState(const host_state &State) {
  return boost::json::serialize(encode(State));
}

std::string encodeDatagram(const datagram &Datagram, std::string_view State) {
  array Messages;
  for (const auto &[Number, Message] : Datagram.Messages) {
    Messages.emplace_back(
        row(Number, std::visit([](const auto &Kind) { return encode(Kind); },
                               Message)));
  }
  const array Root =
      row(encode(Datagram.From), Datagram.FailureDomain,
          Datagram.ReceiverIncarnation, Datagram.StateNumber,
          Datagram.AckedStateNumber, Datagram.AckedUpTo,
          encode(Datagram.SelectiveAcks), Messages, Datagram.Epoch,
          Datagram.AckedEpoch, Datagram.HeldStateNumber);
  std::string Bytes = boost::json::serialize(Root);
  if (!State.empty()) {
    Bytes += '\n';
    Bytes += State;
  }
  return Bytes;
}

std::optional<datagram> decodeDatagram(std::string_view Bytes) {
  const std::size_t HeadSize = std::min(Bytes.find('\n'), Bytes.size());
  const std::string_view StateText =
      Bytes.substr(std::min(HeadSize + 1, Bytes.size()));
  constexpr std::size_t BufferBytes = 32U << 10U;
  std::array<unsigned char, BufferBytes> Buffer;
  boost::json::monotonic_resource Memory(Buffer.data(), Buffer.size());
  try {
    const value Root = parse(Bytes.substr(0, HeadSize), Memory);
    datagram Datagram;
    Datagram.From.Name = decodeKeptName(at(at(Root, 0), 0));
    Datagram.From.Incarnation = decodeUint64(at(at(Root, 0), 1));
    Datagram.FailureDomain = decodeKeptName(at(Root, 1));
    Datagram.ReceiverIncarnation = decodeUint64(at(Root, 2));
    Datagram.StateNumber = decodeUint64(at(Root, 3));
    if (!StateText.empty()) {
      Datagram.State = decodeState(parse(StateText, Memory));
    }
    Datagram.AckedStateNumber = decodeUint64(at(Root, 4));
    Datagram.AckedUpTo = decodeUint64(at(Root, 5));
    Datagram.SelectiveAcks = decodeNumbers(at(Root, 6));
    for (const value &Message : at(Root, 7).as_array()) {
      Datagram.Messages.push_back(
          {decodeUint64(at(Message, 0)), decodeMessage(at(Message, 1))});
    }
    Datagram.Epoch = decodeUint64(at(Root, 8));
    Datagram.AckedEpoch = decodeUint64(at(Root, 9));
    constexpr std::size_t HeldStateIndex = 10;
    if (Root.as_array().size() > HeldStateIndex) {
      Datagram.HeldStateNumber = decodeUint64(at(Root, HeldStateIndex));
    }
    return Datagram;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace tarragonbridge::pool
