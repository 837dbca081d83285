#include "servers/relay/prompt_quarantine.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "servers/relay/peer_view.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t SharedPart = 11;
constexpr std::uint64_t CrashingPart = 22;
constexpr std::uint64_t SoundPart = 33;

PromptInfo promptOf(std::vector<std::uint64_t> parts)
{
    PromptInfo prompt;
    for (const std::uint64_t part : parts) {
        prompt.parts.push_back({ part, 100 });
    }
    return prompt;
}

class PromptQuarantineTest : public testing::Test
{
protected:
    PromptQuarantineTest() { clock_.advance(minutes(5)); }

    PromptInfo crashing() { return promptOf({ SharedPart, CrashingPart, ++lastOwn_ }); }
    PromptInfo sound() { return promptOf({ SharedPart, SoundPart, ++lastOwn_ }); }

    UpstreamIdentity nextUpstream()
    {
        return { UpstreamName("e" + std::to_string(++lastUpstream_)), "10.0.0.1:80", 1 };
    }

    /** Another upstream crashes under all of these requests. */
    UpstreamIdentity crash(const std::vector<PromptInfo> &prompts, PromptQuarantine &quarantine)
    {
        const UpstreamIdentity upstream = nextUpstream();
        for (const PromptInfo &prompt : prompts) {
            quarantine.noteCrash(upstream, prompt, clock_.now(), clock_.now());
        }
        return upstream;
    }

    /** So many upstreams crash under such requests at the same moment, and the registry shows it later. */
    void crashTogether(int count, const std::function<PromptInfo()> &prompt)
    {
        std::vector<UpstreamIdentity> upstreams;
        for (int number = 0; number < count; ++number) {
            upstreams.push_back(crash({ prompt() }, quarantine_));
            clock_.advance(milliseconds(10));
        }
        endLater(upstreams);
    }

    void endLater(const std::vector<UpstreamIdentity> &upstreams)
    {
        clock_.advance(seconds(4));
        for (const UpstreamIdentity &upstream : upstreams) {
            quarantine_.noteEnded(upstream, clock_.now());
        }
    }

    void crashTimes(int count, const PromptInfo &prompt)
    {
        for (int number = 0; number < count; ++number) {
            crash({ prompt }, quarantine_);
            clock_.advance(seconds(1));
        }
    }

    bool isBlocked(const PromptInfo &prompt) const
    {
        return quarantine_.blockedFor(prompt, clock_.now()) > Duration(0);
    }

    SteppedClock clock_;
    PromptQuarantine quarantine_ { 1 };
    std::uint64_t lastOwn_ = 1000;
    int lastUpstream_ = 0;
};

TEST_F(PromptQuarantineTest, PartUnderWhichUpstreamsCrashIsKeptFromFurtherOnes)
{
    quarantine_.noteAnswered(sound(), clock_.now());
    for (int number = 0; number < 2; ++number) {
        crash({ crashing(), sound() }, quarantine_);
        quarantine_.noteAnswered(sound(), clock_.now());
        EXPECT_FALSE(isBlocked(crashing()));
        clock_.advance(seconds(1));
    }
    crash({ crashing(), sound() }, quarantine_);
    EXPECT_TRUE(isBlocked(crashing()));
    EXPECT_FALSE(isBlocked(sound()));
    EXPECT_FALSE(isBlocked(promptOf({ CrashingPart }))) << "the last part belongs to the request alone";
}

TEST_F(PromptQuarantineTest, PartThatSoundRequestsShareIsNotBlamedThoughNoneWasAnsweredYet)
{
    crashTimes(3, crashing());
    EXPECT_TRUE(isBlocked(crashing()));
    EXPECT_FALSE(isBlocked(sound()));
    crashTimes(2, crashing());
    EXPECT_FALSE(isBlocked(sound())) << "crashes that are accounted for accuse no other part";
}

TEST_F(PromptQuarantineTest, CrashingPartIsFoundWhicheverPositionItHas)
{
    for (int number = 0; number < 3; ++number) {
        crash({ promptOf({ CrashingPart, static_cast<std::uint64_t>(500 + number), ++lastOwn_ }) }, quarantine_);
        clock_.advance(seconds(1));
    }
    EXPECT_TRUE(isBlocked(promptOf({ CrashingPart, 900, 901 })));
    EXPECT_FALSE(isBlocked(promptOf({ SharedPart, 500, 901 })));
}

TEST_F(PromptQuarantineTest, CrashesAtOneMomentBlameNoPart)
{
    for (int number = 0; number < 20; ++number) {
        crash({ sound() }, quarantine_);
        clock_.advance(milliseconds(10));
    }
    EXPECT_FALSE(isBlocked(sound()));
}

