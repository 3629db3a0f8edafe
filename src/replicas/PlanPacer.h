// Limits the part of its time that an instance spends on planning.
//
// The planner is a gateway with callers of its own, on a fraction of a core, and every change of
// one of hundreds of engines triggers a new plan.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace tray {

class PlanPacer
{
public:
    /// Planning may take one part in this many of the time: callers of the planning instance wait
    /// meanwhile.
    static constexpr int PlanningTimeDivisor = 10;
    /// Longest pause between two plans, however long they take; demand shifts to other models
    /// within seconds.
    static constexpr Duration MaxPause = std::chrono::seconds(3);

    bool mayPlan(Instant now) const { return now >= this->nextAt; }
    /// Records that a plan was made between these times.
    void notePlan(Instant began, Instant ended)
    {
        this->nextAt =
            ended + std::min<Duration>((PlanningTimeDivisor - 1) * (ended - began), MaxPause);
    }

private:
    Instant nextAt{};
};

} // namespace tray
