/** Simulated nodes, network, platform, upstreams and callers of one scenario, all on one simulated clock. */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "main/node/node.h"
#include "tests/scenarios/fake_store.h"
#include "tests/scenarios/fake_upstream.h"
#include "tests/scenarios/scenario_call.h"
#include "tests/scenarios/scenario_file.h"
#include "tests/scenarios/timeline.h"

namespace GeraniumLever {

/** One node: its logic and its simulated process. */
struct ScenarioNode
{
    NodeAddress address;
    std::uint64_t incarnation = 0;
    std::unique_ptr<NodeLogic> logic;
    bool up = false;
    bool frozen = false;
    bool stopped = false;
    /** Events that arrived while the node was frozen. */
    std::vector<Event> heldEvents;
    std::uint64_t requests = 0;
    /** The highest ticket number that any incarnation of the node has had in force. */
    TicketNumber highestHead;
};

/** Fault of the fake platform. */
struct StoreFault
{
    enum class Kind : std::uint8_t {
        None,
        /** Fails every operation with a definite error. */
        Down,
        /** Writes take no effect and get no answer. */
        LoseBefore,
        /** Writes take effect but get no answer. */
        LoseAfter,
        /** Writes take effect after the node has given up waiting. */
        Late,
    };

    Kind kind = Kind::None;
    /** Number of writes affected; -1 for all. */
    int count = -1;

    auto operator<=>(const StoreFault &) const = default;
};

class ScenarioWorld
{
public:
    explicit ScenarioWorld(const Scenario &scenario);
    ~ScenarioWorld();

    /** Runs until every node is ready with the first ticket in force; false if that takes longer than 30 s. */
    bool start();

    /** Advances by one step: runs the due actions, then one tick of each running node. */
    void step();

    TimePoint now() const { return timeline.now(); }

    /**
     * Nodes that match "a1", "scheduler@a", "desk_scheduler@a", "other@a", "all@a", "any" or "all". Throws
     * std::runtime_error if none does.
     */
    std::vector<ScenarioNode *> nodesOf(const std::string &spec);
    ScenarioNode &node(const std::string &spec) { return *nodesOf(spec).front(); }
    /** Upstreams that match a name, "engines" or "services". Throws std::runtime_error if none does. */
    std::vector<FakeUpstream *> upstreamsOf(const std::string &spec);

    void startNode(ScenarioNode &node);
    void kill(ScenarioNode &node);
    void thaw(ScenarioNode &node);
    void stop(ScenarioNode &node);
    /** Cuts or restores the connection of two ends, each the name of a node or "store". */
    void partition(const std::string &left, const std::string &right, bool cut);
    /** id: key of the result in `verdicts`. */
    void submitTicket(ScenarioNode &node, std::uint64_t id, const std::string &text);
    void call(ScenarioCall call, ScenarioNode &node, CallerRequest request);

    Timeline timeline;
    std::map<std::string, ScenarioNode> nodes;
    std::map<std::string, std::unique_ptr<FakeUpstream>> upstreams;
    std::vector<std::unique_ptr<ScenarioCall>> calls;
    std::map<std::uint64_t, bool> verdicts;
    StoreFault storeFault;
    Duration vmListLag { 0 };
    Duration loadReportLag = std::chrono::milliseconds(200);
    std::set<std::string> leavingInVmList;
    std::deque<std::string> log;
    /** Number of decisions by "kind class". */
    std::map<std::string, std::uint64_t> decisions;
    /** Violations of invariants that hold in every scenario. */
    std::vector<std::string> invariantViolations;

private:
    /** Destination of the answer to a request. */
    struct Origin
    {
        ScenarioCall *call = nullptr;
        /** The node that forwarded the request; null if a caller sent it. */
        ScenarioNode *node = nullptr;
        std::uint64_t incarnation = 0;
        AttemptId attempt;
        RequestId originalRequest;
        bool streamed = false;
    };

    void buildSite(const std::map<std::string, std::string> &site);
    void addUpstream(const std::string &name, const std::string &dataCenter, bool engine, std::uint32_t seats);
    std::string firstTicket() const;
    void deliver(ScenarioNode &node, std::uint64_t incarnation, const Event &event);
    void handle(ScenarioNode &node, const Event &event);
    void executeCommands(ScenarioNode &node, Commands &commands);
    void pollLoadReports();
    void sendVmList();
    void checkInvariants();
    bool connected(const std::string &left, const std::string &right) const;
    RequestId originalRequestOf(const RequestId &request) const;

    void run(ScenarioNode &node, const PeerSend &command);
    void run(ScenarioNode &node, const UpstreamDispatch &command);
    void run(ScenarioNode &node, const UpstreamCancel &command);
    void run(ScenarioNode &node, const UpstreamProbe &command);
    void run(ScenarioNode &node, const UpstreamReadControl &) { (void)node; }
    void run(ScenarioNode &node, const EngineOrder &) { (void)node; }
    void run(ScenarioNode &node, const RequestMetrics &) { (void)node; }
    void run(ScenarioNode &node, const TicketSubmissionResult &command);
    void run(ScenarioNode &node, const Decision &command);
    void run(ScenarioNode &node, const StopCompleted &command);
    void run(ScenarioNode &node, const TableTransaction &command);
    void run(ScenarioNode &node, const TableGet &command);
    void run(ScenarioNode &node, const TableScan &command);
    void run(ScenarioNode &node, const ObjectPut &command);
    void run(ScenarioNode &node, const ObjectGet &command);
    void run(ScenarioNode &node, const ReplyHead &command);
    void run(ScenarioNode &node, const ReplyData &command);
    void run(ScenarioNode &node, const ReplyEnd &command);
    void run(ScenarioNode &node, const ReplyError &command);
    template<typename Operation>
    void read(ScenarioNode &node, const Operation &operation);
    template<typename Operation>
    void write(ScenarioNode &node, const Operation &operation);
    void forward(ScenarioNode &node, ScenarioNode &target, const UpstreamDispatch &command);
    template<typename Reply>
    void reply(const Reply &command);

    std::uint64_t seed_;
    std::uint64_t nextIncarnation_ = 1;
    FakeStore store_;
    std::set<std::pair<std::string, std::string>> cutConnections_;
    std::map<RequestId, Origin> origins_;
    std::map<std::uint64_t, TicketNumber> headOfIncarnation_;
    std::size_t executionsChecked_ = 0;
};

} // namespace GeraniumLever
