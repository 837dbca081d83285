/** Sends requests over the network, one at a time. */
#pragma once

#include <boost/asio/io_context.hpp>

#include "main/geraniumctl/operator_session.h"

namespace GeraniumLever {

class HttpChannel : public OperatorChannel
{
public:
    HttpChannel();

    HttpResult exchange(const HttpRequest &request) override;

private:
    boost::asio::io_context context_;
    HttpClient client_;
};

} // namespace GeraniumLever
