// The whole path of a request over real sockets: store, gateway and upstreams that misbehave.
#include "GatewayPath.h"
#include "gateway/EventSplitter.h"

using namespace tray;
using namespace tray::platform;
using namespace tray::test;
namespace asio = boost::asio;

namespace {

UpstreamReply wholeAnswer(const HttpRequest &request)
{
    return {UpstreamStandIn::answerTo(request, 200, "first")};
}

std::string eventOf(int id)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}

/// The first two events and half of the third one, then the connection ends.
UpstreamReply brokenStream(const HttpRequest &request)
{
    UpstreamReply reply;
    reply.bytes = UpstreamStandIn::streamHeadFor(request) +
                  UpstreamStandIn::chunkOf(eventOf(1) + eventOf(2)) +
                  UpstreamStandIn::chunkOf("id: 3\nda");
    reply.reset = true;
    return reply;
}

} // namespace

TEST_CASE("A request is passed on and its answer comes back unchanged")
{
    GatewayPath path(wholeAnswer);
    const auto answer = path.send("/look/1?x=2", {{"Marjoramtray-Deadline-Ms", "900"}});
    REQUIRE(isOk(answer));
    CHECK(value(answer).status == 200);
    CHECK(value(answer).body == "first");
    CHECK(findHeader(value(answer).headers, "Marjoramtray-Response-Seal") == "s1");
    REQUIRE(path.first.received.size() == 1);
    const auto &received = path.first.received.front();
    CHECK(received.target == "/look/1?x=2");
    CHECK(findHeader(received.headers, "Marjoramtray-Expect-Instance") == "i-1");
    const int left =
        std::stoi(std::string(findHeader(received.headers, "Marjoramtray-Deadline-Ms")));
    CHECK(left <= 900);
    CHECK(left > 500);

    SUBCASE("a path without a route is not found")
    {
        CHECK(path.statusOf("/none/1") == 404);
    }
    SUBCASE("a new version of the configuration is in force soon")
    {
        auto next = Config;
        next.replace(next.find("\"version\":1"), 11, "\"version\":2");
        next.replace(next.find("/look/"), 6, "/gone/");
        path.store.put("config", "main", next);
        path.runFor(milliseconds(600));
        CHECK(path.statusOf("/look/1") == 404);
        CHECK(path.statusOf("/gone/1") == 200);
    }
    SUBCASE("also if the store took calls for a while and answered none")
    {
        path.store.silent = true;
        path.runFor(milliseconds(2500));
        path.store.silent = false;
        auto next = Config;
        next.replace(next.find("\"version\":1"), 11, "\"version\":2");
        next.replace(next.find("/look/"), 6, "/gone/");
        path.store.put("config", "main", next);
        path.runFor(milliseconds(3000));
        CHECK(path.statusOf("/gone/1") == 200);
    }
    SUBCASE("an upstream that leaves gets no more requests")
    {
        path.store.remove("servers", "i-1");
        path.runFor(milliseconds(900));
        const auto after = path.send("/look/1");
        REQUIRE(isOk(after));
        CHECK(value(after).body == "second");
    }
}

TEST_CASE("A request that must not be repeated reaches one upstream")
{
    SUBCASE("its connection is reset: the outcome is unknown")
    {
        UpstreamReply cut;
        cut.reset = true;
        GatewayPath path([&](const HttpRequest &) { return cut; });
        CHECK(path.statusOf("/take/1", "x") == 502);
        CHECK(path.first.received.size() == 1);
        CHECK(path.second.received.empty());
    }
    SUBCASE("it gets no answer in time")
    {
        UpstreamReply hang;
        hang.hang = true;
        GatewayPath path([&](const HttpRequest &) { return hang; });
        CHECK(path.statusOf("/take/1", "x") == 504);
        CHECK(path.second.received.empty());
    }
    SUBCASE("refused without running it, it may go elsewhere")
    {
        GatewayPath path([](const HttpRequest &) -> UpstreamReply {
            return {"HTTP/1.1 503 X\r\nMarjoramtray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
        });
        const auto answer = path.send("/take/1", {}, "x");
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == "second");
    }
    SUBCASE("refused everywhere, the caller is told that it did not run and when to return")
    {
        const auto full = [](const HttpRequest &) -> UpstreamReply {
            return {"HTTP/1.1 503 X\r\nMarjoramtray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
        };
        GatewayPath path(full, full);
        const auto answer = path.send("/take/1", {}, "x");
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 429);
        CHECK_FALSE(findHeader(value(answer).headers, "Retry-After").empty());
    }
    SUBCASE("a failure that the upstream answered is passed on")
    {
        GatewayPath path([](const HttpRequest &request) -> UpstreamReply {
            return {UpstreamStandIn::answerTo(request, 500, "failed")};
        });
        const auto answer = path.send("/take/1", {}, "x");
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 500);
        CHECK(value(answer).body == "failed");
        CHECK(path.second.received.empty());
    }
}

