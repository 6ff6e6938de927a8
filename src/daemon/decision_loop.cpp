#include "daemon/decision_loop.h"

#include "core/overloaded_reply.h"

namespace cuminscale
{

namespace
{

constexpr Duration TickInterval = milliseconds(20);
/// Events handled from one source before the next source is served, so that a busy source does not starve the others.
constexpr std::size_t MaxEventBatch = 64;

/// Whether an event submits new work, which is refused while the process is overloaded.
bool isSubmission(const Event &event)
{
    const event::CallerRequestReceived *request = std::get_if<event::CallerRequestReceived>(&event);
    return request != nullptr
        && (std::holds_alternative<call::SubmitJob>(request->call) || std::holds_alternative<call::SubmitRequest>(request->call));
}

} // namespace

DecisionLoop::DecisionLoop(Core &core, Clock clock)
    : m_core(core)
    , m_clock(std::move(clock))
    , m_context(1)
    , m_work(m_context.get_executor())
    , m_waker(m_context, [this]() { drain(); })
    , m_tickTimer(m_context)
{ }

DecisionLoop::~DecisionLoop()
{
    stop();
}

EventQueue &DecisionLoop::addSource(std::size_t ringCapacity)
{
    m_sources.push_back(std::make_unique<EventQueue>(ringCapacity, m_waker));
    return *m_sources.back();
}

void DecisionLoop::start()
{
    m_thread = std::thread([this]() {
        scheduleTick();
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

void DecisionLoop::scheduleTick()
{
    m_tickTimer.expires_after(TickInterval);
    m_tickTimer.async_wait([this](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        m_core.handle(m_clock(), event::Tick{}, m_effects);
        routeEffects();
        scheduleTick();
    });
}

void DecisionLoop::drain()
{
    bool more = false;
    for (const std::unique_ptr<EventQueue> &source : m_sources) {
        source->ring().drain([this](Event &&event) { handleEvent(std::move(event)); }, MaxEventBatch);
        more = more || !source->ring().empty();
    }
    routeEffects();
    if (more) {
        m_waker.wake();
    }
}

void DecisionLoop::handleEvent(Event &&event)
{
    if (isSubmission(event) && flushAndCheckCongestion()) {
        const event::CallerRequestReceived &request = std::get<event::CallerRequestReceived>(event);
        m_effects.push_back(effect::ReplyCaller{request.tag, overloadedReply(request.call)});
        return;
    }
    m_core.handle(m_clock(), std::move(event), m_effects);
}

bool DecisionLoop::flushAndCheckCongestion()
{
    for (BufferedRing<Effect> *queue : {m_routes.peers, m_routes.callers, m_routes.backend}) {
        if (queue != nullptr && !queue->flush()) {
            return true;
        }
    }
    return false;
}

BufferedRing<Effect> *DecisionLoop::queueFor(const Effect &effect) const
{
    struct Visitor
    {
        const Routes &routes;

        BufferedRing<Effect> *operator()(const effect::SendPeer &) const
        {
            return routes.peers;
        }
        BufferedRing<Effect> *operator()(const effect::ReplaceConnection &) const
        {
            return routes.peers;
        }
        BufferedRing<Effect> *operator()(const effect::ForgetConnection &) const
        {
            return routes.peers;
        }
        BufferedRing<Effect> *operator()(const effect::StartTask &) const
        {
            return routes.backend;
        }
        BufferedRing<Effect> *operator()(const effect::AbortTask &) const
        {
            return routes.backend;
        }
        BufferedRing<Effect> *operator()(const effect::ReplyCaller &) const
        {
            return routes.callers;
        }
        BufferedRing<Effect> *operator()(const effect::WriteConfig &) const
        {
            return routes.store;
        }
        BufferedRing<Effect> *operator()(const effect::LogLine &) const
        {
            return routes.telemetry;
        }
        BufferedRing<Effect> *operator()(const effect::SpanEnded &) const
        {
            return routes.telemetry;
        }
        BufferedRing<Effect> *operator()(const effect::Stopped &) const
        {
            return nullptr;
        }
    };
    return std::visit(Visitor{m_routes}, effect);
}

void DecisionLoop::routeEffects()
{
    for (Effect &effect : m_effects) {
        if (std::holds_alternative<effect::Stopped>(effect)) {
            m_onStopped();
            continue;
        }
        BufferedRing<Effect> *queue = queueFor(effect);
        if (queue == nullptr) {
            continue;
        }
        if (queue == m_routes.telemetry) {
            // Log lines and spans that do not fit into the ring are dropped, so that slow telemetry never delays work.
            queue->offer(effect);
            continue;
        }
        queue->deliver(std::move(effect));
    }
    m_effects.clear();
    flushAndCheckCongestion();
}

} // namespace cuminscale
