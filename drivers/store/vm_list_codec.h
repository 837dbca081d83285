/** JSON text of the platform's VM list. */
#pragma once

#include <optional>
#include <string_view>

#include "core/core.h"

namespace GeraniumLever {

/** Returns std::nullopt if the text is not a VM list or if any entry is malformed. */
std::optional<VmList> decodeVmList(std::string_view text);

} // namespace GeraniumLever
