#include "cli/read_file.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace cuminscale::cli
{

bool readFile(const std::string &path, std::string &text)
{
    // A directory can be opened like a file, and then reads as empty.
    std::error_code ec;
    std::ifstream file(path);
    if (!file || std::filesystem::is_directory(path, ec)) {
        return false;
    }
    std::ostringstream all;
    all << file.rdbuf();
    text = all.str();
    return true;
}

} // namespace cuminscale::cli
