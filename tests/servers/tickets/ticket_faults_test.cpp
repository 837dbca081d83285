#include <iostream>

#include <gtest/gtest.h>

#include "servers/tickets/ticket_rows.h"
#include "tests/servers/tickets/ticket_cluster.h"

namespace GeraniumLever {
namespace {

using std::chrono::seconds;

constexpr Duration InForceLimit = seconds(5);
constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t LastSeed = 300;
constexpr const char *Places[] = { "a", "b", "c" };

/** One ticket text on its way through the hands of an operator. */
struct Errand
{
    enum class State {
        Waiting,
        Unsure,
        Accepted,
        Refused,
    };

    std::uint64_t number = 0;
    std::string text;
    State state = State::Waiting;
    /** The submission without verdict; 0 if there is none. */
    std::uint64_t submission = 0;
};

/** Operators, faults and a cluster, all from one seed. */
class FaultRun
{
public:
    /** settling: time without new faults that a probe ticket is preceded by. */
    FaultRun(std::uint64_t seed, std::size_t nodesEach, Duration settling)
        : random_(seed), nodesEach_(nodesEach), settling_(settling), cluster_(3, nodesEach, seed)
    {
    }

    void run()
    {
        cluster_.run(seconds(5));
        for (int step = 0; step < 60 && !testing::Test::HasFailure(); ++step) {
            injectFault();
            actAsOperators();
            cluster_.run(std::chrono::milliseconds(200 + random_.below(800)));
            takeVerdicts();
            if (random_.below(10) == 0) {
                expectInForceWhereReachable();
            }
        }
        settle();
    }

private:
    std::string place() { return Places[random_.below(3)]; }
    std::string node() { return place() + std::to_string(random_.below(nodesEach_)); }

    void injectFault()
    {
        const std::string one = place();
        const std::string other = place();
        switch (random_.below(9)) {
        case 0:
            cluster_.answers = TicketCluster::Answers::LostAfterEffect;
            return;
        case 1:
            cluster_.answers = TicketCluster::Answers::LostBeforeEffect;
            return;
        case 2:
        case 3:
            cluster_.answers = TicketCluster::Answers::Normal;
            return;
        case 4:
            setPlatform(one, false);
            return;
        case 5:
            setPlatform(one, true);
            return;
        case 6:
            if (one != other) {
                setLink(one, other, false);
            }
            return;
        case 7:
            setLink(one, other, true);
            return;
        case 8:
            cluster_.restart(node());
            return;
        }
    }

    void setPlatform(const std::string &one, bool reachable)
    {
        platform_[one] = reachable;
        cluster_.setPlatform(one, reachable);
    }

    void setLink(const std::string &one, const std::string &other, bool connected)
    {
        cut_[{ std::min(one, other), std::max(one, other) }] = !connected;
        cluster_.setLink(one, other, connected);
    }

    void actAsOperators()
    {
        if (random_.below(2) == 0) {
            // Operators sometimes race for a number, and sometimes leave one out.
            number_ += random_.below(3);
            number_ = std::max<std::uint64_t>(number_, 1);
            const std::string author = "operator-" + std::to_string(errands_.size());
            const std::string model = "m" + std::to_string(random_.below(3));
            std::optional<std::uint64_t> basedOn;
            if (random_.below(2) == 0) {
                basedOn = random_.below(number_);
            }
            errands_.push_back(Errand { number_, modelTicket(number_, author, model, author, basedOn) });
        }
        for (Errand &errand : errands_) {
            const bool open = errand.state == Errand::State::Waiting || errand.state == Errand::State::Unsure;
            if (open && errand.submission == 0) {
                errand.submission = cluster_.submit(node(), errand.text);
            }
        }
    }

    void takeVerdicts()
    {
        for (Errand &errand : errands_) {
            const Result<TicketNumber> *verdict =
                errand.submission == 0 ? nullptr : cluster_.verdict(errand.submission);
            // A node that was replaced gives no verdict; the operator sees a broken connection.
            const bool broken = errand.submission != 0 && verdict == nullptr && ++patience_[errand.submission] > 15;
            if (verdict == nullptr && !broken) {
                continue;
            }
            errand.submission = 0;
            errand.state = verdict == nullptr ? Errand::State::Unsure : stateAfter(errand.state, *verdict);
            if (errand.state == Errand::State::Waiting) {
                // Every node so far has said that it did not accept the ticket.
                EXPECT_FALSE(isStored(errand)) << errand.text;
            }
        }
    }

    static Errand::State stateAfter(Errand::State before, const Result<TicketNumber> &verdict)
    {
        if (succeeded(verdict)) {
            return Errand::State::Accepted;
        }
        switch (errorOf(verdict).code) {
        case ResultCode::TicketStoreUnavailable:
        case ResultCode::NotReady:
            return before;
        case ResultCode::TableAmbiguous:
            return Errand::State::Unsure;
        default:
            return Errand::State::Refused;
        }
    }