// Guards against batches of requests with a crashing part that end several upstreams at the same moment each time.
TEST_F(PromptQuarantineTest, CrashesAtOneMomentBlameThePartThatAllLostUpstreamsHad)
{
    quarantine_.noteAnswered(sound(), clock_.now());
    crashTogether(9, [this]() { return crashing(); });
    EXPECT_TRUE(isBlocked(crashing()));
    EXPECT_FALSE(isBlocked(sound()));
}

// Guards against a loss of power at several upstreams barring what they were working on.
TEST_F(PromptQuarantineTest, UpstreamsThatLoseOtherRequestsAtTheSameMomentBlameNoPart)
{
    quarantine_.noteAnswered(promptOf({ SharedPart, ++lastOwn_ }), clock_.now());
    std::vector<UpstreamIdentity> upstreams;
    for (int number = 0; number < 4; ++number) {
        upstreams.push_back(crash({ crashing() }, quarantine_));
        upstreams.push_back(crash({ sound() }, quarantine_));
    }
    endLater(upstreams);
    EXPECT_FALSE(isBlocked(crashing()));
    EXPECT_FALSE(isBlocked(sound()));
}

TEST_F(PromptQuarantineTest, CrashesAtOneMomentDoNotBlameAPartThatWasAnsweredBefore)
{
    quarantine_.noteAnswered(sound(), clock_.now());
    crashTogether(12, [this]() { return sound(); });
    EXPECT_FALSE(isBlocked(sound()));
}

// Guards against connections that a server ends after its entry was removed counting as its crash.
TEST_F(PromptQuarantineTest, UpstreamsThatHadLeftTheRegistryBeforeTheyEndedBlameNoPart)
{
    std::vector<UpstreamIdentity> upstreams(5);
    std::generate(upstreams.begin(), upstreams.end(), [this]() { return nextUpstream(); });
    endLater(upstreams);
    clock_.advance(seconds(1));
    for (const UpstreamIdentity &upstream : upstreams) {
        quarantine_.noteCrash(upstream, crashing(), clock_.now(), clock_.now());
    }
    EXPECT_FALSE(isBlocked(crashing()));
}

// Guards against the loss of all upstreams at once barring each kind of request that no upstream has answered yet.
TEST_F(PromptQuarantineTest, PartsThatNoRequestHasTogetherAreNotBlamedForOneMoment)
{
    std::vector<UpstreamIdentity> upstreams(9);
    std::generate(upstreams.begin(), upstreams.end(), [this]() {
        return crash({ promptOf({ 100, ++lastOwn_ }), promptOf({ 200, ++lastOwn_ }) }, quarantine_);
    });
    endLater(upstreams);
    EXPECT_FALSE(isBlocked(promptOf({ 100, ++lastOwn_ })));
    EXPECT_FALSE(isBlocked(promptOf({ 200, ++lastOwn_ })));
}

// Guards against crashes of one moment filling the list of a suspect, so that later ones are not counted.
TEST_F(PromptQuarantineTest, ManyCrashesAtOneMomentLeaveRoomForThoseThatFollow)
{
    for (int moment = 0; moment < 3; ++moment) {
        EXPECT_FALSE(isBlocked(crashing()));
        for (int number = 0; number < 20; ++number) {
            crash({ crashing() }, quarantine_);
        }
        clock_.advance(seconds(6));
    }
    EXPECT_TRUE(isBlocked(crashing()));
}

TEST_F(PromptQuarantineTest, SameUpstreamCountsOnce)
{
    const UpstreamIdentity upstream { UpstreamName("e1"), "10.0.0.1:80", 1 };
    for (int number = 0; number < 10; ++number) {
        quarantine_.noteCrash(upstream, sound(), clock_.now(), clock_.now());
        clock_.advance(seconds(1));
    }
    EXPECT_FALSE(isBlocked(sound()));
}

TEST_F(PromptQuarantineTest, PartThatWasAnsweredBeforeIsBlamedAfterMoreCrashes)
{
    quarantine_.noteAnswered(crashing(), clock_.now());
    crashTimes(5, crashing());
    EXPECT_FALSE(isBlocked(crashing()));
    crashTimes(1, crashing());
    EXPECT_TRUE(isBlocked(crashing()));
}

