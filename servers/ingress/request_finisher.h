/** Ends each request with its complete answer or its final error. */
#pragma once

#include <cstdint>

#include "core/core.h"
#include "servers/claims/claims.h"
#include "servers/ingress/request_table.h"
#include "servers/ingress/seat_client.h"

namespace GeraniumLever {

/** Ends requests, frees their seats, records the results of calls that run at most once, and makes sure that "not run"
 * is correct when it is reported. Every function that ends a request invalidates its row. */
class RequestFinisher
{
public:
    /** `origin` is the node's origin hash. The other arguments must outlive this object. */
    RequestFinisher(std::uint64_t origin, RequestTable &requests, SeatClient &seats, ClaimSystem &claims);

    /** Completes an answer of which only the end was lost. Returns false if text is missing. */
    bool completeIfOnlyEndIsMissing(RequestRow &row, TimePoint now, Commands &commands);

    /** Ends the request with the assembled answer of a completion, which is complete. */
    void completeAssembled(RequestRow &row, TimePoint now, Commands &commands);

    /** Ends the request with a complete unstreamed answer: from a plain service, from the node that the request was
     *  forwarded to, or assembled from a completion. */
    void completeWithAnswer(RequestRow &row, const RecordedAnswer &answer, TimePoint now, Commands &commands);

    /** Ends the request with an error and abandons its claim. The outcome is Failed if the request may have reached an
     *  upstream, NotRun otherwise. */
    void failRequest(RequestRow &row, Error error, TimePoint now, Commands &commands);

    /** Ends the request with an error and an outcome. NotRun is confirmed first if needed. */
    void endWithError(RequestRow &row, const Error &error, Outcome outcome, TimePoint now, Commands &commands);

    /** Removes the request and emits its last log line and its measurement. Sends nothing to the caller. */
    void closeRequest(RequestRow &row,
                      Outcome outcome,
                      ResultCode code,
                      std::uint32_t wastedTokens,
                      TimePoint now,
                      Commands &commands);

    /** Handles the status of a key that a caller or this class has queried. */
    void claimStatusReceived(const ClaimStatus &status, TimePoint now, Commands &commands);

private:
    /** Reads the key of a call that runs at most once before "not run" is reported, because the call may have run
     * through another node while this one waited or was paused. Returns false if the last read is recent enough, or the
     * caller is gone. */
    bool confirmNotRun(RequestRow &row, const Error &error, TimePoint now, Commands &commands);
    void confirmationReceived(RequestRow &row, const ClaimStatus &status, TimePoint now, Commands &commands);

    std::uint64_t origin_;
    RequestTable &requests_;
    SeatClient &seats_;
    ClaimSystem &claims_;
    std::uint64_t lastConfirmation_ = 0;
    /** Requests in phase ConfirmingNotRun, by the identifier of the status query for their key. */
    Table<RequestId, RequestId> confirmations_;
};

} // namespace GeraniumLever
