#include "tests/scenarios/scenario_runner.h"

#include <algorithm>
#include <stdexcept>

#include <boost/json/serialize.hpp>

#include "tests/scenarios/scenario_verbs.h"

namespace GeraniumLever {

namespace {

using Options = std::map<std::string, std::string>;

std::string option(const Options &options, const std::string &name, const std::string &fallback)
{
    Options::const_iterator found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

std::string completionBody(const std::string &prompt, std::uint32_t tokens, bool streamed)
{
    boost::json::object body { { "model", "large" }, { "stream", streamed }, { "max_tokens", tokens } };
    body["messages"] = boost::json::array { boost::json::object { { "role", "user" }, { "content", prompt } } };
    return boost::json::serialize(body);
}

} // namespace

ScenarioRunner::ScenarioRunner(Scenario scenario) : scenario_(std::move(scenario)), world_(scenario_) { }

std::vector<std::string> ScenarioRunner::run()
{
    if (!world_.start()) {
        return { "the site did not become ready" };
    }
    begin_ = world_.now();
    std::stable_sort(scenario_.statements.begin(),
                     scenario_.statements.end(),
                     [](const ScenarioStatement &left, const ScenarioStatement &right) { return left.at < right.at; });
    std::vector<ScenarioStatement>::const_iterator next = scenario_.statements.begin();
    while (elapsed() < scenario_.end) {
        while (next != scenario_.statements.end() && next->at <= elapsed()) {
            executeStatement(*next++);
        }
        world_.step();
    }
    for (; next != scenario_.statements.end(); ++next) {
        executeStatement(*next);
    }
    checkFinalState();
    if (!failures_.empty()) {
        failures_.push_back("last decisions:");
        failures_.insert(failures_.end(), world_.log.begin(), world_.log.end());
    }
    return failures_;
}

void ScenarioRunner::fail(const ScenarioStatement &statement, const std::string &what)
{
    failures_.push_back("line " + std::to_string(statement.line) + " at " + std::to_string(toMilliseconds(elapsed()))
                        + "ms, seed " + std::to_string(scenario_.seed) + ": " + what);
}

void ScenarioRunner::executeStatement(const ScenarioStatement &statement)
{
    try {
        if (statement.verb != "expect" || statement.words.empty()) {
            findVerb(scenarioVerbs(), statement.verb).run(*this, statement);
            return;
        }
        ScenarioStatement expectation = statement;
        expectation.words.erase(expectation.words.begin());
        findVerb(scenarioExpectations(), statement.words.front()).run(*this, expectation);
    } catch (const std::exception &error) {
        fail(statement, error.what());
    }
}

void ScenarioRunner::call(const Options &options, const std::string &name)
{
    std::string requestClass = option(options, "class", "live");
    bool service = requestClass == "debit";
    std::string prompt = option(options, "prompt", "prompt of " + name);
    std::uint32_t tokens = static_cast<std::uint32_t>(std::stoul(option(options, "tokens", "20")));
    CallerRequest request;
    request.method = "POST";
    request.target = service ? "/services/desk/pay" : "/v1/chat/completions";
    request.keyHash = std::string(64, 'a');
    request.requestClass = ClassName(requestClass);
    request.idempotencyKey = option(options, "key", service ? name : "");
    request.contentType = "application/json";
    request.body = service ? option(options, "body", "{}")
                           : completionBody(prompt, tokens, option(options, "stream", "true") == "true");
    if (options.count("deadline") > 0) {
        request.deadline = parseDuration(options.at("deadline"));
    }
    ScenarioCall newCall;
    newCall.name = name;
    newCall.requestClass = requestClass;
    newCall.key = request.idempotencyKey;
    newCall.expectedText =
        service ? serviceAnswer(newCall.key, request.body) : standInText(promptHash(prompt + "\n"), tokens);
    std::vector<ScenarioNode *> targets = world_.nodesOf(option(options, "node", "any"));
    ScenarioNode &node = *targets[world_.calls.size() % targets.size()];
    if (option(options, "stream", "true") != "true" && !service) {
        throw std::runtime_error("completion calls must be streamed");
    }
    world_.call(std::move(newCall), node, std::move(request));
}

void ScenarioRunner::load(const Options &options, TimePoint until, std::uint64_t number)
{
    if (world_.now() >= until) {
        return;
    }
    call(options, option(options, "class", "live") + "-" + std::to_string(number));
    Duration every = parseDuration(option(options, "every", "100ms"));
    world_.timeline.afterJittered(every, [this, options, until, number]() { load(options, until, number + 1); });
}

void ScenarioRunner::checkFinalState()
{
    ScenarioStatement always;
    for (const std::string &violation : world_.invariantViolations) {
        fail(always, violation);
    }
    std::vector<Execution> executions;
    for (const auto &[name, upstream] : world_.upstreams) {
        executions.insert(executions.end(), upstream->executions().begin(), upstream->executions().end());
    }
    std::map<std::string, int> counts;
    for (const Execution &execution : executions) {
        if (!execution.key.empty() && ++counts[execution.key] > 1) {
            fail(always, "key " + execution.key + " was executed " + std::to_string(counts[execution.key]) + " times");
        }
    }
    for (const std::unique_ptr<ScenarioCall> &call : world_.calls) {
        if (call->ending == CallEnding::Open) {
            fail(always, "call " + call->name + " did not end");
        }
        if (call->ending == CallEnding::Answered && !call->isAnsweredCorrectly()) {
            fail(always, "call " + call->name + " received a wrong answer: " + call->protocolError + ": " + call->text);
        }
        checkNotRunClaim(*call, executions);
    }
}

void ScenarioRunner::checkNotRunClaim(const ScenarioCall &call, const std::vector<Execution> &executions)
{
    if (call.ending != CallEnding::NotRun || call.key.empty()) {
        return;
    }
    for (const Execution &execution : executions) {
        bool before = execution.key == call.key && execution.at <= call.endedAt;
        if (before || execution.request == call.request) {
            fail(ScenarioStatement {},
                 "call " + call.name + " received not_run, but key " + call.key + " was executed");
        }
    }
}

} // namespace GeraniumLever
