/// Runs the command-line tool; CUMINSCALE_TOOL is the path of its executable.
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <sys/wait.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

namespace
{

struct CommandResult
{
    int status = -1;
    std::string output; ///< Standard output and standard error.
};

CommandResult runTool(const std::string &arguments)
{
    CommandResult result;
    std::FILE *pipe = popen((std::string("'" CUMINSCALE_TOOL "' ") + arguments + " 2>&1").c_str(), "r");
    REQUIRE(pipe != nullptr);
    std::array<char, 4096> buf{};
    for (std::size_t n = 0; (n = std::fread(buf.data(), 1, buf.size(), pipe)) > 0;) {
        result.output.append(buf.data(), n);
    }
    const int status = pclose(pipe);
    result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

/// A directory that is removed with its files at the end of the test.
class TestDirectory
{
public:
    TestDirectory()
        : m_path(std::filesystem::temp_directory_path() / ("cuminscale-check-config-" + std::to_string(getpid())))
    {
        std::filesystem::create_directory(m_path);
    }

    ~TestDirectory()
    {
        std::error_code ec;
        std::filesystem::remove_all(m_path, ec);
    }

    TestDirectory(const TestDirectory &) = delete;
    TestDirectory &operator=(const TestDirectory &) = delete;

    std::string path(const std::string &name) const
    {
        return (m_path / name).string();
    }

    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(path(name)) << text;
        return path(name);
    }

private:
    std::filesystem::path m_path;
};

std::string document(int version, const std::string &routes, const std::string &more = "")
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + "]" + more + "}";
}

const std::string Route = R"({"name":"q","host":"a","prefix":"/a/","service":"s","timeout_ms":1500,"target_latency_ms":60})";

} // namespace

// Guards against a script that sends a document although the check found errors, or does not send one because of warnings.
TEST_CASE("check-config exits with 0 without errors and with 1 with errors")
{
    const TestDirectory directory;
    const std::string good = directory.write("good", document(8, Route, R"(,"services":["s"])"));
    const std::string inForce = directory.write("in-force", document(7, Route));
    const std::string warned = directory.write(
        "warned",
        document(9, Route + R"(,{"name":"r","host":"a","prefix":"/a/","service":"s"})", R"(,"services":[{"name":"s"}])"));
    REQUIRE(runTool("check-config " + good).status == 0);
    REQUIRE(runTool("check-config " + good + " --against " + inForce).status == 0);
    const CommandResult compared = runTool("check-config --against " + good + " " + warned);
    REQUIRE(compared.status == 0);
    REQUIRE(compared.output
            == R"(warning: queue "r": never matches: the earlier queue "q" has the same host "a" and prefix "/a/")"
               "\nchange: queue \"r\": added\n"
                + warned + ": 0 errors, 1 warnings, 1 changes\n");

    REQUIRE(runTool("check-config " + inForce + " --against " + good).status == 1);
    REQUIRE(runTool("check-config " + directory.write("duplicate", document(8, Route + "," + Route))).status == 1);
    REQUIRE(runTool("check-config " + directory.write("service", document(8, Route, R"(,"services":["t"])"))).status == 1);
    const std::string rejected = directory.write("rejected", document(0, Route));
    const CommandResult result = runTool("check-config " + rejected);
    REQUIRE(result.status == 1);
    REQUIRE(result.output.find("error: " + rejected + " is rejected: version or routes missing\n") == 0);
    REQUIRE(runTool("check-config " + good + " --against " + rejected).status == 1);
    REQUIRE(runTool("check-config /dev/null").status == 1);
}

// Guards against a missing file that is taken for an empty document, or for no comparison.
TEST_CASE("check-config exits with 2 if a file can't be read")
{
    const TestDirectory directory;
    const std::string good = directory.write("good", document(8, Route));
    for (const std::string &arguments :
         {directory.path("missing"), good + " --against " + directory.path("missing"), directory.path(""),
          good + " --against " + directory.path(""), std::string(), good + " " + good}) {
        INFO(arguments);
        REQUIRE(runTool("check-config " + arguments).status == 2);
    }
}

// Guards against output that a script can't parse, as names contain quotation marks.
TEST_CASE("check-config prints its findings as JSON with --json")
{
    const TestDirectory directory;
    const std::string path =
        directory.write("odd", document(8, R"({"name":"q\"\n","host":"a","prefix":"/a","service":"s"})", R"(,"services":7)"));
    const CommandResult result = runTool("check-config --json " + path);
    REQUIRE(result.status == 1);
    const boost::json::value expected = {
        {"findings",
         {{{"severity", "warning"},
           {"queue", ""},
           {"text", "the list of services can't be read; the services of the queues are not checked"}},
          {{"severity", "error"}, {"queue", "q\"\n"}, {"text", R"(the prefix "/a" must begin and end with "/")"}}}}};
    REQUIRE(boost::json::parse(result.output) == expected);
}

// Guards against a check that operators skip because it is slow on the largest documents.
TEST_CASE("check-config compares documents of 1,600 queues in less than a second")
{
    std::string before;
    std::string after;
    for (int i = 0; i < 1600; ++i) {
        const std::string route = std::string(i == 0 ? "" : ",") + R"({"name":"queue-)" + std::to_string(i)
            + R"(","host":"a.example","prefix":"/jobs/)" + std::to_string(i)
            + R"(/","service":"s","timeout_ms":1500,"max_attempts":)";
        before += route + "4}";
        after += route + "5}";
    }
    const TestDirectory directory;
    const std::string inForce = directory.write("before", document(7, before));
    const std::string next = directory.write("after", document(8, after, R"(,"services":["s"])"));
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    const CommandResult result = runTool("check-config " + next + " --against " + inForce);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    REQUIRE(result.status == 0);
    REQUIRE(result.output.find(": 0 errors, 0 warnings, 1600 changes\n") != std::string::npos);
    REQUIRE(elapsed.count() < 1.0);
}
