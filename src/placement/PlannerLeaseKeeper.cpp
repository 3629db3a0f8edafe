// Decisions of a lease candidate.
#include "placement/PlannerLeaseKeeper.h"

namespace tray {

namespace {

// A holder renews this many times within a duration, so that one lost write does not lose it.
constexpr int RenewalsPerDuration = 3;

} // namespace

PlannerLeaseKeeper::PlannerLeaseKeeper(std::string candidate, Duration duration, NonceSource nonces)
    : candidate(std::move(candidate)), duration(duration), nonces(std::move(nonces))
{}

bool PlannerLeaseKeeper::wantsRead(Instant now) const
{
    if (!this->isKnown)
        return true;
    return !this->isHolder(now) && now >= this->readAt + this->duration / RenewalsPerDuration;
}

void PlannerLeaseKeeper::onRead(const proto::PlannerLease &lease, uint64_t version, Instant now)
{
    const bool isOwnWrite =
        this->written && this->written->writer_nonce() == lease.writer_nonce() && version > 0;
    if (isOwnWrite)
        this->heldSince = this->writtenAt;
    else if (version != this->seenVersion)
        this->heldSince.reset();
    this->written.reset();
    if (!this->isKnown || version != this->seenVersion)
        this->seenSince = now;
    this->seen = lease;
    this->seenVersion = version;
    this->readAt = now;
    this->isKnown = true;
}

std::optional<proto::PlannerLease> PlannerLeaseKeeper::wantsWrite(Instant now)
{
    if (!this->isKnown || this->written)
        return std::nullopt;
    const bool renews =
        this->heldSince && now >= *this->heldSince + this->duration / RenewalsPerDuration;
    const bool isFree = this->seenVersion == 0 || now >= this->seenSince + this->duration;
    if (!renews && (this->heldSince || !isFree))
        return std::nullopt;
    proto::PlannerLease lease;
    lease.set_holder(this->candidate);
    lease.set_epoch(this->seen.epoch() + (renews ? 0 : 1));
    lease.set_writer_nonce(this->nonces());
    this->written = lease;
    this->writtenAt = now;
    return lease;
}

void PlannerLeaseKeeper::onWritten(const Result<uint64_t> &result, Instant now)
{
    if (!this->written)
        return;
    if (!isOk(result)) {
        // An unclear write keeps its nonce until the read tells whether it took effect.
        this->isKnown = false;
        return;
    }
    this->seen = std::move(*this->written);
    this->written.reset();
    this->seenVersion = value(result);
    this->seenSince = now;
    this->heldSince = this->writtenAt;
}

bool PlannerLeaseKeeper::isHolder(Instant now) const
{
    return this->heldSince && now < *this->heldSince + this->duration;
}

} // namespace tray
