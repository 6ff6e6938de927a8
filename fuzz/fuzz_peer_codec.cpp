/// Fuzzes the decoder of the messages between processes (proto/peer.proto).
#include "adapters/peer_codec.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    cuminscale::decodeEnvelope(bytes);
    return 0;
}
