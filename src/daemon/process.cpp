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
/// Time for responses that are being written to reach the sockets.
constexpr Duration ResponseFlushDelay = milliseconds(200);
/// Upper bound of the wait for pending responses, in polls.
constexpr int MaxResponsePolls = 100;
constexpr Duration PollInterval = milliseconds(50);
/// An incarnation is the time in microseconds followed by this many random bits.
constexpr unsigned RandomBits = 12;

/// Monotonic time since the first call, added to the wall-clock time of that call. Steps of the wall clock have no effect on it.
TimePoint coreNow()
{
    static const std::chrono::steady_clock::time_point SteadyStart = std::chrono::steady_clock::now();
    static const Duration WallStart = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    return TimePoint(WallStart + std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - SteadyStart));
}

/// A restarted process gets a greater incarnation; the random bits tell two starts within one microsecond apart.
Incarnation makeIncarnation()
{
    std::random_device device;
    const std::uint64_t micros = static_cast<std::uint64_t>(coreNow().time_since_epoch().count());
    return Incarnation((micros << RandomBits) | (device() & ((1U << RandomBits) - 1)));
}

} // namespace

Process::Process(DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_peers(m_settings.peerListen, coreNow)
    , m_spans(m_settings.maxSpans)
    , m_telemetry(m_spans)
    , m_httpThread(RingCapacity, [this](Effect &&effect) { onCallerEffect(std::move(effect)); })
    , m_backendThread(RingCapacity, [this](Effect &&effect) { onBackendEffect(std::move(effect)); })
    , m_storeThread(RingCapacity, [this](Effect &&effect) { onStoreEffect(std::move(effect)); })
    , m_telemetryThread(RingCapacity, [this](Effect &&effect) { onTelemetryEffect(std::move(effect)); })
{
    m_settings.core.identity.self = ProcessId{m_peers.endpoint(), makeIncarnation()};
    m_settings.core.identity.seed = std::random_device()();
    m_peers.setSelf(m_settings.core.identity.self);
    buildCore();
    m_loop = std::make_unique<DecisionLoop>(*m_core, coreNow);
    m_peerEvents = &m_loop->addSource(RingCapacity);
    m_signalEvents = &m_loop->addSource(4);
    EventQueue &httpEvents = m_loop->addSource(RingCapacity);
    m_sources.emplace_back(&m_httpThread, &httpEvents);
    m_peerEffects = std::make_unique<BufferedRing<Effect>>(RingCapacity, m_peers.waker());
    DecisionLoop::Routes routes{m_peerEffects.get(), &m_httpThread.effects(), nullptr, nullptr, &m_telemetryThread.effects()};
    if (m_settings.role == Role::Agent) {
        EventQueue &backendEvents = m_loop->addSource(RingCapacity);
        m_sources.emplace_back(&m_backendThread, &backendEvents);
        m_backend = std::make_unique<HttpBackend>(m_backendThread.context(), m_settings.backendConnections, backendEvents);
        routes.backend = &m_backendThread.effects();
    } else if (!m_settings.store.endpoints.empty()) {
        EventQueue &storeEvents = m_loop->addSource(RingCapacity);
        m_sources.emplace_back(&m_storeThread, &storeEvents);
        m_store =
            std::make_unique<EtcdStore>(m_storeThread.context(), m_settings.store, m_settings.core.identity.self, storeEvents);
        routes.store = &m_storeThread.effects();
    }
    HttpApi::MonitoringSources monitoring{&m_peers.traffic(), &m_spans, [this]() {
                                              return m_store ? m_store->calls() : 0;
                                          }};
    m_httpApi = std::make_unique<HttpApi>(m_httpThread.context(), m_settings, httpEvents, std::move(monitoring));
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
        + toString(m_httpApi->callerEndpoint()) + "\",\"operator\":\"" + toString(m_httpApi->operatorEndpoint())
        + "\",\"incarnation\":\"" + toString(m_settings.core.identity.self) + "\"}";
}

void Process::onCallerEffect(Effect &&effect)
{
    m_httpApi->reply(std::get<effect::ReplyCaller>(std::move(effect)));
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

void Process::waitForShutdown()
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code ec, int) {
        if (!ec) {
            m_signalEvents->deliver(event::ShutdownRequested{});
            boost::asio::post(m_httpThread.context(), [this]() { m_httpApi->startDraining(); });
        }
    });
    boost::asio::steady_timer timer(context);
    const std::function<void()> poll = [&]() {
        timer.expires_after(PollInterval);
        timer.async_wait([&](boost::system::error_code) {
            // Without this, events in an overflow buffer would wait until their thread produces the next event.
            for (const std::pair<IoThread *, EventQueue *> &source : m_sources) {
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

void Process::waitForResponses()
{
    for (int i = 0; i < MaxResponsePolls; ++i) {
        std::promise<bool> inProgress;
        boost::asio::post(m_httpThread.context(), [this, &inProgress]() {
            m_httpApi->finishDraining();
            inProgress.set_value(m_httpApi->hasUnfinishedRequests());
        });
        if (!inProgress.get_future().get()) {
            break;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    std::this_thread::sleep_for(ResponseFlushDelay);
}

void Process::run()
{
    m_telemetryThread.start();
    m_loop->start();
    m_httpThread.start();
    m_backendThread.start();
    m_storeThread.start();
    if (m_store) {
        boost::asio::post(m_storeThread.context(), [this]() { m_store->start(); });
    }
    m_peerThread = std::thread([this]() {
        m_peers.run(*m_peerEvents, [this]() {
            m_peerEffects->ring().drain([this](Effect &&effect) { onPeerEffect(std::move(effect)); }, RingCapacity);
        });
    });
    waitForShutdown();
    if (m_store) {
        boost::asio::post(m_storeThread.context(), [this]() { m_store->stop(); });
    }
    waitForResponses();
    m_httpThread.stop();
    m_backendThread.stop();
    m_storeThread.stop();
    m_loop->stop();
    m_peers.stop();
    m_peerThread.join();
    m_telemetryThread.stop();
}

} // namespace cuminscale
