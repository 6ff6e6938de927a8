#include "coordination_faults.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

constexpr Duration MinDowntime = milliseconds(100);
constexpr Duration MaxDowntime = milliseconds(1500);
/// Time from the loss of connections until the start of an entry, so that their clients submit to it at once.
constexpr Duration BreakBeforeStart = milliseconds(1400);
constexpr Duration BreakWindow = milliseconds(100);
constexpr Duration MinPause = milliseconds(100);
constexpr Duration MaxPause = milliseconds(2500);
constexpr Duration MinCut = milliseconds(300);
constexpr Duration MaxCut = milliseconds(5000);
constexpr Duration CutSeriesLength = seconds(1);
constexpr std::size_t MinCutsPerSeries = 2;
constexpr std::size_t MaxCutsPerSeries = 4;
constexpr double BothWaysShare = 0.6;
constexpr double HoldingCutShare = 0.5;
/// Time until a request is read that lies unread while its connection is reset.
constexpr Duration MinUnread = milliseconds(20);
constexpr Duration MaxUnread = milliseconds(400);
/// Time from a submission until its connection breaks. Most jobs run then.
constexpr Duration MinConnected = milliseconds(5);
constexpr Duration MaxConnected = milliseconds(600);

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace

CoordinationFaultInjector::CoordinationFaultInjector(const CoordinationFaults &faults, std::uint64_t seed,
                                                     std::vector<Endpoint> entries, std::vector<Endpoint> agents,
                                                     SimulatedProcesses &processes, DecisionLog &log)
    : m_faults(faults)
    , m_random(seed)
    , m_entries(std::move(entries))
    , m_agents(std::move(agents))
    , m_processes(processes)
    , m_log(log)
{ }

void CoordinationFaultInjector::injectUntil(TimePoint end)
{
    m_end = end;
    repeat(m_faults.restartRate, &CoordinationFaultInjector::restartEntry);
    repeat(m_faults.pauseRate, &CoordinationFaultInjector::pauseEntry);
    repeat(m_faults.entryCutSeriesRate, &CoordinationFaultInjector::cutEntriesInSeries);
    repeat(m_faults.agentCutRate, &CoordinationFaultInjector::cutAgents);
    repeat(m_faults.silenceRate, &CoordinationFaultInjector::silenceEntries);
}

void CoordinationFaultInjector::onEntryStarted(const Endpoint &entry)
{
    if (m_faults.maxReconnectDelay > Duration(0)) {
        for (const std::vector<Endpoint> &group : {m_entries, m_agents}) {
            for (const Endpoint &other : group) {
                extendCut({other, entry}, Cut{m_processes.now() + drawDuration(Duration(0), m_faults.maxReconnectDelay), true});
            }
        }
    }
    for (const Endpoint &other : m_entries) {
        if (other != entry && drawBelow(m_faults.silentAfterStartShare)) {
            m_log.write(LogLevel::Info, "FAULT", "silent-after-start " + toString(other) + " -> " + toString(entry));
            m_processes.silenceConnection(other, entry);
        }
    }
}

const CoordinationFaultInjector::Cut *CoordinationFaultInjector::cut(const Path &path) const
{
    const std::map<Path, Cut>::const_iterator it = m_cuts.find(path);
    return it == m_cuts.end() || it->second.until <= m_processes.now() ? nullptr : &it->second;
}

CoordinationFaultInjector::ConnectionFate CoordinationFaultInjector::drawConnectionFate(std::uint32_t lostConnections)
{
    ConnectionFate fate;
    if (lostConnections >= m_faults.maxLostConnections) {
        return fate;
    }
    if (drawBelow(m_faults.unreadShare)) {
        fate.readAfter = drawDuration(MinUnread, MaxUnread);
        fate.lostAfter = drawDuration(milliseconds(1), fate.readAfter);
    } else if (drawBelow(m_faults.brokenConnectionShare)) {
        fate.lostAfter = drawDuration(MinConnected, MaxConnected);
    }
    return fate;
}

bool CoordinationFaultInjector::drawAwaitsStart()
{
    return drawBelow(m_faults.awaitedStartShare);
}

std::size_t CoordinationFaultInjector::drawIndex(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(m_random);
}

