/// What a load run came to.
#pragma once

#include "load/mix.h"

#include <string>
#include <vector>

namespace cuminscale::load
{

/// How one arrival ended.
enum class End : std::uint8_t { Complete, Failed, NotRun, Unknown, Wrong };

/// One arrival and its end.
struct Sample
{
    std::size_t stream = 0;
    End end = End::Unknown;
    Duration response{0};
    Duration ideal{0};
    Duration backend{0}; ///< The backend server's own time, where it reported it: single requests.
    std::uint32_t tasks = 0;
    bool warmup = false;
    std::string reason; ///< Why it did not complete.
};

/// A quantile of values that are sorted in place; zero when there are none.
double quantile(std::vector<double> &values, double q);

/// Renders all samples as JSON: for each stream the ends, the response over ideal, and the added time over the backend's.
std::string renderJson(const Mix &mix, const std::vector<Sample> &samples, double elapsedS);

/// Renders the same as a table.
std::string renderText(const Mix &mix, const std::vector<Sample> &samples, double elapsedS);

} // namespace cuminscale::load
