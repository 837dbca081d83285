#include "servers/relay/limited_admission.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

class LimitedAdmissionTest : public testing::Test
{
protected:
    /** Requests arrive in turn; each takes a permit if it is admitted. A permit comes once a second. */
    void run(Duration time, const std::vector<std::pair<std::uint32_t, TeamName>> &arrivals)
    {
        constexpr Duration Lifetime = milliseconds(1500);
        std::size_t next = 0;
        for (Duration passed(0); passed < time; passed += milliseconds(50)) {
            clock_.advance(milliseconds(50));
            if (passed % std::chrono::seconds(1) == Duration(0)) {
                permitEnd_ = clock_.now() + Lifetime;
            }
            const auto &[tier, team] = arrivals[next++ % arrivals.size()];
            admission_.noteRequest(tier, team, clock_.now());
            if (clock_.now() < permitEnd_
                && admission_.admits(tier, team, { 1, permitEnd_ - clock_.now() }, clock_.now())) {
                permitEnd_ = TimePoint();
                admission_.noteServed(tier, team, clock_.now());
                ++served_[{ tier, team }];
            }
        }
    }

    SteppedClock clock_;
    LimitedAdmission admission_;
    TimePoint permitEnd_;
    std::map<std::pair<std::uint32_t, TeamName>, int> served_;
};

TEST_F(LimitedAdmissionTest, UrgentTierIsServedFirst)
{
    const TeamName team("a");
    run(std::chrono::seconds(60), { { 3, team }, { 3, team }, { 3, team }, { 0, team } });
    EXPECT_GE((served_[{ 0, team }]), 50);
    EXPECT_LE((served_[{ 3, team }]), 10);
}

TEST_F(LimitedAdmissionTest, LowTierUsesWhatTheUrgentOneDoesNot)
{
    const TeamName team("a");
    run(std::chrono::seconds(20), { { 3, team } });
    EXPECT_GE((served_[{ 3, team }]), 19);
}

TEST_F(LimitedAdmissionTest, TeamsShareEvenlyThoughOneSendsFarMore)
{
    const TeamName busy("busy");
    const TeamName calm("calm");
    run(std::chrono::seconds(120),
        { { 1, busy }, { 1, busy }, { 1, busy }, { 1, busy }, { 1, busy }, { 1, busy }, { 1, busy }, { 1, calm } });
    EXPECT_GE((served_[{ 1, calm }]), 45);
    EXPECT_GE((served_[{ 1, busy }]), 45);
}

TEST_F(LimitedAdmissionTest, TeamsWithoutRequestsAreForgotten)
{
    run(std::chrono::seconds(2), { { 1, TeamName("a") }, { 2, TeamName("b") } });
    EXPECT_EQ(admission_.teams(), 2U);
    clock_.advance(std::chrono::minutes(2));
    admission_.expire(clock_.now());
    EXPECT_EQ(admission_.teams(), 0U);
}

} // namespace
} // namespace GeraniumLever
