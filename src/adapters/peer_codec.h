/// The wire form of messages between processes: protobuf, see proto/peer.proto.
#pragma once

#include "core/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace cuminscale
{

/// Version of the wire form; a process drops messages of any other.
constexpr std::uint32_t WireVersion = 1;

/// Encodes an envelope.
std::string encodeEnvelope(const Envelope &envelope);

/// Decodes an envelope; nothing when the bytes are malformed, of another version, or break a bound.
std::optional<Envelope> decodeEnvelope(std::string_view bytes);

} // namespace cuminscale
