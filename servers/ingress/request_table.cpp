#include "servers/ingress/request_table.h"

#include <utility>

namespace GeraniumLever {

RequestRow &RequestTable::add(RequestRow row)
{
    ++countByTeam_[row.team];
    const RequestId request = row.call.request;
    return rows_.put(request, std::move(row));
}

void RequestTable::erase(const RequestId &request)
{
    const RequestRow *row = rows_.find(request);
    if (row == nullptr) {
        return;
    }
    requestByAttempt_.erase(row->running.attempt);
    const std::map<TeamName, std::uint32_t>::iterator count = countByTeam_.find(row->team);
    if (--count->second == 0) {
        countByTeam_.erase(count);
    }
    rows_.erase(RequestId(request));
}

RequestRow *RequestTable::findByAttempt(const AttemptId &attempt)
{
    const std::unordered_map<AttemptId, RequestId>::const_iterator found = requestByAttempt_.find(attempt);
    return found == requestByAttempt_.end() ? nullptr : rows_.edit(found->second);
}

const RequestRow *RequestTable::findByAttempt(const AttemptId &attempt) const
{
    const std::unordered_map<AttemptId, RequestId>::const_iterator found = requestByAttempt_.find(attempt);
    return found == requestByAttempt_.end() ? nullptr : rows_.find(found->second);
}

void RequestTable::setAttempt(RequestRow &row, RunningAttempt attempt)
{
    requestByAttempt_.erase(row.running.attempt);
    row.running = std::move(attempt);
    if (!row.running.attempt.empty()) {
        requestByAttempt_[row.running.attempt] = row.call.request;
    }
}

std::uint32_t RequestTable::requestCount(const TeamName &team) const
{
    const std::map<TeamName, std::uint32_t>::const_iterator found = countByTeam_.find(team);
    return found == countByTeam_.end() ? 0 : found->second;
}

} // namespace GeraniumLever
