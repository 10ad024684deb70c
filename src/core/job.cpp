#include "tarragonbridge/job.h"

#include "core/json_reader.h"
#include "tarragonbridge/config.h"
#include "tarragonbridge/event.h"
#include "tarragonbridge/membership.h"

#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace tarragonbridge {

namespace {
constexpr std::string_view SessionPrefix = "s1.";

bool isKeyCharacter(char C) {
  const bool IsLetter = (C >= 'A' && C <= 'Z') || (C >= 'a' && C <= 'z');
  const bool IsDigit = C >= '0' && C <= '9';
  return IsLetter || IsDigit || C == '.' || C == '_' || C == '~' || C == '-';
}

/// Takes the text up to the next dot, or all that is left.
std::string_view takeLabel(std::string_view &Rest) {
  const std::size_t Dot = Rest.find('.');
  const std::string_view Label = Rest.substr(0, Dot);
  Rest.remove_prefix(Dot == std::string_view::npos ? Rest.size() : Dot + 1);
  return Label;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text, int Base) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data(), End, Number, Base);
  if (Text.empty() || Failure != std::errc{} || Stop != End) {
    return std::nullopt;
  }
  return Number;
}

std::string formatHex(std::uint64_t Number) {
  constexpr int HexBase = 16;
  std::array<char, HexBase> Digits{};
  const auto Written = std::to_chars(
      Digits.data(), Digits.data() + Digits.size(), Number, HexBase);
  return {Digits.data(), Written.ptr};
}

/// Hashes fields one after another, each with its length.
class digest_builder {
public:
  digest_builder() : State(XXH3_createState()) { XXH3_64bits_reset(State); }
  ~digest_builder() { XXH3_freeState(State); }
  digest_builder(const digest_builder &) = delete;
  digest_builder &operator=(const digest_builder &) = delete;

  void add(std::string_view Text) {
    add(Text.size());
    XXH3_64bits_update(State, Text.data(), Text.size());
  }
  void add(std::uint64_t Number) {
    XXH3_64bits_update(State, &Number, sizeof Number);
  }
  std::uint64_t finish() const { return XXH3_64bits_digest(State); }

private:
  XXH3_state_t *State;
};

std::uint64_t digestOf(const job_request &Job) {
  digest_builder Digest;
  Digest.add(Job.Key);
  Digest.add(Job.Home);
  Digest.add(Job.Team);
  Digest.add(Job.Class);
  Digest.add(
      static_cast<std::uint64_t>(Job.SubmittedAt.time_since_epoch().count()));
  Digest.add(static_cast<std::uint64_t>(Job.TimeLimit.count()));
  Digest.add(static_cast<std::uint64_t>(Job.Repeatable));
  for (const task_request &Task : Job.Tasks) {
    Digest.add(Task.Payload);
    Digest.add(static_cast<std::uint64_t>(
        Task.Expected.value_or(milliseconds(-1)).count()));
    Digest.add(Task.Needs.Cores);
    Digest.add(Task.Needs.MemoryMb);
    Digest.add(Task.Needs.Accelerators);
  }
  return Digest.finish();
}

void readTask(json_document &Document, const Json::Value &Value,
              const std::string &Path, task_request &Task) {
  object_reader Reader(Document, Value, Path);
  // A payload of null is a payload, so presence is asked for, not a value.
  if (Value.isObject() && Value.isMember("payload")) {
    Task.Payload = Document.textOf(Value["payload"]);
  } else {
    Document.addFault(Reader.pathOf("payload"), &Value,
                      "a value, it is required");
  }
  Reader.find("payload");
  milliseconds Expected{};
  if (Reader.optional("expected_ms", Expected)) {
    Task.Expected = Expected;
  }
  Reader.optional("cores", Task.Needs.Cores);
  Reader.optional("memory_mb", Task.Needs.MemoryMb);
  Reader.optional("accelerators", Task.Needs.Accelerators);
  Reader.finish();
}

/// Reads the list of tasks. @returns whether their number is within the bound
bool readTasks(json_document &Document, object_reader &Reader,
               job_request &Job) {
  const Json::Value *Tasks = Reader.find("tasks");
  if (Tasks == nullptr || !Tasks->isArray() || Tasks->empty()) {
    Document.addFault("tasks", Tasks, "a list of at least one task");
    return true;
  }
  if (Tasks->size() > config::MaxTasksPerJob) {
    return false;
  }
  Job.Tasks.resize(Tasks->size());
  for (Json::ArrayIndex Index = 0; Index < Tasks->size(); ++Index) {
    const std::string Path = "tasks[" + std::to_string(Index) + "]";
    readTask(Document, (*Tasks)[Index], Path, Job.Tasks[Index]);
  }
  return true;
}

