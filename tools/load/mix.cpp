#include "load/mix.h"

#include "core/json_reader.h"

#include <boost/json/array.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace cuminscale::load
{

namespace leaf = boost::leaf;
namespace json = boost::json;

namespace
{

constexpr double MaxArrivalsPerSecond = 1e6;
constexpr double MaxDurationS = 86400;
constexpr double MaxRunMs = 3.6e6;
constexpr std::uint64_t MaxTasks = 2000;

leaf::result<RunTimeDistribution> readRunTimeDistribution(const JsonObject &object)
{
    RunTimeDistribution run;
    BOOST_LEAF_CHECK(object.allow({"median_ms", "sigma", "least_ms", "most_ms"}));
    BOOST_LEAF_ASSIGN(run.medianMs, object.fraction("median_ms", run.medianMs, 0, MaxRunMs));
    BOOST_LEAF_ASSIGN(run.sigma, object.fraction("sigma", run.sigma, 0, 5));
    BOOST_LEAF_ASSIGN(run.minMs, object.fraction("least_ms", run.minMs, 0, MaxRunMs));
    BOOST_LEAF_ASSIGN(run.maxMs, object.fraction("most_ms", run.maxMs, 0, MaxRunMs));
    return run;
}

leaf::result<Stream> readStream(const JsonObject &object)
{
    Stream stream;
    BOOST_LEAF_CHECK(object.allow({"name", "member", "kind", "per_second", "least_tasks", "most_tasks", "run", "declared_factor",
                                   "repeatable", "deadline_ms", "from_s", "to_s", "claimable"}));
    BOOST_LEAF_ASSIGN(stream.name, object.requiredString("name"));
    BOOST_LEAF_ASSIGN(stream.member, object.requiredString("member"));
    BOOST_LEAF_ASSIGN(stream.kind, object.requiredString("kind"));
    BOOST_LEAF_ASSIGN(stream.arrivalsPerSecond, object.fraction("per_second", 1, 0, MaxArrivalsPerSecond));
    BOOST_LEAF_AUTO(least, object.integer("least_tasks", 1, 1, MaxTasks));
    BOOST_LEAF_AUTO(most, object.integer("most_tasks", least, least, MaxTasks));
    stream.minTasks = static_cast<std::uint32_t>(least);
    stream.maxTasks = static_cast<std::uint32_t>(most);
    BOOST_LEAF_AUTO(run, object.object("run"));
    BOOST_LEAF_ASSIGN(stream.run, readRunTimeDistribution(run));
    BOOST_LEAF_ASSIGN(stream.declaredErrorFactor, object.fraction("declared_factor", 1, 1, 100));
    BOOST_LEAF_ASSIGN(stream.repeatable, object.boolean("repeatable", false));
    BOOST_LEAF_ASSIGN(stream.deadlineMs, object.integer("deadline_ms", stream.deadlineMs, 1, 3'600'000));
    BOOST_LEAF_ASSIGN(stream.startS, object.fraction("from_s", 0, 0, MaxDurationS));
    BOOST_LEAF_ASSIGN(stream.endS, object.fraction("to_s", MaxDurationS, 0, MaxDurationS));
    BOOST_LEAF_ASSIGN(stream.usableFraction, object.fraction("claimable", 1, 0.001, 1));
    return stream;
}

leaf::result<Mix> readMix(const std::string &text)
{
    Mix mix;
    BOOST_LEAF_AUTO(value, parseJson(text));
    BOOST_LEAF_AUTO(object, JsonObject::from(value, ""));
    BOOST_LEAF_CHECK(object.allow({"service", "duration_s", "warmup_s", "seed", "slots", "resubmit", "streams"}));
    BOOST_LEAF_ASSIGN(mix.service, object.requiredString("service"));
    BOOST_LEAF_ASSIGN(mix.durationS, object.fraction("duration_s", mix.durationS, 0.1, MaxDurationS));
    BOOST_LEAF_ASSIGN(mix.warmupS, object.fraction("warmup_s", mix.warmupS, 0, MaxDurationS));
    BOOST_LEAF_ASSIGN(mix.seed, object.integer("seed", mix.seed, 0, UINT64_MAX));
    BOOST_LEAF_AUTO(slots, object.integer("slots", mix.slots, 1, 1'000'000));
    mix.slots = static_cast<std::uint32_t>(slots);
    BOOST_LEAF_ASSIGN(mix.resubmitFraction, object.fraction("resubmit", 0, 0, 1));
    BOOST_LEAF_AUTO(streams, object.array("streams"));
    if (streams == nullptr || streams->empty()) {
        return object.fail("streams", "must be a list of at least one stream");
    }
    for (const json::value &item : *streams) {
        BOOST_LEAF_AUTO(stream, JsonObject::from(item, "streams." + std::to_string(mix.streams.size())));
        BOOST_LEAF_AUTO(read, readStream(stream));
        mix.streams.push_back(std::move(read));
    }
    return mix;
}

std::uint32_t drawRunMs(const RunTimeDistribution &run, std::mt19937_64 &random)
{
    if (run.sigma == 0) {
        return static_cast<std::uint32_t>(std::lround(run.medianMs));
    }
    std::lognormal_distribution<double> distribution(std::log(run.medianMs), run.sigma);
    return static_cast<std::uint32_t>(std::lround(std::clamp(distribution(random), run.minMs, run.maxMs)));
}

std::uint32_t drawTaskCount(const Stream &stream, std::mt19937_64 &random)
{
    if (stream.minTasks == stream.maxTasks) {
        return stream.minTasks;
    }
    std::uniform_real_distribution<double> exponent(std::log(stream.minTasks), std::log(stream.maxTasks));
    return static_cast<std::uint32_t>(std::lround(std::exp(exponent(random))));
}

std::uint32_t drawDeclaredMs(const Stream &stream, std::uint32_t runMs, std::mt19937_64 &random)
{
    if (stream.declaredErrorFactor == 1) {
        return runMs;
    }
    const double limit = std::log(stream.declaredErrorFactor);
    std::uniform_real_distribution<double> exponent(-limit, limit);
    return static_cast<std::uint32_t>(std::lround(runMs * std::exp(exponent(random))));
}

void generateStream(const Mix &mix, std::size_t index, std::vector<Arrival> &arrivals)
{
    const Stream &stream = mix.streams[index];
    if (stream.arrivalsPerSecond <= 0) {
        return;
    }
    std::mt19937_64 random(mix.seed * 1000003 + index);
    std::exponential_distribution<double> interarrivalS(stream.arrivalsPerSecond);
    const double end = std::min(mix.durationS, stream.endS);
    for (double timeS = stream.startS + interarrivalS(random); timeS < end; timeS += interarrivalS(random)) {
        Arrival arrival;
        arrival.sendTime = Duration(std::llround(timeS * 1e6));
        arrival.stream = index;
        const std::uint32_t taskCount = drawTaskCount(stream, random);
        for (std::uint32_t i = 0; i < taskCount; ++i) {
            arrival.runMs.push_back(drawRunMs(stream.run, random));
            arrival.declaredMs.push_back(drawDeclaredMs(stream, arrival.runMs.back(), random));
        }
        arrivals.push_back(std::move(arrival));
    }
}

} // namespace

Duration Arrival::idealResponse(std::uint32_t slots, double usableFraction) const
{
    const std::uint64_t longest = *std::max_element(runMs.begin(), runMs.end());
    const std::uint64_t total = std::accumulate(runMs.begin(), runMs.end(), std::uint64_t(0));
    const double perSlot = static_cast<double>(total) / std::max(1.0, slots * usableFraction);
    return Duration(std::llround(1000.0 * std::max(static_cast<double>(longest), perSlot)));
}

std::optional<Mix> parseMix(const std::string &text, std::string &error)
{
    return leaf::try_handle_all(
        [&text]() -> leaf::result<std::optional<Mix>> {
            BOOST_LEAF_AUTO(mix, readMix(text));
            return std::optional<Mix>(std::move(mix));
        },
        [&error](const JsonError &e) -> std::optional<Mix> {
            error = e.path + ": " + e.reason;
            return std::nullopt;
        },
        [&error]() -> std::optional<Mix> {
            error = "unknown error while parsing the mix";
            return std::nullopt;
        });
}

std::vector<Arrival> generateArrivals(const Mix &mix)
{
    std::vector<Arrival> arrivals;
    for (std::size_t i = 0; i < mix.streams.size(); ++i) {
        generateStream(mix, i, arrivals);
    }
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const Arrival &a, const Arrival &b) { return a.sendTime < b.sendTime; });
    return arrivals;
}

} // namespace cuminscale::load
