// Large bodies of many requests at once: their memory is bounded, requests for which none is left
// are refused before they reach an upstream, and small requests go on.
#include "GatewayFixture.h"
#include "support/HeldMemory.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

using namespace tray;
using namespace tray::test;

namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

const std::string LargeBodyConfig = R"({"version":2,"routes":[
 {"name":"take","host":"a.example","path_prefix":"/take/","kind":"unsafe","timeout_ms":20000,
  "max_attempts":1,"service":"shop"}],
 "services":[{"name":"shop","max_conns":100}],
 "limits":{"header_bytes":4096,"max_body_bytes":4194304,"header_timeout_ms":10000,
  "idle_timeout_ms":20000}})";
constexpr size_t LargeBytes = 4194304;
constexpr int LargeRequests = 40;
// Half of the fixture's memory for bodies, which large bodies may use, as much for the copies that
// are being sent on, and as much again for what the connections hold.
constexpr size_t MaxGrowthBytes = 96u << 20;
// Time that the upstream works on a large request.
constexpr Duration WorkTime = std::chrono::seconds(2);

/// Upstream that works long on large requests and does not keep their bodies.
class SlowUpstream
{
public:
    explicit SlowUpstream(asio::io_context &context) : context(context), acceptor(context)
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        this->acceptor.listen();
        asio::co_spawn(context, this->accept(), asio::detached);
    }

    Address address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    /// Ids of the requests that have arrived completely.
    std::set<std::string> complete;
    /// Ids of all requests of which the head has arrived.
    std::set<std::string> begun;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [code, socket] = co_await this->acceptor.async_accept(Await);
            if (code)
                co_return;
            asio::co_spawn(this->context, this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        std::vector<char> room(64u << 10);
        while (true) {
            http::request_parser<http::buffer_body> parser;
            parser.body_limit(boost::none);
            auto [code, size] = co_await http::async_read_header(socket, buffer, parser, Await);
            HttpRequest request;
            for (const auto &field : parser.get())
                request.headers.emplace_back(std::string(field.name_string()),
                                             std::string(field.value()));
            const std::string id(findHeader(request.headers, "Marjoramtray-Request-Id"));
            if (!code)
                this->begun.insert(id);
            size_t bodyBytes = 0;
            while (!code && !parser.is_done()) {
                parser.get().body().data = room.data();
                parser.get().body().size = room.size();
                std::tie(code, size) =
                    co_await http::async_read_some(socket, buffer, parser, Await);
                if (code == http::error::need_buffer)
                    code = {};
                bodyBytes += room.size() - parser.get().body().size;
            }
            if (code)
                co_return;
            this->complete.insert(id);
            if (bodyBytes == LargeBytes) {
                asio::steady_timer timer(this->context, WorkTime);
                co_await timer.async_wait(Await);
            }
            const std::string answer = StubUpstream::sealedAnswer(request, 200, "done");
            co_await asio::async_write(socket, asio::buffer(answer), Await);
        }
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
};

/// Status and Retry-After of an answer; status 0 if there was none.
struct Outcome
{
    int status = 0;
    std::string retryAfter;
};

/// Sends a request with a large body that all callers share, then a small one on the same
/// connection. Returns both outcomes.
asio::awaitable<std::pair<Outcome, Outcome>> sendLarge(asio::io_context &context, Address gateway,
                                                       std::string id, bool isChunked,
                                                       const std::string &body)
{
    std::pair<Outcome, Outcome> outcomes;
    tcp::socket socket(context);
    const tcp::endpoint endpoint(asio::ip::make_address(gateway.host), gateway.port);
    co_await socket.async_connect(endpoint, Await);
    const std::string head = fmt::format(
        "POST /take/large HTTP/1.1\r\nHost: a.example\r\nMarjoramtray-Request-Id: {}\r\n{}\r\n", id,
        isChunked ? fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}", body.size())
                  : fmt::format("Content-Length: {}\r\n", body.size()));
    const std::string tail = isChunked ? "\r\n0\r\n\r\n" : "";
    const std::vector<asio::const_buffer> parts = {asio::buffer(head), asio::buffer(body),
                                                   asio::buffer(tail)};
    co_await asio::async_write(socket, parts, Await);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    const auto [code, size] = co_await http::async_read(socket, buffer, answer, Await);
    if (code)
        co_return outcomes;
    outcomes.first = {static_cast<int>(answer.result_int()),
                      std::string(answer[http::field::retry_after])};
    const std::string small = fmt::format("GET /take/after HTTP/1.1\r\nHost: a.example\r\n"
                                          "Marjoramtray-Request-Id: {}-after\r\n\r\n",
                                          id);
    co_await asio::async_write(socket, asio::buffer(small), Await);
    http::response<http::string_body> next;
    const auto [nextCode, nextSize] = co_await http::async_read(socket, buffer, next, Await);
    if (!nextCode)
        outcomes.second.status = static_cast<int>(next.result_int());
    co_return outcomes;
}

} // namespace

TEST_CASE("Requests with large bodies hold bounded memory together, and others are served")
{
    bool isChunked = false;
    SUBCASE("when their length is known") {}
    SUBCASE("in chunks")
    {
        isChunked = true;
    }
    GatewayFixture fixture([](const HttpRequest &request) -> StubReply {
        return {StubUpstream::sealedAnswer(request, 200, "first")};
    });
    SlowUpstream upstream(fixture.context);
    fixture.store.remove("servers", "i-1");
    fixture.store.remove("servers", "i-2");
    fixture.addUpstream("i-3", "here", upstream.address());
    fixture.store.put("config", "main", LargeBodyConfig);
    fixture.runFor(std::chrono::seconds(4));
    REQUIRE(fixture.statusOf("/take/small") == 200);
    const std::string body(LargeBytes, 'b');
    const size_t before = heldBytes();
    size_t peak = before;
    std::map<std::string, std::pair<Outcome, Outcome>> outcomes;
    for (int i = 0; i < LargeRequests; ++i) {
        asio::co_spawn(
            fixture.context,
            [&, id = fmt::format("large-{}", i)]() -> asio::awaitable<void> {
                auto call = sendLarge(fixture.context, fixture.address, id, isChunked, body);
                auto result = co_await std::move(call);
                outcomes[id] = result;
            },
            asio::detached);
    }
    for (int i = 0; i < 20; ++i) {
        for (int step = 0; step < 20; ++step) {
            fixture.runFor(milliseconds(5));
            peak = std::max(peak, heldBytes());
        }
        CHECK(fixture.statusOf("/take/small") == 200);
    }
    for (int i = 0; i < 100 && outcomes.size() < LargeRequests; ++i)
        fixture.runFor(milliseconds(100));
    int served = 0;
    int refused = 0;
    REQUIRE(outcomes.size() == LargeRequests);
    for (const auto &item : outcomes) {
        const std::string &id = item.first;
        CAPTURE(id);
        const auto &[large, after] = item.second;
        served += large.status == 200 ? 1 : 0;
        refused += large.status == 503 ? 1 : 0;
        CHECK(upstream.complete.contains(id) == (large.status == 200));
        CHECK(upstream.begun.contains(id) == (large.status == 200));
        CHECK(large.retryAfter.empty() == (large.status == 200));
        CHECK(after.status == 200);
    }
    CHECK(served + refused == LargeRequests);
    CHECK(served >= 4);
    CHECK(peak - before <= MaxGrowthBytes);
    MESSAGE("served ", served, ", refused ", refused, ", grown by ", (peak - before) >> 20, " MiB");
}
