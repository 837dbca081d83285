/** HTTP client that runs the attempts at upstreams. */
#pragma once

#include <functional>
#include <map>

#include "drivers/relay/relay_exchange.h"

namespace GeraniumLever {

class RelayClient : public RelayExchangeObserver
{
public:
    /** The codec and the observer must outlive the client. */
    RelayClient(boost::asio::io_context &context, const RelayHeaderCodec &codec, RelayExchangeObserver &observer);
    ~RelayClient() override;

    /** Reports exchangeFailed or exchangeHead asynchronously; may report from within this call only if a pooled
     * connection is used. */
    void dispatch(RelayDispatch dispatch, RelayCallPtr call, const std::string &lastEventId);

    void cancel(const AttemptId &attempt);

    /** Connects to the upstream and keeps the connection in the pool for a later request. Calls probed() with the
     * result, never from within this call. */
    void probe(const RelayProbe &probe, std::function<void(RelayProbeResult)> probed);

    void setReading(const AttemptId &attempt, bool enabled);

    std::size_t openExchanges() const { return exchanges_.size(); }

private:
    void exchangeNotice(const UpstreamNotice &notice) override;
    void exchangeHeldBack(const AttemptId &attempt) override;
    void exchangeHead(const RelayResponseHead &head, const RelayResponse &response) override;
    void exchangeData(const AttemptId &attempt, std::string_view bytes, const std::string &lastEventId) override;
    void exchangeEnded(const AttemptId &attempt) override;
    void exchangeFailed(const RelayFailure &failure) override;

    boost::asio::io_context &context_;
    const RelayHeaderCodec &codec_;
    RelayExchangeObserver &observer_;
    std::shared_ptr<ConnectionPool> pool_;
    std::map<AttemptId, std::shared_ptr<RelayExchange>> exchanges_;
};

} // namespace GeraniumLever
