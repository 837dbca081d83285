#include "tests/scenarios/scenario_verbs.h"

#include <stdexcept>

namespace GeraniumLever {

namespace {

using Options = std::map<std::string, std::string>;

const std::string &word(const ScenarioStatement &statement, std::size_t index)
{
    if (index >= statement.words.size()) {
        throw std::runtime_error(statement.verb + " has too few arguments");
    }
    return statement.words[index];
}

std::string option(const ScenarioStatement &statement, const std::string &name, const std::string &fallback)
{
    Options::const_iterator found = statement.options.find(name);
    return found == statement.options.end() ? fallback : found->second;
}

/** Nodes that match the first argument. */
std::vector<ScenarioNode *> nodesOf(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    return runner.world().nodesOf(word(statement, 0));
}

/** Upstreams that match the first argument. */
std::vector<FakeUpstream *> upstreamsOf(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    return runner.world().upstreamsOf(word(statement, 0));
}

void makeCall(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    runner.call(statement.options, word(statement, 0));
}

void makeLoad(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    runner.load(statement.options, runner.world().now() + parseDuration(option(statement, "for", "10s")), 1);
}

void killNode(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (ScenarioNode *node : nodesOf(runner, statement)) {
        runner.world().kill(*node);
    }
}

void startNode(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (ScenarioNode *node : nodesOf(runner, statement)) {
        runner.world().startNode(*node);
    }
}

void freezeNode(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (ScenarioNode *node : nodesOf(runner, statement)) {
        node->frozen = true;
    }
}

void thawNode(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (ScenarioNode *node : nodesOf(runner, statement)) {
        runner.world().thaw(*node);
    }
}

void stopNode(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (ScenarioNode *node : nodesOf(runner, statement)) {
        runner.world().stop(*node);
    }
}

std::vector<std::string> endpointsOf(ScenarioRunner &runner, const std::string &spec)
{
    if (spec == "store") {
        return { spec };
    }
    std::vector<std::string> names;
    for (const ScenarioNode *node : runner.world().nodesOf(spec)) {
        names.push_back(node->address.node.text());
    }
    return names;
}

void setRoutes(ScenarioRunner &runner, const ScenarioStatement &statement, bool cut)
{
    std::vector<std::string> rights = endpointsOf(runner, word(statement, 1));
    for (const std::string &left : endpointsOf(runner, word(statement, 0))) {
        for (const std::string &right : rights) {
            if (left != right) {
                runner.world().partition(left, right, cut);
            }
        }
    }
}

void cutRoutes(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    setRoutes(runner, statement, true);
}

void healRoutes(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    setRoutes(runner, statement, false);
}

void setStore(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    static const std::map<std::string, StoreFault::Kind> kinds {
        { "ok", StoreFault::Kind::None },
        { "down", StoreFault::Kind::Down },
        { "lose_before", StoreFault::Kind::LoseBefore },
        { "lose_after", StoreFault::Kind::LoseAfter },
        { "late", StoreFault::Kind::Late },
    };
    runner.world().storeFault = { kinds.at(word(statement, 0)), std::stoi(option(statement, "count", "-1")) };
}

void crashUpstream(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        upstream->crash();
        upstream->up = false;
    }
}

void startUpstream(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        upstream->up = true;
        upstream->frozen = false;
    }
}

void crashAfterTokens(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        upstream->crashAfterTokens = static_cast<std::uint32_t>(std::stoul(word(statement, 1)));
    }
}

void freezeUpstream(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        upstream->frozen = true;
    }
}

void silenceUpstream(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        upstream->silence();
    }
}

void crossAnswers(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        upstream->echoesWrongAttempt = word(statement, 1) == "on";
    }
}

void loseAnswers(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        upstream->loseAnswers = std::stoi(word(statement, 1));
    }
}

void repeatAnswers(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        upstream->resendFinishedAnswers();
    }
}

void leaveUpstream(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        upstream->leaving = true;
    }
}

void listAsLeaving(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    runner.world().leavingInVmList.insert(word(statement, 0));
}

void setListLag(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    runner.world().vmListLag = parseDuration(word(statement, 0));
}

