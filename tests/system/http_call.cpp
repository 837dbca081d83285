#include "tests/system/http_call.h"

#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>

#include "development/standins/standins.h"

namespace GeraniumLever {

namespace {

namespace Http = boost::beast::http;

constexpr std::chrono::seconds CallLimit { 60 };

/** Runs the context until the pending operation completes; true if it succeeded. */
bool runToCompletion(boost::asio::io_context &context, const boost::system::error_code &error)
{
    context.run();
    context.restart();
    return !error;
}

} // namespace

std::optional<HttpReply> httpExchange(const std::string &address, const HttpCall &call)
{
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.expires_after(CallLimit);
    boost::system::error_code error;
    stream.async_connect(standInEndpoint(address), [&error](boost::system::error_code result) { error = result; });
    if (!runToCompletion(context, error)) {
        return std::nullopt;
    }
    Http::request<Http::string_body> request(Http::string_to_verb(call.method), call.target, 11);
    request.set(Http::field::host, address);
    request.set(Http::field::connection, "close");
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body;
    request.prepare_payload();
    Http::async_write(stream, request, [&error](boost::system::error_code result, std::size_t) { error = result; });
    if (!runToCompletion(context, error)) {
        return std::nullopt;
    }
    boost::beast::flat_buffer buffer;
    Http::response<Http::string_body> response;
    Http::async_read(
        stream, buffer, response, [&error](boost::system::error_code result, std::size_t) { error = result; });
    if (!runToCompletion(context, error)) {
        return std::nullopt;
    }
    return HttpReply { response.result_int(), std::string(response["Geranium-Outcome"]), response.body() };
}

std::optional<std::string> textOfStream(const std::string &events)
{
    constexpr std::string_view DataPrefix = "data: ";
    std::string text;
    bool done = false;
    for (std::size_t at = events.find(DataPrefix); at != std::string::npos; at = events.find(DataPrefix, at + 1)) {
        std::string data = events.substr(at + DataPrefix.size(), events.find('\n', at) - at - DataPrefix.size());
        if (done) {
            return std::nullopt;
        }
        done = data == "[DONE]";
        boost::system::error_code error;
        boost::json::value chunk = done ? boost::json::value() : boost::json::parse(data, error);
        if (done) {
            continue;
        }
        const boost::json::value *content = error ? nullptr : chunk.find_pointer("/choices/0/delta/content", error);
        if (content != nullptr) {
            text += content->get_string();
        }
    }
    return done ? std::optional<std::string>(text) : std::nullopt;
}

} // namespace GeraniumLever
