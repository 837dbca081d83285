#include "development/demo/demo_caller.h"

#include <iomanip>
#include <iostream>
#include <string_view>
#include <utility>

namespace GeraniumLever {

namespace {

constexpr std::chrono::milliseconds PollPeriod(100);
constexpr unsigned HttpOk = 200;

std::vector<DemoRequest> makeRequests()
{
    const std::string chat = "/v1/chat/completions";
    const std::string question =
        R"({"model":"small-model","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Is my payment late?"}]})";
    const std::string letter =
        R"({"model":"small-model","max_tokens":40,"messages":[{"role":"user","content":"Draft a letter about dues."}]})";
    return {
        { "streamed question", "live", chat, question, "" },
        { "letter", "bulk", chat, letter, "" },
        { "letter again", "bulk", chat, letter, "" },
        { "payment", "payment", "/services/desk/pay", R"({"amount":12})", "demo-payment-1" },
        { "the same payment again", "payment", "/services/desk/pay", R"({"amount":12})", "demo-payment-1" },
    };
}

std::string headerValue(const HttpResponse &response, std::string_view name)
{
    for (const HeaderField &field : response.headers) {
        if (field.name == name) {
            return field.value;
        }
    }
    return {};
}

/** Value of a field in the last decision line of a kind that belongs to the request. */
std::string decisionField(const std::string &lines,
                          const std::string &kind,
                          const std::string &request,
                          const std::string &field)
{
    const std::size_t line = lines.rfind("decision=" + kind + " request=" + request + " ");
    if (line == std::string::npos) {
        return "-";
    }
    const std::string_view rest = std::string_view(lines).substr(line, lines.find('"', line) - line);
    const std::size_t begin = rest.find(" " + field + "=");
    if (begin == std::string_view::npos) {
        return "-";
    }
    const std::string_view value = rest.substr(begin + field.size() + 2);
    return std::string(value.substr(0, value.find(' ')));
}

} // namespace

DemoCaller::DemoCaller(const DemoSite &site, boost::asio::io_context &context, std::function<void(bool)> done)
    : site_(site), client_(context), timer_(context), done_(std::move(done)), requests_(makeRequests())
{
}

void DemoCaller::start()
{
    submitTicket();
}

HttpRequest DemoCaller::operatorRequest(const std::string &method, const std::string &target) const
{
    HttpRequest request;
    request.address = site_.nodes().front().operatorAddress;
    request.method = method;
    request.target = target;
    request.headers = { { "authorization", "Bearer " + DemoSite::operatorKey() } };
    return request;
}

void DemoCaller::retryLater(void (DemoCaller::*step)())
{
    if (--triesLeft_ == 0) {
        std::cerr << "the demo's site did not become ready\n";
        done_(false);
        return;
    }
    timer_.expires_after(PollPeriod);
    timer_.async_wait([this, step](const boost::system::error_code &failure) {
        if (!failure) {
            (this->*step)();
        }
    });
}

void DemoCaller::submitTicket()
{
    HttpRequest request = operatorRequest("POST", "/admin/tickets");
    request.body = site_.ticketText();
    client_.send(request, [this](HttpResult result) {
        const HttpResponse *response = std::get_if<HttpResponse>(&result);
        if (response == nullptr || response->status != HttpOk) {
            retryLater(&DemoCaller::submitTicket);
            return;
        }
        std::cout << "change ticket 1 accepted\n";
        awaitTicket();
    });
}

void DemoCaller::awaitTicket()
{
    client_.send(operatorRequest("GET", "/admin/tickets/1"), [this](HttpResult result) {
        const HttpResponse *response = std::get_if<HttpResponse>(&result);
        const bool everywhere = response != nullptr && response->status == HttpOk
            && response->body.find("\"in_force\":false") == std::string::npos;
        if (!everywhere) {
            retryLater(&DemoCaller::awaitTicket);
            return;
        }
        std::cout << "change ticket 1 in force at every node\n\n"
                  << std::left << std::setw(24) << "request" << std::setw(10) << "class" << std::setw(10) << "node"
                  << std::setw(10) << "upstream" << std::setw(9) << "wait ms" << std::setw(15) << "first token ms"
                  << std::setw(8) << "tokens"
                  << "outcome\n";
        sendNext();
    });
}

void DemoCaller::sendNext()
{
    if (next_ == requests_.size()) {
        done_(allAnswered_);
        return;
    }
    const DemoRequest &wanted = requests_[next_];
    HttpRequest request;
    request.address = site_.nodes().front().callerAddress;
    request.method = "POST";
    request.target = wanted.target;
    request.body = wanted.body;
    request.timeout = std::chrono::seconds(30);
    request.headers = { { "authorization", "Bearer " + DemoSite::callerKey() },
                        { "geranium-class", wanted.requestClass },
                        { "content-type", "application/json" } };
    if (!wanted.idempotencyKey.empty()) {
        request.headers.push_back({ "idempotency-key", wanted.idempotencyKey });
    }
    ++next_;
    client_.send(request, [this, &wanted](HttpResult result) {
        const HttpResponse *response = std::get_if<HttpResponse>(&result);
        if (response == nullptr) {
            std::cout << wanted.title << ": no answer\n";
            allAnswered_ = false;
            sendNext();
            return;
        }
        explain(wanted, *response);
    });
}

void DemoCaller::explain(const DemoRequest &request, const HttpResponse &response)
{
    client_.send(operatorRequest("GET", "/admin/decisions?last=200"), [this, &request, response](HttpResult result) {
        const HttpResponse *decisions = std::get_if<HttpResponse>(&result);
        const std::string lines = decisions == nullptr ? std::string() : decisions->body;
        const std::string id = headerValue(response, "geranium-request-id");
        const std::string outcome = decisionField(lines, "finish", id, "outcome");
        const bool replayed = headerValue(response, "geranium-replayed") == "true";
        std::cout << std::left << std::setw(24) << request.title << std::setw(10) << request.requestClass
                  << std::setw(10) << site_.nodes().front().name << std::setw(10)
                  << decisionField(lines, "dispatch", id, "upstream") << std::setw(9)
                  << decisionField(lines, "dispatch", id, "wait_ms") << std::setw(15)
                  << decisionField(lines, "finish", id, "first_token_ms") << std::setw(8)
                  << decisionField(lines, "finish", id, "tokens") << outcome << (replayed ? " (recorded answer)" : "")
                  << "\n";
        allAnswered_ = allAnswered_ && outcome == "answered";
        sendNext();
    });
}

} // namespace GeraniumLever
