#include "drivers/mesh/mesh_inbox.h"

#include <utility>

namespace GeraniumLever {

void MeshInbox::push(MeshOrder order)
{
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> waiter;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        orders_.push_back(std::move(order));
        waiter = kj::mv(waiter_);
    }
    if (waiter.get() != nullptr) {
        waiter->fulfill();
    }
}

kj::Promise<void> MeshInbox::whenFilled()
{
    std::lock_guard<std::mutex> lock(mutex_);
    if (!orders_.empty()) {
        return kj::READY_NOW;
    }
    kj::PromiseCrossThreadFulfillerPair<void> pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    waiter_ = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

std::vector<MeshOrder> MeshInbox::takeAll()
{
    std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(orders_, {});
}

} // namespace GeraniumLever
