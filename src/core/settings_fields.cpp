/// The numeric keys of a subtree, and the parsing of its text.
#include "core/json_reader.h"
#include "core/settings_parse_p.h"

#include <algorithm>
#include <set>

namespace tarragonbridge {

namespace {
template <auto Member> void setLimit(team_settings &Team, std::uint64_t Value) {
  auto &Limit = Team.Limits.*Member;
  Limit = static_cast<std::remove_reference_t<decltype(Limit)>>(Value);
}
template <auto Member>
void setNumber(team_settings &Team, std::uint64_t Value) {
  Team.*Member = static_cast<std::uint32_t>(Value);
}
void setTimeLimit(team_settings &Team, std::uint64_t Value) {
  Team.DefaultTimeLimit = milliseconds(Value);
}

constexpr auto MaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxMemoryMb = 1ULL << 40U;
constexpr std::uint64_t MaxBytes = 1ULL << 40U;
constexpr std::uint64_t MaxUrgency = 9;
constexpr std::uint64_t MaxAttempts = 20;
constexpr std::uint64_t MaxPercent = 100;
constexpr std::uint64_t LeastTimeLimit = 10;

const std::array<settings_field, SettingsFieldCount> Table{{
    {"max_running_tasks", "tasks", 1, MaxCount, 0, true,
     "Tasks of the team that run at once, over all hosts.",
     setLimit<&team_limits::MaxRunningTasks>},
    {"max_starts_per_second", "tasks/s", 1, MaxCount, 0, true,
     "Task starts of the team in a second, over all hosts.",
     setLimit<&team_limits::MaxStartsPerSecond>},
    {"max_cores", "cores", 1, MaxCount, 0, true,
     "Cores that the team's running tasks ask for.",
     setLimit<&team_limits::MaxCores>},
    {"max_memory_mb", "MB", 1, MaxMemoryMb, 0, true,
     "Memory that the team's running tasks ask for.",
     setLimit<&team_limits::MaxMemoryMb>},
    {"max_accelerators", "accelerators", 1, MaxCount, 0, true,
     "Accelerators that the team's running tasks ask for.",
     setLimit<&team_limits::MaxAccelerators>},
    {"max_queued_tasks", "tasks", 1, config::MaxQueuedTasks, 0, true,
     "Tasks of the team that wait at one host.",
     setLimit<&team_limits::MaxQueuedTasks>},
    {"max_queued_bytes", "bytes", 1, MaxBytes, 0, true,
     "Bytes of the team's tasks that wait at one host.",
     setLimit<&team_limits::MaxQueuedBytes>},
    {"urgency", "0 to 9", 0, MaxUrgency, team_settings{}.Urgency, false,
     "Higher goes first.", setNumber<&team_settings::Urgency>},
    {"max_attempts", "attempts", 1, MaxAttempts, team_settings{}.MaxAttempts,
     false, "Attempts at one task, the first one included.",
     setNumber<&team_settings::MaxAttempts>},
    {"retry_percent", "%", 0, MaxPercent, team_settings{}.RetryPercent, false,
     "Retries that the team may use for 100 first attempts.",
     setNumber<&team_settings::RetryPercent>},
    {"default_time_limit_ms", "ms", LeastTimeLimit,
     static_cast<std::uint64_t>(config::MaxTimeLimit.count()),
     static_cast<std::uint64_t>(config::DefaultTimeLimit.count()), false,
     "Time limit of jobs that name none.", setTimeLimit},
}};

std::string describeOrigin(const std::string &Path) {
  return Path.empty() ? "the root" : Path;
}

void checkBound(json_document &Document, const settings_field &Field,
                const Json::Value &Value, const effective_value &Parent) {
  if (Field.IsLimit && Parent.Origin && Value.asUInt64() > Parent.Value) {
    Document.addFault(Field.Name, &Value,
                      "at most " + std::to_string(Parent.Value) +
                          ", the limit of " + describeOrigin(*Parent.Origin));
  }
}

void readValue(json_document &Document, const settings_field &Field,
               const Json::Value *Value, std::optional<std::uint64_t> &Out) {
  if (Value == nullptr) {
    return;
  }
  const bool IsNumber = Value->isUInt64() && Value->type() != Json::realValue;
  if (IsNumber && Value->asUInt64() >= Field.Least &&
      Value->asUInt64() <= Field.Most) {
    Out = Value->asUInt64();
    return;
  }
  Document.addFault(Field.Name, Value,
                    "an integer from " + std::to_string(Field.Least) + " to " +
                        std::to_string(Field.Most));
}

bool isLabel(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::islower(C) != 0 || std::isdigit(C) != 0 || C == '-';
         });
}

