#include "placement/PlannerLeaseKeeper.h"

namespace tray {

namespace {

// Number of renewals within a lease duration, so that one failed write does not lose the lease.
constexpr int RenewalsPerDuration = 3;

} // namespace

PlannerLeaseKeeper::PlannerLeaseKeeper(std::string candidate, Duration duration, NonceSource nonces)
    : candidate(std::move(candidate)), duration(duration), nonces(std::move(nonces))
{}

bool PlannerLeaseKeeper::shouldRead(Instant now) const
{
    if (!this->isReadValid)
        return true;
    return !this->isHolder(now) && now >= this->readAt + this->duration / RenewalsPerDuration;
}

void PlannerLeaseKeeper::onRead(const proto::PlannerLease &lease, uint64_t version, Instant now)
{
    const bool isOwnWrite = this->pendingWrite &&
                            this->pendingWrite->writer_nonce() == lease.writer_nonce() &&
                            version > 0;
    if (isOwnWrite)
        this->lastRenewalAt = this->pendingWriteAt;
    else if (version != this->leaseVersion)
        this->lastRenewalAt.reset();
    this->pendingWrite.reset();
    if (!this->isReadValid || version != this->leaseVersion)
        this->unchangedSince = now;
    this->currentLease = lease;
    this->leaseVersion = version;
    this->readAt = now;
    this->isReadValid = true;
}

std::optional<proto::PlannerLease> PlannerLeaseKeeper::prepareWrite(Instant now)
{
    if (!this->isReadValid || this->pendingWrite)
        return std::nullopt;
    const bool isRenewal =
        this->lastRenewalAt && now >= *this->lastRenewalAt + this->duration / RenewalsPerDuration;
    const bool isExpired = this->leaseVersion == 0 || now >= this->unchangedSince + this->duration;
    if (!isRenewal && (this->lastRenewalAt || !isExpired))
        return std::nullopt;
    proto::PlannerLease lease;
    lease.set_holder(this->candidate);
    lease.set_epoch(this->currentLease.epoch() + (isRenewal ? 0 : 1));
    lease.set_writer_nonce(this->nonces());
    this->pendingWrite = lease;
    this->pendingWriteAt = now;
    return lease;
}

void PlannerLeaseKeeper::onWritten(const Result<uint64_t> &result, Instant now)
{
    if (!this->pendingWrite)
        return;
    if (!isOk(result)) {
        // Keep the nonce of a write with an unknown result until a read shows whether it took
        // effect.
        this->isReadValid = false;
        return;
    }
    this->currentLease = std::move(*this->pendingWrite);
    this->pendingWrite.reset();
    this->leaseVersion = value(result);
    this->unchangedSince = now;
    this->lastRenewalAt = this->pendingWriteAt;
}

bool PlannerLeaseKeeper::isHolder(Instant now) const
{
    return this->lastRenewalAt && now < *this->lastRenewalAt + this->duration;
}

} // namespace tray
