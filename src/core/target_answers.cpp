#include "core/json_reader.h"
#include "tarragonbridge/target.h"

namespace tarragonbridge {

namespace {
constexpr int StatusOk = 200;
} // namespace

stop_result parseStopReply(int Status, std::string_view Body) {
  json_document Document(Body, json_comments::Refused);
  if (Status != StatusOk || !Document.isValid() ||
      !Document.root().isObject()) {
    return stop_result::Unanswered;
  }
  object_reader Reader(Document, Document.root(), "");
  std::string State;
  Reader.optional("state", State);
  if (State == "stopped") {
    return stop_result::Stopped;
  }
  if (State == "ended") {
    return stop_result::Ended;
  }
  return State == "unseen" ? stop_result::Unseen : stop_result::Unanswered;
}

std::optional<std::vector<attempt_id>>
parseLapsed(int Status, std::string_view Body,
            const std::vector<attempt_id> &Renewed) {
  const json_document Document(Body, json_comments::Refused);
  if (Status != StatusOk || !Document.isValid() ||
      !Document.root().isObject() || !Document.root()["lapsed"].isArray()) {
    return std::nullopt;
  }
  std::set<std::pair<std::string, std::uint32_t>> Listed;
  for (const Json::Value &Pair : Document.root()["lapsed"]) {
    const bool IsPair = Pair.isArray() && Pair.size() == 2 &&
                        Pair[0].isString() && Pair[1].isUInt();
    if (!IsPair) {
      return std::nullopt;
    }
    Listed.emplace(Pair[0].asString(), Pair[1].asUInt());
  }
  std::vector<attempt_id> Lapsed;
  for (const attempt_id &Id : Renewed) {
    if (Listed.contains({formatTaskId(Id), Id.Attempt})) {
      Lapsed.push_back(Id);
    }
  }
  return Lapsed;
}

} // namespace tarragonbridge
