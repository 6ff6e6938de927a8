/// Fuzzes the HTTP request parsers for callers and operators. The first line of the input gives the method and the target, the
/// rest is the body.
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
    cuminscale::parseCall(request, cuminscale::ApiListener::Caller, cuminscale::ApiLimits());
    cuminscale::parseCall(request, cuminscale::ApiListener::Operator, cuminscale::ApiLimits());
    return 0;
}
