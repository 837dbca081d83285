/** The prompt parts that upstreams have lately answered. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <utility>

namespace GeraniumLever {

/** Remembers at least the last Capacity parts that were inserted, and at most twice as many. */
class AnsweredParts
{
public:
    static constexpr std::size_t Capacity = 4096;

    void insert(std::uint64_t part)
    {
        newer_.insert(part);
        if (newer_.size() >= Capacity) {
            older_ = std::exchange(newer_, {});
        }
    }

    bool contains(std::uint64_t part) const { return newer_.count(part) != 0 || older_.count(part) != 0; }

private:
    std::unordered_set<std::uint64_t> newer_;
    std::unordered_set<std::uint64_t> older_;
};

} // namespace GeraniumLever
