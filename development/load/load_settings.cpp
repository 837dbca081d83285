#include "development/load/load_settings.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/json.hpp>

namespace GeraniumLever {

namespace {

constexpr std::size_t MaxConcurrency = 4096;
constexpr std::size_t MaxRequests = 1'000'000;
constexpr double MaxRate = 1000;
constexpr Duration MaxDuration = std::chrono::minutes(5);
constexpr Duration SilenceLimit = std::chrono::seconds(30);

bool isLoopback(const std::string &address)
{
    boost::system::error_code error;
    const boost::asio::ip::address_v4 host =
        boost::asio::ip::make_address_v4(address.substr(0, address.rfind(':')), error);
    return !error && host.is_loopback();
}

} // namespace

std::optional<std::string> findLoadFault(const LoadSettings &settings)
{
    if (!isLoopback(settings.router)) {
        return "the router's address is not within 127.0.0.0/8";
    }
    if (!settings.engine.empty() && !isLoopback(settings.engine)) {
        return "the engine's address is not within 127.0.0.0/8";
    }
    if (settings.concurrency == 0 || settings.concurrency > MaxConcurrency) {
        return "the number of streams is not within 1 to " + std::to_string(MaxConcurrency);
    }
    if (settings.requests > MaxRequests) {
        return "more than " + std::to_string(MaxRequests) + " requests";
    }
    if (!(settings.rate > 0 && settings.rate <= MaxRate)) {
        return "the rate is not within 0 to 1000 requests a second";
    }
    if (settings.duration <= Duration(0) || settings.duration > MaxDuration) {
        return "the duration is not within 5 minutes";
    }
    return std::nullopt;
}

UpstreamDispatch makeLoadRequest(const LoadSettings &settings, const std::string &address, std::uint64_t sequence)
{
    const boost::json::object message { { "role", "user" }, { "content", "Load " + std::to_string(sequence) } };
    const boost::json::object body { { "model", settings.model },
                                     { "stream", true },
                                     { "max_tokens", settings.maxTokens },
                                     { "messages", boost::json::array { message } } };
    UpstreamDispatch request;
    request.attempt = AttemptId(1, sequence);
    request.address = address;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.contentType = "application/json";
    request.body = boost::json::serialize(body);
    request.headers = { { "Authorization", "Bearer " + settings.key }, { "Geranium-Class", settings.requestClass } };
    request.streamed = true;
    request.silenceLimit = SilenceLimit;
    return request;
}

} // namespace GeraniumLever
