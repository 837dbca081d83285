/** A relay system with nine engines and nine plain upstreams, which fall silent. */
#pragma once

#include <algorithm>

#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {

class SilentUpstreamTest : public RelayFixture
{
protected:
    static constexpr Duration TickPeriod = std::chrono::milliseconds(25);

    SilentUpstreamTest()
    {
        upstreams_.clear();
        for (int number = 1; number <= 9; ++number) {
            upstreams_.push_back(upstreamOf("e" + std::to_string(number), "engines", 48));
            upstreams_.push_back(upstreamOf("p" + std::to_string(number), "plain", 48));
        }
    }

    std::vector<RequestId> arriveMany(const std::string &path, int count)
    {
        std::vector<RequestId> requests;
        requests.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number) {
            requests.push_back(arrive(path));
        }
        return requests;
    }

    /** Streams that have begun, by their upstream. */
    std::map<UpstreamName, std::vector<RequestId>> beginStreams(int count)
    {
        std::map<UpstreamName, std::vector<RequestId>> streams;
        for (const RequestId &stream : arriveMany("/live/1", count)) {
            answer(stream);
            streams[dispatches(stream).front().upstream].push_back(stream);
        }
        return streams;
    }

    /** Nothing arrives from any upstream but for the streams that go on. */
    void pass(Duration duration, const std::vector<RequestId> &goingOn)
    {
        for (Duration passed(0); passed < duration; passed += TickPeriod) {
            advance(TickPeriod);
            for (const RequestId &stream : goingOn) {
                system_.progressed({ dispatches(stream).back().attempt }, clock_.now(), commands_);
            }
            tick();
        }
    }

    /** Nothing arrives from any upstream. A new configuration is read at the start. */
    void passInSilence(Duration silence)
    {
        configuration_.version = ConfigurationVersion(configuration_.version.value() + 1);
        readStore();
        pass(silence, {});
    }

    /** Each upstream answers what was sent to it last. */
    void goOn(const std::vector<RequestId> &requests)
    {
        for (const RequestId &request : requests) {
            if (!accepted(request)) {
                answer(request);
            }
            system_.progressed({ dispatches(request).back().attempt }, clock_.now(), commands_);
            end(request);
        }
    }

    /** Part of a response arrives that is not complete yet and not forwarded before. */
    void holdBack(const AttemptId &attempt) { system_.progressed({ attempt, true }, clock_.now(), commands_); }

    long countBroken(const std::vector<RequestId> &requests) const
    {
        return std::count_if(
            requests.begin(), requests.end(), [this](const RequestId &request) { return broken(request); });
    }

    std::map<AttemptId, TimePoint> sentAt_;

    long countRefused(const std::vector<RequestId> &requests) const
    {
        return std::count_if(
            requests.begin(), requests.end(), [this](const RequestId &request) { return !refusals(request).empty(); });
    }
};

} // namespace GeraniumLever
