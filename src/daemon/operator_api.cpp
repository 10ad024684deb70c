#include "daemon/operator_api.h"

#include "base/clock.h"
#include "base/codec.h"
#include "base/log.h"
#include "daemon/operator_answers_p.h"
#include "daemon/platform_watch.h"
#include "platform/call_budget.h"
#include "tarragonbridge/config.h"

#include <algorithm>
#include <thread>

namespace tarragonbridge {

namespace {
constexpr std::string_view SettingsUrl = "/v1/settings";
constexpr std::string_view CheckUrl = "/v1/settings-check";

/// @returns whether the URL is the prefix or lies below it
bool isBelow(std::string_view Url, std::string_view Prefix) {
  return Url.starts_with(Prefix) &&
         (Url.size() == Prefix.size() || Url[Prefix.size()] == '/');
}

std::string pathBelow(std::string_view Url, std::string_view Prefix) {
  Url.remove_prefix(std::min(Url.size(), Prefix.size() + 1));
  return std::string(Url);
}

std::string keyOf(const std::string &Path) {
  return std::string(SettingsPrefix) + Path;
}

boost::leaf::error_id refuse(std::string_view Step, reason Reason,
                             std::string Message) {
  return boost::leaf::new_error(
      error{std::string(Step), "", Reason, std::move(Message)});
}

std::string tokenHash(const http_request &Request) {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string Header = Request.header("authorization");
  return Header.starts_with(Scheme) ? hashSha256(Header.substr(Scheme.size()))
                                    : "";
}

/// @returns who makes an edit: the operator, or what the caller tells of
/// itself while no subtree names operators
std::string editorOf(const http_request &Request, const std::string &Operator) {
  constexpr std::size_t MaxBytes = 64;
  if (!Operator.empty()) {
    return Operator;
  }
  const std::string From = Request.header("from").substr(0, MaxBytes);
  return (From.empty() ? "anonymous" : From) + " (" + Request.Peer + ")";
}

/// @returns the snapshot with one subtree replaced by what the store has
settings_snapshot withDocument(const settings_snapshot &Held,
                               const settings_document &Document) {
  settings_snapshot Snapshot = Held;
  if (Document.Present.Revision != 0) {
    Snapshot.Documents[Document.Path] = Document;
  }
  return Snapshot;
}
} // namespace

operator_api::operator_api(store_client Store, responder Respond,
                           event_sink Sink)
    : Store(std::move(Store)), Respond(std::move(Respond)),
      Sink(std::move(Sink)), Held(std::make_shared<settings_snapshot>()) {
  Thread = posix_thread("operators", [this] { run(); });
}

operator_api::~operator_api() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Ready.notify_one();
  Thread.join();
}

bool operator_api::takes(const http_request &Request) {
  return isBelow(Request.Path, SettingsUrl) || isBelow(Request.Path, CheckUrl);
}

void operator_api::onRequest(request_handle Handle, http_request &&Request) {
  {
    const std::lock_guard Lock(Mutex);
    if (Queue.size() < config::MaxOperatorRequests) {
      Queue.emplace_back(Handle, std::move(Request));
      Ready.notify_one();
      return;
    }
  }
  Sink(reason_counted{reason::QueueFull});
  Respond(Handle, faultResponse({"queue request", "", reason::QueueFull,
                                 "too many requests of operators wait"}));
}

void operator_api::apply(std::shared_ptr<const settings_snapshot> Snapshot) {
  const std::lock_guard Lock(Mutex);
  Held = std::move(Snapshot);
}

std::shared_ptr<const settings_snapshot> operator_api::held() const {
  const std::lock_guard Lock(Mutex);
  return Held;
}

void operator_api::run() {
  std::unique_lock Lock(Mutex);
  while (true) {
    Ready.wait(Lock, [this] { return Stopping || !Queue.empty(); });
    // Requests that were taken are answered also when the host leaves.
    if (Queue.empty()) {
      return;
    }
    const auto [Handle, Request] = std::move(Queue.front());
    Queue.pop_front();
    Lock.unlock();
    Respond(Handle, answer(Request));
    Lock.lock();
  }
}

