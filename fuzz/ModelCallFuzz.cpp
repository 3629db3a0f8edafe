// Fuzzes the parser of model calls. Guards against crashes and against results outside the limits
// on which routing relies.
#include "entry/ModelCall.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view body(reinterpret_cast<const char *>(bytes + 1), size - 1);
    const tray::ModelCallLimits limits;
    const auto parsed = tray::parseModelCall(body, (bytes[0] & 1) != 0, limits);
    if (!tray::isOk(parsed))
        return 0;
    const auto &call = tray::value(parsed);
    const bool isWithinLimits = !call.model.empty() && call.maxTokens >= 1 &&
                                call.maxTokens <= limits.maxTokens && call.promptTokens >= 1 &&
                                call.prefixDigests.size() <= limits.maxPrefixes &&
                                call.prefixDigests.size() == call.prefixTokens.size();
    if (!isWithinLimits)
        std::abort();
    return 0;
}
