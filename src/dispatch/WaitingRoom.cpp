// Bookkeeping of waiting prompts.
#include "dispatch/WaitingRoom.h"

#include <algorithm>

namespace tray {

WaitingRoom::Ticket WaitingRoom::enter(const std::string &model, int urgency, double readMs)
{
    this->waiting.emplace(this->next, Waiter{model, urgency, readMs});
    return this->next++;
}

void WaitingRoom::leave(Ticket ticket)
{
    this->waiting.erase(ticket);
}

double WaitingRoom::aheadMs(const std::string &model, int urgency) const
{
    double total = 0;
    for (const auto &[ticket, waiter] : this->waiting) {
        if (waiter.model == model && waiter.urgency <= urgency)
            total += waiter.readMs;
    }
    return total;
}

Duration WaitingRoom::predict(const std::string &model, int urgency, double backlogMs,
                              size_t engines) const
{
    const double shared =
        this->aheadMs(model, urgency) / static_cast<double>(std::max<size_t>(1, engines));
    return milliseconds(static_cast<int64_t>(backlogMs + shared));
}

} // namespace tray