void readKey(json_document &Document, object_reader &Reader,
             std::string_view HeaderKey, std::string &Key) {
  const bool InBody = Reader.optional("key", Key);
  if (!InBody) {
    Key = HeaderKey;
    return;
  }
  if (!HeaderKey.empty() && HeaderKey != Key) {
    Document.addFault("key", nullptr, "the same key as in Idempotency-Key");
  }
}

boost::leaf::error_id refuse(reason Reason, std::string Message) {
  return boost::leaf::new_error(
      error{"parse job", "caller", Reason, std::move(Message)});
}
} // namespace

result<job_request> parseJobRequest(std::string_view Body,
                                    std::string_view HeaderKey) {
  json_document Document(Body, json_comments::Refused);
  if (!Document.isValid()) {
    return refuse(reason::Malformed, Document.faults());
  }
  job_request Job;
  object_reader Reader(Document, Document.root(), "");
  readKey(Document, Reader, HeaderKey, Job.Key);
  Reader.optional("home", Job.Home);
  Reader.required("team", Job.Team);
  Reader.optional("class", Job.Class);
  Reader.optional("repeatable", Job.Repeatable);
  milliseconds SubmittedAt{};
  Reader.required("submitted_at_ms", SubmittedAt);
  Job.SubmittedAt = wall_time(SubmittedAt);
  const bool HasLimit = Reader.optional("time_limit_ms", Job.TimeLimit);
  if (HasLimit && (Job.TimeLimit > config::MaxTimeLimit ||
                   Job.TimeLimit <= milliseconds::zero())) {
    Document.addFault("time_limit_ms", nullptr,
                      "from 1 to " +
                          std::to_string(config::MaxTimeLimit.count()));
  }
  const bool WithinBound = readTasks(Document, Reader, Job);
  Reader.finish();
  if (!WithinBound) {
    return refuse(reason::TooManyTasks,
                  "at most " + std::to_string(config::MaxTasksPerJob) +
                      " tasks");
  }
  if (!Document.isValid()) {
    return refuse(reason::Malformed, Document.faults());
  }
  if (Job.Key.empty()) {
    return refuse(reason::MissingKey,
                  "a key in the body or in Idempotency-Key");
  }
  if (!isValidKey(Job.Key)) {
    return refuse(reason::Malformed,
                  "key: expected 1 to 128 of A-Z a-z 0-9 . _ ~ -");
  }
  if (isSessionKey(Job.Key) && !parseSessionHome(Job.Key)) {
    return refuse(reason::Malformed,
                  "key: expected a session, a dot and a number");
  }
  if (isSessionKey(Job.Key) && !Job.Home.empty()) {
    return refuse(reason::Malformed,
                  "home: a session key names its home itself");
  }
  Job.Digest = digestOf(Job);
  return Job;
}

bool isValidKey(std::string_view Key) {
  return !Key.empty() && Key.size() <= config::MaxKeyBytes &&
         std::all_of(Key.begin(), Key.end(), isKeyCharacter);
}

bool isSessionKey(std::string_view Key) {
  return Key.starts_with(SessionPrefix);
}

std::optional<session_home> parseSessionHome(std::string_view Key) {
  constexpr int HexBase = 16;
  constexpr int DecimalBase = 10;
  if (!isSessionKey(Key)) {
    return std::nullopt;
  }
  Key.remove_prefix(SessionPrefix.size());
  session_home Home;
  Home.FailureDomain = takeLabel(Key);
  Home.Host = takeLabel(Key);
  const auto Incarnation = parseNumber(takeLabel(Key), HexBase);
  const auto Number = parseNumber(takeLabel(Key), DecimalBase);
  const auto JobNumber = parseNumber(Key, DecimalBase);
  if (Home.FailureDomain.empty() || Home.Host.empty() || !Incarnation ||
      !Number || !JobNumber) {
    return std::nullopt;
  }
  Home.Incarnation = *Incarnation;
  return Home;
}

std::string formatIdentity(const host_identity &Identity) {
  return Identity.FailureDomain + "." + Identity.Host + "." +
         formatHex(Identity.Incarnation);
}

std::optional<host_identity> parseIdentity(std::string_view Text) {
  constexpr int HexBase = 16;
  host_identity Identity;
  Identity.FailureDomain = takeLabel(Text);
  Identity.Host = takeLabel(Text);
  const auto Incarnation = parseNumber(Text, HexBase);
  if (Identity.FailureDomain.empty() || Identity.Host.empty() || !Incarnation) {
    return std::nullopt;
  }
  Identity.Incarnation = *Incarnation;
  return Identity;
}

std::string formatSession(const session_home &Home, std::uint64_t Number) {
  return std::string(SessionPrefix) + formatIdentity(Home) + "." +
         std::to_string(Number);
}

std::string formatTaskId(const attempt_id &Id) {
  return Id.Key + "#" + std::to_string(Id.Task);
}

} // namespace tarragonbridge
