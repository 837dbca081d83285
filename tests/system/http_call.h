/** One blocking HTTP exchange on a connection of its own. */
#pragma once

#include <map>
#include <optional>
#include <string>

namespace GeraniumLever {

struct HttpCall
{
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;

    bool operator==(const HttpCall &) const = default;
};

struct HttpReply
{
    unsigned status = 0;
    std::string outcome;
    std::string body;

    bool operator==(const HttpReply &) const = default;
};

/** Nothing if there was no connection or the answer was not whole within a minute. */
std::optional<HttpReply> httpExchange(const std::string &address, const HttpCall &call);

/** Text of a streamed chat answer; nothing if the stream does not end as it should. */
std::optional<std::string> textOfStream(const std::string &events);

} // namespace GeraniumLever
