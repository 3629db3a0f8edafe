// Accounts the credit for retries.
#include "routing/RetryBudget.h"

#include <algorithm>

namespace tray {

void RetryBudget::refill(Instant now)
{
    if (this->refilledAt == Instant{})
        this->refilledAt = now;
    const int64_t added = toMs(now - this->refilledAt) * RefillPerSecond / 10;
    if (added <= 0)
        return;
    this->refilledAt = now;
    if (this->credit < BurstSize * 100)
        this->credit = std::min(BurstSize * 100, this->credit + added);
}

void RetryBudget::noteRequest(Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->refill(now);
    this->credit = std::min(MaxCredit * 100, this->credit + this->percent);
}

bool RetryBudget::tryConsume(Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->refill(now);
    if (this->percent == 0 || this->credit < 100)
        return false;
    this->credit -= 100;
    return true;
}

} // namespace tray
