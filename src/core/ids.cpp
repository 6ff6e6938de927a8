#include "cuminscale/ids.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace cuminscale
{

namespace
{

/// Parses an unsigned integer at the front of the text, up to the delimiter or the end, and removes both from the text.
template <typename T>
std::optional<T> parseNumber(std::string_view &text, char delimiter, int base) noexcept
{
    const std::size_t end = std::min(text.find(delimiter), text.size());
    T value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + end, value, base);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + end || end == 0) {
        return std::nullopt;
    }
    text.remove_prefix(std::min(end + 1, text.size()));
    return value;
}

} // namespace

std::string toString(const Endpoint &endpoint)
{
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%u.%u.%u.%u:%u", endpoint.ip >> 24U, (endpoint.ip >> 16U) & 255U,
                                (endpoint.ip >> 8U) & 255U, endpoint.ip & 255U, endpoint.port);
    return std::string(buf.data(), static_cast<std::size_t>(n));
}

std::optional<Endpoint> parseEndpoint(std::string_view text) noexcept
{
    std::uint32_t ip = 0;
    for (int part = 0; part < 4; ++part) {
        const std::optional<std::uint8_t> octet = parseNumber<std::uint8_t>(text, part < 3 ? '.' : ':', 10);
        if (!octet) {
            return std::nullopt;
        }
        ip = (ip << 8U) | *octet;
    }
    const std::optional<std::uint16_t> port = parseNumber<std::uint16_t>(text, '\0', 10);
    if (!port) {
        return std::nullopt;
    }
    return Endpoint{ip, *port};
}

std::string toString(const ProcessId &process)
{
    std::array<char, 20> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "@%016llx", static_cast<unsigned long long>(process.incarnation.value()));
    return toString(process.endpoint) + std::string(buf.data(), static_cast<std::size_t>(n));
}

std::string toString(const SubmissionId &id)
{
    std::array<char, 64> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%08x-%04x-%016llx-%llx", id.coordinator.endpoint.ip,
                                id.coordinator.endpoint.port, static_cast<unsigned long long>(id.coordinator.incarnation.value()),
                                static_cast<unsigned long long>(id.sequence.value()));
    return std::string(buf.data(), static_cast<std::size_t>(n));
}

std::optional<SubmissionId> parseSubmissionId(std::string_view text) noexcept
{
    const std::optional<std::uint32_t> ip = parseNumber<std::uint32_t>(text, '-', 16);
    const std::optional<std::uint16_t> port = ip ? parseNumber<std::uint16_t>(text, '-', 16) : std::nullopt;
    const std::optional<std::uint64_t> incarnation = port ? parseNumber<std::uint64_t>(text, '-', 16) : std::nullopt;
    const std::optional<std::uint64_t> sequence = incarnation ? parseNumber<std::uint64_t>(text, '\0', 16) : std::nullopt;
    if (!sequence || *sequence == 0 || *incarnation == 0) {
        return std::nullopt;
    }
    return SubmissionId{ProcessId{Endpoint{*ip, *port}, Incarnation(*incarnation)}, Sequence(*sequence)};
}

} // namespace cuminscale
