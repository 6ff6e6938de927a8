/// The wire form of dispatch messages, in protobuf.
#pragma once

#include "core/dispatch/messages.h"

namespace cuminscale::dispatch
{

std::string encode(const Envelope &envelope);

/// Nothing when the bytes are not a whole, valid message.
std::optional<Envelope> decode(std::string_view bytes);

} // namespace cuminscale::dispatch
