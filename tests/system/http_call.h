/** Blocking HTTP exchange on a new connection. */
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

/** Returns nothing if the connection failed or the response was not complete within a minute. */
std::optional<HttpReply> httpExchange(const std::string &address, const HttpCall &call);

/** Text of a streamed chat response; nothing if [DONE] is missing or not the last event. */
std::optional<std::string> textOfStream(const std::string &events);

} // namespace GeraniumLever
