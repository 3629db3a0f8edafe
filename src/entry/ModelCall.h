// Parses the fields of a model call's body that routing needs.
#pragma once

#include "base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tray {

/// Parameters of a chat or text completion.
struct ModelCall
{
    std::string model;
    /// Empty if the call uses the model without an adapter.
    std::string adapter;
    bool stream = false;
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    /// Digests of growing prefixes of the prompt, shortest first, and the number of tokens in each.
    std::vector<uint64_t> prefixDigests;
    std::vector<uint32_t> prefixTokens;
};

/// Limits of a model call.
struct ModelCallLimits
{
    /// Used for calls without max_tokens.
    uint32_t defaultMaxTokens = 256;
    /// Calls that request more output tokens are rejected.
    uint32_t maxTokens = 1u << 20;
    size_t maxPrefixes = 8;
    /// Text prompts are split into prefix blocks of this size in bytes.
    size_t prefixBlockBytes = 1024;
};

/// Estimates the number of tokens of a text. Engines count exactly, but routing and admission need
/// an estimate.
constexpr uint32_t estimateTokens(size_t bytes)
{
    return static_cast<uint32_t>(bytes / 4 + 1);
}

/// Parses the JSON body of a call. Fails with BadRequest and then sets parameter, if given, to the
/// name of the invalid field.
Result<ModelCall> parseModelCall(std::string_view body, bool isChat,
                                 const ModelCallLimits &limits = {},
                                 std::string *parameter = nullptr);

} // namespace tray
