#include "tarragonbridge/target.h"

#include "core/json_reader.h"

#include <array>
#include <utility>

namespace tarragonbridge {

namespace {
constexpr int StatusOk = 200;

boost::leaf::error_id refuse(std::string_view Name, std::string Message) {
  return boost::leaf::new_error(error{"parse host entry", std::string(Name),
                                      reason::Malformed, std::move(Message)});
}

void readRole(json_document &Document, object_reader &Reader,
              host_entry &Host) {
  std::string Role;
  if (!Reader.required("role", Role)) {
    return;
  }
  if (Role != "entry" && Role != "target") {
    Document.addFault("role", nullptr, "\"entry\" or \"target\"");
  }
  Host.Role = Role == "entry" ? host_role::Entry : host_role::Target;
}

void readState(json_document &Document, object_reader &Reader,
               host_entry &Host) {
  std::string State = "live";
  Reader.optional("state", State);
  if (State != "live" && State != "leaving") {
    Document.addFault("state", nullptr, "\"live\" or \"leaving\"");
  }
  Host.State = State == "leaving" ? host_state::Leaving : host_state::Live;
}

/// Reason for each word of a target's refusal.
constexpr std::array<std::pair<std::string_view, reason>, 4> RefusalWords{{
    {"full", reason::TargetFull},
    {"leaving", reason::TargetLeaving},
    {"lapsed", reason::TargetLapsed},
    {"too_large", reason::TargetTooLarge},
}};

target_reply readRefusal(object_reader &Reader) {
  bool NotRun = false;
  std::string Word;
  Reader.optional("not_run", NotRun);
  Reader.optional("reason", Word);
  if (!NotRun) {
    return {};
  }
  for (const auto &[Name, Reason] : RefusalWords) {
    if (Name == Word) {
      return {reply_kind::NotRun, Reason, "", Word};
    }
  }
  return {reply_kind::NotRun, reason::TargetFull, "", Word};
}

target_reply readEnd(const json_document &Document, object_reader &Reader,
                     std::string_view TaskId, std::uint32_t Attempt) {
  std::string Task;
  std::string State;
  std::uint32_t Number = 0;
  Reader.optional("task", Task);
  Reader.optional("attempt", Number);
  Reader.optional("state", State);
  if (Task != TaskId || Number != Attempt) {
    return {};
  }
  if (State == "failed") {
    std::string Message;
    Reader.optional("error", Message);
    return {reply_kind::Failed, reason::TargetError, "", Message};
  }
  if (State != "done" || !Document.root().isMember("output")) {
    return {};
  }
  const std::string_view Output = Document.textOf(Document.root()["output"]);
  return {reply_kind::Done, reason::Count, std::string(Output), ""};
}
} // namespace

result<host_entry> parseHostEntry(std::string_view Name,
                                  std::string_view Value) {
  json_document Document(Value, json_comments::Refused);
  if (!Document.isValid()) {
    return refuse(Name, Document.faults());
  }
  host_entry Host;
  Host.Name = Name;
  object_reader Reader(Document, Document.root(), "");
  readRole(Document, Reader, Host);
  readState(Document, Reader, Host);
  Reader.required("failure_domain", Host.FailureDomain);
  Reader.required("address", Host.Address);
  Reader.optional("rack", Host.Rack);
  Reader.optional("peer_address", Host.PeerAddress);
  Reader.optional("slots", Host.Slots);
  Reader.optional("cores", Host.Capacity.Cores);
  Reader.optional("memory_mb", Host.Capacity.MemoryMb);
  Reader.optional("accelerators", Host.Capacity.Accelerators);
  Reader.optional("connections", Host.Connections);
  // Fields that the platform adds later are not ours to refuse.
  if (!Document.isValid()) {
    return refuse(Name, Document.faults());
  }
  return Host;
}

target_reply parseTargetReply(int Status, std::string_view Body,
                              std::string_view TaskId, std::uint32_t Attempt) {
  json_document Document(Body, json_comments::Refused);
  if (!Document.isValid() || !Document.root().isObject()) {
    return {};
  }
  object_reader Reader(Document, Document.root(), "");
  if (Status == StatusOk) {
    return readEnd(Document, Reader, TaskId, Attempt);
  }
  constexpr std::array RefusalStatuses{409, 429, 503};
  for (const int Refusal : RefusalStatuses) {
    if (Status == Refusal) {
      return readRefusal(Reader);
    }
  }
  return {};
}

} // namespace tarragonbridge
