#include "drivers/http/guarded_run.h"

namespace GeraniumLever {

void runGuarded(boost::asio::io_context &context, const std::function<void(const std::exception &)> &report)
{
    for (bool hasEnded = false; !hasEnded;) {
        try {
            context.run();
            hasEnded = true;
        } catch (const std::exception &error) {
            report(error);
        }
    }
}

} // namespace GeraniumLever
