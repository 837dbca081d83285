#include "tests/system/stream_load.h"

#include "development/standins/standins.h"
#include "tests/system/http_call.h"

namespace GeraniumLever {

namespace {

/** Equals --max-tokens of the site's engines. */
constexpr std::uint32_t MaxAnswerTokens = 100;

} // namespace

bool callStream(const std::string &callerAddress, const std::string &prompt, std::string *failure)
{
    HttpCall call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers = { { "Authorization", "Bearer caller-key" }, { "Geranium-Class", "live" } };
    call.body = R"({"model":"large","stream":true,"messages":[{"role":"user","content":")" + prompt + R"("}]})";
    std::optional<HttpReply> reply = httpExchange(callerAddress, call);
    std::uint64_t hash = promptHash(prompt + "\n");
    std::string expected = standInText(hash, standInTokenCount(hash, MaxAnswerTokens));
    std::optional<std::string> text = reply ? textOfStream(reply->body) : std::nullopt;
    if (text == expected) {
        return true;
    }
    if (failure != nullptr) {
        *failure = callerAddress + " " + prompt + ": "
            + (reply ? std::to_string(reply->status) + " " + reply->body : std::string("no complete response"));
    }
    return false;
}

StreamLoad::~StreamLoad()
{
    join();
}

void StreamLoad::add(const std::string &name, int calls, AddressProvider nextAddress)
{
    threads_.emplace_back([this, name, calls, nextAddress = std::move(nextAddress)]() {
        for (int number = 0; number < calls; ++number) {
            std::string failure;
            if (callStream(nextAddress(), name + "-" + std::to_string(number), &failure)) {
                ++completedCalls_;
                continue;
            }
            std::lock_guard<std::mutex> lock(mutex_);
            failures_.push_back(failure);
        }
    });
}

void StreamLoad::join()
{
    for (std::thread &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

std::vector<std::string> StreamLoad::failures()
{
    std::lock_guard<std::mutex> lock(mutex_);
    return failures_;
}

} // namespace GeraniumLever
