// Requests from a caller through the gateway to misbehaving upstreams, over real sockets: retries,
// stream resumption, response checks and the handling of unknown outcomes.
#include "GatewayFixture.h"
#include "gateway/EventSplitter.h"

using namespace tray;
using namespace tray::platform;
using namespace tray::test;
namespace asio = boost::asio;

namespace {

StubReply sendSealedAnswer(const HttpRequest &request)
{
    return {StubUpstream::sealedAnswer(request, 200, "first")};
}

std::string eventOf(int id)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}

/// Sends the first two events and half of the third event, then resets the connection.
StubReply sendBrokenStream(const HttpRequest &request)
{
    StubReply reply;
    reply.bytes = StubUpstream::sealedStreamHead(request) +
                  StubUpstream::encodeChunk(eventOf(1) + eventOf(2)) +
                  StubUpstream::encodeChunk("id: 3\nda");
    reply.reset = true;
    return reply;
}

} // namespace

TEST_CASE("A request is forwarded and its answer is returned unchanged")
{
    GatewayFixture fixture(sendSealedAnswer);
    const auto answer = fixture.send("/look/1?x=2", {{"Marjoramtray-Deadline-Ms", "900"}});
    REQUIRE(isOk(answer));
    CHECK(value(answer).status == 200);
    CHECK(value(answer).body == "first");
    CHECK(findHeader(value(answer).headers, "Marjoramtray-Response-Seal") == "s1");
    REQUIRE(fixture.first.received.size() == 1);
    const auto &received = fixture.first.received.front();
    CHECK(received.target == "/look/1?x=2");
    CHECK(findHeader(received.headers, "Marjoramtray-Expect-Instance") == "i-1");
    const int left =
        std::stoi(std::string(findHeader(received.headers, "Marjoramtray-Deadline-Ms")));
    CHECK(left <= 900);
    CHECK(left > 500);

    SUBCASE("a path without a route gets 404")
    {
        CHECK(fixture.statusOf("/none/1") == 404);
    }
    SUBCASE("a new version of the configuration takes effect within 600 ms")
    {
        auto next = Config;
        next.replace(next.find("\"version\":1"), 11, "\"version\":2");
        next.replace(next.find("/look/"), 6, "/gone/");
        fixture.store.put("config", "main", next);
        fixture.runFor(milliseconds(600));
        CHECK(fixture.statusOf("/look/1") == 404);
        CHECK(fixture.statusOf("/gone/1") == 200);
    }
    SUBCASE("a new version takes effect after a time in which the store accepted calls without "
            "answering")
    {
        fixture.store.neverRespond = true;
        fixture.runFor(milliseconds(2500));
        fixture.store.neverRespond = false;
        auto next = Config;
        next.replace(next.find("\"version\":1"), 11, "\"version\":2");
        next.replace(next.find("/look/"), 6, "/gone/");
        fixture.store.put("config", "main", next);
        fixture.runFor(milliseconds(3000));
        CHECK(fixture.statusOf("/gone/1") == 200);
    }
    SUBCASE("an upstream that was removed from the instance list gets no more requests")
    {
        fixture.store.remove("servers", "i-1");
        fixture.runFor(milliseconds(900));
        const auto after = fixture.send("/look/1");
        REQUIRE(isOk(after));
        CHECK(value(after).body == "second");
    }
}

TEST_CASE("An upstream's id with line breaks adds no header to requests")
{
    GatewayFixture fixture(sendSealedAnswer);
    REQUIRE(fixture.statusOf("/look/1") == 200);
    fixture.first.received.clear();
    fixture.addUpstream("v\r\nX-Injected: 1", "here", fixture.firstAddress);
    fixture.addUpstream("i 3", "here", fixture.firstAddress);
    fixture.addUpstream(" i-4", "here", fixture.firstAddress);
    fixture.store.remove("servers", "i-1");
    std::unique_ptr<Gateway> peer;
    SUBCASE("at a gateway that follows the list") {}
    SUBCASE("at a gateway that starts")
    {
        peer = fixture.startPeer("front-2", "here");
    }
    fixture.runFor(std::chrono::seconds(4));
    for (int i = 0; i < 8; ++i) {
        fixture.requestId = fmt::format("r{}", i);
        CHECK(fixture.statusOf("/look/1") == 200);
    }
    CHECK(!fixture.first.received.empty());
    for (const auto &request : fixture.first.received) {
        CHECK(findHeader(request.headers, "X-Injected").empty());
        CHECK(findHeader(request.headers, "Marjoramtray-Expect-Instance") == "i 3");
    }
    if (peer) {
        fixture.runFor(milliseconds(10));
        peer.reset();
    }
}

