#include "adapters/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace cuminscale
{

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                  reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                  reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (n < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock counts padding characters as decoded bytes.
    const std::size_t padding = std::min<std::size_t>(2, text.size() - std::min(text.size(), text.find_last_not_of('=') + 1));
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

} // namespace cuminscale