TEST_F(PromptQuarantineTest, RandomCrashesBarNoSoundRequest)
{
    RandomSource random(3);
    for (int round = 0; round < 2000; ++round) {
        std::vector<PromptInfo> lost;
        for (int number = 0; number < 30; ++number) {
            const std::uint64_t subject = 100 + random.below(1 + random.below(300));
            const PromptInfo prompt = promptOf({ SharedPart + random.below(3), subject, ++lastOwn_ });
            ASSERT_FALSE(isBlocked(prompt)) << "round " << round;
            // A tenth of all requests is lost in a crash each second.
            if (random.below(10) == 0) {
                lost.push_back(prompt);
            } else {
                quarantine_.noteAnswered(prompt, clock_.now());
            }
        }
        crash(lost, quarantine_);
        clock_.advance(seconds(1));
        quarantine_.expire(clock_.now());
    }
}

TEST_F(PromptQuarantineTest, PartIsTriedAgainByOneRequestAndReleasedOnceItIsAnswered)
{
    crashTimes(3, crashing());
    clock_.advance(quarantine_.blockedFor(crashing(), clock_.now()));
    EXPECT_FALSE(isBlocked(crashing()));
    quarantine_.noteSent(crashing(), clock_.now());
    EXPECT_TRUE(isBlocked(crashing())) << "one request is enough";
    quarantine_.noteAnswered(crashing(), clock_.now());
    EXPECT_FALSE(isBlocked(crashing()));
    EXPECT_EQ(quarantine_.size(), 0U);
    EXPECT_EQ(quarantine_.takeChanges().size(), 2U);
}

TEST_F(PromptQuarantineTest, TrialsBecomeRareWhileUpstreamsGoOnCrashing)
{
    crashTimes(3, crashing());
    int trials = 0;
    Duration longest(0);
    const TimePoint end = clock_.now() + std::chrono::hours(12);
    while (clock_.now() < end) {
        const Duration wait = quarantine_.blockedFor(crashing(), clock_.now());
        longest = std::max(longest, wait);
        clock_.advance(wait);
        quarantine_.noteSent(crashing(), clock_.now());
        crash({ crashing() }, quarantine_);
        ++trials;
        quarantine_.expire(clock_.now());
    }
    EXPECT_LE(trials, 24);
    EXPECT_LE(longest, std::chrono::hours(2));
}

TEST_F(PromptQuarantineTest, SuspectsAreForgottenAndTheirNumberIsBounded)
{
    for (std::uint64_t number = 0; number < 10000; ++number) {
        crash({ promptOf({ 100000 + number, 1 }) }, quarantine_);
    }
    EXPECT_LE(quarantine_.suspects(), 4096U);
    clock_.advance(minutes(11));
    quarantine_.expire(clock_.now());
    EXPECT_EQ(quarantine_.suspects(), 0U);
}

// The store.

TEST_F(PromptQuarantineTest, NodesThatStartKnowFromTheStoreWhatAllOfThemHaveForgotten)
{
    const auto first = [](std::uint64_t) { return std::size_t(0); };
    crashTimes(3, crashing());
    const QuarantineUpdate update = quarantine_.reconcile({}, first, clock_.now());
    ASSERT_EQ(update.added, (std::map<std::uint64_t, std::uint32_t> { { CrashingPart, 3 } }));
    PromptQuarantine started(2);
    EXPECT_TRUE(started.reconcile({ update.added, {} }, first, clock_.now()).empty());
    EXPECT_GT(started.blockedFor(crashing(), clock_.now()), Duration(0));
    EXPECT_TRUE(started.agreesWith({ update.added, {} }));
    EXPECT_EQ(started.reconcile({}, first, clock_.now()).added, update.added) << "the store was restored from a copy";
    started.noteAnswered(crashing(), clock_.now());
    EXPECT_EQ(started.reconcile({ update.added, {} }, first, clock_.now()).removed,
              std::vector<std::uint64_t> { CrashingPart });
    EXPECT_EQ(started.blockedFor(crashing(), clock_.now()), Duration(0)) << "a released part is not adopted again";
}

// Guards against a node that once had an answer to a part removing the verdict that others have reached since.
TEST_F(PromptQuarantineTest, OnlyNodesThatHadAPartInQuarantineRemoveItFromTheStore)
{
    const auto first = [](std::uint64_t) { return std::size_t(0); };
    PromptQuarantine other(2);
    other.noteAnswered(crashing(), clock_.now());
    crash({ crashing() }, other);
    other.noteAnswered(crashing(), clock_.now());
    clock_.advance(seconds(10));
    crashTimes(3, crashing());
    const StoredQuarantine stored { quarantine_.reconcile({}, first, clock_.now()).added, {} };
    ASSERT_EQ(stored.crashes.count(CrashingPart), 1U);
    EXPECT_TRUE(other.reconcile(stored, first, clock_.now()).empty());
    quarantine_.noteAnswered(crashing(), clock_.now());
    EXPECT_EQ(quarantine_.reconcile(stored, first, clock_.now()).removed, std::vector<std::uint64_t> { CrashingPart });
}

