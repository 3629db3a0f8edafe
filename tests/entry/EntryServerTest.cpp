// The entry server end to end over loopback, with scripted agents.
#include "entry/EntryFixture.h"

using namespace tray;
using namespace tray::test;
using Kind = AgentScript::Kind;

namespace {

HttpHeaders bearerOf(const std::string &credential)
{
    return {{"Authorization", "Bearer " + credential}};
}

} // namespace

TEST_CASE("Callers get the whole answer of an upstream, byte for byte")
{
    EntryFixture entry;
    SUBCASE("a whole answer, again and again over pooled channels")
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
    SUBCASE("a stream")
    {
        const auto answer = entry.complete(true);
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == entry.first.answer);
        CHECK(entry.first.lastAttempt().stream());
    }
    SUBCASE("a large answer is passed on in pieces")
    {
        entry.first.answer = std::string(9u << 20, 'x');
        const auto answer = entry.complete();
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == entry.first.answer);
    }
    SUBCASE("a service sees method, path and body, but not the credential")
    {
        const auto answer =
            entry.call("PUT", "/services/bench/stock/7?fast=1", "six", bearerOf("secret"));
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
    SUBCASE("crossed and late frames are dropped and counted")
    {
        entry.first.push({Kind::CrossFrames});
        const auto answer = entry.complete();
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == entry.first.answer);
        CHECK(entry.counter("tray_entry_dropped_frames_total") == 2);
    }
    SUBCASE("a silent connection is replaced, without a second run")
    {
        entry.first.push({Kind::FallSilent});
        const auto answer = entry.complete(true);
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == entry.first.answer);
        CHECK(entry.first.attempts == 1);
        CHECK(entry.first.resumes == 1);
    }
}

TEST_CASE("Refusals of callers' requests say why, and that nothing ran")
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
    check(entry.call("POST", path, good, bearerOf("guess")), 401);
    check(entry.call("POST", path, "{", bearerOf("secret")), 400);
    check(entry.call("POST", path, R"({"model":"advice"})", bearerOf("secret")), 400);
    check(entry.call("GET", path, "", bearerOf("secret")), 400);
    check(entry.call("GET", "/nowhere", "", bearerOf("secret")), 404);
    check(entry.call("GET", "/services/none/x", "", bearerOf("secret")), 404);
    check(entry.call("POST", "/v1/completions", R"({"model":"advice:lima","prompt":"x"})",
                     bearerOf("secret")),
          404);
    entry.state.fresh = false;
    const auto stale = entry.complete();
    check(stale, 503);
    CHECK(findHeader(value(stale).headers, "Retry-After") == "1");
    CHECK(entry.first.attempts == 0);
}

TEST_CASE("The list of models needs a credential and names adapters")
{
    EntryFixture entry;
    const auto answer = entry.call("GET", "/v1/models", "", bearerOf("secret"));
    REQUIRE(isOk(answer));
    CHECK(value(answer).body.find("\"advice:trujillo\"") != std::string::npos);
    CHECK(value(entry.call("GET", "/v1/models")).status == 401);
}

