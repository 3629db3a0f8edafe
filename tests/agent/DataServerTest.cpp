// Data channel of an agent with a fake engine: answers, resumes, refusals, drain and lost engines.
#include "agent/AgentBench.h"

#include "base/Hash.h"

#include <boost/json.hpp>

using namespace tray;
using namespace tray::test;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Executions of a request that the engine counted.
int executionsOf(const AgentBench &bench, const std::string &id)
{
    const auto &all = bench.engine->executions();
    const auto found = all.find(toHex(id));
    return found == all.end() ? 0 : found->second;
}

ErrorKind kindOf(const proto::Frame &frame)
{
    return static_cast<ErrorKind>(frame.has_failed() ? frame.failed().error_kind()
                                                     : frame.refused().error_kind());
}

} // namespace

TEST_CASE("An attempt gets a complete answer with offsets, total and digest")
{
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        auto channel = co_await bench.connect();
        co_await channel->send(attemptFrame("request-1", "pair EL34", 5));
        const auto head = co_await bench.nextFrame(*channel);
        CHECK(head.head().status() == 200);
        CHECK(head.head_version() == 1);
        std::string text;
        const auto end = co_await bench.finalFrame(*channel, &text);
        REQUIRE(end.has_end());
        CHECK(end.end().total_bytes() == text.size());
        CHECK(end.end().digest() == hash64(text));
        CHECK(text.find("[pair EL34]") != std::string::npos);
        CHECK(text.ends_with("data: [DONE]\n\n"));
    }());
    CHECK(executionsOf(bench, "request-1") == 1);
    CHECK(bench.controller->ledger().reservedKv() == 0);
}

TEST_CASE(
    "An answer is resumed at its offset after a broken connection, without a second execution")
{
    // Guards against a second execution and against lost or repeated bytes.
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        auto first = co_await bench.connect();
        co_await first->send(attemptFrame("request-2", "long", 200));
        std::string text;
        while (text.size() < 300) {
            const auto frame = co_await bench.nextFrame(*first);
            if (frame.has_data())
                text += frame.data().data();
        }
        first->close();
        auto second = co_await bench.connect();
        proto::Frame resume = bareFrame("request-2");
        resume.mutable_resume()->set_offset(text.size());
        co_await second->send(resume);
        const auto end = co_await bench.finalFrame(*second, &text);
        REQUIRE(end.has_end());
        CHECK(end.end().total_bytes() == text.size());
        CHECK(end.end().digest() == hash64(text));
    }());
    CHECK(executionsOf(bench, "request-2") == 1);
}

TEST_CASE("A resume of an attempt that was never seen fences it")
{
    // Guards against a late Attempt frame that runs a request that the entry has abandoned.
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        auto channel = co_await bench.connect();
        proto::Frame resume = bareFrame("request-3");
        resume.mutable_resume()->set_offset(0);
        co_await channel->send(resume);
        const auto refused = co_await bench.finalFrame(*channel, nullptr);
        CHECK(kindOf(refused) == ErrorKind::NeverSeen);
        co_await channel->send(attemptFrame("request-3", "late", 2));
        const auto again = co_await bench.finalFrame(*channel, nullptr);
        REQUIRE(again.has_refused());
        CHECK(kindOf(again) == ErrorKind::NeverSeen);
    }());
    CHECK(executionsOf(bench, "request-3") == 0);
}

TEST_CASE("A duplicate attempt joins the first and is not dispatched")
{
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        auto first = co_await bench.connect();
        auto second = co_await bench.connect();
        co_await first->send(attemptFrame("request-4", "twice", 50));
        co_await bench.nextFrame(*first);
        co_await second->send(attemptFrame("request-4", "twice", 50));
        std::string text;
        const auto end = co_await bench.finalFrame(*second, &text);
        REQUIRE(end.has_end());
        CHECK(end.end().digest() == hash64(text));
    }());
    CHECK(executionsOf(bench, "request-4") == 1);
}