TEST_CASE("A request that must not be retried runs on at most one upstream")
{
    SUBCASE("a reset connection leaves its outcome unknown")
    {
        StubReply cut;
        cut.reset = true;
        GatewayFixture fixture([&](const HttpRequest &) { return cut; });
        CHECK(fixture.statusOf("/take/1", "x") == 502);
        CHECK(fixture.first.received.size() == 1);
        CHECK(fixture.second.received.empty());
    }
    SUBCASE("an answer does not arrive in time")
    {
        StubReply hang;
        hang.hang = true;
        GatewayFixture fixture([&](const HttpRequest &) { return hang; });
        CHECK(fixture.statusOf("/take/1", "x") == 504);
        CHECK(fixture.second.received.empty());
    }
    SUBCASE("refused by an upstream without execution, it is sent to another upstream")
    {
        GatewayFixture fixture([](const HttpRequest &) -> StubReply {
            return {"HTTP/1.1 503 X\r\nMarjoramtray-Request-Id: r1\r\n"
                    "Marjoramtray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
        });
        const auto answer = fixture.send("/take/1", {}, "x");
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == "second");
    }
    SUBCASE("refused by all upstreams, it is answered as not executed with a retry delay")
    {
        const auto full = [](const HttpRequest &) -> StubReply {
            return {"HTTP/1.1 503 X\r\nMarjoramtray-Request-Id: r1\r\n"
                    "Marjoramtray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
        };
        GatewayFixture fixture(full, full);
        const auto answer = fixture.send("/take/1", {}, "x");
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 429);
        CHECK_FALSE(findHeader(value(answer).headers, "Retry-After").empty());
    }
    SUBCASE("an error response of the upstream is forwarded")
    {
        GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
            return {StubUpstream::sealedAnswer(request, 500, "failed")};
        });
        const auto answer = fixture.send("/take/1", {}, "x");
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 500);
        CHECK(value(answer).body == "failed");
        CHECK(fixture.second.received.empty());
    }
}

TEST_CASE("Only complete, sealed answers to the request itself are forwarded")
{
    SUBCASE("a truncated answer is retried at another upstream if the route allows retries")
    {
        StubReply cut;
        cut.close = true;
        GatewayFixture fixture([&](const HttpRequest &request) {
            cut.bytes = StubUpstream::sealedAnswer(request, 200, "whole answer");
            cut.bytes.resize(cut.bytes.size() - 4);
            return cut;
        });
        const auto answer = fixture.send("/look/1");
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == "second");
    }
    SUBCASE("a success without the upstream's seal is rejected")
    {
        GatewayFixture fixture([](const HttpRequest &) -> StubReply {
            return {"HTTP/1.1 200 X\r\nMarjoramtray-Request-Id: r1\r\nContent-Length: 2\r\n\r\nno"};
        });
        CHECK(fixture.statusOf("/take/1", "x") == 502);
    }
    SUBCASE("bytes that are not an HTTP response are rejected")
    {
        GatewayFixture fixture(
            [](const HttpRequest &) -> StubReply { return {"garbage\r\n\r\n"}; });
        CHECK(fixture.statusOf("/take/1", "x") == 502);
    }
    SUBCASE("a second answer on the connection is attributed to no request")
    {
        GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
            return {StubUpstream::sealedAnswer(request, 200, "first") +
                    StubUpstream::sealedAnswer(request, 200, "extra")};
        });
        for (int i = 0; i < 3; ++i) {
            const auto answer = fixture.send("/take/1", {}, "x");
            REQUIRE(isOk(answer));
            CHECK(value(answer).body == "first");
        }
    }
    SUBCASE("an answer without a length is complete when the connection is closed orderly")
    {
        GatewayFixture fixture([](const HttpRequest &) -> StubReply {
            StubReply reply;
            reply.bytes = "HTTP/1.1 200 X\r\nMarjoramtray-Request-Id: r1\r\n"
                          "Marjoramtray-Response-Seal: s1\r\nConnection: close\r\n\r\nunframed";
            reply.close = true;
            return reply;
        });
        const auto answer = fixture.send("/take/1", {}, "x");
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == "unframed");
    }
    SUBCASE("an answer without a length is incomplete when the connection is reset")
    {
        GatewayFixture fixture([](const HttpRequest &) -> StubReply {
            StubReply reply;
            reply.bytes = "HTTP/1.1 200 X\r\nMarjoramtray-Request-Id: r1\r\n"
                          "Marjoramtray-Response-Seal: s1\r\nConnection: close\r\n\r\nunframed";
            reply.reset = true;
            return reply;
        });
        CHECK(fixture.statusOf("/take/1", "x") == 502);
    }
}

