#include "drivers/relay/relay_call.h"

#include <boost/beast/http/rfc7230.hpp>

namespace GeraniumLever {

void removeHopByHopFields(boost::beast::http::fields &fields)
{
    namespace http = boost::beast::http;
    std::vector<std::string> named;
    const auto range = fields.equal_range(http::field::connection);
    for (auto field = range.first; field != range.second; ++field) {
        for (const boost::beast::string_view token : http::token_list(field->value())) {
            named.emplace_back(token);
        }
    }
    for (const std::string &name : named) {
        fields.erase(name);
    }
    constexpr http::field HopByHopFields[] = {
        http::field::connection, http::field::keep_alive, http::field::proxy_connection,  http::field::te,
        http::field::trailer,    http::field::upgrade,    http::field::transfer_encoding, http::field::content_length,
        http::field::expect,
    };
    for (const http::field field : HopByHopFields) {
        fields.erase(field);
    }
}

} // namespace GeraniumLever
