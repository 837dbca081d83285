#include "tests/system/stream_load.h"

#include "development/standins/standins.h"
#include "tests/system/http_call.h"

namespace GeraniumLever {

namespace {

/** As the site's engines are started with. */
constexpr std::uint32_t LongestAnswer = 100;

} // namespace

bool callStream(const std::string &callerAddress, const std::string &prompt, std::string *fault)
{
    HttpCall call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers = { { "Authorization", "Bearer caller-key" }, { "Geranium-Class", "live" } };
    call.body = R"({"model":"large","stream":true,"messages":[{"role":"user","content":")" + prompt + R"("}]})";
    std::optional<HttpReply> reply = httpExchange(callerAddress, call);
    std::uint64_t hash = promptHash(prompt + "\n");
    std::string expected = standInText(hash, standInTokenCount(hash, LongestAnswer));
    std::optional<std::string> text = reply ? textOfStream(reply->body) : std::nullopt;
    if (text == expected) {
        return true;
    }
    if (fault != nullptr) {
        *fault = callerAddress + " " + prompt + ": "
            + (reply ? std::to_string(reply->status) + " " + reply->body : std::string("no whole answer"));
    }
    return false;
}

StreamLoad::~StreamLoad()
{
    join();
}

void StreamLoad::add(const std::string &name, int calls, Target target)
{
    threads_.emplace_back([this, name, calls, target = std::move(target)]() {
        for (int number = 0; number < calls; ++number) {
            std::string fault;
            if (callStream(target(), name + "-" + std::to_string(number), &fault)) {
                ++whole_;
                continue;
            }
            std::lock_guard<std::mutex> lock(mutex_);
            faults_.push_back(fault);
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

std::vector<std::string> StreamLoad::faults()
{
    std::lock_guard<std::mutex> lock(mutex_);
    return faults_;
}

} // namespace GeraniumLever
