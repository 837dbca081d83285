/** Simulation of three nodes with real claim systems, a fake platform, mesh and service, and faults injected at chosen
 *  protocol steps. */
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "servers/claims/claims.h"

namespace GeraniumLever {

/** All protocol steps from a caller's request to the last write for it. */
enum class ProtocolStep : std::uint8_t {
    RequestArrives,
    RegisterApplied,
    RegisterAnswered,
    RowRead,
    RowReadAnswered,
    SeatGranted,
    InsertApplied,
    InsertAnswered,
    RowReadBack,
    RowReadBackAnswered,
    DispatchRequested,
    ServiceExecutes,
    AnswerArrives,
    BodyStored,
    BodyStoredAnswered,
    ResultApplied,
    ResultAnswered,
    ReleaseApplied,
    ReleaseAnswered,
    QueryArrives,
    ReplyArrives,
    BodyRead,
    BodyReadAnswered,
    Tick,
    Count,
};

constexpr std::size_t StepCount = static_cast<std::size_t>(ProtocolStep::Count);
constexpr std::array<const char *, StepCount> StepNames = {
    "request arrives",      "register applied",
    "register answered",    "row read",
    "row read answered",    "seat granted",
    "insert applied",       "insert answered",
    "row read back",        "row read back answered",
    "dispatch requested",   "service executes",
    "answer arrives",       "body stored",
    "body stored answered", "result applied",
    "result answered",      "release applied",
    "release answered",     "query arrives",
    "reply arrives",        "body read",
    "body read answered",   "tick",
};

enum class NodeFault : std::uint8_t {
    None,
    Crash,
    ShortFreeze,
    LongFreeze,
    Count
};
enum class StoreFault : std::uint8_t {
    None,
    Refused,
    AnswerLost,
    RequestLost,
    LateEffect,
    Count
};

/** Deliberate protocol bugs, which the invariant checks must detect. */
enum class InjectedBug : std::uint8_t {
    None,
    /** Dispatches although startDispatch() returned false. */
    DispatchesAbandonedClaim,
    /** Reports "not run" without marking the claim abandoned. */
    ReportsNotRunBeforeAbandon,
    /** Treats the claim of an unreachable holder as abandoned. */
    TreatsUnreachableAsAbandoned,
    /** Inserts the claim although its condition does not hold. */
    ClaimsUnconditionally,
    /** Reports "not run" although the row could not be read. */
    ReportsNotRunOnReadFailure,
};

struct FaultPlan
{
    std::uint64_t seed = 1;
    /** The node fault is injected at the step's node just before the given occurrence of the step. */
    NodeFault nodeFault = NodeFault::None;
    ProtocolStep step = ProtocolStep::Tick;
    std::uint64_t occurrence = 0;
    /** Injected into the first writes of the step. */
    StoreFault storeFault = StoreFault::None;
    ProtocolStep storeStep = ProtocolStep::InsertApplied;
    /** Injects additional random store faults, one in this many operations on average; 0 means none. */
    std::uint64_t storeFaultEvery = 0;
    InjectedBug injectedBug = InjectedBug::None;
};

constexpr const char *RanTwice = "the call ran twice";
constexpr const char *RunReportedAsNotRun = "a call that ran was reported as not run";
constexpr const char *WrongAnswer = "an answer differs from the execution's answer";

struct RunReport
{
    std::vector<std::string> violations;
    bool nodeFaultInjected = false;
    std::size_t executions = 0;
    std::size_t calls = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t answered = 0;
    std::array<std::uint64_t, StepCount> storeFaults {};
    std::array<std::uint64_t, StepCount> steps {};
};

class ClaimSimulation
{
public:
    explicit ClaimSimulation(const FaultPlan &plan);

    /** Simulates one call with repeats at every node, first under faults, then after everything has recovered. */
    RunReport run();

private:
    static constexpr std::size_t NodeCount = 3;
    static constexpr std::size_t Platform = NodeCount;

    struct Node
    {
        OperationCounter operations;
        Incarnation incarnation;
        std::unique_ptr<ClaimSystem> claims;
        TimePoint frozenUntil;
    };

    struct Action
    {
        ProtocolStep step = ProtocolStep::Tick;
        /** The node that the step belongs to. */
        std::size_t origin = 0;
        /** Where the step runs: at its origin, or at Platform, outside of all nodes. */
        std::size_t location = 0;
        TimePoint due;
        std::function<void()> perform;
    };

    struct Call
    {
        RequestId id;
        std::size_t node = 0;
        std::uint64_t sentAt = 0;
        std::uint64_t endedAt = UINT64_MAX;
        /** Sequence number of the step at which the call's registration took effect. */
        std::uint64_t registeredAt = UINT64_MAX;
        /** True if the caller gave up without an answer. */
        bool callerGaveUp = false;
        TimePoint deadline {};
        bool ended = false;
        Outcome reportedOutcome = Outcome::Unknown;
    };

    struct Execution
    {
        std::size_t call = 0;
        std::uint64_t at = 0;
        RecordedAnswer answer;
    };

    void post(
        ProtocolStep step, std::size_t origin, std::size_t location, Duration latest, std::function<void()> perform);
    void step();
    void advance();
    void runUntilIdle();
    bool isIdle() const;
    bool injectNodeFault(ProtocolStep step, std::size_t node);
    void crash(std::size_t node);
    void start(std::size_t node);
    StoreFault nextStoreFault(ProtocolStep step);

    void send(std::size_t node);
    void scheduleRepeat();
    void dropCaller(const RequestId &request);
    void reportOutcome(const RequestId &request, Outcome outcome, const RecordedAnswer *answer);
    void reportNotRun(const RequestId &request, std::size_t node);
    Call &callOf(const RequestId &request);

    using NodeInput = std::function<void(ClaimSystem &, Commands &)>;
    void callNode(std::size_t node, const NodeInput &call, bool readingBack = false);
    void perform(std::size_t node, const Command &command, bool readingBack);
    void write(std::size_t node, const TableTransaction &transaction);
    void read(std::size_t node, const TableGet &get, bool readingBack);
    void storeObject(std::size_t node, const ObjectPut &put);
    void answer(ProtocolStep step, std::size_t node, const StoreResult &result);
    bool apply(const TableTransaction &transaction);
    void sendToPeer(std::size_t node, const PeerSend &send);
    void peerUnreachable(std::size_t node, std::size_t peer, const ClaimQuery &query);
    void handleNotice(std::size_t node, const ClaimNotice &notice);
    void dispatch(std::size_t node, const RequestId &request);
    void execute(std::size_t node, Incarnation incarnation, const RequestId &request);
    void check();

    FaultPlan plan_;
    RandomSource random_;
    SteppedClock clock_;
    std::array<Node, NodeCount> nodes_;
    std::map<std::string, TableRow> rows_;
    std::map<std::string, std::string> objects_;
    std::vector<Action> actions_;
    std::vector<Call> calls_;
    std::vector<Execution> executions_;
    RunReport report_;
    std::uint64_t sequence_ = 0;
    std::uint64_t lastAttempt_ = 0;
    bool recovering_ = false;
    bool outcomeLost_ = false;
};

} // namespace GeraniumLever
