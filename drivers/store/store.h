/** Public header of the store package: client of the platform's table service, object store and VM list. */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "core/core.h"

namespace GeraniumLever {

struct StoreSettings
{
    /** "a.b.c.d:port" of each service. */
    std::string tableAddress;
    std::string objectAddress;
    std::string vmListAddress;
    Duration timeout = std::chrono::seconds(2);
    Duration vmListPeriod = std::chrono::seconds(2);

    bool operator==(const StoreSettings &) const = default;
};

/** Executes store commands, reports a StoreResult for each and polls the VM list. Never retries a write: the caller has
 *  to find out whether an ambiguous write was applied. */
class StoreClient
{
public:
    using Sink = std::function<void(Event)>;

    StoreClient(StoreSettings settings, boost::asio::io_context &context, Sink sink);
    ~StoreClient();

    /** Starts polling the VM list. */
    void start();

    void run(const TableTransaction &transaction);
    void run(const TableGet &get);
    void run(const TableScan &scan);
    void run(const ObjectPut &put);
    void run(const ObjectGet &get);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace GeraniumLever
