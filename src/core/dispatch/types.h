/// Basic value types of job dispatch: ids, resources, job specifications, and the outcomes of runs.
#pragma once

#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminscale::dispatch
{

/// The number that the digits of a job id represent. Ids that differ only in the case of letters share it.
using JobKey = StrongId<struct JobKeyTag, std::uint64_t>;

/// A job id chosen by the client: 16 hexadecimal digits, stored with their original case.
class JobId
{
public:
    static constexpr std::size_t Digits = 16;

    JobId() noexcept = default;

    /// Returns nullopt unless the text consists of exactly 16 hexadecimal digits.
    static std::optional<JobId> parse(std::string_view text) noexcept;

    std::string_view text() const noexcept
    {
        return std::string_view(m_digits.data(), m_digits.size());
    }

    JobKey key() const noexcept;

    auto operator<=>(const JobId &) const noexcept = default;

private:
    std::array<char, Digits> m_digits{};
};

/// Hash of a queue's name, the same in all processes.
using QueueKey = StrongId<struct QueueKeyTag, std::uint64_t>;

QueueKey queueKey(std::string_view name) noexcept;

/// Identifies a task of a job.
struct TaskRef
{
    JobId job;
    std::uint32_t occurrence = 0; ///< Repetition of a job that runs on a schedule; 0 for other jobs.
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef &) const noexcept = default;
};

/// Number of a run among the runs of its task, starting at 1.
using RunNumber = StrongId<struct RunNumberTag, std::uint64_t>;

/// Identifies a run, which is one execution attempt of a task.
struct RunRef
{
    TaskRef task;
    RunNumber run;

    auto operator<=>(const RunRef &) const noexcept = default;
};

struct JobIdHash
{
    std::size_t operator()(const JobId &id) const noexcept
    {
        return std::hash<std::string_view>()(id.text());
    }
};

struct TaskRefHash
{
    std::size_t operator()(const TaskRef &ref) const noexcept
    {
        const std::uint64_t position = (static_cast<std::uint64_t>(ref.step) << 32U) | ref.index;
        return combineHash(JobIdHash()(ref.job), position + ref.occurrence);
    }
};

/// Renders "ID.OCCURRENCE.STEP.INDEX".
std::string toString(const TaskRef &task);
/// Parses the format of toString(TaskRef); nullopt if the text does not match it.
std::optional<TaskRef> parseTaskRef(std::string_view text) noexcept;

/// Resources that a task needs or a backend server has.
struct Resources
{
    std::int64_t cpuMilli = 0; ///< Thousandths of a core.
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    /// Whether no component exceeds that of `available`.
    bool fits(const Resources &available) const noexcept
    {
        return cpuMilli <= available.cpuMilli && memoryMb <= available.memoryMb && accelerators <= available.accelerators;
    }

    Resources &operator+=(const Resources &other) noexcept;
    Resources &operator-=(const Resources &other) noexcept;
    auto operator<=>(const Resources &) const noexcept = default;
};

/// A step of a job: a number of tasks with equal requirements.
struct StepSpec
{
    std::uint32_t count = 0;
    Resources need;
    Duration estimate{0}; ///< Run time of one task as estimated by the client; can be far off.
    std::vector<std::uint32_t> after; ///< Indexes of earlier steps that must finish before this one starts.
    std::string requiredLabel; ///< Label that the backend server must have; empty for no requirement.
    std::string preferredRack; ///< Rack that stores the input data; runs on other racks take longer.
    std::uint32_t maxPerServer = 0; ///< Maximum number of the step's tasks on one backend server; 0 for no limit.
};

/// A submitted job after parsing and checking of limits.
struct JobSpec
{
    std::string payload;
    std::vector<StepSpec> steps;
};

/// Highest priority of a queue. Larger values are less urgent.
constexpr std::uint32_t MostUrgent = 0;

/// CPU demand of queued tasks, as a histogram over their slack: the time left until the latest start that meets the job's
/// objective. An agent starts queued tasks in the order of their latest start, so a task waits only for those with less slack.
class QueuedCpu
{
public:
    /// Upper bounds of all classes except the last one, which is unbounded. The shortest objectives leave about 90 ms of slack,
    /// the longest ones more than 500 ms.
    static constexpr std::array<Duration, 6> Bounds = {milliseconds(25),  milliseconds(50),  milliseconds(100),
                                                       milliseconds(200), milliseconds(400), milliseconds(800)};
    static constexpr std::size_t Classes = Bounds.size() + 1;

