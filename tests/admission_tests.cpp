/// Replays the load of deployments with three queues against the admission policies. The fleet is a number of cores that the
/// tasks of admitted jobs occupy for their run time, in the order of their latest start.
#include "core/dispatch/usual_share_admission.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>
#include <limits>
#include <memory>
#include <queue>
#include <random>
#include <set>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

const TimePoint Start(seconds(50));

struct Kind
{
    const char *queue;
    std::uint32_t urgency;
    int tasks;
    double runSeconds;
    double coresPerTask;
    double jobsPerSecond;
};

/// The queues of `tussock-results-grown` and `inzira-tips-grown` in docs/HARD-LOAD.md. At smaller rates the backlog varies
/// more, as a job is a larger part of the capacity.
const std::vector<Kind> Tussock = {
    {"chip-read", 0, 8, 0.060, 5.8, 206.0},
    {"age-grade", 1, 2, 0.200, 5.8, 600.0},
    {"standings-recompute", 2, 4, 0.900, 5.8, 37.5},
};
const std::vector<Kind> Inzira = {
    {"balance-peek", 0, 8, 0.051, 6.2, 181.0},
    {"shift-close", 1, 2, 0.170, 6.2, 528.0},
    {"payout-push", 2, 4, 0.760, 6.2, 33.0},
};

/// Standard deviation of the logarithm of a job's run time.
constexpr double RunTimeSigma = 0.4;

/// Mean demand at the usual rates, in cores.
double usualCores(const std::vector<Kind> &kinds)
{
    double cores = 0;
    for (const Kind &kind : kinds) {
        cores += kind.tasks * kind.runSeconds * kind.coresPerTask * kind.jobsPerSecond;
    }
    return cores * std::exp(RunTimeSigma * RunTimeSigma / 2.0);
}

struct Replay
{
    std::vector<Kind> kinds = Tussock;
    double capacity = 1.15; ///< As a multiple of the usual demand.
    std::size_t entries = 4;
    double length = 20; ///< Seconds.
    double countFrom = 0; ///< Jobs that are submitted before this second don't count.
    bool evenlySpaced = false; ///< Jobs arrive at equal intervals with equal run times, instead of at random.
    std::function<double(const std::string &queue, double second)> rateFactor = [](const std::string &, double) {
        return 1.0;
    };
    std::optional<double> firstEntryRestartsAt; ///< Second at which the first entry loses its state.
    bool exchangesDigests = true;
    bool sendsMalformedDigests = false; ///< Each digest contains figures that can't be right.
    std::map<std::string, double> weights;
    std::uint64_t seed = 1;
};

/// Work of a queue in core-seconds.
struct Outcome
{
    double submitted = 0;
    double refused = 0;
    double late = 0; ///< Admitted, but started too late to be in time.
    double lost() const
    {
        return refused + late;
    }
    double served() const
    {
        return submitted - lost();
    }
};

struct Result
{

    std::map<std::string, Outcome> queues;
    std::uint64_t surgeRefusals = 0;
};

class ReplayFleet
{
public:
    ReplayFleet(const Replay &replay, bool usualShare)
        : m_replay(replay)
        , m_usualShare(usualShare)
        , m_random(replay.seed)
        , m_capacity(replay.capacity * usualCores(replay.kinds))
    {
        for (const Kind &kind : replay.kinds) {
            std::shared_ptr<QueueRule> rule = std::make_shared<QueueRule>();
            rule->name = kind.queue;
            rule->service = "svc";
            rule->urgency = kind.urgency;
            m_config.queues.push_back(std::move(rule));
        }
        for (std::size_t i = 0; i < replay.entries; ++i) {
            m_entries.push_back(makeEntry());
        }
        m_digestSentAt.resize(replay.entries);
    }

