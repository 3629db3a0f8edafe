// Attempt and request state machines against simulated agents and a faulty network.
#include "routing/AttemptSimulation.h"
#include "support/Property.h"

using namespace tray;
using namespace tray::test;

TEST_CASE("No network fault makes a request run twice, or makes its outcome untrue")
{
    const auto property = [](std::vector<uint8_t> bytes, bool idempotent, bool streams) {
        Tape tape(std::move(bytes));
        AttemptSimulation simulation(tape, idempotent);
        simulation.streams = streams;
        const auto step = simulation.run();
        // Guards against "not run" for a request that an agent executed, then or later.
        RC_ASSERT(!simulation.wrongOutcome);
        if (simulation.machine.ran() == Ran::No)
            RC_ASSERT(simulation.agent.executions == 0u);
        // Guards against a second execution of a request that may not be repeated.
        if (!idempotent)
            RC_ASSERT(simulation.agent.executions <= 1u);
        // Guards against sending one attempt twice, which an agent could take for two.
        for (uint32_t number = 1; number <= simulation.machine.attemptCount(); ++number)
            RC_ASSERT(simulation.attemptFramesSent(number) <= 1u);
        // Guards against wrong bytes with the caller, and against a part taken for the whole.
        RC_ASSERT(simulation.answer.starts_with(simulation.delivered));
        if (step == RequestStep::Answer)
            RC_ASSERT(simulation.delivered == simulation.answer);
    };
    checkProperty("attempts over a faulty network", 20260301, 3000, property);
}

TEST_CASE("An attempt resumes on fresh connections and ends in time")
{
    AttemptMachine machine("request", 1, 5, true);
    proto::Frame frame;
    frame.set_request_id("request");
    frame.set_attempt_number(1);
    SUBCASE("an upstream that was never reached did not run the attempt")
    {
        CHECK(machine.onConnectFailed() == AttemptStep::Finish);
        CHECK(machine.outcome().end == AttemptEnd::NotRun);
        CHECK(machine.outcome().unreachable);
    }
    SUBCASE("after the attempt was sent, an upstream that is gone may have run it")
    {
        CHECK(machine.onConnected() == AttemptStep::SendAttempt);
        CHECK(machine.onChannelLost() == AttemptStep::Dial);
        CHECK(machine.onConnected() == AttemptStep::SendResume);
        CHECK(machine.onChannelLost() == AttemptStep::Finish);
        CHECK(machine.outcome().end == AttemptEnd::Lost);
        CHECK(machine.outcome().mayHaveRun);
    }
    SUBCASE("an answer that no other upstream can take over waits longer for a slow one")
    {
        machine.onConnected();
        frame.mutable_head()->set_status(200);
        machine.onFrame(frame);
        machine.onAnswerStarted();
        for (unsigned i = 0; i < AttemptMachine::QuietResumesOtherwise; ++i) {
            CHECK(machine.onChannelLost() == AttemptStep::Dial);
            CHECK(machine.onConnected() == AttemptStep::SendResume);
        }
        SUBCASE("and goes on when it is heard again")
        {
            CHECK(machine.onFrame(frame) == AttemptStep::Receive);
            CHECK(machine.onChannelLost() == AttemptStep::Dial);
        }
        SUBCASE("but not without end")
        {
            CHECK(machine.onChannelLost() == AttemptStep::Finish);
            CHECK(machine.outcome().end == AttemptEnd::Lost);
            CHECK(machine.outcome().unreachable);
        }
    }
    SUBCASE("a refusal carries kind and time for a retry")
    {
        machine.onConnected();
        frame.mutable_refused()->set_error_kind(static_cast<uint32_t>(ErrorKind::Overloaded));
        frame.mutable_refused()->set_retry_after_ms(700);
        CHECK(machine.onFrame(frame) == AttemptStep::Finish);
        CHECK(machine.outcome().kind == ErrorKind::Overloaded);
        CHECK(machine.outcome().retryAfterMs == 700);
        CHECK(!machine.outcome().mayHaveRun);
    }
    SUBCASE("an end mark with a wrong digest is not a whole answer")
    {
        machine.onConnected();
        frame.mutable_head()->set_status(200);
        machine.onFrame(frame);
        frame.mutable_data()->set_data("abc");
        machine.onFrame(frame);
        frame.mutable_end()->set_total_bytes(3);
        frame.mutable_end()->set_digest(hash64("abd"));
        CHECK(machine.onFrame(frame) == AttemptStep::Finish);
        CHECK(machine.outcome().end == AttemptEnd::Lost);
    }
}

TEST_CASE("A request is retried only where that is safe")
{
    AttemptOutcome refused;
    refused.end = AttemptEnd::NotRun;
    refused.kind = ErrorKind::Overloaded;
    AttemptOutcome lost;
    lost.end = AttemptEnd::Lost;
    lost.kind = ErrorKind::StreamBroken;
    lost.mayHaveRun = true;
    SUBCASE("a refused request that is not idempotent goes elsewhere")
    {
        RequestMachine machine(false);
        machine.beginAttempt();
        CHECK(machine.onOutcome(refused, {}) == RequestStep::Retry);
        CHECK(machine.ran() == Ran::No);
        machine.beginAttempt();
        CHECK(machine.onOutcome(lost, {}) == RequestStep::GiveUp);
        CHECK(machine.failure().kind == ErrorKind::OutcomeUnknown);
        CHECK(machine.ran() == Ran::Unknown);
    }
    SUBCASE("a refusal after a lost attempt does not say that the request has not run")
    {
        RequestMachine machine(true);
        machine.beginAttempt();
        CHECK(machine.onOutcome(lost, {}) == RequestStep::Retry);
        machine.beginAttempt();
        CHECK(machine.onOutcome(refused, {.budgetAllows = false}) == RequestStep::GiveUp);
        CHECK(machine.ran() == Ran::Unknown);
    }
    SUBCASE("a part of an answer is never followed by another answer")
    {
        RequestMachine machine(true);
        machine.beginAttempt();
        CHECK(machine.onOutcome(lost, {.answerStarted = true}) == RequestStep::Abort);
    }
}
