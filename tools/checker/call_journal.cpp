#include "checker/call_journal.h"

#include "core/json_reader.h"
#include "core/json_text.h"

#include <array>
#include <utility>

namespace tarragonbridge {

namespace {
constexpr std::array<std::pair<std::string_view, call_event>, 4> EventNames{{
    {"submitted", call_event::Submitted},
    {"answered", call_event::Answered},
    {"leaving", call_event::Leaving},
    {"down", call_event::Down},
}};

std::string_view nameOf(call_event Event) {
  return EventNames.at(static_cast<std::size_t>(Event)).first;
}

void readEvent(json_document &Document, object_reader &Reader,
               call_line &Line) {
  std::string Name;
  if (!Reader.required("event", Name)) {
    return;
  }
  for (const auto &[Known, Event] : EventNames) {
    if (Known == Name) {
      Line.Event = Event;
      return;
    }
  }
  Document.addFault("event", nullptr, "a known event");
}
} // namespace

std::string formatCallLine(const call_line &Line) {
  Json::Value Value;
  Value["event"] = std::string(nameOf(Line.Event));
  Value["at_ms"] = Json::Int64(Line.At.time_since_epoch().count());
  Value["key"] = Line.Key;
  Value["peer"] = Line.Peer;
  Value["repeatable"] = Line.Repeatable;
  Value["tasks"] = Json::UInt64(Line.Tasks);
  Value["status"] = Line.Status;
  Value["body"] = Line.Body;
  return writeJson(Value);
}

result<call_line> parseCallLine(std::string_view Text) {
  json_document Document(Text, json_comments::Refused);
  call_line Line;
  object_reader Reader(Document, Document.root(), "");
  milliseconds At{};
  readEvent(Document, Reader, Line);
  Reader.required("at_ms", At);
  Reader.optional("key", Line.Key);
  Reader.optional("peer", Line.Peer);
  Reader.optional("repeatable", Line.Repeatable);
  Reader.optional("tasks", Line.Tasks);
  Reader.optional("status", Line.Status);
  Reader.optional("body", Line.Body);
  if (!Document.isValid()) {
    return boost::leaf::new_error(
        error{"parse call record", "", reason::Malformed, Document.faults()});
  }
  Line.At = wall_time(At);
  return Line;
}

result<std::vector<call_line>> readCallJournal(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream) {
    return boost::leaf::new_error(error{"read record", File, reason::Malformed,
                                        "the file can't be read"});
  }
  std::vector<call_line> Lines;
  for (std::string Text; std::getline(Stream, Text);) {
    BOOST_LEAF_AUTO(Line, parseCallLine(Text));
    Lines.push_back(std::move(Line));
  }
  return Lines;
}

std::string echoOf(std::string_view Key, std::size_t Task) {
  return std::string(Key) + "#" + std::to_string(Task);
}

call_journal::call_journal(const std::string &File) {
  if (!File.empty()) {
    Stream.open(File, std::ios::app);
  }
}

void call_journal::write(const call_line &Line) {
  const std::lock_guard Lock(Mutex);
  if (Stream.is_open()) {
    Stream << formatCallLine(Line) << std::endl;
  }
}

} // namespace tarragonbridge
