/** Interface to the platform-specific header fields of requests and responses. */
#pragma once

#include "drivers/relay/relay_call.h"

namespace GeraniumLever {

/** Translates between header fields and the relay's types; makes no decisions. */
class RelayHeaderCodec
{
public:
    virtual ~RelayHeaderCodec() = default;

    /** Fills in the call's attributes from its method, target and fields; leaves the request's identifier unchanged. */
    virtual std::optional<Error> decodeRequest(RelayCall &call) const = 0;

    /** Returns the fields with which the call is sent to an upstream. lastEventId: identifier of the last event that
     * the caller has received, if the dispatch resumes a stream. */
    virtual boost::beast::http::fields upstreamFields(const RelayCall &call,
                                                      const RelayDispatch &dispatch,
                                                      const std::string &lastEventId) const = 0;

    /** Decodes the head of a response; leaves the attempt empty. */
    virtual RelayResponseHead decodeHead(unsigned status, const boost::beast::http::fields &fields) const = 0;

    /** Decodes what the upstream states about itself in a response; leaves the attempt empty. */
    virtual UpstreamNotice decodeNotice(unsigned status, const boost::beast::http::fields &fields) const = 0;

    /** True if the response's fields name the call's request, or name none and the response states that nothing was
     *  run. */
    virtual bool matchesRequest(const RelayCall &call,
                                const RelayResponseHead &head,
                                const boost::beast::http::fields &fields) const = 0;

    /** Adds fields to an error response that the node itself generates. */
    virtual void addErrorFields(boost::beast::http::fields &fields, const Error &error) const = 0;
};

} // namespace GeraniumLever