void setReportLag(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    runner.world().loadReportLag = parseDuration(word(statement, 0));
}

/** Returns the change of a ticket: an upstream marked as leaving, or a new weight of the site's only team. */
std::string ticketChange(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    if (statement.options.count("leaving") == 0) {
        return "{kind: team, name: union, weight: " + option(statement, "weight", "1") + ", key_hashes: ["
            + std::string(64, 'a') + "]}";
    }
    const Upstream &entity = runner.world().upstreamsOf(statement.options.at("leaving")).front()->entity();
    return "{kind: upstream, name: " + entity.name.text() + ", pool: " + entity.pool.text()
        + ", data_center: " + entity.dataCenter.text() + ", address: \"" + entity.address
        + "\", seats: " + std::to_string(entity.seats) + ", leaving: true}";
}

void submitTicket(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    std::string text = "number: " + word(statement, 1) + "\nauthor: " + option(statement, "author", "operator") + "\n";
    if (statement.options.count("based_on") > 0) {
        text += "based_on: " + statement.options.at("based_on") + "\n";
    }
    text += "changes:\n  - " + ticketChange(runner, statement) + "\n";
    std::uint64_t id = std::stoul(option(statement, "as", word(statement, 1)));
    runner.world().submitTicket(*nodesOf(runner, statement).front(), id, text);
}

bool matchesClass(const ScenarioStatement &statement, const ScenarioCall &call)
{
    return option(statement, "class", call.requestClass) == call.requestClass;
}

void expectAnswered(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    std::size_t answered = 0;
    for (const std::unique_ptr<ScenarioCall> &call : runner.world().calls) {
        if (!matchesClass(statement, *call)) {
            continue;
        }
        answered += call->isAnsweredCorrectly() ? 1 : 0;
        if (!call->isAnsweredCorrectly()) {
            runner.fail(statement,
                        "call " + call->name + " ended " + callEndingName(call->ending) + " " + call->errorName + " "
                            + call->protocolError);
        }
    }
    if (answered < std::stoul(option(statement, "at_least", "1"))) {
        runner.fail(statement, "only " + std::to_string(answered) + " calls were answered correctly");
    }
}

void expectEnding(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    std::string allowed = "," + word(statement, 1) + ",";
    for (const std::unique_ptr<ScenarioCall> &call : runner.world().calls) {
        bool isSelected =
            call->name == word(statement, 0) || (word(statement, 0) == "all" && matchesClass(statement, *call));
        std::string ending = callEndingName(call->ending);
        if (isSelected && allowed.find("," + ending + ",") == std::string::npos) {
            runner.fail(statement, "call " + call->name + " ended " + ending + " " + call->errorName);
        }
    }
}

void expectExecutions(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    std::size_t count = 0;
    for (const auto &[name, upstream] : runner.world().upstreams) {
        for (const Execution &execution : upstream->executions()) {
            count += execution.key == word(statement, 0) ? 1 : 0;
        }
    }
    if (count != std::stoul(word(statement, 1))) {
        runner.fail(statement, "key " + word(statement, 0) + " was executed " + std::to_string(count) + " times");
    }
}

void expectDecisions(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    std::uint64_t count = runner.world().decisions[word(statement, 0) + " " + option(statement, "class", "")];
    if (count < std::stoul(option(statement, "min", "0")) || count > std::stoul(option(statement, "max", "999999"))) {
        runner.fail(statement, std::to_string(count) + " decisions of kind " + word(statement, 0));
    }
}

void expectHead(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (const ScenarioNode *node : runner.world().nodesOf(option(statement, "nodes", "all"))) {
        std::uint64_t head = node->logic->tickets().standing().head.value();
        if (node->up && head != std::stoul(word(statement, 0))) {
            runner.fail(statement, "the head of " + node->address.node.text() + " is " + std::to_string(head));
        }
    }
}

void expectVerdict(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    std::map<std::uint64_t, bool>::const_iterator verdict =
        runner.world().verdicts.find(std::stoul(word(statement, 0)));
    std::string got = verdict == runner.world().verdicts.end() ? "none" : verdict->second ? "accepted" : "refused";
    if (got != word(statement, 1)) {
        runner.fail(statement, "the verdict is " + got);
    }
}