TEST_F(PromptQuarantineTest, TrialsStayRareThoughAllNodesHaveStartedAgain)
{
    const auto first = [](std::uint64_t) { return std::size_t(0); };
    crashTimes(3, crashing());
    StoredQuarantine stored { quarantine_.reconcile({}, first, clock_.now()).added, {} };
    int trials = 0;
    const TimePoint end = clock_.now() + minutes(30);
    while (clock_.now() < end) {
        PromptQuarantine started(static_cast<std::uint64_t>(trials));
        started.reconcile(stored, first, clock_.now());
        clock_.advance(started.blockedFor(crashing(), clock_.now()));
        started.noteSent(crashing(), clock_.now());
        crash({ crashing() }, started);
        for (const auto &[part, crashes] : started.reconcile(stored, first, clock_.now()).added) {
            stored.crashes[part] = crashes;
        }
        ++trials;
    }
    EXPECT_LE(trials, 8);
}

TEST_F(PromptQuarantineTest, AFewNodesWriteAPartOneAfterTheOther)
{
    crashTimes(3, crashing());
    const auto rank = [](std::size_t value) { return [value](std::uint64_t) { return value; }; };
    EXPECT_TRUE(quarantine_.reconcile({}, rank(2), clock_.now()).empty());
    EXPECT_TRUE(quarantine_.reconcile({}, rank(2), clock_.now()).empty());
    EXPECT_FALSE(quarantine_.reconcile({}, rank(2), clock_.now()).empty());
    EXPECT_TRUE(quarantine_.reconcile({}, rank(3), clock_.now()).empty());
}

// Whole requests.

constexpr std::uint64_t CrashingRequest = RequestFingerprintBit | 1;
constexpr std::uint64_t SoundRequest = RequestFingerprintBit | 2;

PromptInfo requestOf(std::uint64_t fingerprint)
{
    PromptInfo prompt;
    prompt.fingerprint = fingerprint;
    return prompt;
}

TEST_F(PromptQuarantineTest, RequestThatCrashesUpstreamsOneAfterTheOtherIsQuarantined)
{
    for (int number = 0; number < 3; ++number) {
        EXPECT_FALSE(isBlocked(requestOf(CrashingRequest)));
        crash({ requestOf(CrashingRequest) }, quarantine_);
        clock_.advance(milliseconds(5));
    }
    EXPECT_TRUE(isBlocked(requestOf(CrashingRequest)));
    EXPECT_FALSE(isBlocked(requestOf(SoundRequest)));
}

TEST_F(PromptQuarantineTest, EqualRequestsThatAreLostAtTheSameTimeAreOneCrash)
{
    const TimePoint sentAt = clock_.now();
    clock_.advance(milliseconds(60));
    for (int number = 0; number < 6; ++number) {
        const UpstreamIdentity upstream { UpstreamName("p" + std::to_string(number)), "10.0.0.1:80", 1 };
        quarantine_.noteCrash(upstream, requestOf(SoundRequest), sentAt, clock_.now());
        clock_.advance(milliseconds(5));
    }
    EXPECT_FALSE(isBlocked(requestOf(SoundRequest)));
}

TEST_F(PromptQuarantineTest, SoundPartsOfACrashingRequestAreNotQuarantined)
{
    PromptInfo request = promptOf({ SharedPart, SoundPart, ++lastOwn_ });
    request.fingerprint = CrashingRequest;
    crashTimes(3, request);
    EXPECT_TRUE(isBlocked(request));
    EXPECT_FALSE(isBlocked(sound()));
}

TEST_F(PromptQuarantineTest, PartThatBecameKnownBeforeTheCrashingRequestIsReleasedWithIt)
{
    PromptInfo request = promptOf({ SharedPart, SoundPart, ++lastOwn_ });
    crashTimes(3, request);
    ASSERT_TRUE(isBlocked(sound())) << "the part accounts for all crashes that are known yet";
    StoredQuarantine stored;
    stored.crashes[SoundPart] = 3;
    request.fingerprint = CrashingRequest;
    CrashReport report { NodeName("other"), {} };
    report.suspects.push_back({ CrashingRequest, 2, false, {}, std::nullopt, std::nullopt });
    for (const SuspectReport &known : quarantine_.report(clock_.now())) {
        if (known.part == SoundPart) {
            report.suspects[0].crashes = known.crashes;
        }
    }
    quarantine_.receive(report, clock_.now());
    EXPECT_TRUE(isBlocked(request));
    EXPECT_FALSE(isBlocked(sound()));
    const auto first = [](std::uint64_t) { return std::size_t(0); };
    const QuarantineUpdate update = quarantine_.reconcile(stored, first, clock_.now());
    EXPECT_FALSE(isBlocked(sound())) << "the store does not know yet";
    EXPECT_EQ(update.removed, std::vector<std::uint64_t> { SoundPart });
    crashTimes(3, sound());
    EXPECT_TRUE(isBlocked(sound())) << "other requests crash, too";
}

