// Grants and returns parts of the budget.
#include "net/MemoryBudget.h"

namespace tray {

bool MemoryBudget::Share::tryGrow(size_t bytes)
{
    if (!this->account || bytes == 0)
        return true;
    const bool isSmall = this->held + bytes <= SmallBodyBytes;
    const size_t limit = isSmall ? this->account->limit : this->account->limit / 2;
    if (this->account->used + bytes > limit)
        return false;
    this->held += bytes;
    this->account->used += bytes;
    return true;
}

void MemoryBudget::Share::release()
{
    if (this->held > 0)
        this->account->used -= this->held;
    this->held = 0;
}

} // namespace tray