    Result run()
    {
        const double step = 0.002;
        std::vector<double> due(m_replay.kinds.size(), 0.0); // Expected arrivals that have not taken place yet.
        double nextHeartbeat = 0.5;
        double nextReport = 0;
        double backlog = 0;
        bool restarted = false;
        for (double second = 0; second < m_replay.length; second += step) {
            if (m_replay.firstEntryRestartsAt && second >= *m_replay.firstEntryRestartsAt && !restarted) {
                m_entries[0] = makeEntry();
                restarted = true;
                m_digestSentAt.assign(m_entries.size(), TimePoint()); // The others send it a digest at once.
            }
            if (second >= nextHeartbeat && m_replay.exchangesDigests) {
                nextHeartbeat = second + 0.2;
                exchangeDigests(second);
            }
            startTasks(second);
            if (second >= nextReport) {
                // Agents report every 0.1 s.
                nextReport = second + 0.1;
                backlog = std::max(m_waitingCores - (m_capacity - m_busyCores), 0.0) / m_capacity;
            }
            for (std::size_t i = 0; i < m_replay.kinds.size(); ++i) {
                const Kind &kind = m_replay.kinds[i];
                const double expected = kind.jobsPerSecond * m_replay.rateFactor(kind.queue, second) * step;
                due[i] += m_replay.evenlySpaced ? expected : std::poisson_distribution<int>(expected)(m_random);
                for (; due[i] >= 1.0; due[i] -= 1.0) {
                    submit(m_config.queues[i], kind, second, backlog);
                }
            }
        }
        return m_result;
    }

private:
    struct Task
    {
        double latestStart;
        double runSeconds;
        const Kind *kind;
        bool counts;

        bool operator<(const Task &other) const
        {
            return latestStart > other.latestStart;
        }
    };

    struct Run
    {
        double end;
        double cores;

        bool operator<(const Run &other) const
        {
            return end > other.end;
        }
    };

    static TimePoint timeOf(double second)
    {
        return Start + Duration(static_cast<std::int64_t>(second * 1e6));
    }

    std::unique_ptr<AdmissionControl> makeEntry() const
    {
        std::unique_ptr<AdmissionControl> entry;
        if (m_usualShare) {
            entry = std::make_unique<UsualShareAdmission>(m_replay.weights);
        } else {
            entry = std::make_unique<LargestFirstAdmission>();
        }
        entry->setQueues(m_config);
        return entry;
    }

    void exchangeDigests(double second)
    {
        for (std::size_t from = 0; from < m_entries.size(); ++from) {
            const DemandLedger::Digest current = m_entries[from]->demandDigest(timeOf(second));
            if (current.changedAt <= m_digestSentAt[from] && timeOf(second) - m_digestSentAt[from] < seconds(1)) {
                continue;
            }
            m_digestSentAt[from] = timeOf(second);
            std::vector<QueueDemand> digest = current.demands;
            if (m_replay.sendsMalformedDigests) {
                digest.insert(digest.begin(), QueueDemand{queueKey("age-grade"), -1e9, 1e9});
                digest.insert(digest.begin(), QueueDemand{queueKey("chip-read"), std::numeric_limits<double>::quiet_NaN(), 0});
            }
            for (std::size_t to = 0; to < m_entries.size(); ++to) {
                if (from != to && !digest.empty()) {
                    m_entries[to]->receiveDigest(timeOf(second), Endpoint{static_cast<std::uint32_t>(from + 1), 7000}, digest);
                }
            }
        }
    }

    void submit(const std::shared_ptr<const QueueRule> &queue, const Kind &kind, double second, double backlog)
    {
        const double spread = m_replay.evenlySpaced ? 0.0 : RunTimeSigma;
        const double factor = std::exp(spread * std::normal_distribution<double>(0, 1)(m_random));
        const double runSeconds = kind.runSeconds * factor;
        const double work = kind.tasks * kind.coresPerTask * runSeconds;
        Outcome uncounted;
        const bool counts = second >= m_replay.countFrom;
        Outcome &outcome = counts ? m_result.queues[kind.queue] : uncounted;
        outcome.submitted += work;
        AdmissionControl &entry = *m_entries[m_submitted++ % m_entries.size()];
        // The entry's estimate is the median of the run times.
        const double expected = kind.tasks * kind.coresPerTask * kind.runSeconds;
        const AdmissionDecision decision = entry.decide(timeOf(second), *queue, expected, backlog);
        if (decision != AdmissionDecision::Admit) {
            outcome.refused += work;
            m_result.surgeRefusals += counts && decision == AdmissionDecision::RefuseSurge ? 1 : 0;
            return;
        }
        for (int i = 0; i < kind.tasks; ++i) {
            m_waiting.push(Task{second + 0.6 * runSeconds + 0.06, runSeconds, &kind, counts});
            m_waitingCores += kind.coresPerTask;
        }
    }

