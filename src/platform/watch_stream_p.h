/// The answer of a watch, read line by line as it arrives.
#pragma once

#include "platform/store_client.h"
#include "tarragonbridge/config.h"
#include "tarragonbridge/time.h"

#include <string>
#include <string_view>

namespace tarragonbridge {

class watch_stream {
public:
  watch_stream(watch_handler Handler, boot_time Now)
      : Handler(std::move(Handler)), HeardAt(Now) {}

  void add(std::string_view Part, boot_time Now) {
    HeardAt = Now;
    for (std::size_t End = Part.find('\n');
         Open && End != std::string_view::npos; End = Part.find('\n')) {
      Line += Part.substr(0, End);
      Part.remove_prefix(End + 1);
      handleLine();
    }
    Line += Part;
    Open = Open && Line.size() <= config::MaxWatchLineBytes;
  }

  /// @returns whether more is wanted
  bool isOpen() const { return Open; }
  bool isSilent(boot_time Now) const {
    return Now - HeardAt > config::WatchSilence;
  }
  bool wasCreated() const { return Created; }

private:
  void handleLine() {
    const auto Message = parseWatchMessage(Line);
    Line.clear();
    if (!Message) {
      Open = false;
      return;
    }
    Created = Created || Message->Created;
    Open = Handler(*Message) && !Message->Canceled;
  }

  watch_handler Handler;
  std::string Line;
  boot_time HeardAt;
  bool Created = false;
  bool Open = true;
};

} // namespace tarragonbridge
