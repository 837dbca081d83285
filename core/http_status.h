/** Classes of HTTP statuses. The class of a status is its first digit, also if the status itself is not registered. */
#pragma once

#include <cstdint>

namespace GeraniumLever {

/** True if a response may bear the status. */
constexpr bool isHttpStatus(std::uint64_t status)
{
    return status >= 100 && status <= 599;
}

/** True if another response to the same request follows. */
constexpr bool isInformationalStatus(std::uint64_t status)
{
    return status / 100 == 1;
}

constexpr bool isSuccessfulStatus(std::uint64_t status)
{
    return status / 100 == 2;
}

constexpr bool isServerErrorStatus(std::uint64_t status)
{
    return status / 100 == 5;
}

} // namespace GeraniumLever