    void startTasks(double second)
    {
        while (!m_running.empty() && m_running.top().end <= second) {
            m_busyCores -= m_running.top().cores;
            m_running.pop();
        }
        while (!m_waiting.empty() && m_busyCores + m_waiting.top().kind->coresPerTask <= m_capacity) {
            const Task task = m_waiting.top();
            m_waiting.pop();
            m_waitingCores -= task.kind->coresPerTask;
            if (second > task.latestStart) {
                // The agent refuses tasks whose latest start has passed.
                m_result.queues[task.kind->queue].late += task.counts ? task.kind->coresPerTask * task.runSeconds : 0.0;
                continue;
            }
            m_busyCores += task.kind->coresPerTask;
            m_running.push(Run{second + task.runSeconds, task.kind->coresPerTask});
        }
    }

    Replay m_replay;
    bool m_usualShare;
    std::mt19937_64 m_random;
    double m_capacity;
    QueueConfig m_config;
    std::vector<std::unique_ptr<AdmissionControl>> m_entries;
    std::vector<TimePoint> m_digestSentAt; ///< By entry.
    std::priority_queue<Task> m_waiting;
    std::priority_queue<Run> m_running;
    double m_waitingCores = 0;
    double m_busyCores = 0;
    std::size_t m_submitted = 0;
    Result m_result;
};

/// Sums over several seeds, as the loss in a single flood varies.
Result replay(Replay replay, bool usualShare)
{
    Result sum;
    for (replay.seed = 1; replay.seed <= 5; ++replay.seed) {
        const Result result = ReplayFleet(replay, usualShare).run();
        for (const std::pair<const std::string, Outcome> &queue : result.queues) {
            sum.queues[queue.first].submitted += queue.second.submitted;
            sum.queues[queue.first].refused += queue.second.refused;
            sum.queues[queue.first].late += queue.second.late;
        }
        sum.surgeRefusals += result.surgeRefusals;
    }
    return sum;
}

/// A flood of some queues from a second on.
std::function<double(const std::string &, double)> flood(std::set<std::string> queues, double factor, double from, double length)
{
    return [queues = std::move(queues), factor, from, length](const std::string &queue, double second) {
        return queues.count(queue) > 0 && second >= from && second < from + length ? factor : 1.0;
    };
}

std::string describe(const Result &former, const Result &usual)
{
    std::string text;
    for (const std::pair<const std::string, Outcome> &queue : usual.queues) {
        text += queue.first + ": submitted " + std::to_string(queue.second.submitted) + " core-seconds, lost "
            + std::to_string(former.queues.at(queue.first).lost()) + " before, " + std::to_string(queue.second.lost())
            + " now (late " + std::to_string(queue.second.late) + ")\n";
    }
    return text;
}

constexpr double FloodStart = 10.0;

/// Plays a flood under both policies. The queues outside the flood may lose a tenth of what they lose under the former policy,
/// and a thousandth of their work, as the first half second of a flood looks like variation. The flooding queues may lose what
/// the others gain, and a fiftieth of their work: some capacity stays unused as the backlog varies more if fewer queues are cut.
void requireFloodersPay(
    const std::vector<Kind> &kinds, const std::set<std::string> &flooding, double factor, double length,
    const std::function<void(Replay &)> &change = [](Replay &) {})
{
    for (const double capacity : {1.15, 1.3}) {
        Replay flooded;
        flooded.kinds = kinds;
        flooded.capacity = capacity;
        flooded.countFrom = FloodStart;
        flooded.rateFactor = flood(flooding, factor, FloodStart, length);
        change(flooded);
        const Result former = replay(flooded, false);
        const Result usual = replay(flooded, true);
        INFO("capacity " << capacity << "\n" << describe(former, usual));
        double gained = 0;
        double floodersLostBefore = 0;
        double floodersLost = 0;
        double floodersSubmitted = 0;
        for (const std::pair<const std::string, Outcome> &queue : usual.queues) {
            const Outcome &before = former.queues.at(queue.first);
            const Outcome &now = queue.second;
            if (flooding.count(queue.first) > 0) {
                floodersLostBefore += before.lost();
                floodersLost += now.lost();
                floodersSubmitted += now.submitted;
            } else {
                CHECK(now.lost() <= 0.1 * before.lost() + 0.001 * now.submitted);
                gained += before.lost() - now.lost();
            }
        }
        CHECK(floodersLost <= floodersLostBefore + gained + 0.02 * floodersSubmitted);
    }
}

} // namespace

