#include "drivers/mesh/mesh_inbox.h"

#include <utility>

namespace GeraniumLever {

void MeshInbox::push(MeshCommand command)
{
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> waiter;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        pendingCommands_.push_back(std::move(command));
        waiter = kj::mv(waiter_);
    }
    if (waiter.get() != nullptr) {
        waiter->fulfill();
    }
}

kj::Promise<void> MeshInbox::whenFilled()
{
    std::lock_guard<std::mutex> lock(mutex_);
    if (!pendingCommands_.empty()) {
        return kj::READY_NOW;
    }
    kj::PromiseCrossThreadFulfillerPair<void> pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    waiter_ = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

std::vector<MeshCommand> MeshInbox::takeAll()
{
    std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(pendingCommands_, {});
}

} // namespace GeraniumLever
