/** Parsed JSON replies of the operator endpoints. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

struct ErrorReply
{
    ResultCode code = ResultCode::Ok;
    std::string name;
    std::string message;

    auto operator<=>(const ErrorReply &) const = default;
};

/** A node as seen by the node that replied. */
struct NodeReply
{
    std::string node;
    std::string dataCenter;
    std::string state;
    std::uint64_t head = 0;
    std::string digest;
    bool alive = true;
    /** True if the ticket that was queried is in force on the node. */
    bool inForce = false;

    auto operator<=>(const NodeReply &) const = default;
};

struct TicketReply
{
    std::uint64_t number = 0;
    std::uint64_t previous = 0;
    std::string text;
    std::vector<NodeReply> nodes;

    bool operator==(const TicketReply &) const = default;
};

struct UpstreamReply
{
    std::string name;
    std::string pool;
    std::string dataCenter;
    bool leaving = false;
    std::uint64_t inFlight = 0;

    auto operator<=>(const UpstreamReply &) const = default;
};

struct StateReply
{
    NodeReply node;
    std::string epoch;
    bool caughtUp = false;
    std::uint64_t inFlight = 0;
    std::vector<UpstreamReply> upstreams;
    /** Canonical text of the whole catalog. */
    std::string catalog;

    bool operator==(const StateReply &) const = default;
};

struct RequestReply
{
    /** Empty while the call is running. */
    std::string outcome;
    bool running = false;

    auto operator<=>(const RequestReply &) const = default;
};

/** Each returns nullopt if the text is not the expected JSON. */
std::optional<ErrorReply> readError(const std::string &body);
std::optional<std::uint64_t> readAcceptedNumber(const std::string &body);
std::optional<TicketReply> readTicket(const std::string &body);
std::optional<std::vector<NodeReply>> readNodes(const std::string &body);
std::optional<StateReply> readState(const std::string &body);
std::optional<RequestReply> readRequest(const std::string &body);
std::optional<std::vector<std::string>> readDecisions(const std::string &body);

} // namespace GeraniumLever
