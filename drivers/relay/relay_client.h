/** The attempts that are under way at upstreams. */
#pragma once

#include <functional>
#include <map>

#include "drivers/relay/relay_exchange.h"

namespace GeraniumLever {

class RelayClient : public RelayExchangeObserver
{
public:
    /** The dialect and the observer must outlive the client. */
    RelayClient(boost::asio::io_context &context, const RelayDialect &dialect, RelayExchangeObserver &observer);
    ~RelayClient() override;

    /** Reports exchangeFailed or exchangeHead later, never from within this call unless a pooled connection is used. */
    void dispatch(RelayDispatch dispatch, RelayCallPtr call, const std::string &lastEventId);

    void cancel(const AttemptId &attempt);

    /** Makes a connection and keeps it for a later request; calls probed() with the result, never from within. */
    void probe(const RelayProbe &probe, std::function<void(RelayProbeResult)> probed);

    void setReading(const AttemptId &attempt, bool enabled);

    std::size_t openExchanges() const { return exchanges_.size(); }

private:
    void exchangeHead(const RelayResponseHead &head, const RelayAnswer &answer) override;
    void exchangeData(const AttemptId &attempt, std::string_view bytes, const std::string &lastEventId) override;
    void exchangeEnded(const AttemptId &attempt) override;
    void exchangeFailed(const RelayFailure &failure) override;

    boost::asio::io_context &context_;
    const RelayDialect &dialect_;
    RelayExchangeObserver &observer_;
    std::shared_ptr<ConnectionPool> pool_;
    std::map<AttemptId, std::shared_ptr<RelayExchange>> exchanges_;
};

} // namespace GeraniumLever
