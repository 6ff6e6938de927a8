/// Context shared by the components of a core while it handles one event.
#pragma once

#include "core/events.h"
#include "core/policy.h"

#include <deque>

namespace cuminscale
{

/// Context of one event: the current time, the effects produced so far, and the messages of the process to itself.
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

    void count(Counter counter, std::uint64_t n = 1) noexcept
    {
        m_counters.add(counter, n);
    }

    /// Sends a message that carries work. Messages of the process to itself are queued and not sent over the network.
    void send(const ProcessId &to, Message message);

    /// Sends a control-plane message, such as a heartbeat or a configuration update. Counted apart from work.
    void sendControl(const ProcessId &to, Message message);

    /// Reopens the connection to a peer that does not answer. The connection may be dead without either end having noticed, for
    /// example because a middlebox between them has dropped its state.
    void replaceConnection(const Endpoint &endpoint)
    {
        if (endpoint != self().endpoint) {
            count(Counter::ConnectionsReplaced);
            m_effects.push_back(effect::ReplaceConnection{endpoint});
        }
    }

    void add(Effect effect)
    {
        m_effects.push_back(std::move(effect));
    }

    void log(LogLevel level, const char *component, std::string text)
    {
        m_effects.push_back(effect::LogLine{level, component, std::move(text)});
    }

    /// Returns a random non-zero number for use as a span or trace id.
    std::uint64_t randomId()
    {
        return m_random() | 1U;
    }

    /// Whether there are undelivered messages of the process to itself.
    bool hasLoopback() const noexcept
    {
        return !m_loopback.empty();
    }

    /// Removes and returns the oldest undelivered message of the process to itself.
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

/// Whether a message is addressed to this incarnation of the process or to any. If not, replies to the sender with msg::Gone.
bool isForThisIncarnation(Step &step, const Envelope &envelope);

/// Aborts the process when an invariant does not hold; checked in all builds.
#define CUMINSCALE_INVARIANT(condition, what) \
    do { \
        if (!(condition)) { \
            ::cuminscale::invariantViolated(what, __FILE__, __LINE__); \
        } \
    } while (false)

/// Prints the violated invariant and its location to the standard error output, then aborts.
[[noreturn]] void invariantViolated(const char *what, const char *file, int line) noexcept;

} // namespace cuminscale
