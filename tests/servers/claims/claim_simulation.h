/** Three nodes with real claim systems, a fake platform, mesh and service, and faults at chosen protocol steps. */
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "servers/claims/claims.h"

namespace GeraniumLever {

/** Everything that can happen between a caller's request and the last write about it. */
enum class ProtocolStep : std::uint8_t {
    RequestArrives,
    RegisterApplied,
    RegisterAnswered,
    RowRead,
    RowReadAnswered,
    SeatGranted,
    InsertApplied,
    InsertAnswered,
    SettleRead,
    SettleAnswered,
    DispatchAsked,
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
    "request arrives",   "register applied", "register answered",    "row read",
    "row read answered", "seat granted",     "insert applied",       "insert answered",
    "settle read",       "settle answered",  "dispatch asked",       "service executes",
    "answer arrives",    "body stored",      "body stored answered", "result applied",
    "result answered",   "release applied",  "release answered",     "query arrives",
    "reply arrives",     "body read",        "body read answered",   "tick",
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

/** Deliberate mistakes, which the invariants have to find. */
enum class Mistake : std::uint8_t {
    None,
    /** Dispatches although startDispatch said no. */
    DispatchesAbandoned,
    /** Says "not run" before the claim is marked abandoned. */
    SaysNotRunUnmarked,
    /** Takes an unreachable holder's claim for abandoned. */
    TakesUnreachableForAbandoned,
    /** Claims without the condition. */
    ClaimsUnconditionally,
    /** Says "not run" although the row could not be read. */
    SaysNotRunUnread,
};

struct FaultPlan
{
    std::uint64_t seed = 1;
    /** The node fault strikes the step's node just before the given occurrence of the step. */
    NodeFault nodeFault = NodeFault::None;
    ProtocolStep step = ProtocolStep::Tick;
    std::uint64_t occurrence = 0;
    /** Befalls the first writes of the step. */
    StoreFault storeFault = StoreFault::None;
    ProtocolStep storeStep = ProtocolStep::InsertApplied;
    /** Random store faults besides, one in so many operations; 0 means none. */
    std::uint64_t storeFaultEvery = 0;
    Mistake mistake = Mistake::None;
};

constexpr const char *RanTwice = "the call ran twice";
constexpr const char *RunDenied = "a call that ran was told not run";
constexpr const char *OtherAnswer = "an answer is not that of the execution";

struct RunReport
{
    std::vector<std::string> violations;
    bool nodeFaultStruck = false;
    std::size_t executions = 0;
    std::size_t calls = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t answered = 0;
    std::array<std::uint64_t, StepCount> storeFaults {};
    std::array<std::uint64_t, StepCount> steps {};
};

class ClaimWorld
{
public:
    explicit ClaimWorld(const FaultPlan &plan);

    /** One call with repeats at every node, first under faults, then after everything has recovered. */
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
        /** The node that the step belongs to, and where it runs: there, or outside of all nodes. */
        std::size_t origin = 0;
        std::size_t place = 0;
        TimePoint due;
        std::function<void()> perform;
    };

    struct Call
    {
        RequestId id;
        std::size_t node = 0;
        std::uint64_t sentAt = 0;
        std::uint64_t endedAt = UINT64_MAX;
        /** When its registration took effect. */
        std::uint64_t registeredAt = UINT64_MAX;
        /** True if the caller left without an answer. */
        bool left = false;
        TimePoint deadline {};
        bool ended = false;
        Outcome told = Outcome::Unknown;
    };

    struct Execution
    {
        std::size_t call = 0;
        std::uint64_t at = 0;
        RecordedAnswer answer;
    };

    void post(ProtocolStep step, std::size_t origin, std::size_t place, Duration latest, std::function<void()> perform);
    void step();
    void advance();
    void runUntilQuiet();
    bool quiet() const;
    bool strike(ProtocolStep step, std::size_t node);
    void crash(std::size_t node);
    void start(std::size_t node);
    StoreFault faultFor(ProtocolStep step);

    void send(std::size_t node);
    void repeatSomewhere();
    void leave(const RequestId &request);
    void tell(const RequestId &request, Outcome outcome, const RecordedAnswer *answer);
    void notRun(const RequestId &request, std::size_t node);
    Call &callOf(const RequestId &request);

    using NodeInput = std::function<void(ClaimSystem &, Commands &)>;
    void input(std::size_t node, const NodeInput &call, bool settling = false);
    void perform(std::size_t node, const Command &command, bool settling);
    void write(std::size_t node, const TableTransaction &transaction);
    void read(std::size_t node, const TableGet &get, bool settling);
    void storeObject(std::size_t node, const ObjectPut &put);
    void answer(ProtocolStep step, std::size_t node, const StoreResult &result);
    bool apply(const TableTransaction &transaction);
    void sendToPeer(std::size_t node, const PeerSend &send);
    void peerUnreachable(std::size_t node, std::size_t peer, const ClaimQuery &query);
    void handle(std::size_t node, const ClaimNotice &notice);
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
