#include "core/step.h"

#include <cstdio>
#include <cstdlib>

namespace cuminscale
{

void Step::send(const ProcessId &to, Message message)
{
    if (to != self()) {
        count(Counter::WorkSent);
    }
    deliver(to, std::move(message));
}

void Step::sendControl(const ProcessId &to, Message message)
{
    count(Counter::ControlSent);
    deliver(to, std::move(message));
}

void Step::deliver(const ProcessId &to, Message message)
{
    if (to == self()) {
        m_loopback.push_back(Envelope{self(), self().incarnation, m_now, std::nullopt, std::move(message)});
        return;
    }
    m_effects.push_back(effect::SendPeer{to, std::move(message), std::nullopt});
}

std::optional<Envelope> Step::takeLoopback()
{
    if (m_loopback.empty()) {
        return std::nullopt;
    }
    Envelope envelope = std::move(m_loopback.front());
    m_loopback.pop_front();
    return envelope;
}

bool isForThisIncarnation(Step &step, const Envelope &envelope)
{
    if (envelope.to == Incarnation() || envelope.to == step.self().incarnation) {
        return true;
    }
    step.count(Counter::WrongIncarnation);
    step.sendControl(envelope.from, msg::Gone{envelope.to});
    return false;
}

void invariantViolated(const char *what, const char *file, int line) noexcept
{
    std::fprintf(stderr, "invariant violated: %s (%s:%d)\n", what, file, line);
    std::abort();
}

} // namespace cuminscale
