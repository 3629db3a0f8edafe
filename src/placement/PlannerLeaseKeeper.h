// Lease of a region's planner as one candidate sees it.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include "control.pb.h"

#include <functional>
#include <optional>
#include <string>

namespace tray {

/// Decides when to read and to write the lease object. A candidate takes a lease over only after it
/// has seen it unchanged for the whole duration by its own clock, so no two machines' clocks are
/// compared. Two planners at once cost moves, never safety. Pure.
class PlannerLeaseKeeper
{
public:
    using NonceSource = std::function<uint64_t()>;

    PlannerLeaseKeeper(std::string candidate, Duration duration, NonceSource nonces);

    /// The object is to be read before the next decision.
    bool wantsRead(Instant now) const;
    /// Result of a read; the version is 0 if there is no lease.
    void onRead(const proto::PlannerLease &lease, uint64_t version, Instant now);
    /// Lease to write over version(), if it is time to take or renew it.
    std::optional<proto::PlannerLease> wantsWrite(Instant now);
    /// Result of that write. A conflict or an unclear result leads to a read.
    void onWritten(const Result<uint64_t> &result, Instant now);

    /// The lease was taken or renewed here recently enough.
    bool isHolder(Instant now) const;
    uint64_t version() const { return this->seenVersion; }
    uint64_t epoch() const { return this->seen.epoch(); }

private:
    const std::string candidate;
    const Duration duration;
    const NonceSource nonces;

    // Lease as last read or written, and since when it is unchanged.
    proto::PlannerLease seen;
    uint64_t seenVersion = 0;
    Instant seenSince{};
    Instant readAt{};
    bool isKnown = false;
    // Write that is on its way or had an unclear result, and when it was sent.
    std::optional<proto::PlannerLease> written;
    Instant writtenAt{};
    // Time of the last write that made this candidate the holder.
    std::optional<Instant> heldSince;
};

} // namespace tray