http_response operator_api::answer(const http_request &Request) {
  return tryOr(
      [&]() -> result<http_response> {
        if (isBelow(Request.Path, CheckUrl) && Request.Method == "POST") {
          return check(Request, pathBelow(Request.Path, CheckUrl));
        }
        const std::string Path = pathBelow(Request.Path, SettingsUrl);
        if (Request.Method == "GET") {
          return get(Request, Path);
        }
        if (Request.Method == "PUT") {
          return put(Request, Path);
        }
        return refuse("read request", reason::NotFound, "no such method");
      },
      [&](const error &Error) {
        Sink(reason_counted{Error.Reason});
        logEvent("settings_refused",
                 {{"path", Request.Path},
                  {"peer", Request.Peer},
                  {"step", Error.Step},
                  {"reason", std::string(describe(Error.Reason).Name)},
                  {"message", Error.Message}});
        return faultResponse(Error);
      });
}

result<operator_api::subtree_state>
operator_api::read(const std::string &Path) {
  BOOST_LEAF_AUTO(Range, Store.get(keyOf(Path)));
  subtree_state State;
  State.FromStore = true;
  State.Document.Path = Path;
  if (!Range.Entries.empty()) {
    const store_entry &Entry = Range.Entries.front();
    State.ModRevision = Entry.ModRevision;
    // A value that is no document is replaced like an empty one.
    State.Document = tryOr(
        [&] {
          return parseStoredDocument(Path, Entry.ModRevision, Entry.Value);
        },
        [&](const error & /*Error*/) {
          return settings_document{Path, {Entry.ModRevision, {}, ""}, {}};
        });
  }
  // A store restored to an older state must not undo what is in force.
  const auto Snapshot = held();
  const auto Found = Snapshot->Documents.find(Path);
  if (Found != Snapshot->Documents.end() &&
      Found->second.Present.Revision > State.Document.Present.Revision) {
    State.Document = Found->second;
    State.FromStore = false;
  }
  return State;
}

result<http_response> operator_api::get(const http_request &Request,
                                        const std::string &Path) {
  if (!isValidSettingsPath(Path)) {
    return refuse("read request", reason::NotFound, "not a path of settings");
  }
  const auto Snapshot = held();
  if (!Request.query("effective").empty()) {
    return effectiveResponse(*Snapshot, Path);
  }
  const subtree_state State =
      tryOr([&] { return read(Path); },
            [&](const error & /*Error*/) {
              const auto Found = Snapshot->Documents.find(Path);
              return Found == Snapshot->Documents.end()
                         ? subtree_state{{Path, {}, {}}, 0, false}
                         : subtree_state{Found->second, 0, false};
            });
  if (State.Document.Present.Revision == 0) {
    return refuse("read settings", reason::UnknownTeam,
                  "there is no subtree at this path");
  }
  return Request.query("history").empty()
             ? subtreeResponse(State.Document, State.FromStore)
             : historyResponse(State.Document);
}

result<http_response> operator_api::check(const http_request &Request,
                                          const std::string &Path) {
  BOOST_LEAF_CHECK(checkSubtree(*held(), Path, Request.Body));
  return http_response{200, R"({"state":"sound"})", {}, "application/json"};
}

