#include "core/dispatch/types.h"

#include <charconv>

namespace cuminscale::dispatch
{

namespace
{

bool isHex(char c) noexcept
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

/// Parses the number before the next dot, or up to the end, and removes it and the dot from the text.
std::optional<std::uint32_t> parseNumberField(std::string_view &text) noexcept
{
    const std::size_t dot = text.find('.');
    const std::string_view digits = text.substr(0, dot);
    std::uint32_t n = 0;
    const std::from_chars_result result = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    if (digits.empty() || result.ec != std::errc() || result.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    text = dot == std::string_view::npos ? std::string_view() : text.substr(dot + 1);
    return n;
}

} // namespace

QueueKey queueKey(std::string_view name) noexcept
{
    std::size_t hash = name.size();
    for (const char c : name) {
        hash = combineHash(hash, static_cast<unsigned char>(c));
    }
    return QueueKey(hash);
}

std::optional<JobId> JobId::parse(std::string_view text) noexcept
{
    if (text.size() != Digits) {
        return std::nullopt;
    }
    JobId id;
    for (std::size_t i = 0; i < Digits; ++i) {
        if (!isHex(text[i])) {
            return std::nullopt;
        }
        id.m_digits[i] = text[i];
    }
    return id;
}

JobKey JobId::key() const noexcept
{
    constexpr int Hexadecimal = 16;
    std::uint64_t number = 0;
    // Fails only for a default-constructed id, whose key is 0.
    static_cast<void>(std::from_chars(m_digits.data(), m_digits.data() + m_digits.size(), number, Hexadecimal));
    return JobKey(number);
}

std::string toString(const TaskRef &task)
{
    std::string text(task.job.text());
    for (const std::uint32_t n : {task.occurrence, task.step, task.index}) {
        text += '.';
        text += std::to_string(n);
    }
    return text;
}

std::optional<TaskRef> parseTaskRef(std::string_view text) noexcept
{
    if (text.size() <= JobId::Digits || text[JobId::Digits] != '.') {
        return std::nullopt;
    }
    const std::optional<JobId> job = JobId::parse(text.substr(0, JobId::Digits));
    std::string_view rest = text.substr(JobId::Digits + 1);
    const std::optional<std::uint32_t> occurrence = parseNumberField(rest);
    const std::optional<std::uint32_t> step = parseNumberField(rest);
    const std::optional<std::uint32_t> index = parseNumberField(rest);
    if (!job || !occurrence || !step || !index || !rest.empty()) {
        return std::nullopt;
    }
    return TaskRef{*job, *occurrence, *step, *index};
}

Resources &Resources::operator+=(const Resources &other) noexcept
{
    cpuMilli += other.cpuMilli;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources &Resources::operator-=(const Resources &other) noexcept
{
    cpuMilli -= other.cpuMilli;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

const char *toString(RunEnd end) noexcept
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Lost:
        return "lost";
    case RunEnd::NeverStarted:
        return "never-started";
    }
    return "unknown";
}

const char *toString(RefusalReason reason) noexcept
{
    constexpr const char *Names[] = {"none",    "no-server", "draining",        "no-room",          "expired",
                                     "too-old", "duplicate", "run-number-used", "server-unhealthy", "unreachable",
                                     "invalid", "cancelled", "wait-expired"};
    return Names[static_cast<std::size_t>(reason)];
}

} // namespace cuminscale::dispatch
