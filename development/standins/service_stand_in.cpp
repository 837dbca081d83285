#include "development/standins/service_stand_in.h"

#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "development/standins/stand_in_text.h"

namespace GeraniumLever {

ServiceStandIn::ServiceStandIn(ServiceSettings settings, boost::asio::io_context &context)
    : settings_(std::move(settings))
    , context_(context)
    , server_(
          context, settings_.listenAddress, [this](const HttpServer::ConnectionPtr &connection) { handle(connection); })
{
    server_.observeFaults([this](const StandInFault &fault) {
        if (fault.kind == StandInFault::Kind::Leaving) {
            server_.announceLeaving();
        }
    });
}

void ServiceStandIn::handle(const HttpServer::ConnectionPtr &connection)
{
    if (connection->request().target() == "/counts") {
        connection->answer(countsAnswer());
    } else if (connection->request().target() == "/load") {
        connection->answer(loadAnswer());
    } else if (connection->request().target().starts_with("/cache_events")) {
        connection->answer({ 200, "application/json", "{\"events\":[]}" });
    } else {
        execute(connection);
    }
}

void ServiceStandIn::execute(const HttpServer::ConnectionPtr &connection)
{
    std::string key = connection->field("Idempotency-Key");
    ++counts_[key];
    ++running_;
    HttpAnswer answer { 200, "application/json", serviceAnswer(key, connection->request().body()) };
    std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(context_, settings_.workTime);
    timer->async_wait([this, timer, connection, answer](const boost::system::error_code &) {
        --running_;
        connection->answer(answer);
    });
}

HttpAnswer ServiceStandIn::countsAnswer() const
{
    boost::json::object counts;
    for (const auto &[key, count] : counts_) {
        counts[key] = count;
    }
    return { 200, "application/json", boost::json::serialize(boost::json::object { { "counts", std::move(counts) } }) };
}

HttpAnswer ServiceStandIn::loadAnswer() const
{
    boost::json::object load { { "running", running_ },
                               { "waiting", 0 },
                               { "free_cache_per_mille", 1000 },
                               { "ready", true },
                               { "leaving", server_.leaving() },
                               { "model_version", "" },
                               { "adapter", "" },
                               { "role", "" },
                               { "fence", 0 } };
    return { 200, "application/json", boost::json::serialize(load) };
}

} // namespace GeraniumLever
