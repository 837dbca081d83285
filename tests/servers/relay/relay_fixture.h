/** A relay system with a configuration and upstreams, driven by a manual clock. */
#pragma once

#include <map>

#include <gtest/gtest.h>

#include "servers/relay/relay.h"

namespace GeraniumLever {

class RelayFixture : public testing::Test
{
protected:
    RelayFixture();

    /** Routes /stream/ (streamed, at most once), /live/ (streamed, resumable), /read/ (idempotent), /once/ (at most
     *  once). */
    SiteConfiguration configuration_;
    std::vector<UpstreamEntry> upstreams_;

    /** What the store states along with both. */
    StoreState storeState_;
    std::uint64_t configurationRow_ = 0;

    /** Passes the nodes, the configuration and the upstreams to the system, as of now. */
    void configure();
    /** Passes the configuration and the upstreams to the system, as of now. */
    void readStore();

    /** Sends a request; returns its identifier. */
    RequestId arrive(const std::string &path, const std::string &key = "key-one", PromptInfo prompt = {});

    void advance(Duration step);
    void tick();

    /** Events for the newest attempt of a request. */
    void answer(const RequestId &request, unsigned status = 200);
    /** States that the upstream of the newest attempt is leaving. */
    void noticeLeaving(const RequestId &request);
    /** Refuses the newest attempt, as not run, with a pause. */
    void answerPaused(const RequestId &request, Duration pause);
    void answerNotRun(const RequestId &request);
    void end(const RequestId &request);
    void fail(const RequestId &request, RelayFailure::Kind kind = RelayFailure::Kind::Broken);
    void disconnect(const RequestId &request);

    /** All commands of one type for a request. */
    std::vector<RelayDispatch> dispatches(const RequestId &request) const;
    std::vector<RelayRefusal> refusals(const RequestId &request) const;
    bool broken(const RequestId &request) const;
    bool accepted(const RequestId &request) const;
    bool cancelled(const AttemptId &attempt) const;
    /** Fields of the newest decision of a kind; empty if there is none. */
    std::map<std::string, std::string> lastDecision(const std::string &kind) const;

    SteppedClock clock_;
    RelaySystem system_;
    RelayCommands commands_;
    std::uint64_t lastRequest_ = 0;
};

UpstreamEntry upstreamOf(const std::string &name, const std::string &pool, std::uint32_t seats);

} // namespace GeraniumLever
