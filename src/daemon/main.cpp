/// cuminscaled: the daemon. Runs an entry or an agent, depending on the role in its settings file.
#include "daemon/dispatch_process.h"
#include "daemon/process.h"
#include "daemon/settings_file.h"

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "Path of the settings file; docs/CONFIGURATION.md lists its keys.");
DEFINE_bool(check, false, "Check the settings file and exit.");

namespace
{

constexpr int ExitOk = 0;
constexpr int ExitBadSettings = 2;
constexpr int ExitCannotStart = 3;

int runDaemon(const cuminscale::DaemonSettings &settings)
{
    cuminscale::initLogging(settings.logLevel);
    try {
        cuminscale::Process process(settings);
        std::cout << process.describe() << std::endl;
        process.run();
    } catch (const std::exception &e) {
        cuminscale::writeLogLine(cuminscale::LogLevel::Error, "daemon", std::string("Start-up failed: ") + e.what());
        return ExitCannotStart;
    }
    return ExitOk;
}

int runDispatch(const std::string &text)
{
    cuminscale::SettingsError error;
    const std::optional<cuminscale::DispatchSettings> settings = cuminscale::parseDispatchSettings(text, error);
    if (!settings) {
        std::cerr << "cuminscaled: " << FLAGS_settings << ": " << error.key << ": " << error.reason << "\n";
        return ExitBadSettings;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": ok\n";
        return ExitOk;
    }
    try {
        cuminscale::makeDispatchProcess(*settings, FLAGS_settings)->run();
    } catch (const std::exception &e) {
        std::cerr << "cuminscaled: start-up failed: " << e.what() << "\n";
        return ExitCannotStart;
    }
    return ExitOk;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs one process of cuminscale: cuminscaled --settings FILE [--check]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty()) {
        std::cerr << "cuminscaled: the option --settings FILE is required\n";
        return ExitBadSettings;
    }
    // A write to a connection that the peer has closed must fail with EPIPE instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    const std::string text = readFile(FLAGS_settings);
    if (cuminscale::isDispatchSettings(text)) {
        return runDispatch(text);
    }
    cuminscale::SettingsError error;
    const std::optional<cuminscale::DaemonSettings> settings = cuminscale::readSettings(FLAGS_settings, error);
    if (!settings) {
        std::cerr << "cuminscaled: " << FLAGS_settings << ": " << error.key << ": " << error.reason << "\n";
        return ExitBadSettings;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": ok\n";
        return ExitOk;
    }
    return runDaemon(*settings);
}
