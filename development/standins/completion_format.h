/** Bodies of an OpenAI-style engine's answers. */
#pragma once

#include <cstdint>
#include <string>

#include "development/standins/stand_in_text.h"

namespace GeraniumLever {

/** Identifies one answer in its bodies. */
struct CompletionFormat
{
    std::string id;
    std::string model;
    bool chat = false;

    /** One token of a streamed answer. */
    std::string chunk(const std::string &token) const;

    /** The last event before [DONE]. */
    std::string lastChunk(std::uint32_t tokens) const;

    std::string whole(const std::string &text, std::uint32_t tokens) const;
};

} // namespace GeraniumLever
