#include "tarragonbridge/pool/peer_messages.h"

#include <json/json.h>

#include <algorithm>
#include <memory>
#include <stdexcept>

// Datagrams are JSON texts: a line with head and messages, and a second one
// with the sender's state where there is one. Rows of values stand as arrays,
// in the order of the fields of their type. A reader takes what it knows and
// refuses the datagram as a whole when a value has another type.

namespace tarragonbridge::pool {

namespace {
using Json::Value;

template <class... Ts> Value row(const Ts &...Values) {
  Value Row(Json::arrayValue);
  (Row.append(Value(Values)), ...);
  return Row;
}

Json::Int64 count(milliseconds Time) { return Time.count(); }
milliseconds time(const Value &Node) { return milliseconds(Node.asInt64()); }
Json::UInt64 wide(std::uint64_t Number) { return Number; }

Value encode(const task_needs &Needs) {
  return row(Json::Int64(Needs.CpuMilli), Json::Int64(Needs.MemoryMb),
             Json::Int64(Needs.Accelerators));
}
task_needs decodeNeeds(const Value &Row) {
  return {Row[0].asInt64(), Row[1].asInt64(), Row[2].asInt64()};
}

Value encode(const attempt_ref &Attempt) {
  return row(Attempt.Job, Attempt.Step, Attempt.Task, Attempt.Run);
}
attempt_ref decodeAttempt(const Value &Row) {
  return {Row[0].asString(), Row[1].asUInt(), Row[2].asUInt(), Row[3].asUInt()};
}

Value encode(const host_ref &Host) {
  return row(Host.Name, wide(Host.Incarnation));
}
host_ref decodeHost(const Value &Row) {
  return {Row[0].asString(), Row[1].asUInt64()};
}

Value encode(const std::vector<attempt_ref> &Attempts) {
  Value Rows(Json::arrayValue);
  for (const attempt_ref &Attempt : Attempts) {
    Rows.append(encode(Attempt));
  }
  return Rows;
}
std::vector<attempt_ref> decodeAttempts(const Value &Rows) {
  std::vector<attempt_ref> Attempts;
  for (const Value &Row : Rows) {
    Attempts.push_back(decodeAttempt(Row));
  }
  return Attempts;
}

// Messages: ["kind", fields...].

Value encode(const task_offer &Offer) {
  Value Tasks(Json::arrayValue);
  for (const offered_task &Task : Offer.Tasks) {
    Tasks.append(row(Task.Step, Task.Task, Task.Run, encode(Task.Needs),
                     count(Task.Expected), count(Task.EndBy),
                     count(Task.UselessIn), Task.MayQueue, Task.AvoidTarget));
  }
  return row("offer", Offer.Job, Offer.Service, Offer.Priority,
             Offer.Specification, Tasks);
}
task_offer decodeOffer(const Value &Row) {
  task_offer Offer{Row[1].asString(),
                   Row[2].asString(),
                   Row[3].asInt(),
                   Row[4].asString(),
                   {}};
  for (const Value &Task : Row[5]) {
    Offer.Tasks.push_back({Task[0].asUInt(), Task[1].asUInt(), Task[2].asUInt(),
                           decodeNeeds(Task[3]), time(Task[4]), time(Task[5]),
                           time(Task[6]), Task[7].asBool(),
                           Task[8].asString()});
  }
  return Offer;
}

Value encode(const offer_refused &Refused) {
  return row("refused", encode(Refused.Tasks));
}

Value encode(const task_ended &Ended) {
  return row("ended", encode(Ended.Attempt), static_cast<unsigned>(Ended.End),
             Ended.Target, count(Ended.Ran));
}
task_ended decodeEnded(const Value &Row) {
  const unsigned End = Row[2].asUInt();
  if (End > static_cast<unsigned>(attempt_end::NotStarted)) {
    throw std::out_of_range("kind of end");
  }
  return {decodeAttempt(Row[1]), static_cast<attempt_end>(End),
          Row[3].asString(), time(Row[4])};
}

Value encode(const tasks_cancelled &Cancelled) {
  return row("cancelled", encode(Cancelled.Tasks));
}

Value encode(const tasks_moved &Moved) {
  return row("moved", encode(Moved.Tasks));
}

Value encode(const target_handover &Handover) {
  Value Attempts(Json::arrayValue);
  for (const handed_attempt &Handed : Handover.Attempts) {
    Attempts.append(row(encode(Handed.Attempt), encode(Handed.Coordinator),
                        encode(Handed.Needs), count(Handed.Expected),
                        count(Handed.Age), Handed.IsConfirmed));
  }
  return row("handover", Handover.Target, wide(Handover.Token),
             wide(Handover.LastEnd), Json::Int64(Handover.Incarnation),
             Handover.Speed, Attempts);
}
target_handover decodeHandover(const Value &Row) {
  target_handover Handover{Row[1].asString(), Row[2].asUInt64(),
                           Row[3].asUInt64(), Row[4].asInt64(),
                           Row[5].asDouble(), {}};
  for (const Value &Handed : Row[6]) {
    Handover.Attempts.push_back({decodeAttempt(Handed[0]),
                                 decodeHost(Handed[1]), decodeNeeds(Handed[2]),
                                 time(Handed[3]), time(Handed[4]),
                                 Handed[5].asBool()});
  }
  return Handover;
}

peer_message decodeMessage(const Value &Row) {
  const std::string Kind = Row[0].asString();
  if (Kind == "offer") {
    return decodeOffer(Row);
  }
  if (Kind == "refused") {
    return offer_refused{decodeAttempts(Row[1])};
  }
  if (Kind == "ended") {
    return decodeEnded(Row);
  }
  if (Kind == "cancelled") {
    return tasks_cancelled{decodeAttempts(Row[1])};
  }
  if (Kind == "moved") {
    return tasks_moved{decodeAttempts(Row[1])};
  }
  if (Kind == "handover") {
    return decodeHandover(Row);
  }
  throw std::out_of_range("kind of message");
}

Value encode(const host_state &State) {
  Value Targets(Json::arrayValue);
  for (const target_room &Room : State.Targets) {
    Targets.append(row(Room.Target, Room.Service, encode(Room.Free), Room.Speed,
                       Room.IsSpeedKnown, Room.IsUsable, wide(Room.Term)));
  }
  return row(State.IsLeaving, Json::Int64(State.ConfigurationVersion),
             count(State.Wait), State.Slots, Targets);
}
host_state decodeState(const Value &Row) {
  host_state State{
      Row[0].asBool(), Row[1].asInt64(), time(Row[2]), Row[3].asUInt(), {}};
  for (const Value &Room : Row[4]) {
    State.Targets.push_back({Room[0].asString(), Room[1].asString(),
                             decodeNeeds(Room[2]), Room[3].asDouble(),
                             Room[4].asBool(), Room[6].asUInt64(),
                             Room[5].asBool()});
  }
  return State;
}
} // namespace

namespace {
std::string write(const Value &Root) {
  static const Json::StreamWriterBuilder Writer = [] {
    Json::StreamWriterBuilder Builder;
    Builder["indentation"] = "";
    Builder["precision"] = 4;
    return Builder;
  }();
  return Json::writeString(Writer, Root);
}

bool parseArray(std::string_view Text, Value &Root) {
  Json::CharReaderBuilder Builder;
  Builder["stackLimit"] = 16;
  Builder["failIfExtra"] = true;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  return Reader->parse(Text.data(), Text.data() + Text.size(), &Root,
                       nullptr) &&
         Root.isArray();
}
} // namespace

std::string encodeState(const host_state &State) {
  return write(encode(State));
}

std::string encodeDatagram(const datagram &Datagram, std::string_view State) {
  Value Beyond(Json::arrayValue);
  for (const std::uint64_t Number : Datagram.AckedBeyond) {
    Beyond.append(wide(Number));
  }
  Value Messages(Json::arrayValue);
  for (const auto &[Number, Message] : Datagram.Messages) {
    Messages.append(row(
        wide(Number),
        std::visit([](const auto &Kind) { return encode(Kind); }, Message)));
  }
  const Value Root =
      row(encode(Datagram.From), Datagram.FailureDomain,
          wide(Datagram.ToIncarnation), wide(Datagram.StateNumber),
          wide(Datagram.HeardState), wide(Datagram.AckedUpTo), Beyond, Messages,
          wide(Datagram.Epoch), wide(Datagram.AckedEpoch));
  std::string Bytes = write(Root);
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
  Value Root;
  Value StateRoot;
  try {
    if (!parseArray(Bytes.substr(0, HeadSize), Root) ||
        (!StateText.empty() && !parseArray(StateText, StateRoot))) {
      return std::nullopt;
    }
    datagram Datagram;
    Datagram.From = decodeHost(Root[0]);
    Datagram.FailureDomain = Root[1].asString();
    Datagram.ToIncarnation = Root[2].asUInt64();
    Datagram.StateNumber = Root[3].asUInt64();
    if (!StateText.empty()) {
      Datagram.State = decodeState(StateRoot);
    }
    Datagram.HeardState = Root[4].asUInt64();
    Datagram.AckedUpTo = Root[5].asUInt64();
    for (const Value &Number : Root[6]) {
      Datagram.AckedBeyond.push_back(Number.asUInt64());
    }
    for (const Value &Message : Root[7]) {
      Datagram.Messages.push_back(
          {Message[0].asUInt64(), decodeMessage(Message[1])});
    }
    Datagram.Epoch = Root[8].asUInt64();
    Datagram.AckedEpoch = Root[9].asUInt64();
    return Datagram;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace tarragonbridge::pool
