/// Parses the announcements that a backend server sends to the agent that manages it.
#pragma once

#include "adapters/caller_api.h"

namespace cuminscale
{

/// Parses the JSON body of an announcement. Returns an error with status 400 and a reason if the body is invalid.
std::variant<event::BackendAnnounced, ApiError> parseAnnouncement(const std::string &body);

} // namespace cuminscale
