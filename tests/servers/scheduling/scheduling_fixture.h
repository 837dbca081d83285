/** Test fixture: a scheduling system with a small catalog, and helpers that send requests and read its commands. */
#pragma once

#include "servers/scheduling/scheduling.h"

#include <gtest/gtest.h>

namespace GeraniumLever {

/** The catalog has pool "p" in data centre "a" and classes "live" (tier 0), "sort" (tier 1) and "letter" (tier 2,
 * preemptible). */
class SchedulingFixture : public ::testing::Test
{
protected:
    void useCatalog(std::size_t upstreams, std::uint32_t seats)
    {
        std::vector<EntityChange> changes { Pool { PoolName("p"), ModelName("m"), "", 1, 1 } };
        changes.push_back(makeClass("live", 0, false));
        changes.push_back(makeClass("sort", 1, false));
        changes.push_back(makeClass("letter", 2, true));
        for (std::size_t index = 0; index < upstreams; ++index) {
            Upstream upstream;
            upstream.name = UpstreamName(std::string("u").append(std::to_string(index)));
            upstream.pool = PoolName("p");
            upstream.dataCenter = DataCenterName("a");
            upstream.seats = seats;
            changes.push_back(upstream);
        }
        catalog_ = std::make_shared<const Catalog>(Catalog().withChanges(changes, TicketNumber(1)));
        system_.applyCatalog(catalog_, clock_.now());
    }

    static RequestClass makeClass(const std::string &name, std::uint32_t tier, bool preemptible)
    {
        RequestClass requestClass;
        requestClass.name = ClassName(name);
        requestClass.tier = tier;
        requestClass.preemptible = preemptible;
        return requestClass;
    }

    SlotRequest makeRequest(std::uint64_t number, const std::string &requestClass) const
    {
        SlotRequest request;
        request.request = RequestId(9, number);
        request.shard = shard_;
        request.requestClass = ClassName(requestClass);
        request.team = TeamName("t");
        request.timeLeft = std::chrono::seconds(30);
        request.promptTokens = 100;
        return request;
    }

    void requestSlot(std::uint64_t number, const std::string &requestClass)
    {
        system_.slotRequested(ingress_, makeRequest(number, requestClass), clock_.now(), commands_);
    }

    /** Advances the clock in steps of 5 ms and calls tick() after each. */
    void runTicksFor(Duration duration)
    {
        constexpr Duration Tick = std::chrono::milliseconds(5);
        for (Duration passed { 0 }; passed < duration; passed += Tick) {
            clock_.advance(Tick);
            system_.tick(clock_.now(), commands_);
        }
    }

    /** All messages of the type that have been sent since commands_ was last cleared. */
    template<typename Message>
    std::vector<Message> sentMessages() const
    {
        std::vector<Message> messages;
        for (const Command &command : commands_) {
            const PeerSend *send = std::get_if<PeerSend>(&command);
            if (send != nullptr && std::holds_alternative<Message>(send->message)) {
                messages.push_back(std::get<Message>(send->message));
            }
        }
        return messages;
    }

    /** Number of decision records of the kind since commands_ was last cleared. */
    std::size_t decisionCount(const std::string &kind) const
    {
        return static_cast<std::size_t>(
            std::count_if(commands_.begin(), commands_.end(), [&kind](const Command &command) {
                const Decision *decision = std::get_if<Decision>(&command);
                return decision != nullptr && decision->kind == kind;
            }));
    }

    /** Reports the end of the granted attempt. */
    void endAttempt(const SlotGrant &grant, AttemptEnding ending, std::uint32_t tokens = 100)
    {
        AttemptEnd message;
        message.attempt = grant.attempt;
        message.request = grant.request;
        message.shard = grant.shard;
        message.upstream = grant.upstream;
        message.ending = ending;
        message.firstToken = std::chrono::milliseconds(100);
        message.tokens = tokens;
        system_.attemptEnded(ingress_, message, clock_.now(), commands_);
    }

    SteppedClock clock_;
    NodeName ingress_ { "entry-1" };
    ShardKey shard_ { DataCenterName("a"), PoolName("p"), 0 };
    CatalogPtr catalog_;
    SchedulingSystem system_ { NodeName("entry-2"), 77, 1 };
    Commands commands_;
};

} // namespace GeraniumLever
