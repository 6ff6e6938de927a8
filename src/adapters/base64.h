/// Base64 as the store's JSON form needs it, by OpenSSL.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cuminscale
{

/// Encodes bytes.
std::string encodeBase64(std::string_view bytes);

/// Decodes a text with padding; nothing when it is malformed.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace cuminscale