TEST_CASE("Only whole and genuine answers of the request itself are passed on")
{
    SUBCASE("an answer that ends early is tried again elsewhere if that is allowed")
    {
        UpstreamReply cut;
        cut.close = true;
        GatewayPath path([&](const HttpRequest &request) {
            cut.bytes = UpstreamStandIn::answerTo(request, 200, "whole answer");
            cut.bytes.resize(cut.bytes.size() - 4);
            return cut;
        });
        const auto answer = path.send("/look/1");
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == "second");
    }
    SUBCASE("a success without the upstream's signature is none")
    {
        GatewayPath path([](const HttpRequest &) -> UpstreamReply {
            return {"HTTP/1.1 200 X\r\nMarjoramtray-Request-Id: r1\r\nContent-Length: 2\r\n\r\nno"};
        });
        CHECK(path.statusOf("/take/1", "x") == 502);
    }
    SUBCASE("bytes that are no answer")
    {
        GatewayPath path([](const HttpRequest &) -> UpstreamReply { return {"garbage\r\n\r\n"}; });
        CHECK(path.statusOf("/take/1", "x") == 502);
    }
    SUBCASE("a second answer on the connection belongs to no request")
    {
        GatewayPath path([](const HttpRequest &request) -> UpstreamReply {
            return {UpstreamStandIn::answerTo(request, 200, "first") +
                    UpstreamStandIn::answerTo(request, 200, "extra")};
        });
        for (int i = 0; i < 3; ++i) {
            const auto answer = path.send("/take/1", {}, "x");
            REQUIRE(isOk(answer));
            CHECK(value(answer).body == "first");
        }
    }
    SUBCASE("an answer without a length is whole when the connection ends in order")
    {
        GatewayPath path([](const HttpRequest &) -> UpstreamReply {
            UpstreamReply reply;
            reply.bytes = "HTTP/1.1 200 X\r\nMarjoramtray-Request-Id: r1\r\n"
                          "Marjoramtray-Response-Seal: s1\r\nConnection: close\r\n\r\nunframed";
            reply.close = true;
            return reply;
        });
        const auto answer = path.send("/take/1", {}, "x");
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == "unframed");
    }
    SUBCASE("and is not when it was reset")
    {
        GatewayPath path([](const HttpRequest &) -> UpstreamReply {
            UpstreamReply reply;
            reply.bytes = "HTTP/1.1 200 X\r\nMarjoramtray-Request-Id: r1\r\n"
                          "Marjoramtray-Response-Seal: s1\r\nConnection: close\r\n\r\nunframed";
            reply.reset = true;
            return reply;
        });
        CHECK(path.statusOf("/take/1", "x") == 502);
    }
}

