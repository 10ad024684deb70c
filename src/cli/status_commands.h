/// Commands that tell how a host is.
#pragma once

#include "cli/command.h"

namespace tarragonbridge::cli {

exit_code showStatus(const arguments &Arguments);
exit_code showTargets(const arguments &Arguments);
exit_code showPeers(const arguments &Arguments);
exit_code showVersion(const arguments &Arguments);

} // namespace tarragonbridge::cli
