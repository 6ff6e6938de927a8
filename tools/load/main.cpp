/// cuminscale-load: a load generator. Sends the requests and jobs of a mix file to entries and reports outcomes and latencies.
#include "load/runner.h"

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(mix, "", "Mix file (JSON); docs/MEASUREMENTS.md describes its keys.");
DEFINE_string(entries, "", "Caller addresses of the entries (IP:PORT), comma separated.");
DEFINE_bool(json, false, "Print the report as JSON instead of a table.");

int main(int argc, char **argv)
{
    using namespace cuminscale;
    gflags::SetUsageMessage("generates load on entries: cuminscale-load --mix FILE --entries IP:PORT,... [--json]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<Endpoint> entries;
    std::istringstream list(FLAGS_entries);
    for (std::string item; std::getline(list, item, ',');) {
        const std::optional<Endpoint> endpoint = parseEndpoint(item);
        if (endpoint) {
            entries.push_back(*endpoint);
        }
    }
    std::ifstream file(FLAGS_mix);
    std::ostringstream text;
    text << file.rdbuf();
    std::string error = "cannot be opened";
    const std::optional<load::Mix> mix = file ? load::parseMix(text.str(), error) : std::nullopt;
    if (!mix || entries.empty()) {
        std::cerr << "cuminscale-load: "
                  << (entries.empty() ? "--entries contains no valid IP:PORT address" : FLAGS_mix + ": " + error) << "\n";
        return 2;
    }
    const std::vector<load::Arrival> arrivals = load::generateArrivals(*mix);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    const std::vector<load::Sample> samples = load::runArrivals(*mix, arrivals, entries);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    std::cout << (FLAGS_json ? load::renderJson(*mix, samples, elapsed.count())
                             : load::renderText(*mix, samples, elapsed.count()));
    return 0;
}
