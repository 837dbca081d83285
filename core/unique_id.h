/** Identifiers that are unique across all nodes and all their incarnations without any coordination. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace GeraniumLever {

/** Hash of a node's name and incarnation, the first half of every identifier that it issues. */
std::uint64_t originHash(const NodeName &node, Incarnation incarnation);

/** Text form "<origin as 16 hex digits>-<sequence as hex>". */
std::string formatUniqueId(std::uint64_t origin, std::uint64_t sequence);

/** Parses the text form; false if the text is not one, in which case the outputs are unspecified. */
bool parseUniqueId(std::string_view text, std::uint64_t &origin, std::uint64_t &sequence);

/** Identifier made of the issuing node's origin hash and a counter of that node. */
template<typename Tag>
class UniqueId
{
public:
    UniqueId() = default;
    UniqueId(std::uint64_t origin, std::uint64_t sequence) : origin_(origin), sequence_(sequence) { }

    std::uint64_t origin() const { return origin_; }
    std::uint64_t sequence() const { return sequence_; }

    /** True for a default-constructed identifier, which names nothing. */
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

/** One request of a caller, as accepted by one node. */
using RequestId = UniqueId<struct RequestIdTag>;
/** One attempt to have a request answered by one upstream. */
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
