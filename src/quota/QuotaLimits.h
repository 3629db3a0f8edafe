// The bound on the spending of a client account, and the amounts that follow from it.
//
// The spending in a window is at most what was granted in it and what was granted before but
// unspent when it began. The bucket of the home plus the unspent credit of all gateways is
// therefore kept below an amount that the bound leaves besides the rate.
#pragma once

#include "accounts/ClientAccount.h"
#include "base/Time.h"

#include <algorithm>
#include <chrono>

namespace tray {

/// In every window, all gateways together may forward for an account at most
/// (rate x window + burst) x (1 + overage) + slack.
struct QuotaBounds
{
    Duration window = std::chrono::seconds(8);
    double overage = 0.1;
    /// In tokens; not used for quotas that count requests.
    double slack = 11000;
};

/// Amounts of one account, in the units of its quota.
class QuotaLimits
{
public:
    QuotaLimits(const QuotaSpec &spec, const QuotaBounds &bounds)
        : slack(spec.unit == QuotaUnit::Tokens ? bounds.slack : 0),
          leastCapacity(spec.unit == QuotaUnit::Tokens ? 0 : 1)
    {
        const double windowSeconds = std::chrono::duration<double>(bounds.window).count();
        const double burst =
            std::max({spec.burst, spec.perSecond * BurstSeconds, this->leastCapacity});
        const double overage = bounds.overage * (windowSeconds * spec.perSecond + spec.burst);
        // What the burst is raised by is not part of the bound.
        this->advance = std::max(0.0, AdvancePart * overage - (burst - spec.burst));
        this->total = burst + this->advance + this->slack * BurstSlackPart;
    }

    /// Most units in the bucket and unspent at gateways together.
    double capacity() const { return this->total; }
    /// Most unspent units that gateways hold in advance, all together.
    double advanceLimit() const { return this->advance; }
    /// Units in the bucket of a home that does not know what another one granted before.
    double startLevel() const
    {
        return std::min(this->total, std::max(this->slack * StartSlackPart, this->leastCapacity));
    }
    /// Largest request that is ever granted; a larger one may exceed the bound on its own.
    double largestCost() const { return this->total + this->slack * LargeSlackPart; }

private:
    // Burst that every account has at least, in seconds of its rate.
    static constexpr double BurstSeconds = 0.5;
    // Part of the overage for credit in advance. The rest is for what two homes grant at the same
    // time when the home changes.
    static constexpr double AdvancePart = 0.5;
    // Parts of the slack: for bursts, which small accounts need because a request can cost more
    // than their rate yields in two seconds; for a new home; for a request larger than the
    // capacity.
    static constexpr double BurstSlackPart = 0.6;
    static constexpr double StartSlackPart = 0.3;
    static constexpr double LargeSlackPart = 0.1;

    double slack;
    double leastCapacity;
    double advance = 0;
    double total = 0;
};

} // namespace tray
