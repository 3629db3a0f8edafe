// Era of the store's history, which begins anew when the store comes back from an older copy.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <string_view>

namespace tray {

/// Keeps the highest era that an answer of the store has named.
class StoreEra
{
public:
    /// 0 before the first answer that names an era.
    uint64_t current() const { return this->highest; }
    /// Handles what an answer names as its era, which may be nothing, and logs a change. Returns
    /// the era of the answer: the highest one if it names none that can be read.
    uint64_t noteAnswer(std::string_view text, Instant now);

private:
    uint64_t highest = 0;
};

/// Returns the error of a call that continues from a position of another era.
Error staleEraError(uint64_t position, uint64_t era);

} // namespace tray
