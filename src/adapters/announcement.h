/// How a backend server announces itself to the agent beside it.
#pragma once

#include "adapters/caller_api.h"

namespace cuminscale
{

/// Reads the body of an announcement, or says what is wrong with it.
std::variant<event::BackendAnnounced, ApiError> parseAnnouncement(const std::string &body);

} // namespace cuminscale
