/** A dialect for tests of the relay driver. */
#pragma once

#include "drivers/relay/relay.h"

namespace GeraniumLever {

/** A dialect without fields of its own. */
class PlainDialect : public RelayDialect
{
public:
    std::optional<Error> readRequest(RelayCall &) const override { return std::nullopt; }

    boost::beast::http::fields fieldsFor(const RelayCall &call,
                                         const RelayDispatch &,
                                         const std::string &) const override
    {
        return call.fields;
    }

    RelayResponseHead readHead(unsigned status, const boost::beast::http::fields &) const override
    {
        RelayResponseHead head;
        head.status = status;
        return head;
    }

    bool belongsTo(const RelayCall &, const RelayResponseHead &, const boost::beast::http::fields &) const override
    {
        return true;
    }

    void markRefusal(boost::beast::http::fields &, const Error &) const override { }
};

} // namespace GeraniumLever
