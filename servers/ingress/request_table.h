/** The requests of one node that have no final answer yet. */
#pragma once

#include <map>
#include <unordered_map>

#include "core/core.h"
#include "servers/ingress/request_row.h"

namespace GeraniumLever {

/** Rows by request, by attempt under way, and counted by team. */
class RequestTable
{
public:
    using Rows = Table<RequestId, RequestRow>;

    /** Adds a row; the reference stays valid until the row is erased. */
    RequestRow &add(RequestRow row);

    /** Forgets the request and its attempt. */
    void erase(const RequestId &request);

    RequestRow *edit(const RequestId &request) { return rows_.edit(request); }
    const RequestRow *find(const RequestId &request) const { return rows_.find(request); }

    /** The row whose attempt is under way; nullptr for an attempt that has ended or is of another node. */
    RequestRow *ofAttempt(const AttemptId &attempt);
    const RequestRow *ofAttempt(const AttemptId &attempt) const;

    /** Replaces the row's attempt, so that ofAttempt() finds the new one only. */
    void setAttempt(RequestRow &row, RunningAttempt attempt);

    /** Requests of a team. */
    std::uint32_t countOf(const TeamName &team) const;

    std::size_t size() const { return rows_.size(); }

    Rows::Rows::iterator begin() { return rows_.begin(); }
    Rows::Rows::iterator end() { return rows_.end(); }

private:
    Rows rows_;
    std::unordered_map<AttemptId, RequestId> requestByAttempt_;
    std::map<TeamName, std::uint32_t> countByTeam_;
};

} // namespace GeraniumLever