TEST_CASE("A flood of a queue with a smaller demand than another one costs the flooding queue alone")
{
    requireFloodersPay(Tussock, {"standings-recompute"}, 2.6, 6);
    requireFloodersPay(Tussock, {"standings-recompute"}, 2.1, 4);
    requireFloodersPay(Inzira, {"payout-push"}, 1.8, 6);
}

TEST_CASE("A flood of the queue with the largest demand costs that queue alone")
{
    requireFloodersPay(Tussock, {"age-grade"}, 2.3, 5);
    requireFloodersPay(Inzira, {"shift-close"}, 1.7, 5);
}

TEST_CASE("A flood of both less urgent queues leaves the urgent one its service")
{
    requireFloodersPay(Tussock, {"age-grade", "standings-recompute"}, 2.3, 5);
}

TEST_CASE("A flood of the urgent queue costs the other queues no more than under the former policy")
{
    // Its jobs are refused by neither policy, so the room that it takes must come from the others.
    for (const std::set<std::string> &flooding :
         std::vector<std::set<std::string>>{{"chip-read"}, {"chip-read", "standings-recompute"}}) {
        Replay flooded;
        flooded.capacity = 1.15;
        flooded.countFrom = FloodStart;
        flooded.rateFactor = flood(flooding, 2.3, FloodStart, 5);
        const Result former = replay(flooded, false);
        const Result usual = replay(flooded, true);
        INFO(describe(former, usual));
        for (const std::pair<const std::string, Outcome> &queue : usual.queues) {
            if (flooding.count(queue.first) == 0) {
                CHECK(queue.second.lost() <= 1.02 * former.queues.at(queue.first).lost() + 0.005 * queue.second.submitted);
            }
        }
        CHECK(usual.queues.at("chip-read").refused == 0.0);
        CHECK(usual.queues.at("chip-read").late <= 0.001 * usual.queues.at("chip-read").submitted);
    }
}

TEST_CASE("A daily swing of all queues is shed as under the former policy")
{
    // Guards against a policy that takes the growth of all queues for a surge of some.
    Replay swing;
    swing.capacity = 1.15;
    swing.length = 26;
    swing.evenlySpaced = true;
    swing.rateFactor = [](const std::string &, double second) {
        return 1.0 - 0.55 * std::cos(second / 13.0 * 2.0 * 3.14159265358979);
    };
    const Result former = replay(swing, false);
    const Result usual = replay(swing, true);
    INFO(describe(former, usual));
    REQUIRE(former.queues.at("age-grade").refused > 0.0);
    for (const std::pair<const std::string, Outcome> &queue : usual.queues) {
        CHECK(queue.second.refused == former.queues.at(queue.first).refused);
        CHECK(queue.second.late == former.queues.at(queue.first).late);
    }
    REQUIRE(usual.surgeRefusals == 0);
    // With random arrivals, a queue may seem to surge for a moment.
    swing.evenlySpaced = false;
    const Result formerRandom = replay(swing, false);
    const Result usualRandom = replay(swing, true);
    INFO("random arrivals\n" << describe(formerRandom, usualRandom));
    for (const std::pair<const std::string, Outcome> &queue : usualRandom.queues) {
        CHECK(std::abs(queue.second.lost() - formerRandom.queues.at(queue.first).lost()) <= 0.01 * queue.second.submitted);
    }
}

TEST_CASE("A flood that begins 3.5 s after the first request is recognised")
{
    // Guards against a usual demand that is unknown after so short a time, or that the burst itself dominates.
    requireFloodersPay(Tussock, {"standings-recompute"}, 2.6, 6, [](Replay &replay) {
        replay.countFrom = 3.5;
        replay.rateFactor = flood({"standings-recompute"}, 2.6, 3.5, 6);
    });
    requireFloodersPay(Inzira, {"payout-push"}, 1.8, 6, [](Replay &replay) {
        replay.countFrom = 3.5;
        replay.rateFactor = flood({"payout-push"}, 1.8, 3.5, 6);
    });
}