TEST_CASE("Failed attempts go elsewhere only where that is safe")
{
    EntryFixture entry;
    SUBCASE("a refused request runs on another upstream")
    {
        entry.state.addAgent("second", entry.second.address);
        entry.first.push({Kind::Refuse});
        entry.second.push({Kind::Refuse});
        const auto answer = entry.complete(false, "key");
        REQUIRE(isOk(answer));
        // Both refuse their first attempt, so the request ends with the refusal and its wait.
        CHECK(value(answer).status == 429);
        CHECK(findHeader(value(answer).headers, "Retry-After") == "3");
        CHECK(ranOf(value(answer)) == "no");
        // The claim is released after the answer has been written.
        const Instant limit = clockNow() + std::chrono::seconds(1);
        while (entry.claims.released == 0 && clockNow() < limit)
            std::this_thread::sleep_for(milliseconds(1));
        CHECK(entry.claims.released == 1);
        const auto repeat = entry.complete(false, "key");
        CHECK(value(repeat).status == 200);
    }
    SUBCASE("a lost idempotent request is retried")
    {
        entry.state.addAgent("second", entry.second.address);
        entry.first.push({Kind::Vanish});
        for (int i = 0; i < 4; ++i) {
            const auto answer = entry.complete();
            REQUIRE(isOk(answer));
            CHECK(value(answer).status == 200);
        }
    }
    SUBCASE("a lost request that may not be repeated is not retried")
    {
        entry.first.push({Kind::Vanish});
        const auto answer = entry.complete(false, "key");
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 502);
        CHECK(ranOf(value(answer)) == "unknown");
        CHECK(entry.first.attempts == 1);
        CHECK(entry.claims.released == 0);
        const auto repeat = entry.complete(false, "key");
        CHECK(value(repeat).status == 409);
        CHECK(entry.first.attempts == 1);
    }
    SUBCASE("a stream that was cut breaks the caller's connection")
    {
        entry.first.push({Kind::CutAnswer});
        CHECK(!isOk(entry.complete(true)));
        CHECK(entry.counter("tray_entry_aborted_streams_total") == 1);
    }
    SUBCASE("a whole answer that was cut before the caller saw any is an error")
    {
        entry.first.push({Kind::CutAnswer});
        const auto answer = entry.complete();
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 502);
        CHECK(ranOf(value(answer)) == "unknown");
    }
}

TEST_CASE("Claimed requests run once, and repeats get the first answer")
{
    EntryFixture entry;
    SUBCASE("a repeat is replayed; the same key with another body is refused")
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
    SUBCASE("a repeat while the first runs waits for its answer")
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
    SUBCASE("a repeat of a request that was lost with its entry is not held until its deadline")
    {
        entry.claims.heldElsewhere = true;
        const auto sentAt = std::chrono::steady_clock::now();
        const auto repeat = entry.complete(false, "key");
        CHECK(std::chrono::steady_clock::now() - sentAt < std::chrono::seconds(2));
        CHECK(value(repeat).status == 409);
        CHECK(ranOf(value(repeat)) == "unknown");
        CHECK(findHeader(value(repeat).headers, "Retry-After") == "1");
        CHECK(entry.first.attempts == 0);
    }
    SUBCASE("without the platform it is refused at once, and nothing runs")
    {
        entry.claims.available = false;
        const auto answer = entry.complete(false, "key");
        CHECK(value(answer).status == 503);
        CHECK(ranOf(value(answer)) == "no");
        CHECK(entry.first.attempts == 0);
        CHECK(value(entry.complete()).status == 200);
    }
}

TEST_CASE("A request that crashes upstreams is stopped after two")
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
    // It ran, and crashed; the kind's usual "no" would be false.
    CHECK(ranOf(value(answer)) == "unknown");
    CHECK(findHeader(value(answer).headers, "Retry-After") == "600");
    CHECK(entry.first.attempts + entry.second.attempts + third.attempts == 2);
    SUBCASE("a repeat by the caller is refused before it runs")
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

TEST_CASE("A drain cuts no stream in flight")
{
    EntryFixture entry;
    std::vector<std::thread> callers;
    std::atomic<int> whole{0};
    for (int i = 0; i < 200; ++i)
        entry.first.push({Kind::AnswerLate});
    for (int i = 0; i < 200; ++i) {
        callers.emplace_back([&] {
            const auto answer = entry.complete(true);
            whole += isOk(answer) && value(answer).body == entry.first.answer;
        });
    }
    while (entry.first.attempts < 200)
        std::this_thread::sleep_for(milliseconds(5));
    entry.server.drain();
    for (auto &caller : callers)
        caller.join();
    CHECK(whole == 200);
    CHECK(!isOk(entry.complete()));
}
