/** Relay processes, the platform's store and servers on the test's event loop. */
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "tests/main/relay/relay_node_fixture.h"
#include "tests/system/child_process.h"

namespace GeraniumLever {

/** One relay process and where it is reached. */
struct RelayProcess
{
    std::string callerAddress;
    std::string statusAddress;
    std::string settingsPath;
    std::string outputPath;
    std::unique_ptr<ChildProcess> child;
};

class RelayProcessFixture : public RelayNodeFixture
{
protected:
    RelayProcessFixture();
    ~RelayProcessFixture() override;

    static std::string settingsText(const RelayProcess &process, const std::string &storeAddress, int keyLifetime);
    void writeSettings(const RelayProcess &process, const std::string &text);

    /** Starts the program and waits until it takes requests. */
    void startProcess(RelayProcess &process);
    /** Starts the program. */
    void launch(RelayProcess &process);
    RelayProcess &addProcess(int keyLifetime = 1500);

    std::shared_ptr<RawConnection> connectTo(const std::string &address);
    /** 0 if nothing listens. */
    unsigned statusOf(const RelayProcess &process, const std::string &path);
    ReceivedResponse askProcess(const RelayProcess &process, const std::string &text);
    static std::string textOf(const std::string &path);

    std::string folder_;
    std::deque<RelayProcess> processes_;
};

} // namespace GeraniumLever