TEST_CASE("An entry that restarts during a flood uses the digests of the others")
{
    requireFloodersPay(Tussock, {"standings-recompute"}, 2.6, 6,
                       [](Replay &replay) { replay.firstEntryRestartsAt = FloodStart + 1.0; });
}

TEST_CASE("Without digests, entries decide by their own demand")
{
    requireFloodersPay(Tussock, {"standings-recompute"}, 2.6, 6, [](Replay &replay) { replay.exchangesDigests = false; });
}

TEST_CASE("Malformed figures in digests change nothing")
{
    Replay flooded;
    flooded.capacity = 1.15;
    flooded.rateFactor = flood({"standings-recompute"}, 2.6, FloodStart, 6);
    const Result clean = replay(flooded, true);
    flooded.sendsMalformedDigests = true;
    const Result malformed = replay(flooded, true);
    REQUIRE(clean.surgeRefusals > 0);
    REQUIRE(malformed.surgeRefusals == clean.surgeRefusals);
    for (const std::pair<const std::string, Outcome> &queue : clean.queues) {
        REQUIRE(malformed.queues.at(queue.first).refused == queue.second.refused);
    }
}

TEST_CASE("A queue with a larger weight keeps more of its surge")
{
    Replay flooded;
    flooded.capacity = 1.15;
    flooded.countFrom = FloodStart;
    flooded.rateFactor = flood({"age-grade", "standings-recompute"}, 2.3, FloodStart, 5);
    const Result equal = replay(flooded, true);
    flooded.weights["standings-recompute"] = 2.0;
    const Result weighted = replay(flooded, true);
    INFO(describe(equal, weighted));
    REQUIRE(weighted.queues.at("standings-recompute").lost() < 0.8 * equal.queues.at("standings-recompute").lost());
    REQUIRE(weighted.queues.at("age-grade").lost() > equal.queues.at("age-grade").lost());
    REQUIRE(weighted.queues.at("chip-read").refused == 0.0);
}

namespace
{

/// Feeds a policy with the demand of the fleet by a digest, and measures which fraction of a queue's jobs it refuses. The jobs'
/// own work is negligible.
class RefusalProbe
{
public:
    void addQueue(const std::string &name, std::uint32_t urgency, double usualCores, double presentCores,
                  const std::string &service = "svc")
    {
        std::shared_ptr<QueueRule> rule = std::make_shared<QueueRule>();
        rule->name = name;
        rule->service = service;
        rule->urgency = urgency;
        m_config.queues.push_back(std::move(rule));
        m_digest.push_back(QueueDemand{queueKey(name), usualCores * 1e3, presentCores * 1e3});
    }

    /// Makes a further entry report this demand.
    void addWrongDigest(const std::string &name, double usualCores, double presentCores)
    {
        m_wrongDigest.push_back(QueueDemand{queueKey(name), usualCores * 1e3, presentCores * 1e3});
    }

    /// Fraction that is refused of each queue's jobs if this fraction of the less urgent work has to be refused.
    std::map<std::string, double> refused(double fraction, std::map<std::string, double> weights = {}) const
    {
        double backlog = 0;
        while (LoadShedding::shedFraction(backlog) < fraction) {
            backlog += 0.0001;
        }
        UsualShareAdmission policy(std::move(weights));
        policy.setQueues(m_config);
        std::map<std::string, double> result;
        const int rounds = 1000;
        const double ownWork = 2e-3; // LoadShedding forgets queues with less.
        TimePoint now = Start;
        // The entry measures its own demand first, and the mean shed fraction settles before the decisions are counted.
        for (int i = -2 * rounds; i < rounds; ++i, now += milliseconds(5)) {
            if (i >= -rounds && i % 100 == 0) {
                REQUIRE(policy.receiveDigest(now, Endpoint{2, 7000}, m_digest));
                CHECK(policy.receiveDigest(now, Endpoint{3, 7000}, m_wrongDigest) == m_wrongDigest.empty());
            }
            for (const std::shared_ptr<const QueueRule> &queue : m_config.queues) {
                const bool refused = policy.decide(now, *queue, ownWork, backlog) != AdmissionDecision::Admit;
                result[queue->name] += i >= 0 && refused ? 1.0 / rounds : 0.0;
            }
        }
        return result;
    }

private:
    QueueConfig m_config;
    std::vector<QueueDemand> m_digest;
    std::vector<QueueDemand> m_wrongDigest;
};

} // namespace