TEST_CASE("The engine has not run a refused request")
{
    AgentBench bench;
    SUBCASE("a model outside of the pool")
    {
        bench.run([&]() -> asio::awaitable<void> {
            co_await bench.waitUntilReady();
            auto channel = co_await bench.connect();
            proto::Frame frame = attemptFrame("request-5", "x", 2);
            frame.mutable_attempt()->set_model("unknown");
            co_await channel->send(frame);
            CHECK(kindOf(co_await bench.finalFrame(*channel, nullptr)) == ErrorKind::NoReplica);
        }());
    }
    SUBCASE("a draining agent")
    {
        bench.run([&]() -> asio::awaitable<void> {
            co_await bench.waitUntilReady();
            bench.runner->setDraining(true);
            auto channel = co_await bench.connect();
            co_await channel->send(attemptFrame("request-5", "x", 2));
            CHECK(kindOf(co_await bench.finalFrame(*channel, nullptr)) == ErrorKind::Draining);
        }());
    }
    SUBCASE("an agent whose state is stale")
    {
        bench.run([&]() -> asio::awaitable<void> {
            co_await bench.waitUntilReady();
            bench.fresh = false;
            auto channel = co_await bench.connect();
            co_await channel->send(attemptFrame("request-5", "x", 2));
            CHECK(kindOf(co_await bench.finalFrame(*channel, nullptr)) == ErrorKind::Stale);
        }());
    }
    SUBCASE("an attempt that is cancelled while it is queued")
    {
        bench.run([&]() -> asio::awaitable<void> {
            co_await bench.waitUntilReady();
            std::vector<std::unique_ptr<FrameChannel>> busy;
            // One of the four slots is reserved for the highest tier, so three requests fill the
            // rest.
            for (int i = 0; i < 3; ++i) {
                busy.push_back(co_await bench.connect());
                co_await busy.back()->send(attemptFrame("busy-" + std::to_string(i), "x", 1000));
                co_await bench.nextFrame(*busy.back());
            }
            auto channel = co_await bench.connect();
            co_await channel->send(attemptFrame("request-5", "x", 2));
            const auto admitted = co_await channel->receive(std::chrono::seconds(2));
            CHECK(value(admitted).has_admitted());
            proto::Frame cancel = bareFrame("request-5");
            cancel.mutable_cancel();
            co_await channel->send(cancel);
            CHECK(kindOf(co_await bench.finalFrame(*channel, nullptr)) == ErrorKind::Cancelled);
        }());
    }
    CHECK(executionsOf(bench, "request-5") == 0);
}

TEST_CASE("An attempt with a newer head version waits for it")
{
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        auto channel = co_await bench.connect();
        proto::Frame frame = attemptFrame("request-6", "x", 2);
        frame.set_head_version(7);
        co_await channel->send(frame);
        const auto waiting = co_await channel->receive(std::chrono::seconds(1));
        REQUIRE(isOk(waiting));
        CHECK(value(waiting).has_heartbeat());
        CHECK(bench.headSeen == 7);
        CHECK(executionsOf(bench, "request-6") == 0);
        bench.head = 7;
        const auto end = co_await bench.finalFrame(*channel, nullptr);
        CHECK(end.has_end());
        CHECK(end.head_version() == 7);
    }());
}

TEST_CASE("Cancelling a running attempt releases its memory")
{
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        auto channel = co_await bench.connect();
        co_await channel->send(attemptFrame("request-7", "x", 500));
        co_await bench.nextFrame(*channel);
        CHECK(bench.controller->ledger().reservedKv() > 0);
        proto::Frame cancel = bareFrame("request-7");
        cancel.mutable_cancel();
        co_await channel->send(cancel);
        const auto failed = co_await bench.finalFrame(*channel, nullptr);
        REQUIRE(failed.has_failed());
        CHECK(failed.failed().may_have_run());
        CHECK(!failed.failed().engine_lost());
        co_await bench.pause(milliseconds(100));
        CHECK(bench.controller->ledger().reservedKv() == 0);
        CHECK(bench.engine->memory().kvBytes() == 0);
    }());
}

TEST_CASE("A drain refuses queued attempts and lets running attempts finish")
{
    // Guards against a planned stop that cuts an answer.
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        std::vector<std::unique_ptr<FrameChannel>> running;
        // One of the four slots is reserved for the highest tier.
        for (int i = 0; i < 3; ++i) {
            running.push_back(co_await bench.connect());
            co_await running.back()->send(attemptFrame("running-" + std::to_string(i), "x", 400));
            co_await bench.nextFrame(*running.back());
        }
        auto queued = co_await bench.connect();
        co_await queued->send(attemptFrame("queued", "x", 2));
        co_await queued->receive(std::chrono::seconds(2));
        bench.runner->setDraining(true);
        CHECK(kindOf(co_await bench.finalFrame(*queued, nullptr)) == ErrorKind::Draining);
        CHECK(bench.runner->openCount() == 3);
        for (const auto &channel : running) {
            const auto end = co_await bench.finalFrame(*channel, nullptr);
            CHECK(end.has_end());
        }
        co_await bench.pause(milliseconds(20));
        CHECK(bench.runner->openCount() == 0);
    }());
    CHECK(executionsOf(bench, "queued") == 0);
}

