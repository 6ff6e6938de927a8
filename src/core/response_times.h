/// How long requests of each kind of work take, learned from those that completed.
#pragma once

#include "cuminscale/units.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cuminscale
{

/// Streaming quantiles by Boost.Accumulators (the P-square method of Jain and Chlamtac, 1985).
class ResponseTimes
{
public:
    ResponseTimes();
    ~ResponseTimes();

    ResponseTimes(const ResponseTimes &) = delete;
    ResponseTimes &operator=(const ResponseTimes &) = delete;

    /// A request of this kind has completed.
    void add(const std::string &kind, Duration took);

    /// What 95 of 100 requests of the kind stay below; nothing before enough have completed.
    std::optional<Duration> ninetyFifth(const std::string &kind) const;

private:
    struct Quantile;

    std::map<std::string, std::unique_ptr<Quantile>> m_kinds;
};

} // namespace cuminscale
