/** Header codec for tests of the relay driver. */
#pragma once

#include "drivers/relay/relay.h"

namespace GeraniumLever {

/** Forwards fields unchanged and defines none of its own. */
class PassThroughHeaderCodec : public RelayHeaderCodec
{
public:
    std::optional<Error> decodeRequest(RelayCall &) const override { return std::nullopt; }

    boost::beast::http::fields upstreamFields(const RelayCall &call,
                                              const RelayDispatch &,
                                              const std::string &) const override
    {
        return call.fields;
    }

    RelayResponseHead decodeHead(unsigned status, const boost::beast::http::fields &) const override
    {
        RelayResponseHead head;
        head.status = status;
        return head;
    }

    UpstreamNotice decodeNotice(unsigned, const boost::beast::http::fields &) const override { return {}; }

    bool matchesRequest(const RelayCall &, const RelayResponseHead &, const boost::beast::http::fields &) const override
    {
        return true;
    }

    void addErrorFields(boost::beast::http::fields &, const Error &) const override { }
};

} // namespace GeraniumLever
