// Tests the entry server over loopback connections with scripted agents: answers and streams,
// errors and whether they report that a request ran, retries, claims, suspects, and the drain.
#include "entry/EntryFixture.h"

using namespace tray;
using namespace tray::test;
using Kind = AgentScript::Kind;

namespace {

HttpHeaders bearerHeader(const std::string &credential)
{
    return {{"Authorization", "Bearer " + credential}};
}

} // namespace

TEST_CASE("Callers get the complete answer of an upstream, byte for byte")
{
    EntryFixture entry;
    SUBCASE("repeated unstreamed answers over pooled channels")
    {
        for (int i = 0; i < 20; ++i) {
            const auto answer = entry.complete();
            REQUIRE(isOk(answer));
            CHECK(value(answer).status == 200);
            CHECK(value(answer).body == entry.first.answer);
            CHECK(findHeader(value(answer).headers, "Content-Type") == "application/json");
        }
        CHECK(entry.first.attempts == 20);
        CHECK(entry.counter("tray_entry_retries_total") == 0);
        // The last request is counted after its answer has reached the caller.
        for (int i = 0; i < 200 && entry.state.demand < 20; ++i)
            std::this_thread::sleep_for(milliseconds(10));
        CHECK(entry.state.demand == 20);
    }
    SUBCASE("a streamed answer")
    {
        const auto answer = entry.complete(true);
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == entry.first.answer);
        CHECK(entry.first.lastAttempt().stream());
    }
    SUBCASE("a large answer is forwarded in pieces")
    {
        entry.first.answer = std::string(9u << 20, 'x');
        const auto answer = entry.complete();
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == entry.first.answer);
    }
    SUBCASE("a service receives method, path and body, but not the credential")
    {
        const auto answer =
            entry.call("PUT", "/services/bench/stock/7?fast=1", "six", bearerHeader("secret"));
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 200);
        const auto attempt = entry.first.lastAttempt();
        CHECK(attempt.service() == "bench");
        CHECK(attempt.method() == "PUT");
        CHECK(attempt.target() == "/services/bench/stock/7?fast=1");
        CHECK(attempt.body() == "six");
        CHECK(attempt.client_account() == "shop");
        for (const auto &header : attempt.headers())
            CHECK(header.name() != "Authorization");
    }
    SUBCASE("frames of other requests and attempts are dropped and counted")
    {
        entry.first.push({Kind::SendForeignFrames});
        const auto answer = entry.complete();
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == entry.first.answer);
        CHECK(entry.counter("tray_entry_dropped_frames_total") == 2);
    }
    SUBCASE("a connection that times out is replaced, without a second run")
    {
        entry.first.push({Kind::StopSending});
        const auto answer = entry.complete(true);
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == entry.first.answer);
        CHECK(entry.first.attempts == 1);
        CHECK(entry.first.resumes == 1);
    }
}

TEST_CASE("Rejected requests get an error status and report that nothing ran")
{
    EntryFixture entry;
    const auto check = [&](const Result<HttpResponse> &answer, int status) {
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == status);
        CHECK(ranOf(value(answer)) == "no");
    };
    const std::string path = "/v1/chat/completions";
    const std::string good = R"({"model":"advice","messages":[{"role":"user","content":"x"}]})";
    check(entry.call("POST", path, good), 401);
    check(entry.call("POST", path, good, bearerHeader("guess")), 401);
    check(entry.call("POST", path, "{", bearerHeader("secret")), 400);
    check(entry.call("POST", path, R"({"model":"advice"})", bearerHeader("secret")), 400);
    check(entry.call("GET", path, "", bearerHeader("secret")), 400);
    check(entry.call("GET", "/nowhere", "", bearerHeader("secret")), 404);
    check(entry.call("GET", "/services/none/x", "", bearerHeader("secret")), 404);
    check(entry.call("POST", "/v1/completions", R"({"model":"advice:lima","prompt":"x"})",
                     bearerHeader("secret")),
          404);
    entry.state.fresh = false;
    const auto stale = entry.complete();
    check(stale, 503);
    CHECK(findHeader(value(stale).headers, "Retry-After") == "1");
    CHECK(entry.first.attempts == 0);
}

TEST_CASE("The list of models requires a credential and includes adapters")
{
    EntryFixture entry;
    const auto answer = entry.call("GET", "/v1/models", "", bearerHeader("secret"));
    REQUIRE(isOk(answer));
    CHECK(value(answer).body.find("\"advice:trujillo\"") != std::string::npos);
    CHECK(value(entry.call("GET", "/v1/models")).status == 401);
}