TEST_CASE("A request for a model that is being loaded")
{
    GatewayPath path(wholeAnswer);
    path.store.put("config", "main", R"({"version":2,"routes":[
        {"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"safe","timeout_ms":4000,
         "goal_ms":1500,"max_attempts":1,"service":"llm"}],
        "services":[{"name":"llm","max_conns":50,"engine":{"slots":64,"kv_cache_tokens":100000,
         "models":[{"name":"m1","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12}],
         "weights_mb":220000,"adapter_slots":8,"loads_per_s":1}}],
        "limits":{"header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,
         "idle_timeout_ms":5000}})");
    UpstreamStandIn engine(path.context, wholeAnswer);
    path.addUpstream("e-1", "here", engine.listen(), "llm");
    path.runFor(milliseconds(900));
    const HttpHeaders headers{{"Marjoramtray-Model", "m1"},
                              {"Marjoramtray-Token-Usage", "500,10"},
                              {"Marjoramtray-Deadline-Ms", "4000"}};
    const Instant began = clockNow();

    SUBCASE("waits if the load ends within its goal")
    {
        path.tellModel("m1", 400);
        path.later(milliseconds(500), [&] { path.tellModel("m1", std::nullopt); });
        path.runFor(milliseconds(50));
        const auto answer = path.send("/ask/1", headers);
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 200);
        CHECK(clockNow() - began >= milliseconds(400));
    }
    SUBCASE("is told at once when to come back otherwise")
    {
        path.tellModel("m1", 5000);
        path.runFor(milliseconds(50));
        const auto answer = path.send("/ask/1", headers);
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 503);
        CHECK(std::stod(std::string(findHeader(value(answer).headers, "Retry-After"))) >= 5);
        CHECK(clockNow() - began < milliseconds(800));
    }
    CHECK(engine.received.size() <= 1);
}

TEST_CASE("A stream that breaks")
{
    SUBCASE("goes on at another upstream after the last whole event, if it may")
    {
        GatewayPath path(brokenStream, [](const HttpRequest &request) -> UpstreamReply {
            CHECK(findHeader(request.headers, "Last-Event-Id") == "2");
            return {UpstreamStandIn::streamHeadFor(request) +
                    UpstreamStandIn::chunkOf(eventOf(3) + eventOf(4)) + "0\r\n\r\n"};
        });
        const auto answer = path.send("/retell/1", {}, "x");
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == eventOf(1) + eventOf(2) + eventOf(3) + eventOf(4));
    }
    SUBCASE("is cut for the caller, never ended as if it were whole")
    {
        GatewayPath path(brokenStream);
        CHECK_FALSE(isOk(path.send("/tell/1", {}, "x")));
        CHECK(path.second.received.empty());
    }
}

