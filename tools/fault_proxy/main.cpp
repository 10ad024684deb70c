/// Fault-injecting TCP proxy: one process for many links.
///
/// POST /links {"name","listen","to"} adds a link and answers {"listen"};
/// POST /links/<name> changes its faults, see applyFaults.
#include "base/log.h"
#include "base/signals.h"
#include "core/json_reader.h"
#include "core/json_text.h"
#include "fault_proxy/relay.h"
#include "net/http_server.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace tarragonbridge;

namespace {
constexpr int StatusBadRequest = 400;
constexpr int ExitBadInput = 2;
constexpr std::string_view LinksPath = "/links";
constexpr std::string_view LinkPrefix = "/links/";

result<std::string> addLink(link_relay &Relay, const std::string &Body) {
  json_document Document(Body, json_comments::Refused);
  object_reader Reader(Document, Document.root(), "");
  std::string Name;
  std::string Listen = "127.0.0.1:0";
  std::string To;
  Reader.required("name", Name);
  Reader.optional("listen", Listen);
  Reader.required("to", To);
  Reader.finish();
  if (!Document.isValid()) {
    return boost::leaf::new_error(
        error{"add link", "control", reason::Malformed, Document.faults()});
  }
  BOOST_LEAF_AUTO(Address, Relay.add(Name, Listen, To));
  return R"({"listen":)" + quoteJson(Address) + "}";
}

result<std::string> control(link_relay &Relay, const http_request &Request) {
  if (Request.Path == LinksPath) {
    return addLink(Relay, Request.Body);
  }
  if (!Request.Path.starts_with(LinkPrefix)) {
    return boost::leaf::new_error(
        error{"control", "control", reason::NotFound, "no such path"});
  }
  BOOST_LEAF_CHECK(
      Relay.change(Request.Path.substr(LinkPrefix.size()), Request.Body));
  return std::string("{}");
}

http_response answer(link_relay &Relay, const http_request &Request) {
  http_response Response;
  Response.Body = tryOr([&] { return control(Relay, Request); },
                        [&](const error &Error) {
                          Response.Status = StatusBadRequest;
                          return R"({"error":)" +
                                 quoteJson(Error.Peer + ": " + Error.Message) +
                                 "}";
                        });
  return Response;
}

int serve(const std::string &Listen, std::uint64_t Seed) {
  link_relay Relay(Seed);
  http_server_init Init;
  Init.Listen = Listen;
  http_server Server(Init);
  const auto OnRequest = [&](request_handle Handle, http_request &&Request) {
    Server.respond(Handle, answer(Relay, Request));
  };
  return tryOr(
      [&]() -> result<int> {
        BOOST_LEAF_CHECK(Server.start(OnRequest));
        waitForTerminationSignal();
        return 0;
      },
      [](const error &Error) {
        std::cerr << Error.Peer << ": " << Error.Message << '\n';
        return ExitBadInput;
      });
}
} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Relays TCP connections over links with faults.", ' ',
                      "0.1.0");
  const TCLAP::ValueArg<std::string> Listen(
      "l", "listen", "IP and port of the control", true, "", "ADDR", Line);
  const TCLAP::ValueArg<std::uint64_t> Seed("", "seed", "seed of the jitter",
                                            false, 1, "N", Line);
  Line.parse(Argc, Argv);
  blockTerminationSignals();
  initLog({"fault_proxy"});
  return serve(Listen.getValue(), Seed.getValue());
}
