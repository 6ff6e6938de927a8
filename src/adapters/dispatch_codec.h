/// Encodes and decodes the messages between entries and agents as protobuf; proto/dispatch.proto defines the format.
#pragma once

#include "core/dispatch/messages.h"

namespace cuminscale::dispatch
{

std::string encode(const Envelope &envelope);

/// Returns nullopt if the bytes are malformed, carry no message, or hold an invalid port, job id or enum value.
std::optional<Envelope> decode(std::string_view bytes);

} // namespace cuminscale::dispatch
