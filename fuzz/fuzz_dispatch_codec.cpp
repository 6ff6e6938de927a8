/// Fuzzes the decoder of the dispatch messages between entries and agents (proto/dispatch.proto).
#include "adapters/dispatch_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    static_cast<void>(cuminscale::dispatch::decode(std::string_view(reinterpret_cast<const char *>(data), size)));
    return 0;
}
