/** Strong types for the names and numbers that identify entities, so that different kinds cannot be mixed up. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace GeraniumLever {

/** Text identifier of one kind of entity. Tag distinguishes the kinds at compile time. */
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) : text_(std::move(text)) { }

    /** The identifier as written by operators and in log lines. */
    const std::string &text() const { return text_; }

    bool empty() const { return text_.empty(); }

    auto operator<=>(const Name &) const = default;

private:
    std::string text_;
};

/** Numeric identifier or counter of one kind. */
template<typename Tag>
class Number
{
public:
    Number() = default;
    explicit Number(std::uint64_t value) : value_(value) { }

    std::uint64_t value() const { return value_; }

    /** The number that follows this one. */
    Number next() const { return Number(value_ + 1); }

    auto operator<=>(const Number &) const = default;

private:
    std::uint64_t value_ = 0;
};

using NodeName = Name<struct NodeNameTag>;
using DataCenterName = Name<struct DataCenterNameTag>;
using TeamName = Name<struct TeamNameTag>;
using ClassName = Name<struct ClassNameTag>;
using ModelName = Name<struct ModelNameTag>;
using PoolName = Name<struct PoolNameTag>;
using UpstreamName = Name<struct UpstreamNameTag>;

/** Number of a change ticket; 0 means "no ticket yet". */
using TicketNumber = Number<struct TicketNumberTag>;
/** Distinguishes two runs of a node that carry the same name. */
using Incarnation = Number<struct IncarnationTag>;
/** Fencing token of a lease; a lease that is granted later has a higher one. */
using FenceNumber = Number<struct FenceNumberTag>;
/** Identifies one lifetime of the table service's data; 0 if not known. */
using StoreEpoch = Number<struct StoreEpochTag>;
/** Matches a request to the table service or object store with its result, within one node. */
using OperationId = Number<struct OperationIdTag>;

} // namespace GeraniumLever

template<typename Tag>
struct std::hash<GeraniumLever::Name<Tag>>
{
    std::size_t operator()(const GeraniumLever::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.text());
    }
};

template<typename Tag>
struct std::hash<GeraniumLever::Number<Tag>>
{
    std::size_t operator()(const GeraniumLever::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value());
    }
};
