/** Sends the demo's requests one after the other and prints what happened to each. */
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/core.h"
#include "development/demo/demo_site.h"
#include "drivers/http/http.h"

namespace GeraniumLever {

/** One request of the demo. */
struct DemoRequest
{
    std::string title;
    std::string requestClass;
    std::string target;
    std::string body;
    std::string idempotencyKey;
};

class DemoCaller
{
public:
    /** done(true) is called once if every request was answered. */
    DemoCaller(const DemoSite &site, boost::asio::io_context &context, std::function<void(bool)> done);

    /** Submits the site's ticket, waits until every node is ready and has it in force, then sends the requests. */
    void start();

private:
    void submitTicket();
    void awaitTicket();
    void sendNext();
    void explain(const DemoRequest &request, const HttpResponse &response);
    void retryLater(void (DemoCaller::*step)());
    HttpRequest operatorRequest(const std::string &method, const std::string &target) const;

    const DemoSite &site_;
    HttpClient client_;
    boost::asio::steady_timer timer_;
    std::function<void(bool)> done_;
    std::vector<DemoRequest> requests_;
    std::size_t next_ = 0;
    int triesLeft_ = 200;
    bool allAnswered_ = true;
};

} // namespace GeraniumLever
