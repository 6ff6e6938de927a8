/// cuminscale: the command-line tool for callers and operators.
#include "cli/commands.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <sstream>

DEFINE_string(caller, "127.0.0.1:7080", "Addresses of entries for callers, comma separated.");
DEFINE_string(operator, "127.0.0.1:7090", "Addresses of entries for operators, comma separated.");
DEFINE_bool(json, false, "Print answers as JSON.");
DEFINE_bool(wait, false, "With apply: wait until every process reports the change.");
DEFINE_int64(base, -1, "With apply: the revision that the change is based on; by default the current one.");
DEFINE_string(change, "", "With apply: the id of the change; repeat an apply whose answer was lost with the same id.");
DEFINE_string(against, "", "With check-config: file with the configuration in force.");
DEFINE_string(id, "", "With submit: the submission id, to resubmit a job; by default a new one is requested.");
DECLARE_bool(help);

namespace
{

using namespace cuminscale;
using namespace cuminscale::cli;

std::string usage()
{
    std::ostringstream text;
    text << "usage: cuminscale COMMAND [ARGUMENTS] [--caller IP:PORT,...] [--operator IP:PORT,...] [--json]\n\ncommands:\n";
    for (const Command &command : commands()) {
        std::string line = std::string("  ") + command.name + " " + command.arguments;
        line.resize(std::max<std::size_t>(line.size() + 2, 30), ' ');
        text << line << command.help << "\n";
    }
    text << "\noptions of single commands: apply --wait --base N --change ID; check-config --against FILE; submit --id ID\n"
         << "exit codes: 0 success, 1 job failed or configuration has errors, 2 invalid command line or file, 3 not run, 4 "
            "outcome unknown, 5 conflict, 6 "
            "unreachable\n";
    return text.str();
}

bool readEndpoints(const std::string &list, std::vector<Endpoint> &endpoints)
{
    std::istringstream items(list);
    for (std::string item; std::getline(items, item, ',');) {
        const std::optional<Endpoint> endpoint = parseEndpoint(item);
        if (!endpoint) {
            std::cerr << "cuminscale: '" << item << "' is not an IPv4 address and port\n";
            return false;
        }
        endpoints.push_back(*endpoint);
    }
    return !endpoints.empty();
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage(usage());
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        std::cout << usage();
        return ExitOk;
    }
    gflags::HandleCommandLineHelpFlags();
    if (argc < 2) {
        std::cerr << usage();
        return ExitUsage;
    }
    const std::string name = argv[1];
    const std::vector<std::string> arguments(argv + 2, argv + argc);
    const auto it =
        std::find_if(commands().begin(), commands().end(), [&name](const Command &command) { return name == command.name; });
    if (it == commands().end()) {
        std::cerr << "cuminscale: unknown command '" << name << "'; see cuminscale --help\n";
        return ExitUsage;
    }
    if (arguments.size() != it->argumentCount) {
        std::cerr << "usage: cuminscale " << it->name << " " << it->arguments << "\n";
        return ExitUsage;
    }
    Context context;
    if (!readEndpoints(FLAGS_caller, context.callerEndpoints) || !readEndpoints(FLAGS_operator, context.operatorEndpoints)) {
        return ExitUsage;
    }
    context.json = FLAGS_json;
    context.wait = FLAGS_wait;
    context.hasBaseRevision = FLAGS_base >= 0;
    context.baseRevision = context.hasBaseRevision ? static_cast<std::uint64_t>(FLAGS_base) : 0;
    context.changeId = FLAGS_change;
    context.against = FLAGS_against;
    context.id = FLAGS_id;
    return it->run(context, arguments);
}
