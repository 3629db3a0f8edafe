// Rules of a claim as pure functions.
#include "claims/ClaimRules.h"

#include <algorithm>

namespace tray {

namespace {

ClaimDecision replyWith(proto::ClaimVerdict verdict, const proto::ClaimRecord *record = nullptr)
{
    ClaimDecision decision;
    decision.reply.set_verdict(verdict);
    if (record != nullptr)
        *decision.reply.mutable_record() = *record;
    return decision;
}

ClaimDecision writeRecord(proto::ClaimRecord record, proto::ClaimVerdict verdict)
{
    ClaimDecision decision;
    decision.write = true;
    decision.reply.set_verdict(verdict);
    decision.record = std::move(record);
    return decision;
}

// Released claims that a record remembers; a begin is rarely late by more than a few claims.
constexpr int MaxReleasedClaims = 8;

bool isReleased(const proto::ClaimRecord &record, const std::string &claimId)
{
    if (record.state() == proto::CLAIM_STATE_RELEASED && record.claim_id() == claimId)
        return true;
    const auto &released = record.released_claims();
    return std::find(released.begin(), released.end(), claimId) != released.end();
}

void addReleased(proto::ClaimRecord &record, const std::string &claimId)
{
    record.add_released_claims(claimId);
    if (record.released_claims_size() > MaxReleasedClaims)
        record.mutable_released_claims()->DeleteSubrange(0, 1);
}

// Record of another claim in place of a released one, which stays refused.
proto::ClaimRecord replaceReleased(const proto::ClaimRecord *released)
{
    proto::ClaimRecord record;
    if (released != nullptr) {
        *record.mutable_released_claims() = released->released_claims();
        addReleased(record, released->claim_id());
    }
    return record;
}

ClaimDecision grant(const proto::ClaimBegin &begin, const proto::ClaimRecord *released, WallMs wall)
{
    proto::ClaimRecord record = replaceReleased(released);
    record.set_key(begin.key());
    record.set_body_digest(begin.body_digest());
    record.set_claim_id(begin.claim_id());
    record.set_state(proto::CLAIM_STATE_GRANTED);
    record.set_claimed_at_ms(wall);
    return writeRecord(std::move(record), proto::CLAIM_VERDICT_GRANTED);
}

// A release is settled by a reply that holds the released claim.
ClaimDecision released(ClaimDecision decision, const proto::ClaimRelease &release)
{
    proto::ClaimRecord &record = *decision.reply.mutable_record();
    record.set_key(release.key());
    record.set_claim_id(release.claim_id());
    record.set_state(proto::CLAIM_STATE_RELEASED);
    return decision;
}

} // namespace

ClaimDecision decideBegin(const proto::ClaimBegin &begin, const proto::ClaimRecord *present,
                          WallMs wall)
{
    if (present == nullptr)
        return grant(begin, nullptr, wall);
    if (isReleased(*present, begin.claim_id()))
        return replyWith(proto::CLAIM_VERDICT_UNAVAILABLE);
    if (present->state() == proto::CLAIM_STATE_RELEASED)
        return grant(begin, present, wall);
    const bool sameClaim = present->claim_id() == begin.claim_id();
    if (present->body_digest() != begin.body_digest())
        return replyWith(proto::CLAIM_VERDICT_BODY_DIFFERS);
    if (present->state() == proto::CLAIM_STATE_FINISHED)
        return replyWith(proto::CLAIM_VERDICT_FINISHED, present);
    return replyWith(sameClaim ? proto::CLAIM_VERDICT_GRANTED : proto::CLAIM_VERDICT_IN_PROGRESS);
}

ClaimDecision decideFinish(const proto::ClaimRecord &finished, const proto::ClaimRecord *present)
{
    if (present == nullptr || present->claim_id() != finished.claim_id() ||
        present->state() == proto::CLAIM_STATE_RELEASED)
        return replyWith(proto::CLAIM_VERDICT_UNAVAILABLE);
    if (present->state() == proto::CLAIM_STATE_FINISHED)
        return replyWith(proto::CLAIM_VERDICT_FINISHED, present);
    proto::ClaimRecord record = finished;
    record.set_body_digest(present->body_digest());
    record.set_claimed_at_ms(present->claimed_at_ms());
    record.set_state(proto::CLAIM_STATE_FINISHED);
    return writeRecord(std::move(record), proto::CLAIM_VERDICT_FINISHED);
}

ClaimDecision decideRelease(const proto::ClaimRelease &release, const proto::ClaimRecord *present,
                            WallMs wall)
{
    if (present != nullptr && isReleased(*present, release.claim_id()))
        return released(replyWith(proto::CLAIM_VERDICT_UNAVAILABLE), release);
    const bool sameClaim = present != nullptr && present->claim_id() == release.claim_id();
    if (present != nullptr && present->state() == proto::CLAIM_STATE_FINISHED)
        return sameClaim ? replyWith(proto::CLAIM_VERDICT_FINISHED, present)
                         : released(replyWith(proto::CLAIM_VERDICT_UNAVAILABLE), release);
    proto::ClaimRecord record;
    if (present != nullptr && present->state() == proto::CLAIM_STATE_GRANTED) {
        record = *present;
        if (sameClaim)
            record.set_state(proto::CLAIM_STATE_RELEASED);
        else
            addReleased(record, release.claim_id());
    } else {
        record = replaceReleased(present);
        record.set_key(release.key());
        record.set_claim_id(release.claim_id());
        record.set_claimed_at_ms(wall);
        record.set_state(proto::CLAIM_STATE_RELEASED);
    }
    return released(writeRecord(std::move(record), proto::CLAIM_VERDICT_UNAVAILABLE), release);
}

} // namespace tray
