#include "daemon/peer_calls.h"

#include "base/log.h"
#include "core/json_reader.h"
#include "core/peer_codec_p.h"

namespace tarragonbridge {

namespace {
constexpr int StatusOk = 200;

const rpc_parameter From{"from", rpc_type::Text};
const rpc_parameter To{"to", rpc_type::Text};

std::vector<rpc_method> methods() {
  return {
      {"claim", {From, To, {"claims", rpc_type::List}}},
      {"fetch",
       {From,
        To,
        {"key", rpc_type::Text},
        {"submitted_at_ms", rpc_type::Number},
        {"wait_ms", rpc_type::Number},
        {"cancel", rpc_type::Boolean}}},
      {"heartbeat",
       {From,
        To,
        {"view", rpc_type::Number},
        {"settings", rpc_type::Number},
        {"queued", rpc_type::Number},
        {"running", rpc_type::Number},
        {"leaving", rpc_type::Boolean},
        {"wanted", rpc_type::Number},
        {"teams", rpc_type::List}}},
  };
}

http_server_init serverInit(const std::string &Listen,
                            std::shared_ptr<connection_guard> Guard) {
  http_server_init Init;
  Init.Guard = std::move(Guard);
  Init.Listen = Listen;
  Init.Threads = 1;
  Init.MaxBodyBytes = config::MaxPeerRequestBytes;
  return Init;
}

request_handle toPeerHandle(request_handle Handle) {
  return request_handle(static_cast<std::uint64_t>(Handle) | PeerHandleBit);
}

request_handle fromPeerHandle(request_handle Handle) {
  return request_handle(static_cast<std::uint64_t>(Handle) & ~PeerHandleBit);
}

/// Reads the result of a call. @returns nothing when there is none
template <class T>
std::optional<T> readResult(const std::string &Text,
                            result<T> (&Parse)(std::string_view)) {
  if (Text.empty()) {
    return std::nullopt;
  }
  return tryOr(
      [&]() -> result<std::optional<T>> {
        BOOST_LEAF_AUTO(Value, Parse(Text));
        return std::optional<T>(std::move(Value));
      },
      [](const error &Error) {
        logEvent("peer_reply_refused", {{"message", Error.Message}});
        return std::optional<T>();
      });
}
} // namespace

peer_calls::peer_calls(host_identity Self, const std::string &Listen,
                       std::shared_ptr<connection_guard> Guard, event_sink Sink)
    : Self(std::move(Self)), Sink(std::move(Sink)), Rpc(methods()),
      Server(serverInit(Listen, std::move(Guard))),
      Client(config::MaxConnectionsPerPeer) {}

result<void> peer_calls::start() {
  return Server.start([this](request_handle Handle, http_request &&Request) {
    onRequest(Handle, std::move(Request));
  });
}

void peer_calls::refuse(request_handle Handle, reason Reason,
                        std::string Reply) {
  Sink(peer_input_refused{Reason});
  Server.respond(Handle, {StatusOk, std::move(Reply), {}, "application/json"});
}

result<event> peer_calls::parseCall(request_handle Handle,
                                    const std::string &Method,
                                    std::string_view Parameters) {
  const request_handle Peer = toPeerHandle(Handle);
  if (Method == "claim") {
    BOOST_LEAF_AUTO(Claims, parseClaimsMessage(Parameters));
    return event(
        claims_received{Peer, std::move(Claims.Route), std::move(Claims.Asks)});
  }
  if (Method == "fetch") {
    BOOST_LEAF_AUTO(Fetch, parseFetchMessage(Parameters));
    return event(
        fetch_received{Peer, std::move(Fetch.Route), std::move(Fetch.Ask)});
  }
  BOOST_LEAF_AUTO(Heartbeat, parseHeartbeat(Parameters));
  return event(
      heartbeat_received{Peer, std::move(Heartbeat.Route), Heartbeat.Beat});
}

void peer_calls::onRequest(request_handle Handle, http_request &&Request) {
  // The library's own parser is lenient, so the text is checked strictly first.
  const json_document Document(Request.Body, json_comments::Refused);
  const bool IsObject = Document.isValid() && Document.root().isObject();
  rpc_call Call = Rpc.read(IsObject ? Request.Body : "");
  if (!IsObject) {
    refuse(Handle, reason::PeerMalformed, std::move(Call.ErrorReply));
    return;
  }
  if (Call.Method.empty()) {
    refuse(Handle, reason::PeerUnknownMethod, std::move(Call.ErrorReply));
    return;
  }
  tryOr(
      [&]() -> result<void> {
        const Json::Value &Parameters = Document.root()["params"];
        BOOST_LEAF_AUTO(
            Event, parseCall(Handle, Call.Method, Document.textOf(Parameters)));
        {
          const std::lock_guard Lock(Mutex);
          Requests[static_cast<std::uint64_t>(Handle)] =
              std::move(Request.Body);
        }
        Sink(std::move(Event));
        return {};
      },
      [&](const error &Error) {
        logEvent("peer_call_refused",
                 {{"peer", Request.Peer}, {"message", Error.Message}});
        refuse(Handle, Error.Reason, Rpc.read("").ErrorReply);
      });
}

void peer_calls::reply(request_handle Request, const std::string &Result) {
  const request_handle Handle = fromPeerHandle(Request);
  std::string Text;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Requests.find(static_cast<std::uint64_t>(Handle));
    if (Found == Requests.end()) {
      return;
    }
    Text = std::move(Found->second);
    Requests.erase(Found);
  }
  Server.respond(Handle,
                 {StatusOk, Rpc.answer(Text, Result), {}, "application/json"});
}

