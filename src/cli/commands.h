/// The commands of the command-line tool.
#pragma once

#include "cuminscale/client.h"

#include <string>
#include <vector>

namespace cuminscale::cli
{

/// Exit codes; docs/API.md documents them.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailed = 1, ///< The work ran and failed.
    ExitUsage = 2, ///< The call or a file is wrong; nothing was sent.
    ExitNotRun = 3, ///< Refused: nothing was run or changed.
    ExitUnknown = 4, ///< It is not known what happened.
    ExitConflict = 5, ///< Another change or submission stands in the way.
    ExitUnreachable = 6, ///< No process answered.
};

/// What all commands share.
struct Context
{
    std::vector<Endpoint> callers; ///< Caller doors of entries.
    std::vector<Endpoint> operators; ///< Operator doors.
    bool json = false;
    bool wait = false;
    std::uint64_t base = 0;
    bool hasBase = false;
    std::string change;
    std::string id;
};

/// One command.
struct Command
{
    const char *name;
    const char *arguments;
    const char *help;
    int (*run)(const Context &context, const std::vector<std::string> &arguments);
    std::size_t argumentCount;
};

/// All commands, in the order of the help text.
const std::vector<Command> &commands();

} // namespace cuminscale::cli
