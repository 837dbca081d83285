/** The requests of one node that have no final answer yet. */
#pragma once

#include <map>
#include <unordered_map>

#include "core/core.h"
#include "servers/ingress/request_row.h"

namespace GeraniumLever {

/** Request rows, indexed by request and by running attempt, and counted by team. */
class RequestTable
{
public:
    using Rows = Table<RequestId, RequestRow>;

    /** Adds a row. The returned reference stays valid until the row is erased. */
    RequestRow &add(RequestRow row);

    /** Removes the request and its attempt. */
    void erase(const RequestId &request);

    RequestRow *edit(const RequestId &request) { return rows_.edit(request); }
    const RequestRow *find(const RequestId &request) const { return rows_.find(request); }

    /** The row of a running attempt; nullptr if the attempt has ended or belongs to another node. */
    RequestRow *findByAttempt(const AttemptId &attempt);
    const RequestRow *findByAttempt(const AttemptId &attempt) const;

    /** Replaces the row's attempt, so that findByAttempt() finds only the new one. */
    void setAttempt(RequestRow &row, RunningAttempt attempt);

    /** Number of a team's requests. */
    std::uint32_t requestCount(const TeamName &team) const;

    std::size_t size() const { return rows_.size(); }

    Rows::Rows::iterator begin() { return rows_.begin(); }
    Rows::Rows::iterator end() { return rows_.end(); }

private:
    Rows rows_;
    std::unordered_map<AttemptId, RequestId> requestByAttempt_;
    std::map<TeamName, std::uint32_t> countByTeam_;
};

} // namespace GeraniumLever
