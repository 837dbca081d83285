/** Identifiers that are unique across all nodes and their incarnations without coordination. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace GeraniumLever {

/** Hash of a node's name and incarnation; the first half of every identifier that the node issues. */
std::uint64_t originHash(const NodeName &node, Incarnation incarnation);

/** Formats an identifier as "<origin as 16 hex digits>-<sequence as hex>". */
std::string formatUniqueId(std::uint64_t origin, std::uint64_t sequence);

/** Parses the format of formatUniqueId(). Returns false if the text is invalid; the outputs are then unspecified. */
bool parseUniqueId(std::string_view text, std::uint64_t &origin, std::uint64_t &sequence);

/** Identifier that consists of the issuing node's origin hash and a sequence number of that node. */
template<typename Tag>
class UniqueId
{
public:
    UniqueId() = default;
    UniqueId(std::uint64_t origin, std::uint64_t sequence) : origin_(origin), sequence_(sequence) { }

    std::uint64_t origin() const { return origin_; }
    std::uint64_t sequence() const { return sequence_; }

    /** True for a default-constructed identifier, which refers to nothing. */
    bool empty() const { return origin_ == 0 && sequence_ == 0; }

    std::string text() const { return formatUniqueId(origin_, sequence_); }

    static std::optional<UniqueId> parse(std::string_view text)
    {
        UniqueId id;
        if (!parseUniqueId(text, id.origin_, id.sequence_)) {
            return std::nullopt;
        }
        return id;
    }

    auto operator<=>(const UniqueId &) const = default;

private:
    std::uint64_t origin_ = 0;
    std::uint64_t sequence_ = 0;
};

/** Identifies a request of a caller at the node that accepted it. */
using RequestId = UniqueId<struct RequestIdTag>;
/** Identifies one attempt to run a request on an upstream. */
using AttemptId = UniqueId<struct AttemptIdTag>;

} // namespace GeraniumLever

template<typename Tag>
struct std::hash<GeraniumLever::UniqueId<Tag>>
{
    std::size_t operator()(const GeraniumLever::UniqueId<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.origin() ^ (id.sequence() * 0x9e3779b97f4a7c15ULL));
    }
};
