/** A small HTTP/1.1 client that reads each response completely before it reports it. */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/core.h"

namespace GeraniumLever {

struct HttpRequest
{
    /** "a.b.c.d:port". */
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<HeaderField> headers;
    std::string body;
    /** Time limit of the whole exchange. */
    Duration timeout = std::chrono::seconds(2);
    /** Time limit without any byte of the response; 0 if only the timeout holds. */
    Duration stallTimeout { 0 };
    /** Time for which the server may hold the response back; not counted as a stall. */
    Duration responseDelay { 0 };
    /** True if a pooled connection must not be used. */
    bool freshConnection = false;

    bool operator==(const HttpRequest &) const = default;
};

struct HttpResponse
{
    unsigned status = 0;
    std::vector<HeaderField> headers;
    std::string body;

    bool operator==(const HttpResponse &) const = default;
};

/** Why there is no response. */
enum class HttpFailure : std::uint8_t {
    /** No byte of the request was written. */
    NotSent,
    /** The request may have arrived and taken effect. */
    NoAnswer,
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/** Pools connections per address. Never sends a request twice. */
class HttpClient
{
public:
    using Handler = std::function<void(HttpResult)>;

    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();

    /** The handler is called exactly once, on the context's thread, never from within this call. */
    void send(HttpRequest request, Handler handler);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace GeraniumLever