/** If the ticket was accepted, every running node must have it in force. */
void expectInForce(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    std::map<std::uint64_t, bool>::const_iterator verdict =
        runner.world().verdicts.find(std::stoul(word(statement, 0)));
    if (verdict != runner.world().verdicts.end() && verdict->second) {
        expectHead(runner, statement);
    }
}

/** Exactly one of the submissions must have been accepted. */
void expectOneAccepted(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    std::size_t accepted = 0;
    for (const std::string &id : statement.words) {
        accepted += runner.world().verdicts[std::stoul(id)] ? 1 : 0;
    }
    if (accepted != 1) {
        runner.fail(statement, std::to_string(accepted) + " submissions were accepted");
    }
}

void expectNoDispatch(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    TimePoint after = runner.begin() + parseDuration(statement.options.at("after"));
    for (const FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        for (TimePoint at : upstream->dispatches()) {
            if (at > after) {
                runner.fail(statement,
                            "unexpected dispatch to " + upstream->entity().name.text() + " at "
                                + std::to_string(toMilliseconds(at - runner.begin())) + "ms");
                return;
            }
        }
    }
}

void expectDispatch(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (const FakeUpstream *upstream : upstreamsOf(runner, statement)) {
        if (upstream->dispatches().empty()) {
            runner.fail(statement, "no dispatch to " + upstream->entity().name.text());
        }
    }
}

void expectFirstByte(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    Duration limit = parseDuration(statement.options.at("below"));
    for (const std::unique_ptr<ScenarioCall> &call : runner.world().calls) {
        bool late = call->firstByteAt && *call->firstByteAt - call->startedAt >= limit;
        if (matchesClass(statement, *call) && (late || !call->firstByteAt)) {
            runner.fail(statement, "the first byte of " + call->name + " arrived late or not at all");
        }
    }
}

void expectStopped(ScenarioRunner &runner, const ScenarioStatement &statement)
{
    for (const ScenarioNode *node : nodesOf(runner, statement)) {
        if (!node->stopped) {
            runner.fail(statement, node->address.node.text() + " has not stopped");
        }
    }
}

} // namespace

const std::vector<ScenarioVerb> &scenarioVerbs()
{
    static const std::vector<ScenarioVerb> verbs {
        { "call", makeCall },
        { "load", makeLoad },
        { "kill", killNode },
        { "start", startNode },
        { "freeze", freezeNode },
        { "thaw", thawNode },
        { "stop", stopNode },
        { "cut", cutRoutes },
        { "heal", healRoutes },
        { "store", setStore },
        { "crash", crashUpstream },
        { "up", startUpstream },
        { "crash_after_tokens", crashAfterTokens },
        { "freeze_upstream", freezeUpstream },
        { "silence", silenceUpstream },
        { "cross_answers", crossAnswers },
        { "lose_answers", loseAnswers },
        { "repeat_answers", repeatAnswers },
        { "leave", leaveUpstream },
        { "list_as_leaving", listAsLeaving },
        { "list_lag", setListLag },
        { "report_lag", setReportLag },
        { "ticket", submitTicket },
    };
    return verbs;
}

const std::vector<ScenarioVerb> &scenarioExpectations()
{
    static const std::vector<ScenarioVerb> expectations {
        { "answered", expectAnswered },      { "ending", expectEnding },     { "executions", expectExecutions },
        { "decisions", expectDecisions },    { "head", expectHead },         { "verdict", expectVerdict },
        { "no_dispatch", expectNoDispatch }, { "dispatch", expectDispatch }, { "first_byte", expectFirstByte },
        { "stopped", expectStopped },        { "in_force", expectInForce },  { "one_accepted", expectOneAccepted },
    };
    return expectations;
}

const ScenarioVerb &findVerb(const std::vector<ScenarioVerb> &table, const std::string &name)
{
    for (const ScenarioVerb &verb : table) {
        if (verb.name == name) {
            return verb;
        }
    }
    throw std::runtime_error("unknown verb " + name);
}

} // namespace GeraniumLever