TEST_F(PromptQuarantineTest, SoundRequestThatWasAtEachCrashIsServedSoonAfter)
{
    for (int number = 0; number < 3; ++number) {
        crash({ requestOf(CrashingRequest), requestOf(SoundRequest) }, quarantine_);
        clock_.advance(milliseconds(100));
    }
    clock_.advance(seconds(2));
    ASSERT_FALSE(isBlocked(requestOf(SoundRequest)));
    quarantine_.noteSent(requestOf(SoundRequest), clock_.now());
    EXPECT_TRUE(isBlocked(requestOf(SoundRequest))) << "one trial";
    clock_.advance(milliseconds(60));
    quarantine_.noteAnswered(requestOf(SoundRequest), clock_.now());
    EXPECT_FALSE(isBlocked(requestOf(SoundRequest)));
    quarantine_.noteSent(requestOf(CrashingRequest), clock_.now());
    crash({ requestOf(CrashingRequest) }, quarantine_);
    clock_.advance(seconds(9));
    EXPECT_TRUE(isBlocked(requestOf(CrashingRequest)));
}

TEST_F(PromptQuarantineTest, AnsweredRequestsAreNotRemembered)
{
    for (std::uint64_t number = 0; number < 3 * AnsweredParts::Capacity; ++number) {
        quarantine_.noteAnswered(requestOf(RequestFingerprintBit | (100 + number)), clock_.now());
    }
    quarantine_.noteAnswered(sound(), clock_.now());
    EXPECT_EQ(quarantine_.suspects(), 0U);
    crashTimes(3, sound());
    EXPECT_FALSE(isBlocked(sound())) << "it had been answered";
}

/** Requests of a caller each, which are sent again until they are refused. */
class RepeatedRequestsTest : public PromptQuarantineTest
{
protected:
    PromptInfo requestWith(const std::vector<std::uint64_t> &shared)
    {
        PromptInfo request = promptOf(shared);
        request.parts.push_back({ ++lastOwn_, 10 });
        request.fingerprint = RequestFingerprintBit | lastOwn_;
        return request;
    }

    /** Returns the number of upstreams that crash under the request. */
    int repeatUntilRefused(const PromptInfo &request, PromptQuarantine &quarantine)
    {
        int crashes = 0;
        while (quarantine.blockedFor(request, clock_.now()) <= Duration(0)) {
            quarantine.noteSent(request, clock_.now());
            crash({ request }, quarantine);
            ++crashes;
            clock_.advance(attemptGap_);
        }
        return crashes;
    }

    /** Requests with a crashing part that may reach upstreams: five crashes, and three more once all nodes know. */
    static constexpr int AllowedRequests = 8;

    Duration attemptGap_ = milliseconds(100);
};

// Guards against a part that crashes upstreams being cleared by the quarantine of each request that has it.
TEST_F(RepeatedRequestsTest, PartIsQuarantinedThoughEachRequestWithItIsQuarantinedFirst)
{
    int crashes = 0;
    for (int number = 0; number < 10; ++number) {
        crashes += repeatUntilRefused(requestWith({ SharedPart, CrashingPart }), quarantine_);
        quarantine_.noteAnswered(requestWith({ SharedPart, SoundPart }), clock_.now());
        clock_.advance(milliseconds(500));
    }
    EXPECT_LE(crashes, AllowedRequests);
    EXPECT_TRUE(isBlocked(requestWith({ SharedPart, CrashingPart })));
    EXPECT_FALSE(isBlocked(requestWith({ SharedPart, SoundPart })));
}