TEST_CASE("A request for a model that is being loaded")
{
    GatewayFixture fixture(sendSealedAnswer);
    fixture.store.put("config", "main", R"({"version":2,"routes":[
        {"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"safe","timeout_ms":4000,
         "goal_ms":1500,"max_attempts":1,"service":"llm"}],
        "services":[{"name":"llm","max_conns":50,"engine":{"slots":64,"kv_cache_tokens":100000,
         "models":[{"name":"m1","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12}],
         "weights_mb":220000,"adapter_slots":8,"loads_per_s":1}}],
        "limits":{"header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,
         "idle_timeout_ms":5000}})");
    StubUpstream engine(fixture.context, sendSealedAnswer);
    fixture.addUpstream("e-1", "here", engine.listen(), "llm");
    fixture.runFor(milliseconds(900));
    const HttpHeaders headers{{"Marjoramtray-Model", "m1"},
                              {"Marjoramtray-Token-Usage", "500,10"},
                              {"Marjoramtray-Deadline-Ms", "4000"}};
    const Instant began = clockNow();

    SUBCASE("waits if the load ends within the goal of its route")
    {
        fixture.sendModelSnapshot("m1", 400);
        fixture.runAfter(milliseconds(500), [&] { fixture.sendModelSnapshot("m1", std::nullopt); });
        fixture.runFor(milliseconds(50));
        const auto answer = fixture.send("/ask/1", headers);
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 200);
        CHECK(clockNow() - began >= milliseconds(400));
    }
    SUBCASE("is otherwise refused immediately with a retry delay")
    {
        fixture.sendModelSnapshot("m1", 5000);
        fixture.runFor(milliseconds(50));
        const auto answer = fixture.send("/ask/1", headers);
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 503);
        CHECK(std::stod(std::string(findHeader(value(answer).headers, "Retry-After"))) >= 5);
        CHECK(clockNow() - began < milliseconds(800));
    }
    CHECK(engine.received.size() <= 1);
}

TEST_CASE("A stream whose upstream connection breaks")
{
    SUBCASE("is resumed at another upstream after the last complete event, if its route allows it")
    {
        GatewayFixture fixture(sendBrokenStream, [](const HttpRequest &request) -> StubReply {
            CHECK(findHeader(request.headers, "Last-Event-Id") == "2");
            return {StubUpstream::sealedStreamHead(request) +
                    StubUpstream::encodeChunk(eventOf(3) + eventOf(4)) + "0\r\n\r\n"};
        });
        const auto answer = fixture.send("/retell/1", {}, "x");
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == eventOf(1) + eventOf(2) + eventOf(3) + eventOf(4));
    }
    SUBCASE("is aborted for the caller and never ended as if it were complete")
    {
        GatewayFixture fixture(sendBrokenStream);
        CHECK_FALSE(isOk(fixture.send("/tell/1", {}, "x")));
        CHECK(fixture.second.received.empty());
    }
}