TEST_CASE("Failed attempts are retried only if that is safe")
{
    EntryFixture entry;
    SUBCASE("a refused request is retried at another upstream")
    {
        entry.state.addAgent("second", entry.second.address);
        entry.first.push({Kind::Refuse});
        entry.second.push({Kind::Refuse});
        const auto answer = entry.complete(false, "key");
        REQUIRE(isOk(answer));
        // Both upstreams refuse their first attempt, so the caller gets the refusal with its
        // Retry-After.
        CHECK(value(answer).status == 429);
        CHECK(findHeader(value(answer).headers, "Retry-After") == "3");
        CHECK(ranOf(value(answer)) == "no");
        // The claim is released after the answer has been written.
        const Instant limit = clockNow() + std::chrono::seconds(1);
        while (entry.claims.releaseCount == 0 && clockNow() < limit)
            std::this_thread::sleep_for(milliseconds(1));
        CHECK(entry.claims.releaseCount == 1);
        const auto repeat = entry.complete(false, "key");
        CHECK(value(repeat).status == 200);
    }
    SUBCASE("a lost idempotent request is retried")
    {
        entry.state.addAgent("second", entry.second.address);
        entry.first.push({Kind::Disconnect});
        for (int i = 0; i < 4; ++i) {
            const auto answer = entry.complete();
            REQUIRE(isOk(answer));
            CHECK(value(answer).status == 200);
        }
    }
    SUBCASE("a lost non-idempotent request is not retried")
    {
        entry.first.push({Kind::Disconnect});
        const auto answer = entry.complete(false, "key");
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 502);
        CHECK(ranOf(value(answer)) == "unknown");
        CHECK(entry.first.attempts == 1);
        CHECK(entry.claims.releaseCount == 0);
        const auto repeat = entry.complete(false, "key");
        CHECK(value(repeat).status == 409);
        CHECK(entry.first.attempts == 1);
    }
    SUBCASE("a truncated stream breaks the caller's connection")
    {
        entry.first.push({Kind::TruncateAnswer});
        CHECK(!isOk(entry.complete(true)));
        CHECK(entry.counter("tray_entry_aborted_streams_total") == 1);
    }
    SUBCASE("an answer that is truncated before any part was sent to the caller is an error")
    {
        entry.first.push({Kind::TruncateAnswer});
        const auto answer = entry.complete();
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 502);
        CHECK(ranOf(value(answer)) == "unknown");
    }
}

TEST_CASE("Requests with an idempotency key run once, and repeats get the first answer")
{
    EntryFixture entry;
    SUBCASE("a repeat gets the stored answer; the same key with another body is refused")
    {
        const auto answer = entry.complete(false, "key");
        CHECK(value(answer).status == 200);
        const auto repeat = entry.complete(false, "key");
        CHECK(value(repeat).body == value(answer).body);
        CHECK(findHeader(value(repeat).headers, "Idempotent-Replayed") == "true");
        CHECK(findHeader(value(repeat).headers, "Content-Type") == "application/json");
        const auto other = entry.complete(false, "key", "another body");
        CHECK(value(other).status == 422);
        CHECK(ranOf(value(other)) == "no");
        CHECK(entry.first.attempts == 1);
    }
    SUBCASE("a repeat while the first request runs waits for its answer")
    {
        entry.first.push({Kind::AnswerLate});
        std::thread first([&] { CHECK(value(entry.complete(false, "key")).status == 200); });
        std::this_thread::sleep_for(milliseconds(100));
        const auto repeat = entry.complete(false, "key");
        first.join();
        CHECK(value(repeat).status == 200);
        CHECK(findHeader(value(repeat).headers, "Idempotent-Replayed") == "true");
        CHECK(entry.first.attempts == 1);
    }
    SUBCASE("a repeat of a request lost with its entry instance does not wait until its deadline")
    {
        entry.claims.heldByOtherRequest = true;
        const auto sentAt = std::chrono::steady_clock::now();
        const auto repeat = entry.complete(false, "key");
        CHECK(std::chrono::steady_clock::now() - sentAt < std::chrono::seconds(2));
        CHECK(value(repeat).status == 409);
        CHECK(ranOf(value(repeat)) == "unknown");
        CHECK(findHeader(value(repeat).headers, "Retry-After") == "1");
        CHECK(entry.first.attempts == 0);
    }
    SUBCASE("without the platform the request is refused immediately and does not run")
    {
        entry.claims.available = false;
        const auto answer = entry.complete(false, "key");
        CHECK(value(answer).status == 503);
        CHECK(ranOf(value(answer)) == "no");
        CHECK(entry.first.attempts == 0);
        CHECK(value(entry.complete()).status == 200);
    }
}

TEST_CASE("A request that crashes upstreams is refused after two crashes")
{
    EntryFixture entry;
    entry.state.addAgent("second", entry.second.address);
    ScriptedAgent third(entry.context);
    entry.state.addAgent("third", third.address);
    for (auto *agent : {&entry.first, &entry.second, &third})
        agent->push({Kind::LoseEngine});
    const auto answer = entry.complete();
    REQUIRE(isOk(answer));
    CHECK(value(answer).status == 422);
    // The request ran and crashed its upstreams, so the error kind's default "no" would be false.
    CHECK(ranOf(value(answer)) == "unknown");
    CHECK(findHeader(value(answer).headers, "Retry-After") == "600");
    CHECK(entry.first.attempts + entry.second.attempts + third.attempts == 2);
    SUBCASE("a repeat by the caller is refused without a run")
    {
        const auto repeat = entry.complete();
        CHECK(value(repeat).status == 422);
        CHECK(ranOf(value(repeat)) == "no");
        CHECK(entry.first.attempts + entry.second.attempts + third.attempts == 2);
    }
    SUBCASE("other requests are not affected")
    {
        CHECK(value(entry.complete(false, "", "another")).status == 200);
    }
}

TEST_CASE("A drain does not break streams in flight")
{
    EntryFixture entry;
    std::vector<std::thread> callers;
    std::atomic<int> completeCount{0};
    for (int i = 0; i < 200; ++i)
        entry.first.push({Kind::AnswerLate});
    for (int i = 0; i < 200; ++i) {
        callers.emplace_back([&] {
            const auto answer = entry.complete(true);
            completeCount += isOk(answer) && value(answer).body == entry.first.answer;
        });
    }
    while (entry.first.attempts < 200)
        std::this_thread::sleep_for(milliseconds(5));
    entry.server.drain();
    for (auto &caller : callers)
        caller.join();
    CHECK(completeCount == 200);
    CHECK(!isOk(entry.complete()));
}