// Guards against the same for a part that had been answered before.
TEST_F(RepeatedRequestsTest, PartWithEarlierAnswersIsQuarantinedAfterAFewRequests)
{
    quarantine_.noteAnswered(requestWith({ SharedPart, CrashingPart }), clock_.now());
    clock_.advance(seconds(1));
    int crashes = 0;
    for (int number = 0; number < 10; ++number) {
        crashes += repeatUntilRefused(requestWith({ SharedPart, CrashingPart }), quarantine_);
        quarantine_.noteAnswered(requestWith({ SharedPart, SoundPart }), clock_.now());
        clock_.advance(milliseconds(500));
    }
    EXPECT_LE(crashes, AllowedRequests);
    EXPECT_FALSE(isBlocked(requestWith({ SharedPart, SoundPart })));
}

// Guards against sound parts that crashing requests share being quarantined for these.
TEST_F(RepeatedRequestsTest, SoundPartOfSeveralCrashingRequestsStaysInUse)
{
    const PromptInfo crashing = requestWith({ SharedPart, SoundPart });
    repeatUntilRefused(crashing, quarantine_);
    EXPECT_FALSE(isBlocked(requestWith({ SharedPart, SoundPart }))) << "one request accounts for all crashes";
    for (int trial = 0; trial < 3; ++trial) {
        clock_.advance(quarantine_.blockedFor(crashing, clock_.now()));
        repeatUntilRefused(crashing, quarantine_);
        EXPECT_FALSE(isBlocked(requestWith({ SharedPart, SoundPart }))) << "trials of the request, too";
    }
    for (int number = 0; number < 10; ++number) {
        quarantine_.noteAnswered(requestWith({ SharedPart, SoundPart }), clock_.now());
        repeatUntilRefused(requestWith({ SharedPart, SoundPart }), quarantine_);
        EXPECT_FALSE(isBlocked(requestWith({ SharedPart, SoundPart }))) << number;
    }
}

// Guards against crashes under a quarantined part accusing the parts before it.
TEST_F(RepeatedRequestsTest, TrialsOfAQuarantinedPartAccuseNoOtherPart)
{
    crashTimes(3, crashing());
    for (int trial = 0; trial < 5; ++trial) {
        clock_.advance(quarantine_.blockedFor(crashing(), clock_.now()));
        quarantine_.noteSent(crashing(), clock_.now());
        crash({ crashing() }, quarantine_);
        EXPECT_FALSE(isBlocked(sound())) << trial;
    }
}

// Guards against a part being released when the last of the requests that crashed with it is quarantined, too.
TEST_F(RepeatedRequestsTest, PartOfSeveralQuarantinedRequestsStaysQuarantined)
{
    attemptGap_ = milliseconds(300);
    repeatUntilRefused(requestWith({ CrashingPart }), quarantine_);
    const PromptInfo second = requestWith({ CrashingPart });
    repeatUntilRefused(second, quarantine_);
    ASSERT_TRUE(isBlocked(requestWith({ CrashingPart })));
    for (int number = 0; number < 3; ++number) {
        crash({ second }, quarantine_);
        clock_.advance(milliseconds(100));
    }
    EXPECT_TRUE(isBlocked(requestWith({ CrashingPart })));
}

// A fleet.

class QuarantineFleetTest : public RepeatedRequestsTest
{
protected:
    struct Node
    {
        NodeName name;
        PromptQuarantine quarantine;
        PeerView view;
    };

    void start(int count)
    {
        std::vector<PeerNode> listed;
        listed.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number) {
            listed.push_back({ NodeName("node-" + std::to_string(1000 + number)), DataCenterName("dc"), "" });
        }
        for (const PeerNode &peer : listed) {
            nodes_.push_back({ peer.node, PromptQuarantine(nodes_.size()), PeerView(peer.node) });
            nodes_.back().view.updateNodes(listed);
            indices_[peer.node] = nodes_.size() - 1;
        }
    }

    void deliver(std::size_t from, const std::vector<SuspectReport> &suspects)
    {
        if (suspects.empty()) {
            return;
        }
        for (const PeerNode &peer : nodes_[from].view.targets()) {
            ++sent_;
            const std::size_t to = indices_.at(peer.node);
            const bool isCut = (from < cutOff_) != (to < cutOff_);
            if (!isCut && random_.fraction() >= loss_) {
                nodes_[to].quarantine.receive({ nodes_[from].name, suspects }, clock_.now());
            }
        }
    }

    void run(Duration time)
    {
        constexpr Duration Step = milliseconds(25);
        for (Duration passed(0); passed < time; passed += Step) {
            clock_.advance(Step);
            const bool isReportDue = clock_.now().time_since_epoch() % PeerReportPeriod < Step;
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                deliver(index, nodes_[index].quarantine.takeNews(clock_.now()));
                if (isReportDue) {
                    deliver(index, nodes_[index].quarantine.report(clock_.now()));
                }
            }
        }
    }

    std::size_t blocking(const PromptInfo &prompt) const
    {
        return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const Node &node) {
            return node.quarantine.blockedFor(prompt, clock_.now()) > Duration(0);
        }));
    }

    std::vector<Node> nodes_;
    std::map<NodeName, std::size_t> indices_;
    RandomSource random_ { 5 };
    double loss_ = 0.1;
    /** The first nodes, as many as this, are cut off from the others. */
    std::size_t cutOff_ = 0;
    std::uint64_t sent_ = 0;
};