TEST_CASE("Surges are cut in proportion, and other queues lose nothing while the surges suffice")
{
    RefusalProbe probe;
    probe.addQueue("urgent", 0, 20, 20);
    probe.addQueue("large", 1, 50, 50);
    probe.addQueue("a", 1, 10, 30);
    probe.addQueue("b", 2, 10, 20);
    // 20 of 100 cores of less urgent demand are refused; the surges are 20 and 10 cores beyond the usual demand.
    const std::map<std::string, double> refused = probe.refused(0.2);
    CHECK(refused.at("urgent") == 0.0);
    CHECK(refused.at("large") == 0.0);
    CHECK(refused.at("a") * 30 + refused.at("b") * 20 == Approx(20).epsilon(0.05));
    CHECK(refused.at("a") * 30 == Approx(2 * refused.at("b") * 20).epsilon(0.1));
}

TEST_CASE("If the surges do not suffice, the queues with the highest remaining demand are cut")
{
    RefusalProbe probe;
    probe.addQueue("large", 1, 70, 70);
    probe.addQueue("small", 1, 10, 10);
    probe.addQueue("surging", 1, 10, 20);
    const std::map<std::string, double> refused = probe.refused(0.4);
    CHECK(refused.at("surging") * 20 == Approx(10).epsilon(0.1));
    CHECK(refused.at("large") * 70 == Approx(30).epsilon(0.05));
    CHECK(refused.at("small") == 0.0);
}

TEST_CASE("Usual demand that a queue does not use is lent to those that surge")
{
    // Guards against a queue that is cut although another one has left it the room.
    RefusalProbe probe;
    probe.addQueue("idle", 1, 10, 0);
    probe.addQueue("large", 1, 60, 60);
    probe.addQueue("grown", 2, 20, 40);
    // 20 cores are refused. Half of the surge of 20 cores uses what `idle` leaves.
    const std::map<std::string, double> refused = probe.refused(0.2);
    CHECK(refused.at("grown") * 40 == Approx(10).epsilon(0.05));
    CHECK(refused.at("large") * 60 == Approx(10).epsilon(0.05));
}

TEST_CASE("Queues of other services neither lend nor take demand")
{
    RefusalProbe probe;
    probe.addQueue("elsewhere", 1, 100, 0, "other");
    probe.addQueue("steady", 1, 50, 50);
    probe.addQueue("surging", 1, 20, 50);
    const std::map<std::string, double> refused = probe.refused(0.2);
    CHECK(refused.at("steady") == 0.0);
    CHECK(refused.at("surging") * 50 == Approx(20).epsilon(0.05));
}

TEST_CASE("A surge of an urgent queue is not refused, and the others make room for it")
{
    RefusalProbe probe;
    probe.addQueue("urgent", 0, 20, 60);
    probe.addQueue("large", 1, 50, 50);
    probe.addQueue("surging", 1, 10, 25);
    const std::map<std::string, double> refused = probe.refused(0.2);
    CHECK(refused.at("urgent") == 0.0);
    CHECK(refused.at("large") * 50 + refused.at("surging") * 25 == Approx(15).epsilon(0.05));
    CHECK(refused.at("surging") * 25 > 6);
}

TEST_CASE("If all less urgent work has to be refused, all of it is")
{
    RefusalProbe probe;
    probe.addQueue("steady", 1, 50, 50);
    probe.addQueue("surging", 1, 20, 50);
    const std::map<std::string, double> refused = probe.refused(1.0);
    CHECK(refused.at("steady") == Approx(1.0).margin(0.01));
    CHECK(refused.at("surging") == Approx(1.0).margin(0.01));
}

