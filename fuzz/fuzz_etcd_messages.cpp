/// Fuzzes the parsers of etcd responses and of the configuration stored in etcd.
#include "adapters/etcd_messages.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    cuminscale::etcd::parseResponse(bytes);
    cuminscale::etcd::parseStoredConfig(bytes);
    return 0;
}
