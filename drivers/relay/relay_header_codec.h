/** How callers and upstreams state what the relay needs to know. */
#pragma once

#include "drivers/relay/relay_call.h"

namespace GeraniumLever {

/** Translates between header fields and the relay's types; decides nothing. */
class RelayDialect
{
public:
    virtual ~RelayDialect() = default;

    /** Fills in the facts from the call's method, target and fields; the request's identifier is left as it is. */
    virtual std::optional<Error> readRequest(RelayCall &call) const = 0;

    /** The fields with which the call is sent to an upstream. lastEventId: of the last event that the caller has, if
     * the dispatch resumes a stream. */
    virtual boost::beast::http::fields fieldsFor(const RelayCall &call,
                                                 const RelayDispatch &dispatch,
                                                 const std::string &lastEventId) const = 0;

    /** What the head of an answer states; the attempt is left empty. */
    virtual RelayResponseHead readHead(unsigned status, const boost::beast::http::fields &fields) const = 0;

    /** True if the answer's fields name the request as the one that it belongs to, or name none and the answer states
     *  that nothing was run. */
    virtual bool belongsTo(const RelayCall &call,
                           const RelayResponseHead &head,
                           const boost::beast::http::fields &fields) const = 0;

    /** Adds to the fields of an answer of the node itself. */
    virtual void markRefusal(boost::beast::http::fields &fields, const Error &error) const = 0;
};

} // namespace GeraniumLever
