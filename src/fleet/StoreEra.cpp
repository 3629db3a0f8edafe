// Reads the eras that answers of the store name.
#include "fleet/StoreEra.h"

#include "fleet/StorePosition.h"
#include "observe/DecisionLog.h"

#include <charconv>
#include <fmt/format.h>

namespace tray {

namespace {

constexpr size_t MaxLoggedChars = 40;

} // namespace

uint64_t StoreEra::noteAnswer(std::string_view text, Instant now)
{
    if (text.empty())
        return this->highest;
    uint64_t era = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), era);
    const bool isReadable =
        code == std::errc{} && end == text.data() + text.size() && era <= MaxPositionEra;
    if (isReadable && era <= this->highest)
        return era;
    logDecision(LogPriority::Notable, now,
                fmt::format("event=store_era era={:?} previous={} readable={}",
                            text.substr(0, MaxLoggedChars), this->highest, isReadable));
    if (isReadable)
        this->highest = era;
    return this->highest;
}

Error staleEraError(uint64_t position, uint64_t era)
{
    return {ErrorKind::Stale,
            fmt::format("the store is in era {}, the position in era {}", era, eraOf(position))};
}

} // namespace tray
