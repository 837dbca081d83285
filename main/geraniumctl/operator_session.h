/** Sends queries and tickets to the first of the given nodes that answers. */
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "drivers/http/http.h"

namespace GeraniumLever {

/** Sends one request and waits for its result. */
class OperatorChannel
{
public:
    virtual ~OperatorChannel() = default;
    virtual HttpResult exchange(const HttpRequest &request) = 0;
};

/** Why no node gave a usable answer. */
struct SessionFailure
{
    /** True if a node may have acted on the request. */
    bool mayHaveActed = false;
    /** One line per node. */
    std::string message;

    bool operator==(const SessionFailure &) const = default;
};

/** The first usable answer of a node, or why there is none. */
using SessionResult = std::variant<HttpResponse, SessionFailure>;

class OperatorSession
{
public:
    OperatorSession(OperatorChannel &channel, std::vector<std::string> nodes, std::string key);

    /** Tries the nodes in order. */
    SessionResult get(const std::string &target);

    /** Sends a ticket. If the result of an attempt is unknown, the ticket is sent to the next node as well; this is
     *  safe since the same ticket is accepted at most once. */
    SessionResult submit(const std::string &text);

private:
    SessionResult tryAll(const HttpRequest &request);

    OperatorChannel &channel_;
    std::vector<std::string> nodes_;
    std::string key_;
};

} // namespace GeraniumLever
