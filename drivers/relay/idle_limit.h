/** How long an idle connection to an upstream may be used again. */
#pragma once

#include <chrono>
#include <string_view>

namespace GeraniumLever {

/** How long a connection may stay idle in the pool if the upstream states no limit. */
constexpr std::chrono::milliseconds DefaultIdleLimit(1500);

/** keepAlive: value of the response's Keep-Alive field; empty if there is none. */
std::chrono::steady_clock::duration idleLimitOf(std::string_view keepAlive);

} // namespace GeraniumLever
