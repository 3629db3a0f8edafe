// One candidate's view of the lease of a region's planner.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include "control.pb.h"

#include <functional>
#include <optional>
#include <string>

namespace tray {

/// Decides when to read and to write the lease object. A candidate takes over a lease only after it
/// has observed the lease unchanged for the full duration by its own clock, so clocks of two
/// machines are never compared. Two concurrent planners cost moves but never safety. Pure.
class PlannerLeaseKeeper
{
public:
    using NonceSource = std::function<uint64_t()>;

    PlannerLeaseKeeper(std::string candidate, Duration duration, NonceSource nonces);

    /// Whether the object must be read before the next decision.
    bool shouldRead(Instant now) const;
    /// Records the result of a read; the version is 0 if there is no lease.
    void onRead(const proto::PlannerLease &lease, uint64_t version, Instant now);
    /// Returns the lease to write over version() if the lease is to be acquired or renewed now.
    std::optional<proto::PlannerLease> prepareWrite(Instant now);
    /// Records the result of that write. A conflict or an unknown result leads to a read.
    void onWritten(const Result<uint64_t> &result, Instant now);

    /// Whether this candidate acquired or renewed the lease within its duration.
    bool isHolder(Instant now) const;
    uint64_t version() const { return this->leaseVersion; }
    uint64_t epoch() const { return this->currentLease.epoch(); }

private:
    const std::string candidate;
    const Duration duration;
    const NonceSource nonces;

    // Lease as last read or written, and the time since which it is unchanged.
    proto::PlannerLease currentLease;
    uint64_t leaseVersion = 0;
    Instant unchangedSince{};
    Instant readAt{};
    bool isReadValid = false;
    // Write that is in flight or had an unknown result, and the time at which it was sent.
    std::optional<proto::PlannerLease> pendingWrite;
    Instant pendingWriteAt{};
    // Time of the last write that acquired or renewed the lease for this candidate.
    std::optional<Instant> lastRenewalAt;
};

} // namespace tray
