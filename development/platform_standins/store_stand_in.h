/** Stand-in of the platform's store. */
#pragma once

#include <map>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/core.h"
#include "development/platform_standins/raw_session.h"
#include "development/platform_standins/slow_link.h"
#include "development/platform_standins/store_tables.h"

namespace GeraniumLever {

/** What goes wrong with calls. */
enum class StoreFault : std::uint8_t {
    None,
    /** 503; nothing is done. */
    Busy,
    /** 429; nothing is done. */
    Many,
    /** The connection is reset; nothing is done. */
    Reset,
    /** No answer; nothing is done. */
    Silent,
    /** Done, and the answer is lost. */
    LoseAnswers,
    /** Done a second later, and not answered. */
    Late,
    /** Answered 300 ms late. */
    Slow,
};

/** Tables, feed and objects over HTTP. Faults may hold for callers from some addresses only. */
class StoreStandIn
{
public:
    StoreStandIn(boost::asio::io_context &context, const std::string &address);

    std::string address() const { return server_.address(); }

    void setFault(StoreFault fault) { fault_ = fault; }

    void dropHistory() { tables_.dropHistory(); }

    /** While set, the feed states no changes, though the rows have changed. */
    void hideChanges(bool hide) { changesHidden_ = hide; }

    /** Keeps a copy of all rows. */
    void copy() { copy_ = tables_; }

    /** Restores the rows from the last copy; what was written since is lost, and its versions are given out again. */
    void restore()
    {
        tables_ = copy_;
        ++era_;
    }

    /** Restores the rows before the call that comes after this many more. */
    void restoreAfterCalls(std::uint64_t calls) { restoreAtCall_ = calls_ + calls + 1; }

    bool has(const std::string &table, const std::string &key) const { return tables_.get(table, "", key).has_value(); }

    /** Number of rows in a table, up to 500. */
    std::size_t rowCount(const std::string &table) const { return tables_.range(table, "", "", "", 500).size(); }

    /** Writes a row without any call; value: plain bytes. */
    void put(const std::string &table, const std::string &key, std::string_view value);
    void remove(const std::string &table, const std::string &key);
    /** The value of a row; absent if there is none. */
    std::optional<std::string> find(const std::string &table, const std::string &key) const;

    std::uint64_t calls() const { return calls_; }

    /** Refuses every second call with status 429. */
    void refuseEverySecondCall(bool refuse) { refusesEverySecondCall_ = refuse; }

    /** Limits all answers together to this rate; 0: no limit. */
    void setLinkRate(std::uint64_t bytesPerSecond) { link_.setRate(bytesPerSecond); }

    /** Bytes of all answers. */
    std::uint64_t bytesSent() const { return link_.bytesSent(); }

private:
    struct Reply
    {
        unsigned status = 200;
        std::string body;
        /** True for objects. */
        bool bytes = false;
    };

    void handle(const std::shared_ptr<RawSession> &session, const RawSession::Request &request);
    void answer(const std::shared_ptr<RawSession> &session, const Reply &reply);
    Reply carryOut(const RawSession::Request &request);
    Reply transact(const std::string &body);
    Reply readRows(const std::map<std::string, std::string> &query) const;
    Reply listParts(const std::map<std::string, std::string> &query) const;
    Reply object(const RawSession::Request &request, const std::string &path);
    /** Answers at once if there are changes, else when the wait is over. */
    void feed(const std::shared_ptr<RawSession> &session,
              const std::map<std::string, std::string> &query,
              std::chrono::steady_clock::time_point until);

    boost::asio::io_context &context_;
    StoreTables tables_;
    StoreTables copy_;
    std::uint64_t era_ = 0;
    std::uint64_t restoreAtCall_ = 0;
    std::map<std::string, std::string> objects_;
    StoreFault fault_ = StoreFault::None;
    std::uint64_t calls_ = 0;
    bool changesHidden_ = false;
    bool refusesEverySecondCall_ = false;
    SlowLink link_;
    RawServer server_;
};

} // namespace GeraniumLever
