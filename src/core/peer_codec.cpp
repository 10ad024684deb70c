#include "core/peer_codec_p.h"

#include "core/json_reader.h"
#include "core/json_text.h"
#include "tarragonbridge/config.h"

#include <array>
#include <charconv>
#include <utility>

namespace tarragonbridge {

namespace {
constexpr int HexBase = 16;

template <class T> struct named_value {
  std::string_view Name;
  T Value;
};

constexpr std::array<named_value<claim_mode>, 4> Modes{{
    {"grant", claim_mode::Grant},
    {"check", claim_mode::Check},
    {"find", claim_mode::Find},
    {"release", claim_mode::Release},
}};
constexpr std::array<named_value<claim_outcome>, 4> Outcomes{{
    {"granted", claim_outcome::Granted},
    {"unclaimed", claim_outcome::Unclaimed},
    {"held", claim_outcome::Held},
    {"refused", claim_outcome::Refused},
}};
constexpr std::array<named_value<fetch_state>, 5> FetchStates{{
    {"ended", fetch_state::Ended},
    {"running", fetch_state::Running},
    {"pending", fetch_state::Pending},
    {"unseen", fetch_state::Unseen},
    {"gone", fetch_state::Gone},
}};

template <class T, std::size_t Size>
std::string nameOf(const std::array<named_value<T>, Size> &Table, T Value) {
  return std::string(Table.at(static_cast<std::size_t>(Value)).Name);
}

template <class T, std::size_t Size>
bool findName(const std::array<named_value<T>, Size> &Table,
              std::string_view Name, T &Out) {
  for (const named_value<T> &Row : Table) {
    if (Row.Name == Name) {
      Out = Row.Value;
      return true;
    }
  }
  return false;
}

bool findReason(std::string_view Name, reason &Out) {
  for (const reason_info &Info : reasonTable()) {
    if (Info.Name == Name) {
      Out = Info.Code;
      return true;
    }
  }
  return false;
}

std::string formatHex(std::uint64_t Number) {
  std::array<char, HexBase> Digits{};
  const auto Written = std::to_chars(
      Digits.data(), Digits.data() + Digits.size(), Number, HexBase);
  return {Digits.data(), Written.ptr};
}

bool parseHex(const std::string &Text, std::uint64_t &Out) {
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data(), End, Out, HexBase);
  return !Text.empty() && Failure == std::errc{} && Stop == End;
}

std::int64_t toMilliseconds(wall_time Time) {
  return Time.time_since_epoch().count();
}

/// Reads the members of one JSON array by position.
class row_reader {
public:
  row_reader(json_document &Document, const Json::Value &Row, std::string Path)
      : Document(Document), Row(Row), Path(std::move(Path)) {}

