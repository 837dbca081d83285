/** Test fixture with relay processes; the platform's store and the servers run on the test's event loop. */
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "tests/main/relay/relay_node_fixture.h"
#include "tests/system/child_process.h"
#include "tests/system/memory_file.h"

namespace GeraniumLever {

/** One relay process with its addresses and files. */
struct RelayProcess
{
    std::string node;
    std::string peerAddress;
    std::string callerAddress;
    std::string statusAddress;
    std::string outputPath;
    std::unique_ptr<MemoryFile> settings;
    std::unique_ptr<ChildProcess> child;
};

class RelayProcessFixture : public RelayNodeFixture
{
protected:
    RelayProcessFixture();
    ~RelayProcessFixture() override;

    std::string settingsText(const RelayProcess &process, const std::string &storeAddress, int keyLifetime) const;
    void writeSettings(const RelayProcess &process, const std::string &text);

    /** Starts the process and waits until it is ready. */
    void startProcess(RelayProcess &process);
    /** Starts the process without waiting for it. */
    void launch(RelayProcess &process);
    /** storeAddress: empty for the store's own address. */
    RelayProcess &addProcess(int keyLifetime = 1500, const std::string &storeAddress = "");

    std::shared_ptr<RawConnection> connectTo(const std::string &address);
    /** HTTP status of the path at the status address; 0 if nothing listens. */
    unsigned statusOf(const RelayProcess &process, const std::string &path);
    ReceivedResponse sendRequestToProcess(const RelayProcess &process, const std::string &text);
    static std::string readFile(const std::string &path);

    /** Added to the settings of processes that are started from now on. */
    std::string moreSettings_;
    /** Retries that all nodes may send beside their share of the requests. */
    int retrySlack_ = 2000;
    std::string folder_;
    std::deque<RelayProcess> processes_;
};

} // namespace GeraniumLever
