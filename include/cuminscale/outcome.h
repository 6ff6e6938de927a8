/// What became of a caller's work, as a type that the compiler checks.
#pragma once

#include "cuminscale/units.h"

#include <string>
#include <variant>

namespace cuminscale
{

class Refusal;

/// The work was started, and its end is known.
struct Ran
{ };

/// The work may have been started; its end is not known.
struct Unknown
{
    std::string reason;
};

/// The work was not started and never will be under this id. Only Refusal can create one, because the statement has to
/// be final: see src/core/refusal.h for the three situations in which it is.
class NotRun
{
public:
    /// Why the work was refused, in one sentence.
    const std::string &reason() const noexcept
    {
        return m_reason;
    }

    /// How long the caller had better wait before it asks again; zero when asking again cannot help.
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

/// The three things that can be true of a caller's work once it is answered.
using Outcome = std::variant<Ran, NotRun, Unknown>;

/// The word that stands in the Cuminscale-Outcome header: "ran", "not-run" or "unknown".
inline const char *toString(const Outcome &outcome) noexcept
{
    constexpr const char *Words[] = {"ran", "not-run", "unknown"};
    return Words[outcome.index()];
}

} // namespace cuminscale
