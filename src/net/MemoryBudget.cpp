// Grants and returns parts of the budget.
#include "net/MemoryBudget.h"

namespace tray {

bool MemoryBudget::Share::tryGrow(size_t bytes)
{
    if (this->budget == nullptr || bytes == 0)
        return true;
    const bool isSmall = this->held + bytes <= SmallBodyBytes;
    const size_t limit = isSmall ? this->budget->limit : this->budget->limit / 2;
    if (this->budget->used + bytes > limit)
        return false;
    this->held += bytes;
    this->budget->used += bytes;
    return true;
}

void MemoryBudget::Share::release()
{
    if (this->held > 0)
        this->budget->used -= this->held;
    this->held = 0;
}

} // namespace tray
