// Tests the rules for single requests on a record.
#include "claims/ClaimRules.h"

#include <doctest/doctest.h>

namespace tray::test {

// Guards against different answers to two callers of one request.
TEST_CASE("The first answer of a claim is final")
{
    proto::ClaimBegin begin;
    begin.set_claim_id("a");
    const proto::ClaimRecord granted = decideBegin(begin, nullptr, 1000).record;
    proto::ClaimRecord answer;
    answer.set_claim_id("a");
    answer.set_answer("first");
    const proto::ClaimRecord finished = decideFinish(answer, &granted).record;
    CHECK(finished.state() == proto::CLAIM_STATE_FINISHED);
    CHECK(finished.claimed_at_ms() == 1000);

    answer.set_answer("second");
    const ClaimDecision second = decideFinish(answer, &finished);
    CHECK_FALSE(second.write);
    CHECK(second.reply.record().answer() == "first");

    answer.set_claim_id("b");
    CHECK(decideFinish(answer, &granted).reply.verdict() == proto::CLAIM_VERDICT_UNAVAILABLE);
}

// Guards against a release that frees a key that another claim holds.
TEST_CASE("A release frees its own claim only")
{
    proto::ClaimBegin begin;
    begin.set_claim_id("a");
    const proto::ClaimRecord granted = decideBegin(begin, nullptr, 1000).record;
    proto::ClaimRelease release;
    release.set_claim_id("b");
    const ClaimDecision other = decideRelease(release, &granted, 2000);
    CHECK(other.record.state() == proto::CLAIM_STATE_GRANTED);
    CHECK(other.record.claim_id() == "a");
    CHECK(other.reply.record().state() == proto::CLAIM_STATE_RELEASED);
}

} // namespace tray::test