    /** Data centres that the given one reaches through links and the platform, itself included. */
    std::set<std::string> reachableFrom(const std::string &start)
    {
        std::set<std::string> reached { start };
        for (std::size_t round = 0; round < std::size(Places); ++round) {
            for (const std::string from : Places) {
                for (const std::string to : Places) {
                    const bool linked = !cut_[{ std::min(from, to), std::max(from, to) }];
                    const bool viaPlatform = reachesPlatform(from) && reachesPlatform(to);
                    if (reached.count(from) > 0 && (linked || viaPlatform)) {
                        reached.insert(to);
                    }
                }
            }
        }
        return reached;
    }

    bool reachesPlatform(const std::string &one) { return platform_.count(one) == 0 || platform_[one]; }

    /** Submits one more ticket and leaves all faults as they are until it is in force wherever it can be. */
    void expectInForceWhereReachable()
    {
        std::vector<std::string> connected;
        for (const std::string one : Places) {
            if (reachesPlatform(one)) {
                connected.push_back(one);
            }
        }
        if (connected.empty()) {
            return;
        }
        // Nodes that have just been replaced are not ready yet.
        cluster_.run(settling_);
        cluster_.answers = TicketCluster::Answers::Normal;
        const std::string start = connected[random_.below(connected.size())];
        number_ += 1000;
        const std::string text = modelTicket(number_, "probe", "probe", std::to_string(number_));
        const std::uint64_t submission = cluster_.submit(start + "0", text);
        cluster_.runUntil(seconds(9), [&] { return cluster_.verdict(submission) != nullptr; });
        ASSERT_NE(cluster_.verdict(submission), nullptr);
        if (!succeeded(*cluster_.verdict(submission))) {
            return;
        }
        ++probes;
        const std::uint64_t number = number_;
        cluster_.run(InForceLimit);
        for (const std::string &reached : reachableFrom(start)) {
            for (std::size_t index = 0; index < nodesEach_; ++index) {
                EXPECT_GE(cluster_.tickets(reached + std::to_string(index)).standing().head, TicketNumber(number))
                    << reached << index;
            }
        }
    }

    void settle()
    {
        cluster_.healAll();
        cluster_.run(seconds(12));
        for (int round = 0; round < 3; ++round) {
            actAsOperators();
            cluster_.run(seconds(9));
            takeVerdicts();
        }
        const TicketNumber last = decodeHead(cluster_.store.rows.at(HeadKey).value)->head;
        EXPECT_TRUE(cluster_.inForceEverywhere(last.value()));
        EXPECT_EQ(cluster_.violation, "");
        for (const std::string &name : cluster_.nodeNames()) {
            EXPECT_TRUE(cluster_.tickets(name).standing().caughtUp) << name;
        }
        expectVerdictsWereTrue();
        expectOneChain();
    }

    bool isStored(const Errand &errand) const
    {
        const std::map<std::string, TableRow>::const_iterator row =
            cluster_.store.rows.find(ticketKey(TicketNumber(errand.number)));
        return row != cluster_.store.rows.end() && decodeRecord(row->second)->text == errand.text;
    }

    void expectVerdictsWereTrue()
    {
        for (const Errand &errand : errands_) {
            const bool stored = isStored(errand);
            if (errand.state == Errand::State::Accepted) {
                EXPECT_TRUE(stored) << errand.text;
                ++accepted;
            } else if (errand.state == Errand::State::Refused) {
                EXPECT_FALSE(stored) << errand.text;
                ++refused;
            }
        }
    }

    void expectOneChain()
    {
        TicketNumber previous;
        for (const auto &[key, row] : cluster_.store.rows) {
            const std::optional<TicketRecord> record = decodeRecord(row);
            if (record.has_value()) {
                EXPECT_EQ(record->previous, previous);
                previous = record->number;
            }
        }
    }

    RandomSource random_;
    std::size_t nodesEach_;
    Duration settling_;
    TicketCluster cluster_;
    std::vector<Errand> errands_;
    std::map<std::uint64_t, int> patience_;
    std::map<std::string, bool> platform_;
    std::map<std::pair<std::string, std::string>, bool> cut_;
    std::uint64_t number_ = 0;

public:
    int accepted = 0;
    int refused = 0;
    int probes = 0;
};

TEST(TicketFaultsTest, RandomFaultsBreakNoPromise)
{
    int accepted = 0;
    int refused = 0;
    int probes = 0;
    for (std::uint64_t seed = FirstSeed; seed <= LastSeed && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        FaultRun run(seed, 3, seconds(5));
        run.run();
        accepted += run.accepted;
        refused += run.refused;
        probes += run.probes;
    }
    // The faults leave enough of both kinds of verdict for the checks to mean something.
    EXPECT_GT(accepted, 1000);
    EXPECT_GT(refused, 1000);
    EXPECT_GT(probes, 500);
    std::cout << accepted << " accepted, " << refused << " refused, " << probes << " timed\n";
}

TEST(TicketFaultsTest, RandomFaultsBreakNoPromiseAmongGateways)
{
    constexpr std::uint64_t LastFleetSeed = 20;
    int probes = 0;
    for (std::uint64_t seed = FirstSeed; seed <= LastFleetSeed && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        FaultRun run(seed, 12, seconds(10));
        run.run();
        probes += run.probes;
    }
    EXPECT_GT(probes, 50);
    std::cout << probes << " timed\n";
}

} // namespace
} // namespace GeraniumLever
