#include "daemon/daemon_config.h"

#include "core/json_reader.h"
#include "net/address.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace tarragonbridge {

namespace {
boost::leaf::error_id refuse(std::string_view File, std::string Message) {
  return boost::leaf::new_error(error{"read configuration", std::string(File),
                                      reason::Malformed, std::move(Message)});
}

void checkAddress(json_document &Document, const std::string &Path,
                  const std::string &Address) {
  if (!Address.empty() && !parseAddress(Address)) {
    Document.addFault(Path, nullptr,
                      "an IP address and port such as 127.0.0.1:8080");
  }
}

/// Names are labels of session keys, so they hold no dot.
void checkLabel(json_document &Document, const std::string &Path,
                const std::string &Label) {
  const bool IsLabel =
      std::all_of(Label.begin(), Label.end(), [](unsigned char C) {
        return std::islower(C) != 0 || std::isdigit(C) != 0 || C == '-';
      });
  if (!IsLabel) {
    Document.addFault(Path, nullptr, "lower-case letters, digits and -");
  }
}
} // namespace

result<daemon_config> parseDaemonConfig(std::string_view Text,
                                        std::string_view File) {
  json_document Document(Text, json_comments::Allowed);
  if (!Document.isValid()) {
    return refuse(File, Document.faults());
  }
  daemon_config Config;
  object_reader Reader(Document, Document.root(), "");
  Reader.required("host", Config.Host);
  Reader.required("failure_domain", Config.FailureDomain);
  Reader.required("listen", Config.Listen);
  Reader.required("peer_listen", Config.PeerListen);
  Reader.required("store", Config.Store);
  Reader.optional("memory_mb", Config.MemoryMb);
  Reader.optional("file_descriptors", Config.FileDescriptors);
  Reader.finish();
  checkLabel(Document, "host", Config.Host);
  checkLabel(Document, "failure_domain", Config.FailureDomain);
  checkAddress(Document, "listen", Config.Listen);
  checkAddress(Document, "peer_listen", Config.PeerListen);
  for (std::size_t Index = 0; Index < Config.Store.size(); ++Index) {
    checkAddress(Document, "store[" + std::to_string(Index) + "]",
                 Config.Store[Index]);
  }
  if (Document.isValid() && Config.Store.empty()) {
    Document.addFault("store", nullptr, "at least one address");
  }
  if (Config.MemoryMb < config::MinMemoryMb) {
    Document.addFault("memory_mb", nullptr, "enough for a daemon");
  }
  if (Config.FileDescriptors != 0 &&
      Config.FileDescriptors < config::MinFileDescriptors) {
    Document.addFault("file_descriptors", nullptr, "enough for a daemon");
  }
  if (!Document.isValid()) {
    return refuse(File, Document.faults());
  }
  return Config;
}

result<daemon_config> loadDaemonConfig(const std::string &File) {
  const std::ifstream Stream(File);
  if (!Stream) {
    return refuse(File, "the file can't be read");
  }
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return parseDaemonConfig(Text.str(), File);
}

} // namespace tarragonbridge
