#include "drivers/http/endpoint.h"

#include <charconv>

namespace GeraniumLever {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const boost::asio::ip::address_v4 host = boost::asio::ip::make_address_v4(address.substr(0, colon), error);
    if (error) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const std::from_chars_result parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(host, port);
}

} // namespace GeraniumLever
