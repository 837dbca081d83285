/** Parsing of addresses in text form. */
#pragma once

#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace GeraniumLever {

/** Parses "a.b.c.d:port"; empty if the text has another form. Host names are not resolved. */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

} // namespace GeraniumLever