void readFailureDomains(json_document &Document, object_reader &Reader,
                        std::string_view Path,
                        std::vector<std::string> &Domains) {
  const Json::Value *Value = Reader.find("failure_domains");
  if (Value == nullptr) {
    return;
  }
  if (!Path.empty()) {
    Document.addFault("failure_domains", Value, "this key in the root only");
    return;
  }
  if (!Reader.optional("failure_domains", Domains)) {
    return;
  }
  const std::set<std::string> Unique(Domains.begin(), Domains.end());
  if (Domains.empty() || Unique.size() != Domains.size() ||
      !std::all_of(Domains.begin(), Domains.end(), isLabel)) {
    Document.addFault("failure_domains", Value,
                      "one name or more, each once, of lower-case letters, "
                      "digits and -");
  }
}

void readOperator(json_document &Document, const Json::Value &Row,
                  const std::string &Path, settings_operator &Operator) {
  constexpr std::size_t MaxNameBytes = 64;
  constexpr std::size_t HashDigits = 64;
  object_reader Reader(Document, Row, Path);
  if (Reader.required("name", Operator.Name) &&
      (Operator.Name.empty() || Operator.Name.size() > MaxNameBytes)) {
    Document.addFault(Reader.pathOf("name"), &Row, "1 to 64 bytes");
  }
  const std::string &Hash = Operator.TokenSha256;
  if (Reader.required("token_sha256", Operator.TokenSha256) &&
      (Hash.size() != HashDigits ||
       Hash.find_first_not_of("0123456789abcdef") != std::string::npos)) {
    Document.addFault(Reader.pathOf("token_sha256"), &Row,
                      "64 hexadecimal digits in lower case");
  }
  Reader.finish();
}

void readOperators(json_document &Document, const Json::Value *Rows,
                   std::vector<settings_operator> &Operators) {
  if (Rows == nullptr) {
    return;
  }
  if (!Rows->isArray() || Rows->empty() ||
      Rows->size() > config::MaxOperators) {
    Document.addFault("operators", Rows,
                      "a list of 1 to " + std::to_string(config::MaxOperators) +
                          " operators; leave it out to inherit them");
    return;
  }
  for (const Json::Value &Row : *Rows) {
    const std::string Path =
        "operators[" + std::to_string(Operators.size()) + "]";
    readOperator(Document, Row, Path, Operators.emplace_back());
  }
}

void checkOperators(json_document &Document, const Json::Value *Rows,
                    operators_rule Rule) {
  if (Rows != nullptr && Rule == operators_rule::Refused) {
    Document.addFault("operators", Rows,
                      "operators in the root first, who could change all "
                      "subtrees");
  }
  if (Rows == nullptr && Rule == operators_rule::Required) {
    Document.addFault("operators", nullptr,
                      "a list, since other subtrees name operators");
  }
}

void readWhy(json_document &Document, object_reader &Reader, std::string &Why) {
  if (Reader.optional("why", Why) &&
      Why.size() > config::MaxSettingsNoteBytes) {
    Document.addFault(
        "why", nullptr,
        "at most " + std::to_string(config::MaxSettingsNoteBytes) + " bytes");
  }
}
} // namespace

const std::array<settings_field, SettingsFieldCount> &settingsFields() {
  return Table;
}

result<subtree_settings> parseSubtree(std::string_view Path,
                                      std::string_view Text) {
  return parseBoundedSubtree(Path, Text, {});
}

result<subtree_settings> parseBoundedSubtree(std::string_view Path,
                                             std::string_view Text,
                                             const subtree_bounds &Bounds) {
  json_document Document(Text, json_comments::Allowed);
  subtree_settings Subtree;
  if (Document.isValid() && Text.size() > config::MaxSettingsBytes) {
    Document.addFault("", nullptr,
                      "at most " + std::to_string(config::MaxSettingsBytes) +
                          " bytes");
  }
  if (Document.isValid()) {
    object_reader Reader(Document, Document.root(), "");
    for (std::size_t Index = 0; Index < Table.size(); ++Index) {
      const settings_field &Field = Table.at(Index);
      const Json::Value *Value = Reader.find(Field.Name.data());
      readValue(Document, Field, Value, Subtree.Values.at(Index));
      if (Subtree.Values.at(Index)) {
        checkBound(Document, Field, *Value, Bounds.Parent.at(Index));
      }
    }
    readFailureDomains(Document, Reader, Path, Subtree.FailureDomains);
    const Json::Value *Operators = Reader.find("operators");
    readOperators(Document, Operators, Subtree.Operators);
    checkOperators(Document, Operators, Bounds.Operators);
    readWhy(Document, Reader, Subtree.Why);
    Reader.finish();
  }
  if (!Document.isValid()) {
    return boost::leaf::new_error(error{"parse settings", std::string(Path),
                                        reason::Malformed, Document.faults()});
  }
  return Subtree;
}

} // namespace tarragonbridge
