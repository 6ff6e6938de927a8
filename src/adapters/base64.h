/// Base64 with padding, based on OpenSSL. The etcd JSON API encodes keys and values this way.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cuminscale
{

std::string encodeBase64(std::string_view bytes);

/// Decodes padded base64. Returns nullopt if the text is malformed.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace cuminscale
