/// Command that checks the configuration document of the platform without sending it.
#pragma once

#include "cli/commands.h"

#include <string>
#include <vector>

namespace cuminscale::cli
{

/// Checks the document in the file `arguments[0]` and compares it with the one in the file `context.against`, unless that is
/// empty. Prints the findings to standard output. Returns ExitOk, ExitFailed if there are errors, or ExitUsage if a file can't be
/// read.
int checkConfigFile(const Context &context, const std::vector<std::string> &arguments);

} // namespace cuminscale::cli
