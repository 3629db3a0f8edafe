// Requests that wait at this instance until an engine reads the prompts before them.
//
// The load that it answers: more prompts than the engines of a model read. A request that would
// wait until its caller gives up is refused while it can still be told when to come back.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace tray {

class WaitingRoom
{
public:
    using Ticket = uint64_t;

    /// A request waits for an engine with its model; its prompt takes this time to read.
    Ticket enter(const std::string &model, int urgency, double readMs);
    void leave(Ticket ticket);
    /// Reading time of the prompts that go before a new one of this urgency (0 goes first).
    double aheadMs(const std::string &model, int urgency) const;
    size_t size() const { return this->waiting.size(); }

    /// Time until the first answer for a new request, from the backlog of its best engine and the
    /// prompts before it, which all engines of the model share.
    Duration predict(const std::string &model, int urgency, double backlogMs, size_t engines) const;

private:
    struct Waiter
    {
        std::string model;
        int urgency;
        double readMs;
    };

    std::map<Ticket, Waiter> waiting;
    Ticket next = 1;
};

} // namespace tray
