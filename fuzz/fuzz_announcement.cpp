/// Fuzzes the parser of the announcements that backend servers send to their agent.
#include "adapters/announcement.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    cuminscale::parseAnnouncement(std::string(bytes));
    return 0;
}