Duration CoordinationFaultInjector::drawDuration(Duration minimum, Duration maximum)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(m_random));
}

bool CoordinationFaultInjector::drawBelow(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void CoordinationFaultInjector::repeat(double rate, FaultFunction fault)
{
    if (rate <= 0) {
        return;
    }
    const double wait = std::exponential_distribution<double>(rate)(m_random);
    m_processes.scheduleAfter(Duration(static_cast<std::int64_t>(wait * 1e6)), [this, rate, fault]() {
        if (m_processes.now() < m_end) {
            (this->*fault)();
            repeat(rate, fault);
        }
    });
}

void CoordinationFaultInjector::restartEntry()
{
    const std::size_t entry = drawIndex(m_entries.size());
    const Duration downtime = drawDuration(MinDowntime, MaxDowntime);
    const Duration killAfter = std::max(Duration(0), BreakBeforeStart - downtime);
    m_processes.scheduleAfter(killAfter, [this, entry, downtime]() { m_processes.killEntry(entry, downtime); });
    m_processes.scheduleAfter(killAfter + downtime - BreakBeforeStart, [this, entry]() {
        m_processes.breakConnections(entry, m_faults.brokenBeforeStartShare, BreakWindow);
    });
}

void CoordinationFaultInjector::pauseEntry()
{
    m_processes.pauseEntry(drawIndex(m_entries.size()), drawDuration(MinPause, MaxPause));
}

void CoordinationFaultInjector::cutEntriesInSeries()
{
    const std::size_t cuts = MinCutsPerSeries + drawIndex(MaxCutsPerSeries - MinCutsPerSeries + 1);
    for (std::size_t i = 0; i < cuts; ++i) {
        m_processes.scheduleAfter(drawDuration(Duration(0), CutSeriesLength), [this]() { cutEntries(); });
    }
}

void CoordinationFaultInjector::cutEntries()
{
    const Path path = drawEntryPair();
    const bool bothWays = drawBelow(BothWaysShare);
    const Duration length = drawDuration(MinCut, MaxCut);
    addCut(path.first, path.second, bothWays, Cut{m_processes.now() + length, drawBelow(HoldingCutShare)});
}

void CoordinationFaultInjector::cutAgents()
{
    const Endpoint entry = m_entries[drawIndex(m_entries.size())];
    const double share = std::uniform_real_distribution<double>(0, 1)(m_random);
    const bool fromEntry = drawBelow(0.5);
    const bool bothWays = drawBelow(BothWaysShare);
    const Cut cut{m_processes.now() + drawDuration(MinCut, MaxCut), drawBelow(HoldingCutShare)};
    for (const Endpoint &agent : m_agents) {
        if (drawBelow(share)) {
            addCut(fromEntry ? entry : agent, fromEntry ? agent : entry, bothWays, cut);
        }
    }
}

void CoordinationFaultInjector::silenceEntries()
{
    const Path path = drawEntryPair();
    m_log.write(LogLevel::Info, "FAULT", "silence " + toString(path.first) + " -> " + toString(path.second));
    m_processes.silenceConnection(path.first, path.second);
}

void CoordinationFaultInjector::addCut(const Endpoint &from, const Endpoint &to, bool bothWays, const Cut &cut)
{
    m_log.write(LogLevel::Info, "FAULT",
                "cut " + toString(from) + (bothWays ? " <-> " : " -> ") + toString(to)
                    + " for_ms=" + std::to_string(toMs(cut.until - m_processes.now())) + (cut.holds ? " held" : " lost"));
    extendCut({from, to}, cut);
    if (bothWays) {
        extendCut({to, from}, cut);
    }
}

void CoordinationFaultInjector::extendCut(const Path &path, const Cut &cut)
{
    Cut &state = m_cuts[path];
    const bool overlaps = state.until > m_processes.now();
    state = Cut{std::max(state.until, cut.until), overlaps ? state.holds : cut.holds};
}

CoordinationFaultInjector::Path CoordinationFaultInjector::drawEntryPair()
{
    const std::size_t from = drawIndex(m_entries.size());
    const std::size_t to = (from + 1 + drawIndex(m_entries.size() - 1)) % m_entries.size();
    return {m_entries[from], m_entries[to]};
}

} // namespace cuminscale::dispatch