TEST_CASE("No second answer is written into a stream that has begun, however its rest fails")
{
    UpstreamReply reply;
    SUBCASE("the next upstream is full")
    {
        reply.bytes = "HTTP/1.1 503 X\r\nMarjoramtray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
    SUBCASE("the next upstream lacks what the request needs")
    {
        reply.bytes = "HTTP/1.1 421 X\r\nMarjoramtray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
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
    SUBCASE("the next upstream answers what is not its own")
    {
        reply.bytes = "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nfail";
    }
    SUBCASE("the next upstream sends bytes that are no answer")
    {
        reply.bytes = "garbage\r\n\r\n";
    }
    SUBCASE("the next upstream resets the connection")
    {
        reply.reset = true;
    }
    SUBCASE("the next upstream is silent until the deadline")
    {
        reply.hang = true;
    }
    GatewayPath path(brokenStream, [&](const HttpRequest &) { return reply; });
    SUBCASE("there is no other upstream")
    {
        path.store.remove("servers", "i-2");
    }
    const std::string answer =
        path.sendRaw("POST /retell/1 HTTP/1.1\r\nHost: a.example\r\n"
                     "Marjoramtray-Request-Id: r1\r\nContent-Length: 1\r\n\r\nx");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("A stream whose engine breaks while others wait")
{
    // Engine "e-1" breaks its streams; engine "e-2" reads a long prompt of another model meanwhile.
    UpstreamReply hang;
    hang.hang = true;
    GatewayPath path(wholeAnswer);
    UpstreamStandIn breaking(path.context, [](const HttpRequest &request) {
        UpstreamReply reply = brokenStream(request);
        reply.delay = milliseconds(100);
        return reply;
    });
    UpstreamStandIn busy(path.context, [&](const HttpRequest &request) -> UpstreamReply {
        if (findHeader(request.headers, "Marjoramtray-Model") == "m2")
            return hang;
        return {UpstreamStandIn::streamHeadFor(request) +
                UpstreamStandIn::chunkOf(eventOf(3) + eventOf(4)) + "0\r\n\r\n"};
    });
    path.store.put("config", "main", R"({"version":2,"routes":[
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
        path.store.put("servers", id,
                       fmt::format(R"({{"service":"llm","address":"{}","zone":"{}","slots":4,)"
                                   R"("state":"ready","sequence":1,"models":[{}]}})",
                                   toString(address), zone, models));
    };
    const std::string m1 = R"({"name":"m1","version":1,"adapters":[]})";
    const std::string m2 = R"({"name":"m2","version":1,"adapters":[]})";
    addEngine("e-1", "here", breaking.listen(), m1);
    addEngine("e-2", "there", busy.listen(), m1 + "," + m2);
    path.runFor(milliseconds(900));
    path.later(milliseconds(1), [&] {
        asio::co_spawn(
            path.context,
            [&]() -> asio::awaitable<void> {
                HttpRequest request;
                request.method = "POST";
                request.target = "/long/1";
                request.headers = {{"Host", "a.example"},
                                   {"Marjoramtray-Request-Id", "r2"},
                                   {"Marjoramtray-Model", "m2"},
                                   {"Marjoramtray-Token-Usage", "50000,10"}};
                co_await path.caller.request(path.address, request, std::chrono::seconds(3));
            },
            asio::detached);
    });
    path.runFor(milliseconds(100));
    REQUIRE(busy.received.size() == 1);

    const std::string answer =
        path.sendRaw("POST /ask/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                     "Marjoramtray-Request-Id: r1\r\nMarjoramtray-Model: m1\r\n"
                     "Marjoramtray-Token-Usage: 500,10\r\nContent-Length: 1\r\n\r\nx");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);

    SUBCASE("waits for room past the goal of its first event, and goes on")
    {
        CHECK(answer.find(eventOf(3)) != std::string::npos);
        CHECK(answer.ends_with("0\r\n\r\n"));
    }
    SUBCASE("is ahead of new prompts of its rank at the next engine")
    {
        REQUIRE(breaking.received.size() == 1);
        REQUIRE(busy.received.size() == 2);
        const auto urgencyOf = [](const HttpRequest &request) {
            return std::string(findHeader(request.headers, "Marjoramtray-Request-Priority"));
        };
        CHECK(urgencyOf(busy.received.back()) < urgencyOf(breaking.received.front()));
    }
}

TEST_CASE(
    "A request that may have run is never told that it did not, though its repeat finds no room")
{
    // Engine "e-1" breaks off late; engine "e-2" reads a long prompt of another model meanwhile.
    UpstreamReply late;
    SUBCASE("its engine broke off")
    {
        late.close = true;
    }
    SUBCASE("its engine failed")
    {
        late.bytes = "HTTP/1.1 500 X\r\nMarjoramtray-Request-Id: r1\r\n"
                     "Marjoramtray-Response-Seal: s1\r\nContent-Length: 4\r\n\r\noops";
    }
    late.delay = milliseconds(700);
    const int expected = late.close ? 502 : 500;
    GatewayPath path(wholeAnswer);
    UpstreamStandIn breaking(path.context, [&](const HttpRequest &) { return late; });
    UpstreamStandIn busy(path.context, [](const HttpRequest &) {
        UpstreamReply hang;
        hang.hang = true;
        return hang;
    });
    path.store.put("config", "main", R"({"version":2,"routes":[
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
        path.store.put("servers", id,
                       fmt::format(R"({{"service":"llm","address":"{}","zone":"{}","slots":4,)"
                                   R"("state":"ready","sequence":1,"models":[{}]}})",
                                   toString(address), zone, models));
    };
    const std::string m1 = R"({"name":"m1","version":1,"adapters":[]})";
    const std::string m2 = R"({"name":"m2","version":1,"adapters":[]})";
    addEngine("e-1", "here", breaking.listen(), m1);
    addEngine("e-2", "there", busy.listen(), m1 + "," + m2);
    path.runFor(milliseconds(900));
    path.later(milliseconds(1), [&] {
        asio::co_spawn(
            path.context,
            [&]() -> asio::awaitable<void> {
                HttpRequest request;
                request.method = "POST";
                request.target = "/long/1";
                request.headers = {{"Host", "a.example"},
                                   {"Marjoramtray-Request-Id", "r2"},
                                   {"Marjoramtray-Model", "m2"},
                                   {"Marjoramtray-Token-Usage", "50000,10"}};
                co_await path.caller.request(path.address, request, std::chrono::seconds(5));
            },
            asio::detached);
    });
    path.runFor(milliseconds(100));
    REQUIRE(busy.received.size() == 1);
    const auto answer = path.send(
        "/ask/1", {{"Marjoramtray-Model", "m1"}, {"Marjoramtray-Token-Usage", "500,10"}}, "x");
    REQUIRE(isOk(answer));
    REQUIRE(breaking.received.size() == 1);
    CHECK(busy.received.size() == 1);
    CHECK(value(answer).status == expected);
}

TEST_CASE("Bytes without end from an upstream end one request, and little of them is kept")
{
    const std::string head = "HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: r1\r\n"
                             "Marjoramtray-Response-Seal: s1\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(4096, '1');
    UpstreamReply reply;
    std::string target = "/take/1";
    // The largest answer that is kept whole, and what sockets hold on both sides.
    size_t most = (8u << 20) + (8u << 20);
    constexpr size_t HeadLimit = HttpClient::MaxHeadBytes + (8u << 20);
    SUBCASE("in the status line")
    {
        reply.bytes = "HTTP/1.1 200 ";
        reply.endless = filler;
        most = HeadLimit;
    }
    SUBCASE("before any status line")
    {
        reply.endless = filler;
        most = HeadLimit;
    }
    SUBCASE("in one header")
    {
        reply.bytes = head + "X-Long: ";
        reply.endless = filler;
        most = HeadLimit;
    }
    SUBCASE("in headers")
    {
        reply.bytes = head;
        reply.endless = "X-More: " + filler + "\r\n";
        most = HeadLimit;
    }
    SUBCASE("in interim answers")
    {
        reply.endless = "HTTP/1.1 100 Continue\r\nMarjoramtray-Request-Id: r0\r\n\r\n";
    }
    SUBCASE("in a chunk's size")
    {
        reply.bytes = chunked;
        reply.endless = std::string(4096, '0');
        most = HeadLimit;
    }
    SUBCASE("in a chunk's extension")
    {
        reply.bytes = chunked + "5;a=";
        reply.endless = filler;
        most = HeadLimit;
    }
    SUBCASE("in trailers")
    {
        reply.bytes = chunked + "2\r\nok\r\n0\r\n";
        reply.endless = "X-More: " + filler + "\r\n";
        most = HeadLimit;
    }
    SUBCASE("in a body without a length")
    {
        reply.bytes = head + "\r\n";
        reply.endless = filler;
    }
    SUBCASE("in one event of a stream")
    {
        target = "/tell/1";
        reply.bytes = chunked;
        reply.endless = UpstreamStandIn::chunkOf(filler);
        most = EventSplitter::MaxEventBytes + (8u << 20);
    }
    SUBCASE("after a whole answer")
    {
        reply.bytes = head + "Content-Length: 2\r\n\r\nok";
        reply.endless = filler;
        most = HeadLimit;
    }
    const bool isWhole =
        reply.bytes.ends_with("ok") && reply.bytes.find("chunked") == std::string::npos;
    GatewayPath path([&](const HttpRequest &request) {
        return request.target == "/look/9" ? wholeAnswer(request) : reply;
    });
    const auto answer = path.send(target, {}, "x");
    if (isWhole) {
        REQUIRE(isOk(answer));
        CHECK(value(answer).body == "ok");
    } else if (isOk(answer)) {
        // The outcome is unknown: nothing that promises that it did not run.
        const int status = value(answer).status;
        CHECK((status == 502 || status == 504));
    }
    path.runFor(milliseconds(300));
    CHECK(path.first.endlessBytes < most);
    // Others go on.
    CHECK(path.statusOf("/look/9") == 200);
}

TEST_CASE("An upstream hears within half a second that a caller has left")
{
    UpstreamReply hang;
    hang.hang = true;
    SUBCASE("before the first byte of the answer") {}
    SUBCASE("in the middle of a stream")
    {
        hang.bytes = "HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: r1\r\n"
                     "Marjoramtray-Response-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     UpstreamStandIn::chunkOf(eventOf(1));
    }
    GatewayPath path([&](const HttpRequest &) { return hang; });
    CHECK_FALSE(isOk(path.send("/tell/1", {}, "x", milliseconds(200))));
    path.runFor(milliseconds(450));
    CHECK(path.first.abandoned == 1);
    CHECK(path.second.received.empty());
}

TEST_CASE("A stop drains: requests in flight end, and readiness falls first")
{
    UpstreamReply slow;
    slow.delay = milliseconds(600);
    GatewayPath path([&](const HttpRequest &request) {
        slow.bytes = UpstreamStandIn::answerTo(request, 200, "slow");
        return slow;
    });
    CHECK(path.statusOf("/look/1") == 200);
    std::optional<int> status;
    std::optional<int> readiness;
    bool stopped = false;
    asio::co_spawn(
        path.context,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            request.target = "/look/1";
            request.headers = {{"Host", "a.example"}, {"Marjoramtray-Request-Id", "r1"}};
            const auto answer =
                co_await path.caller.request(path.address, request, std::chrono::seconds(5));
            status = isOk(answer) ? value(answer).status : 0;
        },
        asio::detached);
    asio::co_spawn(
        path.context,
        [&]() -> asio::awaitable<void> {
            co_await path.gateway->stop();
            stopped = true;
            path.context.stop();
        },
        asio::detached);
    asio::co_spawn(
        path.context,
        [&]() -> asio::awaitable<void> {
            HttpRequest question;
            const auto answer =
                co_await path.caller.request(path.readiness, question, std::chrono::seconds(1));
            readiness = isOk(answer) ? value(answer).status : 0;
        },
        asio::detached);
    path.context.restart();
    path.context.run_for(std::chrono::seconds(10));
    CHECK(status == 200);
    CHECK(readiness == 503);
    CHECK(stopped);
}

TEST_CASE("A request whose caller left before it was read goes to no upstream")
{
    GatewayPath path(wholeAnswer);
    REQUIRE(path.statusOf("/look/1") == 200);
    asio::ip::tcp::socket caller(path.context);
    caller.connect({asio::ip::make_address(path.address.host), path.address.port});
    asio::write(caller, asio::buffer(std::string("GET /look/2 HTTP/1.1\r\nHost: a.example\r\n"
                                                 "Marjoramtray-Request-Id: r2\r\n\r\n")));
    // The gateway reads only now.
    caller.close();
    path.runFor(milliseconds(200));
    CHECK(path.first.received.size() == 1);
    CHECK(path.second.received.empty());
}

TEST_CASE("A gateway that knows no configuration yet says that nothing ran")
{
    GatewayPath path(wholeAnswer);
    path.store.refusing = true;
    // The requests of this case are sent before the first answer of the store.
    std::optional<int> status;
    asio::co_spawn(
        path.context,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            request.target = "/look/1";
            request.headers = {{"Host", "a.example"}, {"Marjoramtray-Request-Id", "r1"}};
            const auto answer =
                co_await path.caller.request(path.address, request, std::chrono::seconds(5));
            status = isOk(answer) ? value(answer).status : 0;
            path.context.stop();
        },
        asio::detached);
    path.context.run_for(std::chrono::seconds(10));
    CHECK(status == 503);
    CHECK(path.first.received.empty());
}