TEST_F(QuarantineFleetTest, NodesThatSawOneCrashEachKnowTheCrashingPartSoonAfterTheFifth)
{
    start(300);
    for (const std::size_t index : { 7, 290, 150, 33, 201 }) {
        crash({ crashing(), sound() }, nodes_[index].quarantine);
        nodes_[0].quarantine.noteAnswered(sound(), clock_.now());
        run(milliseconds(600));
    }
    run(milliseconds(1500));
    EXPECT_EQ(blocking(crashing()), nodes_.size());
    EXPECT_EQ(blocking(sound()), 0U);
    EXPECT_LE(sent_, nodes_.size() * 8 * 25) << "datagrams for five crashes";
}

TEST_F(QuarantineFleetTest, RepeatsOfACrashingRequestReachFewUpstreamsWhicheverNodesTheyComeTo)
{
    for (const int size : { 9, 76, 300 }) {
        nodes_.clear();
        indices_.clear();
        start(size);
        int crashes = 0;
        int late = 0;
        int refusedSound = 0;
        std::optional<TimePoint> third;
        for (int repeat = 0; repeat < 600; ++repeat) {
            const auto draw = [&]() {
                return static_cast<std::size_t>(random_.fraction() * static_cast<double>(nodes_.size()));
            };
            Node &node = nodes_[draw()];
            if (node.quarantine.blockedFor(requestOf(CrashingRequest), clock_.now()) <= Duration(0)) {
                node.quarantine.noteSent(requestOf(CrashingRequest), clock_.now());
                late += third.has_value() && clock_.now() > *third + seconds(3) ? 1 : 0;
                Node &other = nodes_[draw()];
                const PromptInfo beside = requestOf(SoundRequest + static_cast<std::uint64_t>(repeat) % 3);
                const UpstreamIdentity upstream { UpstreamName("p" + std::to_string(++lastUpstream_)), "", 1 };
                const TimePoint sentAt = clock_.now();
                run(milliseconds(75));
                node.quarantine.noteCrash(upstream, requestOf(CrashingRequest), sentAt, clock_.now());
                other.quarantine.noteCrash(upstream, beside, sentAt, clock_.now());
                if (++crashes == 3) {
                    third = clock_.now();
                }
            }
            run(milliseconds(100));
            Node &sound = nodes_[draw()];
            const PromptInfo request = requestOf(SoundRequest + static_cast<std::uint64_t>(repeat) % 3);
            if (sound.quarantine.blockedFor(request, clock_.now()) > Duration(0)) {
                ++refusedSound;
            } else {
                sound.quarantine.noteSent(request, clock_.now());
                sound.quarantine.noteAnswered(request, clock_.now());
            }
        }
        EXPECT_LE(late, 3) << size;
        EXPECT_LE(refusedSound, 6) << size << " of 600";
    }
}

// Guards against repeats of requests that share a crashing part keeping it in use, whichever nodes they come to.
TEST_F(QuarantineFleetTest, RepeatedRequestsWithACrashingPartReachFewUpstreams)
{
    for (const int size : { 9, 76, 380 }) {
        nodes_.clear();
        indices_.clear();
        start(size);
        int crashes = 0;
        int late = 0;
        int refusedSound = 0;
        std::optional<TimePoint> fifth;
        for (int number = 0; number < 15; ++number) {
            const PromptInfo request = requestWith({ SharedPart, CrashingPart });
            for (int attempt = 0; attempt < 4; ++attempt) {
                Node &node = nodes_[random_.below(nodes_.size())];
                if (node.quarantine.blockedFor(request, clock_.now()) <= Duration(0)) {
                    node.quarantine.noteSent(request, clock_.now());
                    late += fifth.has_value() && clock_.now() > *fifth + seconds(3) ? 1 : 0;
                    run(milliseconds(75));
                    crash({ request }, node.quarantine);
                    fifth = ++crashes == 5 ? clock_.now() : fifth;
                }
                run(milliseconds(100));
            }
            for (int sound = 0; sound < 10; ++sound) {
                Node &node = nodes_[random_.below(nodes_.size())];
                const PromptInfo beside = requestWith({ SharedPart, SoundPart });
                if (node.quarantine.blockedFor(beside, clock_.now()) > Duration(0)) {
                    ++refusedSound;
                    continue;
                }
                node.quarantine.noteSent(beside, clock_.now());
                node.quarantine.noteAnswered(beside, clock_.now());
                run(milliseconds(200));
            }
        }
        EXPECT_LE(late, 3) << size;
        EXPECT_EQ(refusedSound, 0) << size << " of 150";
    }
}

