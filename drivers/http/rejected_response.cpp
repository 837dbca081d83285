#include "drivers/http/rejected_response.h"

#include <glog/logging.h>

namespace GeraniumLever {

void logRejectedResponse(std::string_view from, std::string_view request, std::string_view reason)
{
    LOG(WARNING) << "event=response_rejected from=" << from << " request=" << request << " reason=\"" << reason << '"';
}

} // namespace GeraniumLever