    /// Adds a task. A late one (negative slack) counts in the last class, since it starts after all tasks that can be in time.
    void add(Duration slack, std::int64_t cpuMilli) noexcept
    {
        m_cpuMilli[slack < Duration(0) ? Bounds.size() : classOf(slack)] += cpuMilli;
    }

    /// Upper bound of the CPU demand of the tasks that start before one with this slack, in thousandths of a core.
    std::int64_t ahead(Duration slack) const noexcept
    {
        const std::ptrdiff_t classes =
            slack < Duration(0) ? static_cast<std::ptrdiff_t>(Classes) : static_cast<std::ptrdiff_t>(classOf(slack)) + 1;
        return std::accumulate(m_cpuMilli.begin(), m_cpuMilli.begin() + classes, std::int64_t(0));
    }

    std::int64_t total() const noexcept
    {
        return std::accumulate(m_cpuMilli.begin(), m_cpuMilli.end(), std::int64_t(0));
    }

    std::array<std::int64_t, Classes> &byClass() noexcept
    {
        return m_cpuMilli;
    }

    const std::array<std::int64_t, Classes> &byClass() const noexcept
    {
        return m_cpuMilli;
    }

private:
    static std::size_t classOf(Duration slack) noexcept
    {
        return static_cast<std::size_t>(std::upper_bound(Bounds.begin(), Bounds.end(), slack) - Bounds.begin());
    }

    std::array<std::int64_t, Classes> m_cpuMilli{};
};

/// Amount of work: CPU multiplied by time.
using CoreTime = double; // thousandths of a core times microseconds

/// Load of a backend server, as reported by its agent.
struct ServerLoad
{
    /// Whether the agent accepts start orders: the backend server is reachable and not draining, and its inventory is known.
    bool accepting = false;
    bool draining = false;
    bool suspect = false; ///< The backend server stands still or fails what it starts, as seen over the runs of all entries.
    bool onProbation = false; ///< No run has completed there since it was last suspect.
    Resources capacity;
    Resources free;
    QueuedCpu queued; ///< CPU demand of the tasks that are queued at the agent.
    std::int64_t reservedCpuMilli = 0; ///< Part of the free CPU that is reserved for the most urgent tasks.
    CoreTime runningWork = 0; ///< Estimated remaining work of the booked runs.
    /// Geometric mean of run times over the expected ones on a server of ordinary speed, over the runs of all entries.
    double slowness = 1.0;
    double slownessWeight = 0; ///< Number of runs that the mean stands for; 0 if there are none.
    bool evacuated = false; ///< The agent would accept start orders, but the failure domain of the server is evacuated.
    Duration cold{0}; ///< How much longer the server is slow after its start.
    std::vector<std::string> labels;
};

/// How a run ended.
enum class RunEnd : std::uint8_t {
    Done,
    Failed, ///< The run failed, because of the task or of the backend server.
    Stopped, ///< Stopped by order of an entry or agent.
    Lapsed, ///< Ended by the backend server because its lease expired.
    Lost, ///< It can no longer be running, and its outcome is unknown.
    NeverStarted, ///< It has certainly not begun and can no longer begin.
};

/// Why an agent refused to start a run. Used in logs and by the next placement of the task.
enum class RefusalReason : std::uint8_t {
    None,
    NoServer,
    Draining,
    NoRoom,
    Expired, ///< The start deadline passed while the task was queued.
    /// The age of the order is unknown or too high, the start request reached the server too late, or the coordinator timed out.
    TooOld,
    Duplicate, ///< Another run of the task is still queued or active.
    RunNumberUsed, ///< The backend server has already seen this run number or a higher one.
    ServerUnhealthy,
    Unreachable,
    Invalid,
    Cancelled,
    WaitExpired, ///< It waited near its data until StartOrder::waitWithin.
};

const char *toString(RunEnd end) noexcept;
const char *toString(RefusalReason reason) noexcept;

} // namespace cuminscale::dispatch
