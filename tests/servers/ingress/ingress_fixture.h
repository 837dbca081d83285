/** An ingress system whose schedulers, upstreams and table service are simulated by the test. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/core.h"
#include "servers/claims/claims.h"
#include "servers/ingress/ingress.h"
#include "servers/membership/membership.h"

namespace GeraniumLever {

class IngressFixture : public testing::Test
{
protected:
    IngressFixture();

    /** Sends a request of the class. The identifiers' sequence numbers start at 1. */
    RequestId send(const std::string &requestClass,
                   const std::string &target,
                   const std::string &body,
                   const std::string &key = "");

    /** Sends a request for a streamed chat completion of the class. */
    RequestId sendChat(const std::string &requestClass);

    /** Grants the request a seat at the upstream; returns the attempt. */
    AttemptId grant(const RequestId &request, const std::string &upstream);

    void head(const AttemptId &attempt, unsigned status = 200, const std::string &echoed = "");
    void token(const AttemptId &attempt, const std::string &text);
    void finishStream(const AttemptId &attempt);

    /** Answers all store requests so far: every row is absent, every write takes effect. */
    void answerStore();

    /** Passes the claims' notices to the ingress. */
    void passClaimNotices();

    /** The last command of a type; nullopt if there is none. */
    template<typename Wanted>
    std::optional<Wanted> last() const
    {
        for (Commands::const_reverse_iterator command = commands_.rbegin(); command != commands_.rend(); ++command) {
            if (const Wanted *wanted = std::get_if<Wanted>(&*command)) {
                return *wanted;
            }
        }
        return std::nullopt;
    }

    template<typename Wanted>
    std::vector<Wanted> all() const
    {
        std::vector<Wanted> found;
        for (const Command &command : commands_) {
            if (const Wanted *wanted = std::get_if<Wanted>(&command)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    /** Messages of a type sent to a scheduler. */
    template<typename Message>
    std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (const PeerSend &send : all<PeerSend>()) {
            if (const Message *message = std::get_if<Message>(&send.message)) {
                found.push_back(*message);
            }
        }
        return found;
    }

    /** Data of all events sent to the caller, joined by '|'. */
    std::string repliedData() const;

    SteppedClock clock_;
    NodeName self_ { "entry-1" };
    OperationCounter operations_;
    ClaimSystem claims_;
    MembershipSystem membership_;
    IngressSystem ingress_;
    Commands commands_;

private:
    std::size_t answered_ = 0;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastAttempt_ = 0;
};

} // namespace GeraniumLever