TEST_CASE("A failed resumption never writes a second answer into a stream that has begun")
{
    StubReply reply;
    SUBCASE("the next upstream is full")
    {
        reply.bytes = "HTTP/1.1 503 X\r\nMarjoramtray-Request-Id: r1\r\n"
                      "Marjoramtray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
    SUBCASE("the next upstream lacks what the request needs")
    {
        reply.bytes = "HTTP/1.1 421 X\r\nMarjoramtray-Request-Id: r1\r\n"
                      "Marjoramtray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
    SUBCASE("the next upstream fails")
    {
        reply.bytes = "HTTP/1.1 500 X\r\nMarjoramtray-Request-Id: r1\r\n"
                      "Marjoramtray-Response-Seal: s1\r\nContent-Length: 4\r\n\r\nfail";
    }
    SUBCASE("the next upstream refuses the request itself")
    {
        reply.bytes = "HTTP/1.1 400 X\r\nMarjoramtray-Request-Id: r1\r\n"
                      "Marjoramtray-Response-Seal: s1\r\nContent-Length: 4\r\n\r\nfail";
    }
    SUBCASE("the next upstream sends an answer without a seal")
    {
        reply.bytes = "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nfail";
    }
    SUBCASE("the next upstream sends bytes that are not an HTTP response")
    {
        reply.bytes = "garbage\r\n\r\n";
    }
    SUBCASE("the next upstream resets the connection")
    {
        reply.reset = true;
    }
    SUBCASE("the next upstream does not respond before the deadline")
    {
        reply.hang = true;
    }
    GatewayFixture fixture(sendBrokenStream, [&](const HttpRequest &) { return reply; });
    SUBCASE("there is no other upstream")
    {
        fixture.store.remove("servers", "i-2");
    }
    const std::string answer =
        fixture.sendRaw("POST /retell/1 HTTP/1.1\r\nHost: a.example\r\n"
                        "Marjoramtray-Request-Id: r1\r\nContent-Length: 1\r\n\r\nx");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("A stream whose engine fails while other requests wait")
{
    // Engine "e-1" resets its streams while engine "e-2" prefills a long prompt of another model.
    StubReply hang;
    hang.hang = true;
    GatewayFixture fixture(sendSealedAnswer);
    StubUpstream breaking(fixture.context, [](const HttpRequest &request) {
        StubReply reply = sendBrokenStream(request);
        reply.delay = milliseconds(100);
        return reply;
    });
    StubUpstream busy(fixture.context, [&](const HttpRequest &request) -> StubReply {
        if (findHeader(request.headers, "Marjoramtray-Model") == "m2")
            return hang;
        return {StubUpstream::sealedStreamHead(request) +
                StubUpstream::encodeChunk(eventOf(3) + eventOf(4)) + "0\r\n\r\n"};
    });
    fixture.store.put("config", "main", R"({"version":2,"routes":[
        {"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"streaming",
         "timeout_ms":2500,"goal_ms":1,"max_attempts":2,"resumable":true,"service":"llm"},
        {"name":"long","host":"a.example","path_prefix":"/long/","kind":"streaming",
         "timeout_ms":900,"goal_ms":900,"max_attempts":1,"service":"llm"}],
        "services":[{"name":"llm","max_conns":50,"engine":{"slots":64,"kv_cache_tokens":100000,
         "models":[{"name":"m1","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12},
          {"name":"m2","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12}],
         "weights_mb":220000,"adapter_slots":8,"loads_per_s":1}}],
        "limits":{"header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,
         "idle_timeout_ms":5000}})");
    const auto addEngine = [&](const std::string &id, const std::string &zone,
                               const Address &address, const std::string &models) {
        fixture.store.put("servers", id,
                          fmt::format(R"({{"service":"llm","address":"{}","zone":"{}","slots":4,)"
                                      R"("state":"ready","sequence":1,"models":[{}]}})",
                                      toString(address), zone, models));
    };
    const std::string m1 = R"({"name":"m1","version":1,"adapters":[]})";
    const std::string m2 = R"({"name":"m2","version":1,"adapters":[]})";
    addEngine("e-1", "here", breaking.listen(), m1);
    addEngine("e-2", "there", busy.listen(), m1 + "," + m2);
    fixture.runFor(milliseconds(900));
    fixture.runAfter(milliseconds(1), [&] {
        asio::co_spawn(
            fixture.context,
            [&]() -> asio::awaitable<void> {
                HttpRequest request;
                request.method = "POST";
                request.target = "/long/1";
                request.headers = {{"Host", "a.example"},
                                   {"Marjoramtray-Request-Id", "r2"},
                                   {"Marjoramtray-Model", "m2"},
                                   {"Marjoramtray-Token-Usage", "50000,10"}};
                co_await fixture.caller.request(fixture.address, request, std::chrono::seconds(3));
            },
            asio::detached);
    });
    fixture.runFor(milliseconds(100));
    REQUIRE(busy.received.size() == 1);

    const std::string answer =
        fixture.sendRaw("POST /ask/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                        "Marjoramtray-Request-Id: r1\r\nMarjoramtray-Model: m1\r\n"
                        "Marjoramtray-Token-Usage: 500,10\r\nContent-Length: 1\r\n\r\nx");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);

    SUBCASE("waits for capacity past the goal of its first event and is resumed")
    {
        CHECK(answer.find(eventOf(3)) != std::string::npos);
        CHECK(answer.ends_with("0\r\n\r\n"));
    }
    SUBCASE("has priority over new prompts of its rank at the next engine")
    {
        REQUIRE(breaking.received.size() == 1);
        REQUIRE(busy.received.size() == 2);
        const auto requestPriority = [](const HttpRequest &request) {
            return std::string(findHeader(request.headers, "Marjoramtray-Request-Priority"));
        };
        CHECK(requestPriority(busy.received.back()) < requestPriority(breaking.received.front()));
    }
}

TEST_CASE("A request that may have run is never answered as not executed when its retry finds no "
          "capacity")
{
    // Engine "e-1" fails after 700 ms while engine "e-2" prefills a long prompt of another model.
    StubReply late;
    SUBCASE("its engine closed the connection")
    {
        late.close = true;
    }
    SUBCASE("its engine answered with an error")
    {
        late.bytes = "HTTP/1.1 500 X\r\nMarjoramtray-Request-Id: r1\r\n"
                     "Marjoramtray-Response-Seal: s1\r\nContent-Length: 4\r\n\r\noops";
    }
    late.delay = milliseconds(700);
    const int expected = late.close ? 502 : 500;
    GatewayFixture fixture(sendSealedAnswer);
    StubUpstream breaking(fixture.context, [&](const HttpRequest &) { return late; });
    StubUpstream busy(fixture.context, [](const HttpRequest &) {
        StubReply hang;
        hang.hang = true;
        return hang;
    });
    fixture.store.put("config", "main", R"({"version":2,"routes":[
        {"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"safe",
         "timeout_ms":2500,"goal_ms":750,"max_attempts":2,"service":"llm"},
        {"name":"long","host":"a.example","path_prefix":"/long/","kind":"streaming",
         "timeout_ms":4000,"goal_ms":4000,"max_attempts":1,"service":"llm"}],
        "services":[{"name":"llm","max_conns":50,"engine":{"slots":64,"kv_cache_tokens":100000,
         "models":[{"name":"m1","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12},
          {"name":"m2","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12}],
         "weights_mb":220000,"adapter_slots":8,"loads_per_s":1}}],
        "limits":{"header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,
         "idle_timeout_ms":5000}})");
    const auto addEngine = [&](const std::string &id, const std::string &zone,
                               const Address &address, const std::string &models) {
        fixture.store.put("servers", id,
                          fmt::format(R"({{"service":"llm","address":"{}","zone":"{}","slots":4,)"
                                      R"("state":"ready","sequence":1,"models":[{}]}})",
                                      toString(address), zone, models));
    };
    const std::string m1 = R"({"name":"m1","version":1,"adapters":[]})";
    const std::string m2 = R"({"name":"m2","version":1,"adapters":[]})";
    addEngine("e-1", "here", breaking.listen(), m1);
    addEngine("e-2", "there", busy.listen(), m1 + "," + m2);
    fixture.runFor(milliseconds(900));
    fixture.runAfter(milliseconds(1), [&] {
        asio::co_spawn(
            fixture.context,
            [&]() -> asio::awaitable<void> {
                HttpRequest request;
                request.method = "POST";
                request.target = "/long/1";
                request.headers = {{"Host", "a.example"},
                                   {"Marjoramtray-Request-Id", "r2"},
                                   {"Marjoramtray-Model", "m2"},
                                   {"Marjoramtray-Token-Usage", "50000,10"}};
                co_await fixture.caller.request(fixture.address, request, std::chrono::seconds(5));
            },
            asio::detached);
    });
    fixture.runFor(milliseconds(100));
    REQUIRE(busy.received.size() == 1);
    const auto answer = fixture.send(
        "/ask/1", {{"Marjoramtray-Model", "m1"}, {"Marjoramtray-Token-Usage", "500,10"}}, "x");
    REQUIRE(isOk(answer));
    REQUIRE(breaking.received.size() == 1);
    CHECK(busy.received.size() == 1);
    CHECK(value(answer).status == expected);
}

TEST_CASE("An upstream answer without end fails one request, and few of its bytes are kept")
{
    const std::string head = "HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: r1\r\n"
                             "Marjoramtray-Response-Seal: s1\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(4096, '1');
    StubReply reply;
    std::string target = "/take/1";
    // Size limit of a buffered answer plus the bytes that the sockets' buffers hold on both sides.
    size_t maxBytesRead = (8u << 20) + (8u << 20);
    constexpr size_t HeadLimit = HttpClient::MaxHeadBytes + (8u << 20);
    SUBCASE("in the status line")
    {
        reply.bytes = "HTTP/1.1 200 ";
        reply.repeatedBytes = filler;
        maxBytesRead = HeadLimit;
    }
    SUBCASE("before any status line")
    {
        reply.repeatedBytes = filler;
        maxBytesRead = HeadLimit;
    }
    SUBCASE("in one header")
    {
        reply.bytes = head + "X-Long: ";
        reply.repeatedBytes = filler;
        maxBytesRead = HeadLimit;
    }
    SUBCASE("in headers")
    {
        reply.bytes = head;
        reply.repeatedBytes = "X-More: " + filler + "\r\n";
        maxBytesRead = HeadLimit;
    }
    SUBCASE("in interim (1xx) responses")
    {
        reply.repeatedBytes = "HTTP/1.1 100 Continue\r\nMarjoramtray-Request-Id: r0\r\n\r\n";
    }
    SUBCASE("in a chunk's size")
    {
        reply.bytes = chunked;
        reply.repeatedBytes = std::string(4096, '0');
        maxBytesRead = HeadLimit;
    }
    SUBCASE("in a chunk's extension")
    {
        reply.bytes = chunked + "5;a=";
        reply.repeatedBytes = filler;
        maxBytesRead = HeadLimit;
    }
    SUBCASE("in trailers")
    {
        reply.bytes = chunked + "2\r\nok\r\n0\r\n";
        reply.repeatedBytes = "X-More: " + filler + "\r\n";
        maxBytesRead = HeadLimit;
    }
    SUBCASE("in a body without a length")
    {
        reply.bytes = head + "\r\n";
        reply.repeatedBytes = filler;
    }
    SUBCASE("in one event of a stream")
    {
        target = "/tell/1";
        reply.bytes = chunked;
        reply.repeatedBytes = StubUpstream::encodeChunk(filler);
        maxBytesRead = EventSplitter::MaxEventBytes + (8u << 20);
    }
    SUBCASE("after a complete answer")
    {
        reply.bytes = head + "Content-Length: 2\r\n\r\nok";
        reply.repeatedBytes = filler;
        maxBytesRead = HeadLimit;
    }
    const bool isWhole =
        reply.bytes.ends_with("ok") && reply.bytes.find("chunked") == std::string::npos;
    GatewayFixture fixture([&](const HttpRequest &request) {
        return request.target == "/look/9" ? sendSealedAnswer(request) : reply;
    });
    const auto answer = fixture.send(target, {}, "x");
    if (isWhole) {
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == "ok");
    } else if (isOk(answer)) {
        // The outcome is unknown, so the status must not promise that the request did not run.
        const int status = value(answer).status;
        CHECK((status == 502 || status == 504));
    }
    fixture.runFor(milliseconds(300));
    CHECK(fixture.first.repeatedBytesSent < maxBytesRead);
    // Other requests are still served.
    CHECK(fixture.statusOf("/look/9") == 200);
}

TEST_CASE("An upstream's connection is closed within half a second after the caller disconnects")
{
    StubReply hang;
    hang.hang = true;
    SUBCASE("before the first byte of the answer") {}
    SUBCASE("in the middle of a stream")
    {
        hang.bytes = "HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: r1\r\n"
                     "Marjoramtray-Response-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     StubUpstream::encodeChunk(eventOf(1));
    }
    GatewayFixture fixture([&](const HttpRequest &) { return hang; });
    CHECK_FALSE(isOk(fixture.send("/tell/1", {}, "x", milliseconds(200))));
    fixture.runFor(milliseconds(450));
    CHECK(fixture.first.closedByPeer == 1);
    CHECK(fixture.second.received.empty());
}

TEST_CASE("A stop drains: readiness is withdrawn first, and requests in flight complete")
{
    StubReply slow;
    slow.delay = milliseconds(600);
    GatewayFixture fixture([&](const HttpRequest &request) {
        slow.bytes = StubUpstream::sealedAnswer(request, 200, "slow");
        return slow;
    });
    CHECK(fixture.statusOf("/look/1") == 200);
    std::optional<int> status;
    std::optional<int> readiness;
    bool stopped = false;
    asio::co_spawn(
        fixture.context,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            request.target = "/look/1";
            request.headers = {{"Host", "a.example"}, {"Marjoramtray-Request-Id", "r1"}};
            const auto answer =
                co_await fixture.caller.request(fixture.address, request, std::chrono::seconds(5));
            status = isOk(answer) ? value(answer).status : 0;
        },
        asio::detached);
    asio::co_spawn(
        fixture.context,
        [&]() -> asio::awaitable<void> {
            co_await fixture.gateway->stop();
            stopped = true;
            fixture.context.stop();
        },
        asio::detached);
    asio::co_spawn(
        fixture.context,
        [&]() -> asio::awaitable<void> {
            HttpRequest question;
            const auto answer = co_await fixture.caller.request(fixture.readiness, question,
                                                                std::chrono::seconds(1));
            readiness = isOk(answer) ? value(answer).status : 0;
        },
        asio::detached);
    fixture.context.restart();
    fixture.context.run_for(std::chrono::seconds(10));
    CHECK(status == 200);
    CHECK(readiness == 503);
    CHECK(stopped);
}

TEST_CASE("A request whose caller disconnected before it was read is sent to no upstream")
{
    GatewayFixture fixture(sendSealedAnswer);
    REQUIRE(fixture.statusOf("/look/1") == 200);
    asio::ip::tcp::socket caller(fixture.context);
    caller.connect({asio::ip::make_address(fixture.address.host), fixture.address.port});
    asio::write(caller, asio::buffer(std::string("GET /look/2 HTTP/1.1\r\nHost: a.example\r\n"
                                                 "Marjoramtray-Request-Id: r2\r\n\r\n")));
    // The gateway reads the request only after the caller has closed its connection.
    caller.close();
    fixture.runFor(milliseconds(200));
    CHECK(fixture.first.received.size() == 1);
    CHECK(fixture.second.received.empty());
}

TEST_CASE("A refusal that an upstream repeats on a kept connection is no answer to a later request")
{
    std::string strayRefusal;
    int served = 0;
    GatewayFixture fixture([&](const HttpRequest &request) -> StubReply {
        if (++served == 1)
            return {StubUpstream::sealedAnswer(request, 200, "before")};
        StubReply reply;
        reply.bytes = strayRefusal;
        reply.pieces = {StubUpstream::sealedAnswer(request, 200, "first")};
        reply.pieceDelay = milliseconds(100);
        return reply;
    });
    CHECK(fixture.statusOf("/take/1") == 200);
    fixture.requestId = "r2";
    SUBCASE("with the id of the earlier request")
    {
        strayRefusal = "HTTP/1.1 503 X\r\nMarjoramtray-Request-Id: r1\r\n"
                       "Marjoramtray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
    SUBCASE("without an id")
    {
        strayRefusal = "HTTP/1.1 503 X\r\nMarjoramtray-Not-Executed: 1\r\n"
                       "Content-Length: 0\r\n\r\n";
    }
    SUBCASE("without an id, as from an upstream that lacks the model")
    {
        strayRefusal = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
    }
    const auto answer = fixture.send("/take/1");
    REQUIRE(isOk(answer));
    CHECK(value(answer).status == 200);
    CHECK(value(answer).body == "first");
    CHECK(fixture.first.received.size() == 2);
    CHECK(fixture.second.received.empty());
}

TEST_CASE("A gateway without a configuration answers a request as not executed")
{
    GatewayFixture fixture(sendSealedAnswer);
    fixture.store.respond503 = true;
    // The request is sent before the store's first successful answer.
    std::optional<int> status;
    asio::co_spawn(
        fixture.context,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            request.target = "/look/1";
            request.headers = {{"Host", "a.example"}, {"Marjoramtray-Request-Id", "r1"}};
            const auto answer =
                co_await fixture.caller.request(fixture.address, request, std::chrono::seconds(5));
            status = isOk(answer) ? value(answer).status : 0;
            fixture.context.stop();
        },
        asio::detached);
    fixture.context.run_for(std::chrono::seconds(10));
    CHECK(status == 503);
    CHECK(fixture.first.received.empty());
}
