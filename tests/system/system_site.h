/** A complete site of real processes on loopback addresses. */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/system/child_process.h"
#include "tests/system/http_call.h"

namespace GeraniumLever {

struct SystemNode
{
    std::string name;
    std::string dataCenter;
    std::string callerAddress;
    std::string operatorAddress;
    std::string meshAddress;
    std::unique_ptr<ChildProcess> process;
};

struct SystemUpstream
{
    std::string name;
    std::string dataCenter;
    std::string address;
    std::unique_ptr<ChildProcess> process;
};

/** Nine nodes, six engines and three plain services in three data centres, and the platform. */
class SystemSite
{
public:
    SystemSite();
    ~SystemSite();

    /** Starts everything and submits the first ticket; false if it is not in force at all nodes in time. */
    bool start();

    void startNode(SystemNode &node);
    void startUpstream(SystemUpstream &upstream);

    /** Node "a1" and so on, engine "engine-a1", service "desk-a1". */
    SystemNode &node(const std::string &name) { return nodes.at(name); }
    SystemUpstream &upstream(const std::string &name) { return upstreams.at(name); }

    /** Waits until all the nodes have the ticket in force; false if that takes too long. */
    bool waitForHead(std::uint64_t number);

    /** Sets a fault at a stand-in. */
    void setFault(const std::string &address, const std::string &kind, std::uint64_t value = 0);

    /** Sends a request with the operator's key. */
    std::optional<HttpReply> sendOperatorRequest(const SystemNode &node,
                                                 const std::string &method,
                                                 const std::string &target,
                                                 const std::string &body = "");

    /** The scheduler of the engines of the node's data centre, according to that node's last decision. */
    std::string schedulerSeenBy(const SystemNode &node);

    /** Executions by key, summed over all services. */
    std::map<std::string, std::uint64_t> executions();

    /** Writes a file into the folder and returns its path. */
    std::string writeFile(const std::string &name, const std::string &content) const;

    /** The last log output of each process. */
    std::string logTails() const;

    /** Folder of the settings and output of the processes; removed with the site. */
    const std::string &folder() const { return folder_; }

    std::map<std::string, SystemNode> nodes;
    std::map<std::string, SystemUpstream> upstreams;
    std::string platformAddress;

private:
    std::string settingsOf(const SystemNode &node) const;
    std::string firstTicket() const;

    std::string folder_;
    std::unique_ptr<ChildProcess> platform_;
};

} // namespace GeraniumLever
