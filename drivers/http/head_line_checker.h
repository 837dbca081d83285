/** Check of the lines of a response's head. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace GeraniumLever {

/** Follows one head as it arrives, so that it can be rejected before it has ended, and before the parser interprets it.
 */
class HeadLineChecker
{
public:
    /** bytes: what follows those of the calls before; what comes after the head is ignored. Returns why the head must
     * be rejected, if it must. */
    std::optional<std::string> check(std::string_view bytes);

    /** Size of the part of the head that has been checked. */
    std::size_t checkedBytes() const { return checkedBytes_; }

private:
    std::size_t checkedBytes_ = 0;
    bool headEnded_ = false;
    bool lineEmpty_ = true;
    bool afterCarriageReturn_ = false;
};

} // namespace GeraniumLever
