/** A caller's request as it is passed on. */
#pragma once

#include <memory>
#include <string>

#include <boost/beast/http/fields.hpp>

#include "servers/relay/relay.h"

namespace GeraniumLever {

/** A whole request: what the relay decides on, and what is passed on unchanged. */
struct RelayCall
{
    RelayRequest facts;
    std::string method;
    /** Path and query. */
    std::string target;
    /** Without those that concern only the caller's connection. */
    boost::beast::http::fields fields;
    std::string body;
};

using RelayCallPtr = std::shared_ptr<const RelayCall>;

/** Status and fields of an upstream's answer, without those that concern only its connection. */
struct RelayAnswer
{
    unsigned status = 0;
    std::string reason;
    boost::beast::http::fields fields;
    /** Absent if the body's length is not known in advance. */
    std::optional<std::uint64_t> length;
};

/** Removes the fields that concern only one connection, and those that frame the body. */
void removeConnectionFields(boost::beast::http::fields &fields);

} // namespace GeraniumLever
