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
    ExitFailed = 1, ///< The job ran and failed. For check-config: the configuration has errors.
    ExitUsage = 2, ///< The command line or an input file is invalid; nothing was sent.
    ExitNotRun = 3, ///< The request was refused; nothing was run or changed.
    ExitUnknown = 4, ///< The outcome is unknown: the request may have been carried out.
    ExitConflict = 5, ///< The request conflicts with another change or submission.
    ExitUnreachable = 6, ///< No process could be reached; nothing was sent. For trace: no process returned the trace.
};

/// Options from the command line; not every command uses all of them.
struct Context
{
    std::vector<Endpoint> callerEndpoints; ///< Addresses of entries for callers.
    std::vector<Endpoint> operatorEndpoints; ///< Addresses of entries or agents for operators.
    bool json = false; ///< Print answers as JSON.
    bool wait = false; ///< apply: wait until every process reports the change.
    std::uint64_t baseRevision = 0; ///< apply: revision that the change is based on; see hasBaseRevision.
    bool hasBaseRevision = false; ///< If false, the change is based on the current revision.
    std::string changeId; ///< apply: makes a repeated apply idempotent; empty for a random id.
    std::string against; ///< check-config: file with the configuration in force; empty for none.
    std::string id; ///< submit: submission id; empty to request a new one.
};

/// Description of one command and the function that runs it; the function returns the exit code.
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
