/// Fuzzes the parsers of the settings file and of the operators' configuration document.
#include "core/config_document.h"
#include "daemon/settings_file.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    cuminscale::SettingsError settingsError;
    cuminscale::parseSettings(bytes, settingsError);
    cuminscale::ConfigError configError;
    cuminscale::parseConfigDocument(bytes, configError);
    return 0;
}
