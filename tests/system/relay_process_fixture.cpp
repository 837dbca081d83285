#include "tests/system/relay_process_fixture.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "tests/drivers/http/raw_listener.h"

namespace GeraniumLever {

RelayProcessFixture::RelayProcessFixture()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "geranium-relay-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    writeConfiguration();
    addServer("p1", "plain");
    addServer("p2", "plain");
    addServer("e1", "engines", 32);
    addServer("e2", "engines", 32);
}

RelayProcessFixture::~RelayProcessFixture()
{
    if (HasFailure()) {
        for (const RelayProcess &process : processes_) {
            std::ofstream(folder_ + "/settings-" + process.node) << readFile(process.settings->path());
        }
        processes_.clear();
        std::cout << "settings and output of the processes: " << folder_ << '\n';
        return;
    }
    processes_.clear();
    std::filesystem::remove_all(folder_);
}

std::string RelayProcessFixture::settingsText(const RelayProcess &process,
                                              const std::string &storeAddress,
                                              int keyLifetime) const
{
    return "node: " + process.node + "\ndata_center: dc\npeer_address: \"" + process.peerAddress
        + "\"\ncaller_address: \"" + process.callerAddress + "\"\nstatus_address: \"" + process.statusAddress
        + "\"\nstore_address: \"" + storeAddress + "\"\nkey_lifetime_ms: " + std::to_string(keyLifetime)
        + "\napply_time_ms: 100\nrepeat_slack: " + std::to_string(retrySlack_) + "\nstop_limit_s: 5\n";
}

void RelayProcessFixture::writeSettings(const RelayProcess &process, const std::string &text)
{
    process.settings->write(text);
}

void RelayProcessFixture::startProcess(RelayProcess &process)
{
    launch(process);
    EXPECT_TRUE(runUntil([&]() { return statusOf(process, "/readyz") == 200; }));
}

void RelayProcessFixture::launch(RelayProcess &process)
{
    process.child = std::make_unique<ChildProcess>(
        std::vector<std::string> { GERANIUM_LEVER, "--relay", "--settings", process.settings->path() },
        process.outputPath);
}

RelayProcess &RelayProcessFixture::addProcess(int keyLifetime, const std::string &storeAddress)
{
    const std::string number = std::to_string(processes_.size() + 1);
    RelayProcess process;
    process.node = "n" + number;
    process.peerAddress = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
    process.callerAddress = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
    process.statusAddress = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
    process.outputPath = folder_ + "/output-" + number;
    process.settings = std::make_unique<MemoryFile>("settings-" + number);
    const std::string &store = storeAddress.empty() ? store_.address() : storeAddress;
    writeSettings(process, settingsText(process, store, keyLifetime) + moreSettings_);
    processes_.push_back(std::move(process));
    startProcess(processes_.back());
    return processes_.back();
}

std::shared_ptr<RawConnection> RelayProcessFixture::connectTo(const std::string &address)
{
    return RawConnection::open(loop_.context(),
                               static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
}

unsigned RelayProcessFixture::statusOf(const RelayProcess &process, const std::string &path)
{
    try {
        const std::shared_ptr<RawConnection> connection = connectTo(process.statusAddress);
        const unsigned status = sendRequestOn(connection, "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n").status;
        connection->close();
        return status;
    } catch (const std::exception &) {
        return 0;
    }
}

ReceivedResponse RelayProcessFixture::sendRequestToProcess(const RelayProcess &process, const std::string &text)
{
    const std::shared_ptr<RawConnection> connection = connectTo(process.callerAddress);
    ReceivedResponse response = sendRequestOn(connection, text);
    connection->close();
    return response;
}

std::string RelayProcessFixture::readFile(const std::string &path)
{
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace GeraniumLever
