/// Strong types for identifiers.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cuminscale
{

/// An integer identifier of its own type, so that the compiler rejects mixing different kinds of identifiers.
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

/// Identifies one incarnation of a process; each restart picks a larger value. Zero means "any incarnation".
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Sequence number of a submission id among all that one coordinator has issued.
using Sequence = StrongId<struct SequenceTag, std::uint64_t>;
/// Revision of the operators' configuration; incremented with every accepted change.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// Identifies a claim among those of one agent incarnation.
using ClaimId = StrongId<struct ClaimIdTag, std::uint64_t>;
/// Index of a task within its job.
using TaskIndex = StrongId<struct TaskIndexTag, std::uint32_t>;
/// Correlates a pending HTTP request of a caller with its reply, within one process.
using CallerTag = StrongId<struct CallerTagTag, std::uint64_t>;
/// Correlates an execution at the backend server with its result, within one process.
using RunId = StrongId<struct RunIdTag, std::uint64_t>;

/// An IPv4 address and port, in host byte order.
struct Endpoint
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    constexpr auto operator<=>(const Endpoint &) const noexcept = default;
};

/// An incarnation of a process, and the address at which it listens for peers.
struct ProcessId
{
    Endpoint endpoint;
    Incarnation incarnation;

    constexpr auto operator<=>(const ProcessId &) const noexcept = default;
};

/// Identifies a submission. `coordinator` is the only process incarnation that may start its tasks.
struct SubmissionId
{
    ProcessId coordinator;
    Sequence sequence;

    constexpr auto operator<=>(const SubmissionId &) const noexcept = default;
};

/// Renders "127.0.0.1:8080".
std::string toString(const Endpoint &endpoint);
/// Parses the form "127.0.0.1:8080"; returns nullopt on malformed text.
std::optional<Endpoint> parseEndpoint(std::string_view text) noexcept;
/// Renders the address, '@', and the incarnation in hexadecimal.
std::string toString(const ProcessId &process);
/// Renders the id as callers see it: address, port, incarnation and sequence in hexadecimal, joined by '-'.
std::string toString(const SubmissionId &id);
/// Parses the output of toString(SubmissionId); returns nullopt on malformed text.
std::optional<SubmissionId> parseSubmissionId(std::string_view text) noexcept;

/// Mixes `value` into the hash `seed`.
constexpr std::size_t combineHash(std::size_t seed, std::uint64_t value) noexcept
{
    constexpr std::uint64_t GoldenRatio = 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = (seed ^ value) * GoldenRatio;
    mixed ^= mixed >> 32U;
    return static_cast<std::size_t>(mixed * GoldenRatio);
}

/// Hash function for all identifier types of this header.
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