  bool hasSize(Json::ArrayIndex Size) {
    if (Row.isArray() && Row.size() == Size) {
      return true;
    }
    return fail("a list of " + std::to_string(Size));
  }
  std::string text(Json::ArrayIndex Index) {
    if (!Row[Index].isString()) {
      fail("a string at " + std::to_string(Index));
      return "";
    }
    return Row[Index].asString();
  }
  std::int64_t number(Json::ArrayIndex Index) {
    constexpr std::int64_t MaxNumber = 1LL << 50U;
    const Json::Value &Value = Row[Index];
    if (!Value.isInt64() || Value.asInt64() < 0 ||
        Value.asInt64() > MaxNumber) {
      fail("a number at " + std::to_string(Index));
      return 0;
    }
    return Value.asInt64();
  }
  bool boolean(Json::ArrayIndex Index) {
    return Row[Index].isBool()
               ? Row[Index].asBool()
               : fail("a truth value at " + std::to_string(Index));
  }
  bool fail(const std::string &Expected) {
    Document.addFault(Path, &Row, Expected);
    return false;
  }

private:
  json_document &Document;
  const Json::Value &Row;
  std::string Path;
};

void readIdentity(json_document &Document, object_reader &Reader,
                  const char *Name, host_identity &Out) {
  std::string Text;
  if (!Reader.required(Name, Text)) {
    return;
  }
  if (const auto Identity = parseIdentity(Text)) {
    Out = *Identity;
    return;
  }
  Document.addFault(Name, nullptr, "<failure_domain>.<host>.<incarnation>");
}

peer_route readRoute(json_document &Document, object_reader &Reader) {
  peer_route Route;
  readIdentity(Document, Reader, "from", Route.From);
  readIdentity(Document, Reader, "to", Route.To);
  return Route;
}

Json::Value writeRoute(const peer_route &Route) {
  Json::Value Root(Json::objectValue);
  Root["from"] = formatIdentity(Route.From);
  Root["to"] = formatIdentity(Route.To);
  return Root;
}

/// Reads [mode, key, digest, submitted_at_ms, number].
claim_ask readAsk(json_document &Document, const Json::Value &Value,
                  const std::string &Path) {
  constexpr Json::ArrayIndex Size = 5;
  row_reader Row(Document, Value, Path);
  claim_ask Ask;
  if (!Row.hasSize(Size)) {
    return Ask;
  }
  if (!findName(Modes, Row.text(0), Ask.Mode)) {
    Row.fail("a mode");
  }
  Ask.Key = Row.text(1);
  if (!isValidKey(Ask.Key)) {
    Row.fail("a key");
  }
  if (!parseHex(Row.text(2), Ask.Digest)) {
    Row.fail("a digest");
  }
  Ask.SubmittedAt = wall_time(milliseconds(Row.number(3)));
  Ask.Number = static_cast<std::uint64_t>(Row.number(4));
  return Ask;
}

/// Reads [number, outcome, holder or reason, not_run].
claim_answer readAnswer(json_document &Document, const Json::Value &Value,
                        const std::string &Path) {
  constexpr Json::ArrayIndex Size = 4;
  row_reader Row(Document, Value, Path);
  claim_answer Answer;
  if (!Row.hasSize(Size)) {
    return Answer;
  }
  Answer.Number = static_cast<std::uint64_t>(Row.number(0));
  if (!findName(Outcomes, Row.text(1), Answer.Outcome)) {
    Row.fail("an outcome");
  }
  const std::string Detail = Row.text(2);
  Answer.NotRun = Row.boolean(3);
  if (Answer.Outcome == claim_outcome::Refused &&
      !findReason(Detail, Answer.Reason)) {
    Row.fail("a reason");
  }
  if (Answer.Outcome == claim_outcome::Held) {
    const auto Holder = parseIdentity(Detail);
    Answer.Holder = Holder.value_or(host_identity{});
    if (!Holder) {
      Row.fail("an identity");
    }
  }
  return Answer;
}

std::string detailOf(const claim_answer &Answer) {
  switch (Answer.Outcome) {
  case claim_outcome::Held:
    return formatIdentity(Answer.Holder);
  case claim_outcome::Refused:
    return std::string(describe(Answer.Reason).Name);
  case claim_outcome::Granted:
  case claim_outcome::Unclaimed:
    break;
  }
  return "";
}

/// Reads a list of rows with a function for each.
template <class T, class Read>
void readRows(json_document &Document, object_reader &Reader, const char *Name,
              std::vector<T> &Out, Read &&ReadRow) {
  const Json::Value *List = Reader.find(Name);
  if (List == nullptr || !List->isArray() ||
      List->size() > config::MaxClaimsPerCall) {
    Document.addFault(Name, List,
                      "a list of at most " +
                          std::to_string(config::MaxClaimsPerCall));
    return;
  }
  for (Json::ArrayIndex Index = 0; Index < List->size(); ++Index) {
    const std::string Path =
        std::string(Name) + "[" + std::to_string(Index) + "]";
    Out.push_back(ReadRow(Document, (*List)[Index], Path));
  }
}

/// Parses a document of one object with a function that reads its members.
template <class T, class Read>
result<T> parseObject(std::string_view Text, Read &&ReadMembers) {
  json_document Document(Text, json_comments::Refused);
  T Out;
  if (Document.isValid()) {
    object_reader Reader(Document, Document.root(), "");
    ReadMembers(Document, Reader, Out);
    Reader.finish();
  }
  if (!Document.isValid()) {
    return boost::leaf::new_error(error{"parse peer message", "peer",
                                        reason::PeerMalformed,
                                        Document.faults()});
  }
  return Out;
}
} // namespace

std::string write(const claims_message &Message) {
  Json::Value Root = writeRoute(Message.Route);
  Json::Value &List = Root["claims"] = Json::Value(Json::arrayValue);
  for (const claim_ask &Ask : Message.Asks) {
    Json::Value Row(Json::arrayValue);
    Row.append(nameOf(Modes, Ask.Mode));
    Row.append(Ask.Key);
    Row.append(formatHex(Ask.Digest));
    Row.append(Json::Int64(toMilliseconds(Ask.SubmittedAt)));
    Row.append(Json::UInt64(Ask.Number));
    List.append(std::move(Row));
  }
  return writeJson(Root);
}

