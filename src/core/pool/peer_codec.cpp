#include "tarragonbridge/pool/peer_messages.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

// Datagrams are JSON texts: a line with head and messages, and a second one
// with the sender's state where there is one. Rows of values stand as arrays,
// in the order of the fields of their type. A reader takes what it knows and
// refuses the datagram as a whole when a value has another type. Boost.JSON, as
// most of a host's processor time would else go into these texts.

namespace tarragonbridge::pool {

namespace {
using boost::json::array;
using boost::json::value;

/// Speeds stand as whole numbers of this part of one.
constexpr double SpeedUnit = 1e-4;

template <class... Ts> array row(Ts &&...Values) {
  array Row;
  Row.reserve(sizeof...(Values));
  (Row.emplace_back(std::forward<Ts>(Values)), ...);
  return Row;
}

std::int64_t count(milliseconds Time) { return Time.count(); }
std::int64_t speed(double Speed) { return std::llround(Speed / SpeedUnit); }

const value &at(const value &Row, std::size_t Index) {
  return Row.as_array().at(Index);
}
std::string text(const value &Node) {
  return std::string(std::string_view(Node.as_string()));
}
template <class T> T number(const value &Node) { return Node.to_number<T>(); }
std::uint64_t wide(const value &Node) { return number<std::uint64_t>(Node); }
milliseconds time(const value &Node) {
  return milliseconds(number<std::int64_t>(Node));
}
double speed(const value &Node) {
  return static_cast<double>(number<std::int64_t>(Node)) * SpeedUnit;
}

array encode(const resource_vector &Needs) {
  return row(std::int64_t(Needs.CpuMilli), std::int64_t(Needs.MemoryMb),
             std::int64_t(Needs.Accelerators));
}
resource_vector decodeNeeds(const value &Row) {
  return {number<std::int64_t>(at(Row, 0)), number<std::int64_t>(at(Row, 1)),
          number<std::int64_t>(at(Row, 2))};
}

array encode(const attempt_ref &Attempt) {
  return row(Attempt.Job, Attempt.Step, Attempt.Task, Attempt.AttemptNumber);
}
attempt_ref decodeAttempt(const value &Row) {
  return {text(at(Row, 0)), number<std::uint32_t>(at(Row, 1)),
          number<std::uint32_t>(at(Row, 2)), number<std::uint32_t>(at(Row, 3))};
}

array encode(const host_ref &Host) { return row(Host.Name, Host.Incarnation); }
host_ref decodeHost(const value &Row) {
  return {text(at(Row, 0)), wide(at(Row, 1))};
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

// Messages: ["kind", fields...].

array encode(const task_offer &Offer) {
  array Tasks;
  for (const offered_task &Task : Offer.Tasks) {
    Tasks.emplace_back(row(Task.Step, Task.Task, Task.AttemptNumber,
                           encode(Task.RequiredResources),
                           count(Task.ExpectedRunTime),
                           count(Task.ObjectiveDeadline), count(Task.ExpiresIn),
                           Task.MayQueue, Task.AvoidTarget));
  }
  return row("offer", Offer.Job, Offer.Service, Offer.Priority,
             Offer.Specification, Tasks);
}
task_offer decodeOffer(const value &Row) {
  task_offer Offer{text(at(Row, 1)),
                   text(at(Row, 2)),
                   number<int>(at(Row, 3)),
                   text(at(Row, 4)),
                   {}};
  for (const value &Task : at(Row, 5).as_array()) {
    Offer.Tasks.push_back(
        {number<std::uint32_t>(at(Task, 0)), number<std::uint32_t>(at(Task, 1)),
         number<std::uint32_t>(at(Task, 2)), decodeNeeds(at(Task, 3)),
         time(at(Task, 4)), time(at(Task, 5)), time(at(Task, 6)),
         at(Task, 7).as_bool(), text(at(Task, 8))});
  }
  return Offer;
}

array encode(const offer_refused &Refused) {
  return row("refused", encode(Refused.Tasks),
             count(Refused.PredictedQueueWait));
}

array encode(const task_ended &Ended) {
  return row("ended", encode(Ended.Attempt),
             static_cast<unsigned>(Ended.Outcome), Ended.Target,
             count(Ended.RunTime));
}
task_ended decodeEnded(const value &Row) {
  const unsigned End = number<std::uint32_t>(at(Row, 2));
  if (End > static_cast<unsigned>(attempt_outcome::NotStarted)) {
    throw std::out_of_range("kind of end");
  }
  return {decodeAttempt(at(Row, 1)), static_cast<attempt_outcome>(End),
          text(at(Row, 3)), time(at(Row, 4))};
}

array encode(const tasks_cancelled &Cancelled) {
  return row("cancelled", encode(Cancelled.Tasks));
}

array encode(const attempts_reassigned &Moved) {
  return row("moved", encode(Moved.Attempts));
}

array encode(const target_handover &Handover) {
  array Attempts;
  for (const handover_attempt &Handed : Handover.Attempts) {
    Attempts.emplace_back(
        row(encode(Handed.Attempt), encode(Handed.Coordinator),
            encode(Handed.RequiredResources), count(Handed.ExpectedRunTime),
            count(Handed.Age), Handed.IsConfirmed));
  }
  return row("handover", Handover.Target, Handover.Token,
             Handover.LastOutcomeNumber, std::int64_t(Handover.Incarnation),
             speed(Handover.Speed), Attempts);
}
target_handover decodeHandover(const value &Row) {
  target_handover Handover{text(at(Row, 1)),  wide(at(Row, 2)),
                           wide(at(Row, 3)),  number<std::int64_t>(at(Row, 4)),
                           speed(at(Row, 5)), {}};
  for (const value &Handed : at(Row, 6).as_array()) {
    Handover.Attempts.push_back(
        {decodeAttempt(at(Handed, 0)), decodeHost(at(Handed, 1)),
         decodeNeeds(at(Handed, 2)), time(at(Handed, 3)), time(at(Handed, 4)),
         at(Handed, 5).as_bool()});
  }
  return Handover;
}

peer_message decodeMessage(const value &Row) {
  const std::string Kind = text(at(Row, 0));
  if (Kind == "offer") {
    return decodeOffer(Row);
  }
  if (Kind == "refused") {
    return offer_refused{decodeAttempts(at(Row, 1)), time(at(Row, 2))};
  }
  if (Kind == "ended") {
    return decodeEnded(Row);
  }
  if (Kind == "cancelled") {
    return tasks_cancelled{decodeAttempts(at(Row, 1))};
  }
  if (Kind == "moved") {
    return attempts_reassigned{decodeAttempts(at(Row, 1))};
  }
  if (Kind == "handover") {
    return decodeHandover(Row);
  }
  throw std::out_of_range("kind of message");
}

array encode(const host_state &State) {
  array Targets;
  for (const target_free_capacity &Room : State.Targets) {
    Targets.emplace_back(row(Room.Target, Room.Service, encode(Room.Free),
                             speed(Room.Speed), Room.IsSpeedMeasured,
                             Room.IsSchedulable, Room.Token));
  }
  return row(State.IsShuttingDown, std::int64_t(State.ConfigurationVersion),
             count(State.PredictedQueueWait), State.Slots, Targets);
}
host_state decodeState(const value &Row) {
  host_state State{at(Row, 0).as_bool(),
                   number<std::int64_t>(at(Row, 1)),
                   time(at(Row, 2)),
                   number<std::uint32_t>(at(Row, 3)),
                   {}};
  for (const value &Room : at(Row, 4).as_array()) {
    State.Targets.push_back({text(at(Room, 0)), text(at(Room, 1)),
                             decodeNeeds(at(Room, 2)), speed(at(Room, 3)),
                             at(Room, 4).as_bool(), wide(at(Room, 6)),
                             at(Room, 5).as_bool()});
  }
  return State;
}
} // namespace

namespace {
/// Parses a text; its values lie in a buffer of the caller's.
value parse(std::string_view Text, boost::json::monotonic_resource &Memory) {
  constexpr std::size_t MaxDepth = 16;
  boost::json::parse_options Options;
  Options.max_depth = MaxDepth;
  return boost::json::parse(Text, &Memory, Options);
}
} // namespace

std::string encodeState(const host_state &State) {
  return boost::json::serialize(encode(State));
}

std::string encodeDatagram(const datagram &Datagram, std::string_view State) {
  array Beyond;
  for (const std::uint64_t Number : Datagram.SelectiveAcks) {
    Beyond.emplace_back(Number);
  }
  array Messages;
  for (const auto &[Number, Message] : Datagram.Messages) {
    Messages.emplace_back(
        row(Number, std::visit([](const auto &Kind) { return encode(Kind); },
                               Message)));
  }
  const array Root = row(encode(Datagram.From), Datagram.FailureDomain,
                         Datagram.ReceiverIncarnation, Datagram.StateNumber,
                         Datagram.AckedStateNumber, Datagram.AckedUpTo, Beyond,
                         Messages, Datagram.Epoch, Datagram.AckedEpoch);
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
    Datagram.From = decodeHost(at(Root, 0));
    Datagram.FailureDomain = text(at(Root, 1));
    Datagram.ReceiverIncarnation = wide(at(Root, 2));
    Datagram.StateNumber = wide(at(Root, 3));
    if (!StateText.empty()) {
      Datagram.State = decodeState(parse(StateText, Memory));
    }
    Datagram.AckedStateNumber = wide(at(Root, 4));
    Datagram.AckedUpTo = wide(at(Root, 5));
    for (const value &Number : at(Root, 6).as_array()) {
      Datagram.SelectiveAcks.push_back(wide(Number));
    }
    for (const value &Message : at(Root, 7).as_array()) {
      Datagram.Messages.push_back(
          {wide(at(Message, 0)), decodeMessage(at(Message, 1))});
    }
    Datagram.Epoch = wide(at(Root, 8));
    Datagram.AckedEpoch = wide(at(Root, 9));
    return Datagram;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace tarragonbridge::pool