TEST_CASE("With more queues than the ledger keeps, the former policy decides")
{
    // Guards against queues that are refused as a surge because the ledger has evicted their usual demand.
    constexpr int Queues = 120;
    QueueConfig config;
    for (int i = 0; i < Queues; ++i) {
        std::shared_ptr<QueueRule> rule = std::make_shared<QueueRule>();
        rule->name = "queue-" + std::to_string(i);
        rule->service = "svc";
        rule->urgency = 1;
        config.queues.push_back(std::move(rule));
    }
    UsualShareAdmission usualShare({});
    usualShare.setQueues(config);
    LargestFirstAdmission largestFirst;
    std::map<AdmissionDecision, int> decisions;
    std::map<AdmissionDecision, int> formerDecisions;
    int different = 0;
    // Each queue submits ten jobs a second, and the last one forty from the tenth second on.
    for (int step = 0; step < 160; ++step) {
        const TimePoint now = Start + step * milliseconds(100);
        const bool burst = step >= 100;
        for (int i = 0; i < Queues; ++i) {
            for (int job = 0; job < (burst && i == Queues - 1 ? 4 : 1); ++job) {
                const QueueRule &queue = *config.queues[static_cast<std::size_t>(i)];
                const AdmissionDecision decision = usualShare.decide(now, queue, 1.0, burst ? 0.45 : 0.0);
                const AdmissionDecision former = largestFirst.decide(now, queue, 1.0, burst ? 0.45 : 0.0);
                ++decisions[decision];
                ++formerDecisions[former];
                different += decision != former ? 1 : 0;
            }
        }
    }
    INFO(decisions[AdmissionDecision::Shed] << " shed and " << decisions[AdmissionDecision::RefuseSurge]
                                            << " refused as a surge; former policy: " << formerDecisions[AdmissionDecision::Shed]
                                            << " shed");
    CHECK(formerDecisions[AdmissionDecision::Shed] > 0);
    CHECK(different == 0);
}

TEST_CASE("A wrong figure of one entry does not hide a surge")
{
    // Guards against a share that seems unused and is lent to all surges.
    RefusalProbe probe;
    probe.addQueue("steady", 1, 50, 50);
    probe.addQueue("surging", 1, 20, 50);
    const std::map<std::string, double> expected = probe.refused(0.2);
    probe.addWrongDigest("steady", 1e6, 0);
    const std::map<std::string, double> refused = probe.refused(0.2);
    CHECK(refused == expected);
    CHECK(refused.at("steady") == 0.0);
    CHECK(refused.at("surging") * 50 == Approx(20).epsilon(0.05));
}

TEST_CASE("A change of the configuration does not turn a peak of the backlog into cuts of the largest queue")
{
    // Guards against a mean shed fraction that is lost with a new configuration and then starts at the peak.
    QueueConfig config;
    for (const char *name : {"large", "surging"}) {
        std::shared_ptr<QueueRule> rule = std::make_shared<QueueRule>();
        rule->name = name;
        rule->service = "svc";
        rule->urgency = 1;
        config.queues.push_back(std::move(rule));
    }
    const std::vector<QueueDemand> digest{QueueDemand{queueKey("large"), 50e3, 50e3},
                                          QueueDemand{queueKey("surging"), 10e3, 30e3}};
    const double quietBacklog = 0.18; // A shed fraction of 0.05.
    const double peakBacklog = 0.36; // A shed fraction of 0.35: more than the surge, less than the demand of its queue.
    std::map<std::string, int> refused;
    for (const bool reconfigures : {false, true}) {
        UsualShareAdmission policy({});
        policy.setQueues(config);
        refused.clear();
        for (int i = 0; i < 2050; ++i) {
            const TimePoint now = Start + i * milliseconds(5);
            const bool peak = i >= 2000;
            // The entry measures its own demand first.
            if (i >= 1000 && i % 100 == 0) {
                REQUIRE(policy.receiveDigest(now, Endpoint{2, 7000}, digest));
            }
            if (i == 2000 && reconfigures) {
                std::shared_ptr<QueueRule> added = std::make_shared<QueueRule>();
                added->name = "added";
                added->service = "other";
                QueueConfig changed = config;
                changed.queues.push_back(std::move(added));
                policy.setQueues(changed);
            }
            for (const std::shared_ptr<const QueueRule> &queue : config.queues) {
                const bool admitted =
                    policy.decide(now, *queue, 2e-3, peak ? peakBacklog : quietBacklog) == AdmissionDecision::Admit;
                refused[queue->name] += peak && !admitted ? 1 : 0;
            }
        }
        INFO((reconfigures ? "with" : "without")
             << " a change: " << refused["large"] << " and " << refused["surging"] << " of 50");
        CHECK(refused["large"] == 0);
        CHECK(refused["surging"] >= 42);
    }
}