std::string write(const claims_result &Result) {
  Json::Value Root(Json::objectValue);
  Root["from"] = formatIdentity(Result.From);
  Json::Value &List = Root["answers"] = Json::Value(Json::arrayValue);
  for (const claim_answer &Answer : Result.Answers) {
    Json::Value Row(Json::arrayValue);
    Row.append(Json::UInt64(Answer.Number));
    Row.append(nameOf(Outcomes, Answer.Outcome));
    Row.append(detailOf(Answer));
    Row.append(Answer.NotRun);
    List.append(std::move(Row));
  }
  return writeJson(Root);
}

std::string write(const fetch_message &Message) {
  Json::Value Root = writeRoute(Message.Route);
  Root["key"] = Message.Ask.Key;
  Root["submitted_at_ms"] =
      Json::Int64(toMilliseconds(Message.Ask.SubmittedAt));
  Root["wait_ms"] = Json::Int64(Message.Ask.Wait.count());
  Root["cancel"] = Message.Ask.Cancel;
  return writeJson(Root);
}

std::string write(const fetch_result &Result) {
  Json::Value Root(Json::objectValue);
  Root["from"] = formatIdentity(Result.From);
  Root["state"] = nameOf(FetchStates, Result.Reply.State);
  Root["status"] = Result.Reply.Status;
  Root["body"] = Result.Reply.Body;
  return writeJson(Root);
}

std::string write(const heartbeat_message &Message) {
  Json::Value Root = writeRoute(Message.Route);
  Root["view"] = Json::UInt64(Message.Beat.ViewVersion);
  Root["settings"] = Json::Int64(Message.Beat.SettingsRevision);
  Root["queued"] = Json::UInt64(Message.Beat.QueuedTasks);
  Root["running"] = Json::UInt64(Message.Beat.RunningTasks);
  Root["leaving"] = Message.Beat.Leaving;
  return writeJson(Root);
}

result<claims_message> parseClaimsMessage(std::string_view Text) {
  return parseObject<claims_message>(
      Text,
      [](json_document &Document, object_reader &Reader, claims_message &Out) {
        Out.Route = readRoute(Document, Reader);
        readRows(Document, Reader, "claims", Out.Asks, readAsk);
      });
}

result<claims_result> parseClaimsResult(std::string_view Text) {
  return parseObject<claims_result>(
      Text,
      [](json_document &Document, object_reader &Reader, claims_result &Out) {
        readIdentity(Document, Reader, "from", Out.From);
        readRows(Document, Reader, "answers", Out.Answers, readAnswer);
      });
}

result<fetch_message> parseFetchMessage(std::string_view Text) {
  return parseObject<fetch_message>(
      Text,
      [](json_document &Document, object_reader &Reader, fetch_message &Out) {
        Out.Route = readRoute(Document, Reader);
        milliseconds SubmittedAt{};
        Reader.required("key", Out.Ask.Key);
        Reader.required("submitted_at_ms", SubmittedAt);
        Reader.required("wait_ms", Out.Ask.Wait);
        Reader.required("cancel", Out.Ask.Cancel);
        Out.Ask.SubmittedAt = wall_time(SubmittedAt);
        if (!isValidKey(Out.Ask.Key)) {
          Document.addFault("key", nullptr, "a key");
        }
      });
}

result<fetch_result> parseFetchResult(std::string_view Text) {
  return parseObject<fetch_result>(
      Text,
      [](json_document &Document, object_reader &Reader, fetch_result &Out) {
        readIdentity(Document, Reader, "from", Out.From);
        std::string State;
        Reader.required("state", State);
        Reader.required("status", Out.Reply.Status);
        Reader.required("body", Out.Reply.Body);
        if (!findName(FetchStates, State, Out.Reply.State)) {
          Document.addFault("state", nullptr, "a state");
        }
      });
}

result<heartbeat_message> parseHeartbeat(std::string_view Text) {
  return parseObject<heartbeat_message>(Text, [](json_document &Document,
                                                 object_reader &Reader,
                                                 heartbeat_message &Out) {
    Out.Route = readRoute(Document, Reader);
    Reader.required("view", Out.Beat.ViewVersion);
    Reader.required("settings", Out.Beat.SettingsRevision);
    Reader.required("queued", Out.Beat.QueuedTasks);
    Reader.required("running", Out.Beat.RunningTasks);
    Reader.required("leaving", Out.Beat.Leaving);
  });
}

} // namespace tarragonbridge
