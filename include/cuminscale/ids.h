/// Strong types for the identifiers that cross process borders.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cuminscale
{

/// An integer identifier that cannot be mixed up with another kind of identifier.
template <typename Tag, typename Rep>
class StrongId
{
public:
    using ValueType = Rep;

    constexpr StrongId() noexcept = default;
    constexpr explicit StrongId(Rep value) noexcept
        : m_value(value)
    { }

    constexpr Rep value() const noexcept
    {
        return m_value;
    }

    constexpr auto operator<=>(const StrongId &) const noexcept = default;

private:
    Rep m_value = 0;
};

/// One life of a process; a restart draws a new one. Zero stands for "whichever is there".
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Position of a submission among all those that one coordinator has minted.
using Sequence = StrongId<struct SequenceTag, std::uint64_t>;
/// Revision of the operators' configuration; grows by one with every accepted change.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// Names one claim among all those that one agent incarnation has made.
using ClaimId = StrongId<struct ClaimIdTag, std::uint64_t>;
/// Position of a task within its job.
using TaskIndex = StrongId<struct TaskIndexTag, std::uint32_t>;
/// Correlates a caller's HTTP exchange with its reply, within one process.
using CallerTag = StrongId<struct CallerTagTag, std::uint64_t>;
/// Correlates one execution at the backend server with its end, within one process.
using RunId = StrongId<struct RunIdTag, std::uint64_t>;

/// An IPv4 address and port, in host byte order.
struct Endpoint
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    constexpr auto operator<=>(const Endpoint &) const noexcept = default;
};

/// One life of one process, with the address at which it listens for its peers.
struct ProcessId
{
    Endpoint endpoint;
    Incarnation incarnation;

    constexpr auto operator<=>(const ProcessId &) const noexcept = default;
};

/// Names a submission and, with it, the only process that may ever start its tasks.
struct SubmissionId
{
    ProcessId coordinator;
    Sequence sequence;

    constexpr auto operator<=>(const SubmissionId &) const noexcept = default;
};

/// Renders "127.0.0.1:8080".
std::string toString(const Endpoint &endpoint);
/// Parses "127.0.0.1:8080"; nothing on malformed text.
std::optional<Endpoint> parseEndpoint(std::string_view text) noexcept;
/// Renders the address and the incarnation in hexadecimal, joined by '@'.
std::string toString(const ProcessId &process);
/// Renders the id that callers see: address, port, incarnation and sequence in hexadecimal, joined by '-'.
std::string toString(const SubmissionId &id);
/// Parses what toString(SubmissionId) renders; nothing on malformed text.
std::optional<SubmissionId> parseSubmissionId(std::string_view text) noexcept;

/// Mixes a value into a running hash.
constexpr std::size_t combineHash(std::size_t seed, std::uint64_t value) noexcept
{
    constexpr std::uint64_t GoldenRatio = 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = (seed ^ value) * GoldenRatio;
    mixed ^= mixed >> 32U;
    return static_cast<std::size_t>(mixed * GoldenRatio);
}

/// Hash for every identifier type of this header.
struct IdHash
{
    template <typename Tag, typename Rep>
    std::size_t operator()(const StrongId<Tag, Rep> &id) const noexcept
    {
        return combineHash(0, id.value());
    }

    std::size_t operator()(const Endpoint &endpoint) const noexcept
    {
        return combineHash(endpoint.port, endpoint.ip);
    }

    std::size_t operator()(const ProcessId &process) const noexcept
    {
        return combineHash((*this)(process.endpoint), process.incarnation.value());
    }

    std::size_t operator()(const SubmissionId &id) const noexcept
    {
        return combineHash((*this)(id.coordinator), id.sequence.value());
    }
};

} // namespace cuminscale
