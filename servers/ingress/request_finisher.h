/** The last step of each request: its whole answer or its final error. */
#pragma once

#include <cstdint>

#include "core/core.h"
#include "servers/claims/claims.h"
#include "servers/ingress/request_table.h"
#include "servers/ingress/seat_client.h"

namespace GeraniumLever {

/** Ends requests, frees their seats, records the results of calls that run at most once, and makes sure that "not run"
 * is true when it is said. Every function that ends a request invalidates its row. */
class RequestFinisher
{
public:
    /** origin: the node's origin hash. All others outlive this object. */
    RequestFinisher(std::uint64_t origin, RequestTable &requests, SeatClient &seats, ClaimSystem &claims);

    /** Completes an answer of which only the end was lost; false if text is missing. */
    bool completeIfOnlyEndIsMissing(RequestRow &row, TimePoint now, Commands &commands);

    /** The assembled answer of a completion is whole. */
    void completeCompletion(RequestRow &row, TimePoint now, Commands &commands);

    /** The answer of a plain service, or of the node that the request was forwarded to, is whole. */
    void completeWhole(RequestRow &row, const RecordedAnswer &answer, TimePoint now, Commands &commands);

    /** Ends the request with an error; the outcome follows from what has happened to it. */
    void giveUp(RequestRow &row, Error error, TimePoint now, Commands &commands);

    /** Ends the request with an error and an outcome. "Not run" is confirmed first if needed. */
    void refuse(RequestRow &row, const Error &error, Outcome outcome, TimePoint now, Commands &commands);

    /** Forgets the request, with its last log line and its measurement. The caller gets nothing from this. */
    void forget(RequestRow &row,
                Outcome outcome,
                ResultCode code,
                std::uint32_t wastedTokens,
                TimePoint now,
                Commands &commands);

    /** What became of a key that a caller, or this class, had asked about. */
    void claimStatusReceived(const ClaimStatus &status, TimePoint now, Commands &commands);

private:
    /** Reads the key of a call that runs at most once before "not run" is said, since it may have run through another
     * node while this one waited or stood still; false if what is known is fresh enough. */
    bool confirmNotRun(RequestRow &row, const Error &error, TimePoint now, Commands &commands);
    void notRunConfirmed(RequestRow &row, const ClaimStatus &status, TimePoint now, Commands &commands);

    std::uint64_t origin_;
    RequestTable &requests_;
    SeatClient &seats_;
    ClaimSystem &claims_;
    std::uint64_t lastQuestion_ = 0;
    /** Requests in phase ConfirmingNotRun by the identifier of the question about their key. */
    Table<RequestId, RequestId> questions_;
};

} // namespace GeraniumLever
