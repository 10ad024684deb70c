/// Commands on jobs.
#pragma once

#include "cli/command.h"

namespace tarragonbridge::cli {

exit_code submitJob(const arguments &Arguments);
exit_code showJob(const arguments &Arguments);
exit_code cancelJob(const arguments &Arguments);

} // namespace tarragonbridge::cli