// Guards against batches of requests with a crashing part, whichever nodes they come to.
TEST_F(QuarantineFleetTest, BatchesWithACrashingPartReachFewUpstreamsAfterTheFirst)
{
    constexpr int Batches = 5;
    constexpr std::size_t BatchSize = 10;
    for (const int size : { 9, 76, 380 }) {
        nodes_.clear();
        indices_.clear();
        start(size);
        for (Node &node : nodes_) {
            node.quarantine.noteAnswered(sound(), clock_.now());
        }
        int late = 0;
        for (int batch = 0; batch < Batches; ++batch) {
            std::vector<UpstreamIdentity> lost;
            for (std::size_t number = 0; number < BatchSize; ++number) {
                Node &node = nodes_[random_.below(nodes_.size())];
                if (node.quarantine.blockedFor(crashing(), clock_.now()) <= Duration(0)) {
                    node.quarantine.noteSent(crashing(), clock_.now());
                    lost.push_back(crash({ crashing(), sound() }, node.quarantine));
                    late += batch == 0 ? 0 : 1;
                }
            }
            run(milliseconds(500));
            nodes_[random_.below(nodes_.size())].quarantine.noteAnswered(sound(), clock_.now());
            run(milliseconds(3000));
            for (Node &node : nodes_) {
                for (const UpstreamIdentity &upstream : lost) {
                    node.quarantine.noteEnded(upstream, clock_.now());
                }
            }
            run(milliseconds(2500));
        }
        EXPECT_LE(late, 3) << size;
        EXPECT_EQ(blocking(sound()), 0U) << size;
    }
}

TEST_F(QuarantineFleetTest, QuarantinedPartIsReportedAmongManySuspects)
{
    start(2);
    cutOff_ = 1;
    for (int number = 0; number < 3; ++number) {
        crash({ promptOf({ 900000, ++lastOwn_ }) }, nodes_[0].quarantine);
        run(seconds(1));
    }
    for (std::uint64_t subject = 0; subject < 100; ++subject) {
        const PromptInfo prompt = promptOf({ 5000 + subject, ++lastOwn_ });
        crash({ prompt }, nodes_[0].quarantine);
        run(milliseconds(300));
        nodes_[0].quarantine.noteAnswered(prompt, clock_.now());
    }
    cutOff_ = 0;
    loss_ = 0.0;
    run(milliseconds(1500));
    EXPECT_GT(nodes_[1].quarantine.size(), 0U);
}

TEST_F(QuarantineFleetTest, OneTrialIsMadeByTheWholeFleetAndItsAnswerReleasesThePartEverywhere)
{
    start(76);
    for (int number = 0; number < 3; ++number) {
        crash({ crashing() }, nodes_[3].quarantine);
        run(seconds(1));
    }
    std::vector<std::size_t> trials;
    while (trials.empty()) {
        run(milliseconds(25));
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_[index].quarantine.blockedFor(crashing(), clock_.now()) <= Duration(0)) {
                nodes_[index].quarantine.noteSent(crashing(), clock_.now());
                trials.push_back(index);
            }
        }
    }
    run(seconds(2));
    EXPECT_LE(trials.size(), 2U);
    EXPECT_EQ(blocking(crashing()), nodes_.size());
    nodes_[trials.front()].quarantine.noteAnswered(crashing(), clock_.now());
    run(seconds(2));
    EXPECT_EQ(blocking(crashing()), 0U);
}

TEST_F(QuarantineFleetTest, NodesThatWereCutOffLearnOfThePartWhenTheLinkIsBack)
{
    start(30);
    cutOff_ = 10;
    for (int number = 0; number < 3; ++number) {
        crash({ crashing() }, nodes_[20].quarantine);
        run(seconds(1));
    }
    EXPECT_EQ(blocking(crashing()), nodes_.size() - cutOff_);
    cutOff_ = 0;
    run(milliseconds(2500));
    EXPECT_EQ(blocking(crashing()), nodes_.size());
}

} // namespace
} // namespace GeraniumLever
