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

constexpr double MaxRate = 1e6;
constexpr double MaxSeconds = 86400;
constexpr double MaxMs = 3.6e6;
constexpr std::uint64_t MaxTasks = 2000;

leaf::result<RunTimes> readRunTimes(const JsonObject &object)
{
    RunTimes run;
    BOOST_LEAF_CHECK(object.allow({"median_ms", "sigma", "least_ms", "most_ms"}));
    BOOST_LEAF_ASSIGN(run.medianMs, object.fraction("median_ms", run.medianMs, 0, MaxMs));
    BOOST_LEAF_ASSIGN(run.sigma, object.fraction("sigma", run.sigma, 0, 5));
    BOOST_LEAF_ASSIGN(run.leastMs, object.fraction("least_ms", run.leastMs, 0, MaxMs));
    BOOST_LEAF_ASSIGN(run.mostMs, object.fraction("most_ms", run.mostMs, 0, MaxMs));
    return run;
}

leaf::result<Stream> readStream(const JsonObject &object)
{
    Stream stream;
    BOOST_LEAF_CHECK(object.allow({"name", "member", "kind", "per_second", "least_tasks", "most_tasks", "run", "declared_factor",
                                   "repeatable", "deadline_ms", "from_s", "to_s", "claimable"}));
    BOOST_LEAF_ASSIGN(stream.name, object.requiredText("name"));
    BOOST_LEAF_ASSIGN(stream.member, object.requiredText("member"));
    BOOST_LEAF_ASSIGN(stream.kind, object.requiredText("kind"));
    BOOST_LEAF_ASSIGN(stream.perSecond, object.fraction("per_second", 1, 0, MaxRate));
    BOOST_LEAF_AUTO(least, object.number("least_tasks", 1, 1, MaxTasks));
    BOOST_LEAF_AUTO(most, object.number("most_tasks", least, least, MaxTasks));
    stream.leastTasks = static_cast<std::uint32_t>(least);
    stream.mostTasks = static_cast<std::uint32_t>(most);
    BOOST_LEAF_AUTO(run, object.object("run"));
    BOOST_LEAF_ASSIGN(stream.run, readRunTimes(run));
    BOOST_LEAF_ASSIGN(stream.declaredFactor, object.fraction("declared_factor", 1, 1, 100));
    BOOST_LEAF_ASSIGN(stream.repeatable, object.flag("repeatable", false));
    BOOST_LEAF_ASSIGN(stream.deadlineMs, object.number("deadline_ms", stream.deadlineMs, 1, 3'600'000));
    BOOST_LEAF_ASSIGN(stream.fromS, object.fraction("from_s", 0, 0, MaxSeconds));
    BOOST_LEAF_ASSIGN(stream.toS, object.fraction("to_s", MaxSeconds, 0, MaxSeconds));
    BOOST_LEAF_ASSIGN(stream.claimable, object.fraction("claimable", 1, 0.001, 1));
    return stream;
}

leaf::result<Mix> readMix(const std::string &text)
{
    Mix mix;
    BOOST_LEAF_AUTO(value, parseJson(text));
    BOOST_LEAF_AUTO(object, JsonObject::from(value, ""));
    BOOST_LEAF_CHECK(object.allow({"service", "duration_s", "warmup_s", "seed", "slots", "resubmit", "streams"}));
    BOOST_LEAF_ASSIGN(mix.service, object.requiredText("service"));
    BOOST_LEAF_ASSIGN(mix.durationS, object.fraction("duration_s", mix.durationS, 0.1, MaxSeconds));
    BOOST_LEAF_ASSIGN(mix.warmupS, object.fraction("warmup_s", mix.warmupS, 0, MaxSeconds));
    BOOST_LEAF_ASSIGN(mix.seed, object.number("seed", mix.seed, 0, UINT64_MAX));
    BOOST_LEAF_AUTO(slots, object.number("slots", mix.slots, 1, 1'000'000));
    mix.slots = static_cast<std::uint32_t>(slots);
    BOOST_LEAF_ASSIGN(mix.resubmit, object.fraction("resubmit", 0, 0, 1));
    BOOST_LEAF_AUTO(streams, object.list("streams"));
    if (streams == nullptr || streams->empty()) {
        return object.fail("streams", "has to be a list of at least one stream");
    }
    for (const json::value &item : *streams) {
        BOOST_LEAF_AUTO(stream, JsonObject::from(item, "streams." + std::to_string(mix.streams.size())));
        BOOST_LEAF_AUTO(read, readStream(stream));
        mix.streams.push_back(std::move(read));
    }
    return mix;
}

std::uint32_t drawRunMs(const RunTimes &run, std::mt19937_64 &random)
{
    if (run.sigma == 0) {
        return static_cast<std::uint32_t>(std::lround(run.medianMs));
    }
    std::lognormal_distribution<double> distribution(std::log(run.medianMs), run.sigma);
    return static_cast<std::uint32_t>(std::lround(std::clamp(distribution(random), run.leastMs, run.mostMs)));
}

std::uint32_t drawTasks(const Stream &stream, std::mt19937_64 &random)
{
    if (stream.leastTasks == stream.mostTasks) {
        return stream.leastTasks;
    }
    std::uniform_real_distribution<double> exponent(std::log(stream.leastTasks), std::log(stream.mostTasks));
    return static_cast<std::uint32_t>(std::lround(std::exp(exponent(random))));
}

std::uint32_t drawDeclared(const Stream &stream, std::uint32_t runMs, std::mt19937_64 &random)
{
    if (stream.declaredFactor == 1) {
        return runMs;
    }
    const double limit = std::log(stream.declaredFactor);
    std::uniform_real_distribution<double> exponent(-limit, limit);
    return static_cast<std::uint32_t>(std::lround(runMs * std::exp(exponent(random))));
}

void drawStream(const Mix &mix, std::size_t index, std::vector<Arrival> &arrivals)
{
    const Stream &stream = mix.streams[index];
    if (stream.perSecond <= 0) {
        return;
    }
    std::mt19937_64 random(mix.seed * 1000003 + index);
    std::exponential_distribution<double> gap(stream.perSecond);
    const double end = std::min(mix.durationS, stream.toS);
    for (double t = stream.fromS + gap(random); t < end; t += gap(random)) {
        Arrival arrival;
        arrival.at = Duration(std::llround(t * 1e6));
        arrival.stream = index;
        const std::uint32_t n = drawTasks(stream, random);
        for (std::uint32_t i = 0; i < n; ++i) {
            arrival.runMs.push_back(drawRunMs(stream.run, random));
            arrival.declaredMs.push_back(drawDeclared(stream, arrival.runMs.back(), random));
        }
        arrivals.push_back(std::move(arrival));
    }
}

} // namespace

Duration Arrival::ideal(std::uint32_t slots, double claimable) const
{
    const std::uint64_t longest = *std::max_element(runMs.begin(), runMs.end());
    const std::uint64_t total = std::accumulate(runMs.begin(), runMs.end(), std::uint64_t(0));
    const double spread = static_cast<double>(total) / std::max(1.0, slots * claimable);
    return Duration(std::llround(1000.0 * std::max(static_cast<double>(longest), spread)));
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
            error = "the mix can't be read";
            return std::nullopt;
        });
}

std::vector<Arrival> drawArrivals(const Mix &mix)
{
    std::vector<Arrival> arrivals;
    for (std::size_t i = 0; i < mix.streams.size(); ++i) {
        drawStream(mix, i, arrivals);
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    return arrivals;
}

} // namespace cuminscale::load
