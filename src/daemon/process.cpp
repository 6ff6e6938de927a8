#include "daemon/process.h"

#include "core/agent_core.h"
#include "core/entry_core.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <future>
#include <random>

namespace cuminscale
{

namespace
{

constexpr std::size_t RingCapacity = 8192;
/// Answers that are being written get this long to leave.
constexpr Duration AnswerLinger = milliseconds(200);
constexpr int MaxAnswerWaits = 100;
constexpr Duration AnswerWait = milliseconds(50);
/// Low bits of an incarnation are random, high bits grow with time.
constexpr unsigned RandomBits = 12;

/// The time when the process started plus what a monotonic clock has counted since.
TimePoint coreNow()
{
    static const std::chrono::steady_clock::time_point SteadyStart = std::chrono::steady_clock::now();
    static const Duration WallStart = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    return TimePoint(WallStart + std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - SteadyStart));
}

/// Later lives draw greater numbers; two lives within the same microsecond differ in the random bits.
Incarnation drawIncarnation()
{
    std::random_device device;
    const std::uint64_t micros = static_cast<std::uint64_t>(coreNow().time_since_epoch().count());
    return Incarnation((micros << RandomBits) | (device() & ((1U << RandomBits) - 1)));
}

} // namespace

Process::Process(DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_peers(m_settings.peerListen, coreNow)
    , m_spans(m_settings.keepSpans)
    , m_telemetry(m_spans)
    , m_http(RingCapacity, [this](Effect &&effect) { onCallerEffect(std::move(effect)); })
    , m_backendDuty(RingCapacity, [this](Effect &&effect) { onBackendEffect(std::move(effect)); })
    , m_storeDuty(RingCapacity, [this](Effect &&effect) { onStoreEffect(std::move(effect)); })
    , m_telemetryDuty(RingCapacity, [this](Effect &&effect) { onTelemetryEffect(std::move(effect)); })
{
    m_settings.core.identity.self = ProcessId{m_peers.endpoint(), drawIncarnation()};
    m_settings.core.identity.seed = std::random_device()();
    m_peers.setSelf(m_settings.core.identity.self);
    buildCore();
    m_loop = std::make_unique<DecisionLoop>(*m_core, coreNow);
    m_peerEvents = &m_loop->addSource(RingCapacity);
    m_signalEvents = &m_loop->addSource(4);
    EventOutlet &httpEvents = m_loop->addSource(RingCapacity);
    m_sources.emplace_back(&m_http, &httpEvents);
    m_peerEffects = std::make_unique<Outlet<Effect>>(RingCapacity, m_peers.waker());
    DecisionLoop::Routes routes{m_peerEffects.get(), &m_http.effects(), nullptr, nullptr, &m_telemetryDuty.effects()};
    if (m_settings.role == Role::Agent) {
        EventOutlet &backendEvents = m_loop->addSource(RingCapacity);
        m_sources.emplace_back(&m_backendDuty, &backendEvents);
        m_backend = std::make_unique<HttpBackend>(m_backendDuty.context(), m_settings.backendConnections, backendEvents);
        routes.backend = &m_backendDuty.effects();
    } else if (!m_settings.store.endpoints.empty()) {
        EventOutlet &storeEvents = m_loop->addSource(RingCapacity);
        m_sources.emplace_back(&m_storeDuty, &storeEvents);
        m_store =
            std::make_unique<EtcdStore>(m_storeDuty.context(), m_settings.store, m_settings.core.identity.self, storeEvents);
        routes.store = &m_storeDuty.effects();
    }
    Doors::Sources sources{&m_peers.traffic(), &m_spans, [this]() {
                               return m_store ? m_store->calls() : 0;
                           }};
    m_doors = std::make_unique<Doors>(m_http.context(), m_settings, httpEvents, std::move(sources));
    m_loop->setRoutes(routes);
    m_loop->onStopped([this]() { m_stopped = true; });
}

Process::~Process() = default;

void Process::buildCore()
{
    Policies policies = makeDefaultPolicies(m_settings.core.limits);
    if (m_settings.role == Role::Entry) {
        m_core = std::make_unique<EntryCore>(m_settings.core, std::move(policies));
    } else {
        m_core = std::make_unique<AgentCore>(m_settings.core, std::move(policies));
    }
}

std::string Process::describe() const
{
    const char *role = m_settings.role == Role::Entry ? "entry" : "agent";
    return std::string("{\"role\":\"") + role + "\",\"peer\":\"" + toString(m_peers.endpoint()) + "\",\"caller\":\""
        + toString(m_doors->callerEndpoint()) + "\",\"operator\":\"" + toString(m_doors->operatorEndpoint())
        + "\",\"incarnation\":\"" + toString(m_settings.core.identity.self) + "\"}";
}

void Process::onCallerEffect(Effect &&effect)
{
    m_doors->reply(std::get<effect::ReplyCaller>(std::move(effect)));
}

void Process::onBackendEffect(Effect &&effect)
{
    if (effect::StartTask *task = std::get_if<effect::StartTask>(&effect)) {
        m_backend->start(std::move(*task));
    } else {
        m_backend->abort(std::get<effect::AbortTask>(effect));
    }
}

void Process::onStoreEffect(Effect &&effect)
{
    m_store->write(std::get<effect::WriteConfig>(std::move(effect)));
}

void Process::onTelemetryEffect(Effect &&effect)
{
    if (const effect::LogLine *line = std::get_if<effect::LogLine>(&effect)) {
        m_telemetry.log(*line);
    } else {
        m_telemetry.span(std::get<effect::SpanEnded>(std::move(effect)));
    }
}

void Process::onPeerEffect(Effect &&effect)
{
    if (effect::SendPeer *message = std::get_if<effect::SendPeer>(&effect)) {
        m_peers.send(std::move(*message));
    } else if (const effect::ReplaceConnection *connection = std::get_if<effect::ReplaceConnection>(&effect)) {
        m_peers.replace(*connection);
    } else {
        m_peers.forget(std::get<effect::ForgetConnection>(effect));
    }
}

void Process::waitForSignal()
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code ec, int) {
        if (!ec) {
            m_signalEvents->deliver(event::ShutdownAsked{});
            boost::asio::post(m_http.context(), [this]() { m_doors->startDraining(); });
        }
    });
    boost::asio::steady_timer timer(context);
    const std::function<void()> poll = [&]() {
        timer.expires_after(AnswerWait);
        timer.async_wait([&](boost::system::error_code) {
            for (const std::pair<Duty *, EventOutlet *> &source : m_sources) {
                boost::asio::post(source.first->context(), [events = source.second]() { events->flush(); });
            }
            if (m_stopped) {
                context.stop();
                return;
            }
            poll();
        });
    };
    poll();
    context.run();
}

