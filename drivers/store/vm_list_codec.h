/** JSON text of the platform's VM list. */
#pragma once

#include <optional>
#include <string_view>

#include "core/core.h"

namespace GeraniumLever {

/** Nothing if the text is not a VM list; a list with one malformed entry is refused whole. */
std::optional<VmList> decodeVmList(std::string_view text);

} // namespace GeraniumLever
