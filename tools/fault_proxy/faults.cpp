#include "fault_proxy/faults.h"

#include "core/json_reader.h"

namespace tarragonbridge {

namespace {
void readDirection(object_reader &Reader, direction_faults &Faults) {
  Reader.optional("delay_ms", Faults.Delay);
  Reader.optional("jitter_ms", Faults.Jitter);
  Reader.optional("bytes_per_second", Faults.BytesPerSecond);
  Reader.optional("held", Faults.Held);
  std::int64_t DropAfter = 0;
  if (Reader.optional("drop_after_bytes", DropAfter)) {
    Faults.DropAfterBytes =
        DropAfter < 0 ? std::nullopt
                      : std::optional(static_cast<std::uint64_t>(DropAfter));
  }
}
} // namespace

result<void> applyFaults(std::string_view Body, link_faults &Faults) {
  json_document Document(Body, json_comments::Refused);
  object_reader Reader(Document, Document.root(), "");
  link_faults Changed = Faults;
  std::string Direction = "both";
  Reader.optional("direction", Direction);
  const bool IsForward = Direction == "forward" || Direction == "both";
  const bool IsBackward = Direction == "backward" || Direction == "both";
  if (!IsForward && !IsBackward) {
    Document.addFault("direction", nullptr, "both, forward or backward");
  }
  if (IsForward) {
    readDirection(Reader, Changed.Forward);
  }
  if (IsBackward) {
    readDirection(Reader, Changed.Backward);
  }
  Reader.optional("reset", Changed.Reset);
  Reader.finish();
  if (!Document.isValid()) {
    return boost::leaf::new_error(
        error{"set faults", "control", reason::Malformed, Document.faults()});
  }
  Faults = Changed;
  return {};
}

} // namespace tarragonbridge