void Process::finishAnswers()
{
    for (int i = 0; i < MaxAnswerWaits; ++i) {
        std::promise<std::size_t> busy;
        boost::asio::post(m_http.context(), [this, &busy]() { busy.set_value(m_doors->busy()); });
        if (busy.get_future().get() == 0) {
            break;
        }
        std::this_thread::sleep_for(AnswerWait);
    }
    std::this_thread::sleep_for(AnswerLinger);
}

void Process::run()
{
    m_telemetryDuty.start();
    m_loop->start();
    m_http.start();
    m_backendDuty.start();
    m_storeDuty.start();
    if (m_store) {
        boost::asio::post(m_storeDuty.context(), [this]() { m_store->start(); });
    }
    m_peerThread = std::thread([this]() {
        m_peers.run(*m_peerEvents, [this]() {
            m_peerEffects->ring().drain([this](Effect &&effect) { onPeerEffect(std::move(effect)); }, RingCapacity);
        });
    });
    waitForSignal();
    if (m_store) {
        boost::asio::post(m_storeDuty.context(), [this]() { m_store->stop(); });
    }
    finishAnswers();
    m_http.stop();
    m_backendDuty.stop();
    m_storeDuty.stop();
    m_loop->stop();
    m_peers.stop();
    m_peerThread.join();
    m_telemetryDuty.stop();
}

} // namespace cuminscale
