/// Fuzzing of every function that parses input from outside the process.
///
/// The first byte of an input chooses the function, the rest is its text.
#include "../../platform/wire.h"
#include "checker/call_journal.h"
#include "checker/records.h"
#include "daemon/daemon_config.h"
#include "fault_proxy/faults.h"
#include "net/address.h"
#include "platform/store_messages.h"
#include "tarragonbridge/job.h"
#include "tarragonbridge/pool/peer_messages.h"
#include "tarragonbridge/settings.h"
#include "tarragonbridge/target.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace tarragonbridge;

namespace {
using parser = void (*)(std::string_view);

/// Calls a function that returns a result, and drops value or error.
template <class Parse> void attempt(Parse &&Run) {
  tryOr(
      [&]() -> result<void> {
        BOOST_LEAF_CHECK(Run());
        return {};
      },
      [](const error &) {});
}

void fuzzJob(std::string_view Text) {
  attempt([&] { return parseJobRequest(Text, ""); });
}
void fuzzSession(std::string_view Text) { (void)parseSessionHome(Text); }
void fuzzHost(std::string_view Text) {
  attempt([&] { return parseHostEntry("t1", Text); });
}
void fuzzReply(std::string_view Text) {
  (void)parseTargetReply(200, Text, "k#0", 1);
  (void)parseTargetReply(503, Text, "k#0", 1);
}
void fuzzStopReply(std::string_view Text) { (void)parseStopReply(200, Text); }
void fuzzRange(std::string_view Text) { (void)parseRange(Text); }
void fuzzOutcome(std::string_view Text) { (void)parseOutcome(Text); }
void fuzzWatch(std::string_view Text) { (void)parseWatchMessage(Text); }
void fuzzAddress(std::string_view Text) { (void)parseAddress(Text); }
void fuzzConfig(std::string_view Text) {
  attempt([&] { return parseDaemonConfig(Text, "file"); });
}
void fuzzRootSettings(std::string_view Text) {
  attempt([&] { return parseSubtree("", Text); });
}
void fuzzTeamSettings(std::string_view Text) {
  attempt([&] { return parseSubtree("agents", Text); });
}
void fuzzCallLine(std::string_view Text) {
  attempt([&] { return parseCallLine(Text); });
}
void fuzzTargetLine(std::string_view Text) { (void)parseTargetLine(Text); }
void fuzzFaults(std::string_view Text) {
  link_faults Faults;
  attempt([&] { return applyFaults(Text, Faults); });
}

// The platform's wire.

void fuzzStoreItem(std::string_view Text) {
  attempt([&] { return platform::decodeLease(Text); });
  attempt([&] { return platform::decodeWrite(Text); });
}
void fuzzStoreRange(std::string_view Text) {
  attempt([&] { return platform::decodeRange(Text); });
}
void fuzzStoreWatch(std::string_view Text) {
  attempt([&] { return platform::decodeWatch(Text); });
}
void fuzzConfiguration(std::string_view Text) {
  attempt([&] { return platform::decodeConfiguration(Text); });
}
/// The first line is the key, the rest the value.
platform::store_item itemOf(std::string_view Prefix, std::string_view Text) {
  const std::size_t End = std::min(Text.find('\n'), Text.size());
  return {std::string(Prefix) + std::string(Text.substr(0, End)),
          std::string(Text.substr(std::min(End + 1, Text.size()))), 1, false};
}
void fuzzTarget(std::string_view Text) {
  attempt([&] {
    return platform::decodeTarget(itemOf(platform::TargetsPrefix, Text));
  });
}
void fuzzMember(std::string_view Text) {
  attempt([&] {
    return platform::decodeMember(itemOf(platform::MembersPrefix, Text));
  });
}
void fuzzEquivalence(std::string_view Text) {
  const platform::store_item Item = itemOf("", Text);
  (void)platform::isEquivalentTarget(Item.Key, Item.Value);
}
void fuzzSubmission(std::string_view Text) {
  attempt([&] { return platform::decodeJob(Text); });
  (void)platform::decodeTimeLimit(Text);
}
void fuzzTargetBody(std::string_view Text) {
  constexpr int StatusOk = 200;
  constexpr int StatusConflict = 409;
  for (const int Status : {StatusOk, StatusConflict}) {
    const platform::http_response Received{Status, std::string(Text)};
    (void)platform::decodeStart({}, Received);
    (void)platform::decodeStop({}, Received);
    (void)platform::decodeRenewal({}, Received);
  }
}
void fuzzDatagram(std::string_view Text) { (void)pool::decodeDatagram(Text); }

constexpr std::array<parser, 25> Parsers{
    fuzzJob,        fuzzSession,     fuzzHost,          fuzzReply,
    fuzzStopReply,  fuzzRange,       fuzzOutcome,       fuzzWatch,
    fuzzAddress,    fuzzConfig,      fuzzRootSettings,  fuzzTeamSettings,
    fuzzCallLine,   fuzzTargetLine,  fuzzFaults,        fuzzStoreItem,
    fuzzStoreRange, fuzzStoreWatch,  fuzzConfiguration, fuzzTarget,
    fuzzMember,     fuzzEquivalence, fuzzSubmission,    fuzzTargetBody,
    fuzzDatagram};
} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size == 0) {
    return 0;
  }
  const std::string_view Text(reinterpret_cast<const char *>(Data + 1),
                              Size - 1);
  Parsers.at(Data[0] % Parsers.size())(Text);
  return 0;
}
