#include "drivers/relay/idle_limit.h"

#include <charconv>
#include <optional>

namespace GeraniumLever {

namespace {

/** Fraction of the stated idle limit that is used, since the upstream starts counting earlier. */
constexpr double IdleLimitFraction = 0.6;

/** Seconds of the "timeout=N" parameter of a Keep-Alive field. */
std::optional<std::chrono::seconds> parseKeepAliveTimeout(std::string_view field)
{
    constexpr std::string_view Name = "timeout=";
    const std::size_t found = field.find(Name);
    if (found == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = field.substr(found + Name.size());
    unsigned seconds = 0;
    const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

std::chrono::steady_clock::duration idleLimitOf(std::string_view keepAlive)
{
    const std::optional<std::chrono::seconds> timeout = parseKeepAliveTimeout(keepAlive);
    const std::chrono::duration<double> limit =
        timeout.has_value() ? *timeout * IdleLimitFraction : std::chrono::duration<double>(DefaultIdleLimit);
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit);
}

} // namespace GeraniumLever
