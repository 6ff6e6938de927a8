/// Feeds arbitrary bytes to the parser of callers' and operators' calls: a line with method and target, then the body.
#include "adapters/caller_api.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const std::size_t line = std::min(bytes.find('\n'), bytes.size());
    const std::size_t space = std::min(bytes.find(' '), line);
    cuminscale::HttpRequest request;
    request.method = std::string(bytes.substr(0, space));
    request.target = std::string(bytes.substr(std::min(space + 1, line), line - std::min(space + 1, line)));
    request.body = std::string(bytes.substr(std::min(line + 1, bytes.size())));
    cuminscale::parseCall(request, cuminscale::Door::Caller, cuminscale::ApiLimits());
    cuminscale::parseCall(request, cuminscale::Door::Operator, cuminscale::ApiLimits());
    return 0;
}
