/// The outcome of a caller's request. NotRun guarantees that the work never starts, so only one class can create it.
#pragma once

#include "cuminscale/units.h"

#include <string>
#include <variant>

namespace cuminscale
{

class Refusal;

/// The work was started, and its result is known.
struct Ran
{ };

/// The work may have been started; its result is not known.
struct Unknown
{
    std::string reason;
};

/// The work was not started and never will be under this id. Only Refusal creates objects of this class, because the caller
/// relies on the statement being final; src/core/refusal.h lists the three cases in which it is.
class NotRun
{
public:
    /// Why the work was rejected, as one sentence for the caller.
    const std::string &reason() const noexcept
    {
        return m_reason;
    }

    /// How long the caller should wait before it retries; zero if a retry can't help.
    Duration retryAfter() const noexcept
    {
        return m_retryAfter;
    }

private:
    friend class Refusal;

    NotRun(std::string reason, Duration retryAfter)
        : m_reason(std::move(reason))
        , m_retryAfter(retryAfter)
    { }

    std::string m_reason;
    Duration m_retryAfter;
};

/// The possible outcomes of a request that has been answered.
using Outcome = std::variant<Ran, NotRun, Unknown>;

/// Value of the Cuminscale-Outcome header: "ran", "not-run" or "unknown".
inline const char *toString(const Outcome &outcome) noexcept
{
    constexpr const char *Words[] = {"ran", "not-run", "unknown"};
    return Words[outcome.index()];
}

} // namespace cuminscale
