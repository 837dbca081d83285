/** Requests and responses as the relay forwards them. */
#pragma once

#include <memory>
#include <string>

#include <boost/beast/http/fields.hpp>

#include "servers/relay/relay.h"

namespace GeraniumLever {

/** A complete request: the attributes that the relay decides on, and the parts that it forwards unchanged. */
struct RelayCall
{
    RelayRequest attributes;
    std::string method;
    /** Path and query. */
    std::string target;
    /** Header fields, without the hop-by-hop fields of the caller's connection. */
    boost::beast::http::fields fields;
    std::string body;
};

using RelayCallPtr = std::shared_ptr<const RelayCall>;

/** Status and header fields of an upstream's response, without the hop-by-hop fields of its connection. */
struct RelayResponse
{
    unsigned status = 0;
    std::string reason;
    boost::beast::http::fields fields;
    /** Length of the body in bytes; absent if it is not known in advance. */
    std::optional<std::uint64_t> length;
};

/** Removes the hop-by-hop fields, including those named in the Connection field, and those that frame the body. */
void removeHopByHopFields(boost::beast::http::fields &fields);

} // namespace GeraniumLever
