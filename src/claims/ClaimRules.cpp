// Implements the rules of a claim as pure functions.
#include "claims/ClaimRules.h"

#include <algorithm>

namespace tray {

namespace {

ClaimDecision decideReply(proto::ClaimVerdict verdict, const proto::ClaimRecord *record = nullptr)
{
    ClaimDecision decision;
    decision.reply.set_verdict(verdict);
    if (record != nullptr)
        *decision.reply.mutable_record() = *record;
    return decision;
}

ClaimDecision decideWrite(proto::ClaimRecord record, proto::ClaimVerdict verdict)
{
    ClaimDecision decision;
    decision.write = true;
    decision.reply.set_verdict(verdict);
    decision.record = std::move(record);
    return decision;
}

// Number of released claim ids that a record keeps. A begin is rarely late by more than a few
// claims.
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

// Returns a record that replaces the one of a released claim; the released claim id stays refused.
proto::ClaimRecord replaceReleased(const proto::ClaimRecord *released)
{
    proto::ClaimRecord record;
    if (released != nullptr) {
        *record.mutable_released_claims() = released->released_claims();
        addReleased(record, released->claim_id());
    }
    return record;
}

ClaimDecision grantClaim(const proto::ClaimBegin &begin, const proto::ClaimRecord *released,
                         WallMs wall)
{
    proto::ClaimRecord record = replaceReleased(released);
    record.set_key(begin.key());
    record.set_body_digest(begin.body_digest());
    record.set_claim_id(begin.claim_id());
    record.set_state(proto::CLAIM_STATE_GRANTED);
    record.set_claimed_at_ms(wall);
    return decideWrite(std::move(record), proto::CLAIM_VERDICT_GRANTED);
}

// Adds the released claim to the reply, which confirms the release.
ClaimDecision confirmRelease(ClaimDecision decision, const proto::ClaimRelease &release)
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
        return grantClaim(begin, nullptr, wall);
    if (isReleased(*present, begin.claim_id()))
        return decideReply(proto::CLAIM_VERDICT_UNAVAILABLE);
    if (present->state() == proto::CLAIM_STATE_RELEASED)
        return grantClaim(begin, present, wall);
    const bool isSameClaim = present->claim_id() == begin.claim_id();
    if (present->body_digest() != begin.body_digest())
        return decideReply(proto::CLAIM_VERDICT_BODY_DIFFERS);
    if (present->state() == proto::CLAIM_STATE_FINISHED)
        return decideReply(proto::CLAIM_VERDICT_FINISHED, present);
    return decideReply(isSameClaim ? proto::CLAIM_VERDICT_GRANTED
                                   : proto::CLAIM_VERDICT_IN_PROGRESS);
}

ClaimDecision decideFinish(const proto::ClaimRecord &finished, const proto::ClaimRecord *present)
{
    if (present == nullptr || present->claim_id() != finished.claim_id() ||
        present->state() == proto::CLAIM_STATE_RELEASED)
        return decideReply(proto::CLAIM_VERDICT_UNAVAILABLE);
    if (present->state() == proto::CLAIM_STATE_FINISHED)
        return decideReply(proto::CLAIM_VERDICT_FINISHED, present);
    proto::ClaimRecord record = finished;
    record.set_body_digest(present->body_digest());
    record.set_claimed_at_ms(present->claimed_at_ms());
    record.set_state(proto::CLAIM_STATE_FINISHED);
    return decideWrite(std::move(record), proto::CLAIM_VERDICT_FINISHED);
}

ClaimDecision decideRelease(const proto::ClaimRelease &release, const proto::ClaimRecord *present,
                            WallMs wall)
{
    if (present != nullptr && isReleased(*present, release.claim_id()))
        return confirmRelease(decideReply(proto::CLAIM_VERDICT_UNAVAILABLE), release);
    const bool isSameClaim = present != nullptr && present->claim_id() == release.claim_id();
    if (present != nullptr && present->state() == proto::CLAIM_STATE_FINISHED)
        return isSameClaim ? decideReply(proto::CLAIM_VERDICT_FINISHED, present)
                           : confirmRelease(decideReply(proto::CLAIM_VERDICT_UNAVAILABLE), release);
    proto::ClaimRecord record;
    if (present != nullptr && present->state() == proto::CLAIM_STATE_GRANTED) {
        record = *present;
        if (isSameClaim)
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
    return confirmRelease(decideWrite(std::move(record), proto::CLAIM_VERDICT_UNAVAILABLE),
                          release);
}

} // namespace tray
