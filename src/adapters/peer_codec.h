/// Encodes and decodes the messages between processes as protobuf; proto/peer.proto defines the format.
#pragma once

#include "core/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace cuminscale
{

/// Version of the wire format. Messages of any other version are dropped.
constexpr std::uint32_t WireVersion = 1;

std::string encodeEnvelope(const Envelope &envelope);

/// Returns nullopt if the bytes are malformed, carry another version, or hold a value that no encoder writes, such as a sender
/// without a port, a job without tasks, or a complete job with results missing.
std::optional<Envelope> decodeEnvelope(std::string_view bytes);

} // namespace cuminscale
