/** An ingress with hand-made schedulers, upstreams and table service around it. */
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

    /** Sends a request of the class; the identifier's sequence counts up from 1. */
    RequestId send(const std::string &requestClass,
                   const std::string &target,
                   const std::string &body,
                   const std::string &key = "");

    /** A streamed chat completion of the class. */
    RequestId sendChat(const std::string &requestClass);

    /** Grants the request a seat at the upstream; returns the attempt. */
    AttemptId grant(const RequestId &request, const std::string &upstream);

    void head(const AttemptId &attempt, unsigned status = 200, const std::string &echoed = "");
    void token(const AttemptId &attempt, const std::string &text);
    void finishStream(const AttemptId &attempt);

    /** Answers all store requests given so far: every row absent, every write done. */
    void answerStore();

    /** Takes the claims' notices to the ingress. */
    void drainClaims();

    /** The last command of a type; nothing if there is none. */
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

    /** Data of all events that the caller has got, joined by '|'. */
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
