// Reads the body of a model call, as far as routing needs it.
#pragma once

#include "base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tray {

/// What a chat or text completion asks for.
struct ModelCall
{
    std::string model;
    /// Empty for the model itself.
    std::string adapter;
    bool stream = false;
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    /// Digests of growing prefixes of the prompt, shortest first, and the tokens each covers.
    std::vector<uint64_t> prefixDigests;
    std::vector<uint32_t> prefixTokens;
};

/// Limits of a model call.
struct ModelCallLimits
{
    /// Used for calls that name no max_tokens.
    uint32_t defaultMaxTokens = 256;
    /// More tokens than this are refused.
    uint32_t maxTokens = 1u << 20;
    size_t maxPrefixes = 8;
    /// Length of a prefix block of text prompts, in bytes.
    size_t prefixBlockBytes = 1024;
};

/// Tokens that a text is taken for; engines count exactly, routing and admission need an estimate.
constexpr uint32_t estimateTokens(size_t bytes)
{
    return static_cast<uint32_t>(bytes / 4 + 1);
}

/// Parses the JSON body of a call. Fails with BadRequest and, as the error's parameter, the field.
Result<ModelCall> parseModelCall(std::string_view body, bool isChat,
                                 const ModelCallLimits &limits = {},
                                 std::string *parameter = nullptr);

} // namespace tray
