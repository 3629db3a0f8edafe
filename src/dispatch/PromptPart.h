// A part of a prompt that requests may share.
#pragma once

#include <cstdint>

namespace tray {

/// A part of a prompt. Requests whose prompts begin with the same parts share prefill work on an
/// engine.
struct PromptPart
{
    uint64_t id = 0;
    uint32_t tokens = 0;
};

} // namespace tray
