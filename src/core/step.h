/// What the parts of a core share while one event is handled.
#pragma once

#include "core/events.h"
#include "core/policy.h"

#include <deque>

namespace cuminscale
{

/// One step of a core: the time, the effects so far, and messages of the process to itself.
class Step
{
public:
    Step(TimePoint now, const CoreSettings &settings, Counters &counters, Random &random, Effects &effects)
        : m_now(now)
        , m_settings(settings)
        , m_counters(counters)
        , m_random(random)
        , m_effects(effects)
    { }

    TimePoint now() const noexcept
    {
        return m_now;
    }

    const CoreSettings &settings() const noexcept
    {
        return m_settings;
    }

    Random &random() noexcept
    {
        return m_random;
    }

    const ProcessId &self() const noexcept
    {
        return m_settings.identity.self;
    }

    /// Adds to a counter.
    void count(Counter counter, std::uint64_t n = 1) noexcept
    {
        m_counters.add(counter, n);
    }

    /// Sends a message; one for this very process stays inside it.
    void send(const ProcessId &to, Message message);

    /// Sends a message that has to do with keeping the system together rather than with work.
    void sendControl(const ProcessId &to, Message message);

    /// Gives up the connection to a peer that owes an answer, as something in between may have lost track of it.
    void replaceConnection(const Endpoint &endpoint)
    {
        if (endpoint != self().endpoint) {
            count(Counter::ConnectionsReplaced);
            m_effects.push_back(effect::ReplaceConnection{endpoint});
        }
    }

    /// Appends an effect.
    void add(Effect effect)
    {
        m_effects.push_back(std::move(effect));
    }

    /// Appends a log line.
    void log(LogLevel level, const char *part, std::string text)
    {
        m_effects.push_back(effect::LogLine{level, part, std::move(text)});
    }

    /// Draws a number that is never zero, for span and trace ids.
    std::uint64_t drawId()
    {
        return m_random() | 1U;
    }

    /// Whether the process has a message to itself outstanding.
    bool hasLoopback() const noexcept
    {
        return !m_loopback.empty();
    }

    /// Takes the oldest message that the process has sent to itself in this step.
    std::optional<Envelope> takeLoopback();

private:
    void deliver(const ProcessId &to, Message message);

    TimePoint m_now;
    const CoreSettings &m_settings;
    Counters &m_counters;
    Random &m_random;
    Effects &m_effects;
    std::deque<Envelope> m_loopback;
};

/// Whether a message is meant for this life of the process, or for whichever is there; if not, its sender is told.
bool isForThisLife(Step &step, const Envelope &envelope);

/// Stops the process when an invariant does not hold; active in all builds.
#define CUMINSCALE_INVARIANT(condition, what) \
    do { \
        if (!(condition)) { \
            ::cuminscale::invariantBroken(what, __FILE__, __LINE__); \
        } \
    } while (false)

/// Prints what was broken and where, then aborts.
[[noreturn]] void invariantBroken(const char *what, const char *file, int line) noexcept;

} // namespace cuminscale