result<http_response> operator_api::put(const http_request &Request,
                                        const std::string &Path) {
  const std::string IfMatch = Request.header("if-match");
  if (IfMatch.empty()) {
    return refuse("read request", reason::Malformed,
                  "If-Match: expected the revision that is edited, such as "
                  "\"7\", or \"0\" to create the subtree");
  }
  if (!isValidSettingsPath(Path)) {
    return refuse("read request", reason::Malformed, "not a path of settings");
  }
  BOOST_LEAF_AUTO(Base, read(Path));
  const settings_snapshot Around = withDocument(*held(), Base.Document);
  BOOST_LEAF_AUTO(Operator, authorizeEdit(Around, Path, tokenHash(Request)));
  if (IfMatch != "\"" + std::to_string(Base.Document.Present.Revision) + "\"") {
    Sink(reason_counted{reason::RevisionChanged});
    return conflictResponse(Base.Document);
  }
  BOOST_LEAF_CHECK(checkSubtree(Around, Path, Request.Body));
  BOOST_LEAF_AUTO(Subtree, parseSubtree(Path, Request.Body));
  settings_edit Edit{std::to_string(randomNumber()),
                     editorOf(Request, Operator), wallNow(), Subtree.Why};
  const std::string EditId = Edit.Id;
  const settings_document Next = nextVersion(Base.Document, Base.ModRevision,
                                             std::move(Edit), Request.Body);
  BOOST_LEAF_AUTO(Present, write(Base, Next));
  if (judgeEdit(Present, Base.Document.Present, EditId) !=
      edit_fate::Accepted) {
    Sink(reason_counted{reason::RevisionChanged});
    return conflictResponse(Present);
  }
  settings_offered Offer;
  Offer.Peer = "store";
  Offer.Snapshot.Documents.emplace(Path, Present);
  Sink(std::move(Offer));
  logEvent("settings_accepted",
           {{"path", Path},
            {"revision", std::to_string(Next.Present.Revision)},
            {"by", Next.Present.Edit.By},
            {"edit", EditId}});
  return subtreeResponse(Next, true);
}

result<settings_document> operator_api::write(const subtree_state &Base,
                                              const settings_document &Next) {
  const std::string Key = keyOf(Next.Path);
  const store_transaction Transaction{
      {{Key, Base.ModRevision}}, {{Key, formatStoredDocument(Next)}}, {}};
  const boot_time Until = bootNow() + config::SettingsWriteTime;
  backoff Backoff(config::StoreBackoffFirst, config::StoreBackoffMost,
                  randomNumber());
  // Once a write may have left, only an answer settles it: the same
  // compare-and-swap again is either the edit itself or fails for good, and
  // then nothing of it can appear later.
  bool MayHaveEffect = false;
  while (true) {
    error Fault{};
    const auto Outcome = tryOr(
        [&]() -> result<std::optional<store_outcome>> {
          BOOST_LEAF_AUTO(Written, Store.txn(Transaction));
          return std::optional(std::move(Written));
        },
        [&](const error &Error) {
          Fault = Error;
          return std::optional<store_outcome>();
        });
    if (Outcome) {
      return settle(*Outcome, Base, Next, MayHaveEffect);
    }
    MayHaveEffect =
        MayHaveEffect || Fault.Reason == reason::StoreOutcomeUnknown;
    if (!MayHaveEffect) {
      return boost::leaf::new_error(Fault);
    }
    if (bootNow() >= Until) {
      return refuse("write settings", reason::StoreOutcomeUnknown,
                    "the store did not answer; read the settings again and "
                    "look for edit " +
                        Next.Present.Edit.Id);
    }
    std::this_thread::sleep_for(Backoff.next());
  }
}

result<settings_document> operator_api::settle(const store_outcome &Outcome,
                                               const subtree_state &Base,
                                               const settings_document &Next,
                                               bool MayHaveEffect) {
  if (Outcome.Succeeded) {
    return Next;
  }
  settings_document Present{Next.Path, {}, {}};
  bool IsKnown = true;
  if (!Outcome.Present.empty()) {
    const store_entry &Entry = Outcome.Present.front();
    Present = tryOr(
        [&] {
          return parseStoredDocument(Next.Path, Entry.ModRevision, Entry.Value);
        },
        [&](const error & /*Error*/) {
          IsKnown = false;
          return Present;
        });
  }
  const edit_fate Fate =
      judgeEdit(Present, Base.Document.Present, Next.Present.Edit.Id);
  if (MayHaveEffect && (!IsKnown || Fate == edit_fate::Unknown)) {
    return refuse("write settings", reason::StoreOutcomeUnknown,
                  "the subtree has changed too often since to tell");
  }
  return Present;
}

} // namespace tarragonbridge
