/** Messages of the ingress to the schedulers, made from a request's row. */
#pragma once

#include "core/core.h"
#include "servers/ingress/request_row.h"

namespace GeraniumLever {

SlotRequest makeSlotRequest(const RequestRow &row, Duration timeLeft);

AttemptProgress makeProgress(const RequestRow &row);

AttemptRegistration makeRegistration(const RequestRow &row, TimePoint now);

AttemptEnd makeEnd(const RequestRow &row, AttemptEnding ending, std::uint32_t wastedTokens);

/** Takes the request out of the queue of the scheduler that was asked last. */
PeerSend makeCancel(const RequestRow &row);

} // namespace GeraniumLever
