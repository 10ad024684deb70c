/// Commands on settings.
#pragma once

#include "cli/command.h"

namespace tarragonbridge::cli {

exit_code getSettings(const arguments &Arguments);
exit_code setSettings(const arguments &Arguments);
exit_code checkSettings(const arguments &Arguments);
exit_code showSettingsHistory(const arguments &Arguments);

} // namespace tarragonbridge::cli