TEST_CASE("An attempt that a stop aborts gets a final answer that states whether it may have run")
{
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        auto channel = co_await bench.connect();
        proto::Frame attempt = attemptFrame("request-10", "x", 1000);
        ErrorKind expected{};
        SUBCASE("an attempt whose answer has begun may have run")
        {
            co_await channel->send(attempt);
            co_await bench.nextFrame(*channel);
            expected = ErrorKind::StreamBroken;
        }
        SUBCASE("an attempt that waits for its first byte may have run")
        {
            const json::object unresponsive{{"silent", true}};
            bench.engine->setFault(unresponsive);
            co_await channel->send(attempt);
            co_await bench.pause(milliseconds(50));
            expected = ErrorKind::UpstreamFailed;
        }
        SUBCASE("an attempt that waits for a newer configuration did not run")
        {
            attempt.set_head_version(7);
            co_await channel->send(attempt);
            co_await bench.pause(milliseconds(50));
            expected = ErrorKind::Draining;
        }
        bench.runner->setDraining(true);
        bench.runner->abortOpenAttempts();
        const Instant ended = clockNow();
        const auto last = co_await bench.finalFrame(*channel, nullptr);
        CHECK(clockNow() - ended < AttemptRunner::FinalFrameTimeout);
        CHECK(kindOf(last) == expected);
        const bool mayHaveRun = expected != ErrorKind::Draining;
        CHECK(last.has_failed() == mayHaveRun);
        CHECK(last.failed().may_have_run() == mayHaveRun);
        co_await bench.pause(milliseconds(20));
        CHECK(bench.runner->openCount() == 0);
        const json::object responsive{{"silent", false}};
        bench.engine->setFault(responsive);
    }());
    CHECK(executionsOf(bench, "request-10") <= 1);
}

TEST_CASE("An engine crash is reported for the running attempts only")
{
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        const json::object fault{{"crash_text", "boom"}};
        bench.engine->setFault(fault);
        auto beside = co_await bench.connect();
        co_await beside->send(attemptFrame("beside", "x", 500));
        co_await bench.nextFrame(*beside);
        auto crashing = co_await bench.connect();
        co_await crashing->send(attemptFrame("crashing", "boom", 5));
        const auto crashed = co_await bench.finalFrame(*crashing, nullptr);
        REQUIRE(crashed.has_failed());
        CHECK(crashed.failed().engine_lost());
        CHECK(crashed.failed().may_have_run());
        const auto lost = co_await bench.finalFrame(*beside, nullptr);
        REQUIRE(lost.has_failed());
        CHECK(lost.failed().engine_lost());
        CHECK(bench.crashes.size() == 2);
        auto later = co_await bench.connect();
        co_await later->send(attemptFrame("later", "x", 5));
        const auto refused = co_await bench.finalFrame(*later, nullptr);
        CHECK(refused.has_refused());
        CHECK(bench.crashes.size() == 2);
        CHECK(bench.controller->ledger().reservedKv() == 0);
        // The engine restarts without models; its model is loaded again.
        const json::object revive{{"revive", true}, {"crash_text", ""}};
        bench.engine->setFault(revive);
        while (!bench.engine->memory().isReady("model", "m"))
            co_await bench.pause(milliseconds(10));
    }());
    CHECK(bench.engine->memory().overcommitCount() == 0);
}

TEST_CASE("The running attempts of an unresponsive engine fail")
{
    // Guards against heartbeats that keep an attempt open although no engine runs it any more.
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        const json::object fault{{"silent", true}};
        bench.engine->setFault(fault);
        auto channel = co_await bench.connect();
        co_await channel->send(attemptFrame("request-9", "x", 5));
        for (int i = 0; i < 60 && !bench.controller->isLost(); ++i)
            co_await bench.pause(milliseconds(100));
        CHECK(bench.controller->isLost());
        bench.runner->sweep();
        const auto failed = co_await bench.finalFrame(*channel, nullptr);
        REQUIRE(failed.has_failed());
        CHECK(failed.failed().engine_lost());
        CHECK(kindOf(failed) == ErrorKind::UpstreamFailed);
        CHECK(bench.controller->ledger().reservedKv() == 0);
        const json::object responsive{{"silent", false}};
        bench.engine->setFault(responsive);
    }());
}

TEST_CASE("An engine that streams but is too busy to report does not count as lost")
{
    // Guards against a busy machine on which late reports end all streams of an engine.
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        auto channel = co_await bench.connect();
        co_await channel->send(attemptFrame("request-10", "x", 5000));
        co_await bench.nextFrame(*channel);
        const json::object fault{{"silent", true}};
        bench.engine->setFault(fault);
        const Instant begin = clockNow();
        for (int i = 0; i < 45; ++i) {
            co_await bench.pause(milliseconds(100));
            bench.runner->sweep();
        }
        CHECK(!bench.controller->isLost());
        const auto last = co_await bench.finalFrame(*channel, nullptr);
        CHECK(last.has_end());
        // Longer than the time without a report after which an engine counts as lost, plus a call
        // timeout.
        CHECK(clockNow() - begin > std::chrono::seconds(4));
        const json::object responsive{{"silent", false}};
        bench.engine->setFault(responsive);
    }());
}

TEST_CASE("An adapter is loaded for the attempt that waits for it")
{
    AgentBench bench;
    bench.run([&]() -> asio::awaitable<void> {
        co_await bench.waitUntilReady();
        auto channel = co_await bench.connect();
        proto::Frame frame = attemptFrame("request-8", "x", 2);
        frame.mutable_attempt()->set_adapter("a");
        co_await channel->send(frame);
        const auto end = co_await bench.finalFrame(*channel, nullptr);
        CHECK(end.has_end());
        CHECK(bench.engine->memory().isReady("adapter", "a"));
    }());
}
