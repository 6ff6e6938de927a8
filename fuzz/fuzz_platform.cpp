/// Fuzzes the parsers of all JSON that the external platform sends: configuration, jobs, server announcements, the inventories of
/// runs at a backend server, and responses of the store.
#include "platform/client_gateway.h"
#include "platform/config_document.h"
#include "platform/list_response.h"
#include "platform/server_gateway.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    std::string reason;
    static_cast<void>(cuminscale::platform::parseConfig(text, reason));
    static_cast<void>(cuminscale::platform::parseJob(text));
    static_cast<void>(cuminscale::platform::parseAnnouncement("i", text));
    static_cast<void>(cuminscale::platform::parseInventory(text));
    static_cast<void>(cuminscale::platform::parseListResponse(text));
    return 0;
}
