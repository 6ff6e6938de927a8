/// Reading of input files.
#pragma once

#include <string>

namespace cuminscale::cli
{

/// Reads a whole file; returns false if it can't be opened or read, or is a directory.
bool readFile(const std::string &path, std::string &text);

} // namespace cuminscale::cli
