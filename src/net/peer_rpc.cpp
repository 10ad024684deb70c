// Compiled as C++14: the library's headers hold dynamic exception
// specifications.
#include "net/peer_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <exception>
#include <mutex>

namespace tarragonbridge {

namespace {
using jsonrpc::JsonRpcException;

Json::Value parseText(const std::string &Text) {
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  Reader->parse(Text.data(), Text.data() + Text.size(), &Value, nullptr);
  return Value;
}

std::string writeText(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

jsonrpc::jsontype_t typeOf(rpc_type Type) {
  switch (Type) {
  case rpc_type::Text:
    return jsonrpc::JSON_STRING;
  case rpc_type::Number:
    return jsonrpc::JSON_INTEGER;
  case rpc_type::Boolean:
    return jsonrpc::JSON_BOOLEAN;
  case rpc_type::List:
    break;
  }
  return jsonrpc::JSON_ARRAY;
}

/// Notes the method that a call names and gives a result prepared before.
class invocation : public jsonrpc::IProcedureInvokationHandler {
public:
  std::string Method;
  Json::Value Result;

  void HandleMethodCall(jsonrpc::Procedure &Procedure,
                        const Json::Value & /*Input*/,
                        Json::Value &Output) override {
    Method = Procedure.GetProcedureName();
    Output = Result;
  }
  void HandleNotificationCall(jsonrpc::Procedure & /*Procedure*/,
                              const Json::Value & /*Input*/) override {}
};

/// Keeps the message to be sent, or hands over a reply received before.
class stored_exchange : public jsonrpc::IClientConnector {
public:
  std::string Message;
  const std::string *Reply = nullptr;

  // NOLINTNEXTLINE: the base class declares the exception specification
  void SendRPCMessage(const std::string &Text,
                      std::string &Result) throw(JsonRpcException) override {
    Message = Text;
    if (Reply == nullptr) {
      throw JsonRpcException("not sent yet");
    }
    Result = *Reply;
  }
};
} // namespace

struct rpc_server::impl {
  std::mutex Mutex;
  invocation Invocation; ///< guarded by Mutex
  std::unique_ptr<jsonrpc::IProtocolHandler> Protocol;

  /// @returns the library's reply
  std::string handle(const std::string &Request);
};

std::string rpc_server::impl::handle(const std::string &Request) {
  std::string Reply;
  try {
    Protocol->HandleRequest(Request, Reply);
  } catch (const std::exception &) {
    // The library's parser throws on nesting past its bound.
    Invocation.Method.clear();
    Protocol->HandleRequest("", Reply);
  }
  return Reply;
}

rpc_server::rpc_server(const std::vector<rpc_method> &Methods)
    : Impl(std::make_unique<impl>()) {
  Impl->Protocol.reset(jsonrpc::RequestHandlerFactory::createProtocolHandler(
      jsonrpc::JSONRPC_SERVER_V2, Impl->Invocation));
  for (const rpc_method &Method : Methods) {
    jsonrpc::Procedure Procedure(Method.Name, jsonrpc::PARAMS_BY_NAME,
                                 jsonrpc::JSON_OBJECT, nullptr);
    for (const rpc_parameter &Parameter : Method.Parameters) {
      Procedure.AddParameter(Parameter.Name, typeOf(Parameter.Type));
    }
    Impl->Protocol->AddProcedure(Procedure);
  }
}

rpc_server::~rpc_server() = default;

rpc_call rpc_server::read(const std::string &Request) {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  Impl->Invocation.Method.clear();
  Impl->Invocation.Result = Json::Value(Json::objectValue);
  std::string Reply = Impl->handle(Request);
  if (Impl->Invocation.Method.empty()) {
    return {"", std::move(Reply)};
  }
  return {Impl->Invocation.Method, ""};
}

std::string rpc_server::answer(const std::string &Request,
                               const std::string &Result) {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  Impl->Invocation.Result = parseText(Result);
  return Impl->handle(Request);
}

std::string writeRpcCall(const std::string &Method,
                         const std::string &Parameters) {
  stored_exchange Exchange;
  jsonrpc::Client Client(Exchange);
  try {
    Client.CallMethod(Method, parseText(Parameters));
  } catch (const JsonRpcException &) {
    // Thrown by stored_exchange once the message is known.
  }
  return Exchange.Message;
}

bool readRpcReply(const std::string &Reply, std::string &Result,
                  std::string &Error) {
  stored_exchange Exchange;
  Exchange.Reply = &Reply;
  jsonrpc::Client Client(Exchange);
  try {
    Result = writeText(Client.CallMethod("", Json::Value()));
    return true;
  } catch (const std::exception &Failure) {
    Error = Failure.what();
    return false;
  }
}

} // namespace tarragonbridge
