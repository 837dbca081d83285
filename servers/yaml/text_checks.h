/** Checks of individual values in settings and change tickets. */
#pragma once

#include <string>

namespace GeraniumLever {

/** Maximum length of the name of an entity, node or data centre, in bytes. */
constexpr std::size_t MaxNameBytes = 128;

/** True for 1 to MaxNameBytes letters, digits and characters of "._-:/"; such names need no quoting in log lines. */
bool isName(const std::string &text);

/** True for exactly 64 lower-case hexadecimal digits. */
bool isSha256Hex(const std::string &text);

/** True for "a.b.c.d:port" with an IPv4 address and a port from 1 to 65535. */
bool isSocketAddress(const std::string &text);

} // namespace GeraniumLever
