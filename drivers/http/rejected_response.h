/** Log line for a response that cannot be trusted. */
#pragma once

#include <string_view>

namespace GeraniumLever {

/** from: name or address of the peer. request: what identifies the request in the log. */
void logRejectedResponse(std::string_view from, std::string_view request, std::string_view reason);

} // namespace GeraniumLever
