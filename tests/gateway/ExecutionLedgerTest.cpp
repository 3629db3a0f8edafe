// Tests of the record of a request's attempts.
#include "gateway/ExecutionLedger.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("An attempt may have been executed unless there is evidence")
{
    ExecutionLedger ledger;
    CHECK(ledger.possibleExecutions() == 0);
    CHECK(ledger.describe() == "never_attempted");
    ledger.beginAttempt("i-1");
    SUBCASE("as long as it lasts")
    {
        CHECK(ledger.possibleExecutions() == 1);
        CHECK(ledger.describe() == "i-1:may_have_run");
    }
    SUBCASE("after it has ended without evidence")
    {
        ledger.endAttempt(NotExecutedEvidence::None, "503/own_id/new");
        CHECK(ledger.possibleExecutions() == 1);
    }
    SUBCASE("but not after a refusal, and a later attempt counts for itself")
    {
        ledger.endAttempt(NotExecutedEvidence::Refused, "503/own_id/reused");
        CHECK(ledger.possibleExecutions() == 0);
        ledger.beginAttempt("i-2");
        CHECK(ledger.possibleExecutions() == 1);
        ledger.endAttempt(NotExecutedEvidence::NotSent);
        CHECK(ledger.possibleExecutions() == 0);
        CHECK(ledger.describe() == "i-1:refused/503/own_id/reused,i-2:not_sent");
    }
}
