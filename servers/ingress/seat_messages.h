/** Builds the messages of the ingress to the schedulers from a request's row. */
#pragma once

#include "core/core.h"
#include "servers/ingress/request_row.h"

namespace GeraniumLever {

SlotRequest makeSlotRequest(const RequestRow &row, Duration timeLeft);

AttemptProgress makeProgress(const RequestRow &row);

AttemptRegistration makeRegistration(const RequestRow &row, TimePoint now);

AttemptEnd makeEnd(const RequestRow &row, AttemptEnding ending, std::uint32_t wastedTokens);

/** Removes the request from the queue of the scheduler that a seat was last requested from. */
PeerSend makeCancel(const RequestRow &row);

} // namespace GeraniumLever