void peer_calls::answer(const answer_request &Answer) {
  const fetch_state State =
      Answer.Final ? fetch_state::Ended : fetch_state::Running;
  reply(Answer.Request,
        write(fetch_result{Self, {State, Answer.Status, Answer.Body}}));
}

void peer_calls::call(const std::string &Address, const std::string &Method,
                      const std::string &Parameters,
                      std::chrono::milliseconds Timeout,
                      std::function<void(const std::string &Result)> Done) {
  http_call Call;
  Call.Url = "http://" + Address + "/";
  Call.Body = writeRpcCall(Method, Parameters);
  Call.Timeout = Timeout;
  Client.send(std::move(Call), [Done = std::move(Done)](http_result &&Answer) {
    std::string Result;
    std::string Error = Answer.Error;
    if (Answer.Status == StatusOk &&
        !readRpcReply(Answer.Body, Result, Error)) {
      logEvent("peer_reply_refused", {{"message", Error}});
      Result.clear();
    }
    Done(Result);
  });
}

void peer_calls::send(const send_claims &Effect) {
  const claims_message Message{{Self, Effect.Home}, Effect.Asks};
  call(Effect.Address, "claim", write(Message), config::ClaimTimeout,
       [this, Home = Effect.Home](const std::string &Text) {
         claims_answered Event{Home, std::nullopt, {}};
         if (auto Result = readResult(Text, parseClaimsResult)) {
           Event.From = std::move(Result->From);
           Event.Answers = std::move(Result->Answers);
         }
         Sink(std::move(Event));
       });
}

void peer_calls::send(const send_fetch &Effect) {
  const fetch_message Message{{Self, Effect.To}, Effect.Ask};
  call(Effect.Address, "fetch", write(Message),
       Effect.Ask.Wait + config::FetchTimeoutMargin,
       [this, Call = Effect.Call](const std::string &Text) {
         fetch_answered Event{Call, std::nullopt, {}};
         if (auto Result = readResult(Text, parseFetchResult)) {
           Event.From = std::move(Result->From);
           Event.Reply = std::move(Result->Reply);
         }
         Sink(std::move(Event));
       });
}

void peer_calls::send(const send_heartbeat &Effect) {
  const heartbeat_message Message{{Self, Effect.To}, Effect.Beat};
  call(
      Effect.Address, "heartbeat", write(Message), config::HeartbeatTimeout,
      [this](const std::string &Text) {
        if (auto Result = readResult(Text, parseHeartbeat)) {
          Sink(heartbeat_answered{std::move(Result->Route.From), Result->Beat});
        }
      });
}

bool peer_calls::carryOut(const effect &Effect) {
  if (const auto *Claims = std::get_if<send_claims>(&Effect)) {
    send(*Claims);
  } else if (const auto *Fetch = std::get_if<send_fetch>(&Effect)) {
    send(*Fetch);
  } else if (const auto *Beat = std::get_if<send_heartbeat>(&Effect)) {
    send(*Beat);
  } else if (const auto *Claimed = std::get_if<answer_claims>(&Effect)) {
    reply(Claimed->Request, write(claims_result{Self, Claimed->Answers}));
  } else if (const auto *Fetched = std::get_if<answer_fetch>(&Effect)) {
    reply(Fetched->Request, write(fetch_result{Self, Fetched->Reply}));
  } else if (const auto *Heard = std::get_if<answer_heartbeat>(&Effect)) {
    reply(Heard->Request, write(heartbeat_message{{Self, Self}, Heard->Beat}));
  } else {
    return false;
  }
  return true;
}

} // namespace tarragonbridge
