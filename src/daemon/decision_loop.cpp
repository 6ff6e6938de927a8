#include "daemon/decision_loop.h"

#include "core/busy.h"

namespace cuminscale
{

namespace
{

constexpr Duration TickEvery = milliseconds(20);
/// Events taken from one source before the others have their turn.
constexpr std::size_t Burst = 64;

/// Whether an event asks for new work, which may be refused while the process is behind.
bool asksForWork(const Event &event)
{
    const event::CallerAsked *asked = std::get_if<event::CallerAsked>(&event);
    return asked != nullptr
        && (std::holds_alternative<call::SubmitJob>(asked->call) || std::holds_alternative<call::SubmitRequest>(asked->call));
}

} // namespace

DecisionLoop::DecisionLoop(Core &core, Clock clock)
    : m_core(core)
    , m_clock(std::move(clock))
    , m_context(1)
    , m_work(m_context.get_executor())
    , m_waker(m_context, [this]() { drain(); })
    , m_tick(m_context)
{ }

DecisionLoop::~DecisionLoop()
{
    stop();
}

EventOutlet &DecisionLoop::addSource(std::size_t ringCapacity)
{
    m_sources.push_back(std::make_unique<EventOutlet>(ringCapacity, m_waker));
    return *m_sources.back();
}

void DecisionLoop::start()
{
    m_thread = std::thread([this]() {
        tickLater();
        m_context.run();
    });
}

void DecisionLoop::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void DecisionLoop::tickLater()
{
    m_tick.expires_after(TickEvery);
    m_tick.async_wait([this](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        m_core.handle(m_clock(), event::Tick{}, m_effects);
        route();
        tickLater();
    });
}

void DecisionLoop::drain()
{
    bool more = false;
    for (const std::unique_ptr<EventOutlet> &source : m_sources) {
        source->ring().drain([this](Event &&event) { take(std::move(event)); }, Burst);
        more = more || !source->ring().empty();
    }
    route();
    if (more) {
        m_waker.wake();
    }
}

void DecisionLoop::take(Event &&event)
{
    if (asksForWork(event) && congested()) {
        const event::CallerAsked &asked = std::get<event::CallerAsked>(event);
        m_effects.push_back(effect::ReplyCaller{asked.tag, tooBusy(asked.call)});
        return;
    }
    m_core.handle(m_clock(), std::move(event), m_effects);
}

bool DecisionLoop::congested()
{
    for (Outlet<Effect> *outlet : {m_routes.peers, m_routes.callers, m_routes.backend}) {
        if (outlet != nullptr && !outlet->flush()) {
            return true;
        }
    }
    return false;
}

Outlet<Effect> *DecisionLoop::outletFor(const Effect &effect) const
{
    struct Visitor
    {
        const Routes &routes;

        Outlet<Effect> *operator()(const effect::SendPeer &) const
        {
            return routes.peers;
        }
        Outlet<Effect> *operator()(const effect::ReplaceConnection &) const
        {
            return routes.peers;
        }
        Outlet<Effect> *operator()(const effect::ForgetConnection &) const
        {
            return routes.peers;
        }
        Outlet<Effect> *operator()(const effect::StartTask &) const
        {
            return routes.backend;
        }
        Outlet<Effect> *operator()(const effect::AbortTask &) const
        {
            return routes.backend;
        }
        Outlet<Effect> *operator()(const effect::ReplyCaller &) const
        {
            return routes.callers;
        }
        Outlet<Effect> *operator()(const effect::WriteConfig &) const
        {
            return routes.store;
        }
        Outlet<Effect> *operator()(const effect::LogLine &) const
        {
            return routes.telemetry;
        }
        Outlet<Effect> *operator()(const effect::SpanEnded &) const
        {
            return routes.telemetry;
        }
        Outlet<Effect> *operator()(const effect::Stopped &) const
        {
            return nullptr;
        }
    };
    return std::visit(Visitor{m_routes}, effect);
}

void DecisionLoop::route()
{
    for (Effect &effect : m_effects) {
        if (std::holds_alternative<effect::Stopped>(effect)) {
            m_onStopped();
            continue;
        }
        Outlet<Effect> *outlet = outletFor(effect);
        if (outlet == nullptr) {
            continue;
        }
        if (outlet == m_routes.telemetry) {
            // Telemetry never holds up work; what does not fit is dropped.
            outlet->offer(effect);
            continue;
        }
        outlet->deliver(std::move(effect));
    }
    m_effects.clear();
    congested();
}

} // namespace cuminscale
