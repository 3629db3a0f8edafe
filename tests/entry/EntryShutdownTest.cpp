// Tests the final answers that callers get when an entry server shuts down while their requests are
// in flight. An answer must not deny that a request may have run, and a claim must be released only
// if its request certainly did not run.
#include "entry/EntryFixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <spdlog/sinks/ringbuffer_sink.h>
#include <spdlog/spdlog.h>

using namespace tray;
using namespace tray::test;
using Kind = AgentScript::Kind;

namespace {

namespace asio = boost::asio;

constexpr Duration DrainTime = milliseconds(400);

/// Collects log lines from its construction to its destruction. Must be created before the threads
/// that log.
class LogCollector
{
public:
    LogCollector() { spdlog::default_logger()->sinks().push_back(this->sink); }
    ~LogCollector() { spdlog::default_logger()->sinks().pop_back(); }

    /// Returns whether a log line contains all of the parts.
    bool hasLine(const std::vector<std::string> &parts) const
    {
        const auto lines = this->sink->last_formatted();
        return std::any_of(lines.begin(), lines.end(), [&](const std::string &line) {
            return std::all_of(parts.begin(), parts.end(), [&](const std::string &part) {
                return line.find(part) != std::string::npos;
            });
        });
    }

private:
    std::shared_ptr<spdlog::sinks::ringbuffer_sink_mt> sink =
        std::make_shared<spdlog::sinks::ringbuffer_sink_mt>(1000);
};

/// Shuts an entry server down while requests are in flight.
struct ShutdownFixture
{
    LogCollector log;
    EntryFixture entry;

    std::future<Result<HttpResponse>> send(bool stream, const std::string &key,
                                           const std::string &prompt = "pair these")
    {
        return std::async(std::launch::async,
                          [=, this] { return this->entry.complete(stream, key, prompt); });
    }
    /// Ends the requests at the given time, as the process does. Returns when the last one has
    /// ended.
    void shutDown(Instant finalAnswersAt)
    {
        asio::co_spawn(this->entry.context, this->entry.server.endRequestsAt(finalAnswersAt),
                       asio::detached);
        this->entry.server.drain();
        const auto limit = finalAnswersAt + EntryServer::FinalAnswerTime;
        while (!this->entry.server.isDrained() && clockNow() < limit)
            std::this_thread::sleep_for(milliseconds(5));
        CHECK(this->entry.server.isDrained());
    }
    void shutDown() { this->shutDown(clockNow() + DrainTime); }
    template <typename Condition>
    static void await(const Condition &condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i)
            std::this_thread::sleep_for(milliseconds(5));
        REQUIRE(condition());
    }
};

/// Sends a raw request over an open connection and returns the raw answer.
std::string sendRaw(asio::ip::tcp::socket &socket, const std::string &request)
{
    boost::system::error_code code;
    asio::write(socket, asio::buffer(request), code);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), code);
    return answer;
}

} // namespace

TEST_CASE("A shutdown gives each request a true final answer before its time ends")
{
    ShutdownFixture fixture;
    auto &entry = fixture.entry;
    SUBCASE("a request at an upstream may have run")
    {
        entry.first.push({Kind::SendHeartbeats});
        auto caller = fixture.send(false, "");
        ShutdownFixture::await([&] { return entry.first.attempts == 1; });
        fixture.shutDown();
        const auto answer = caller.get();
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 502);
        CHECK(value(answer).body.find("outcome_unknown") != std::string::npos);
        CHECK(ranOf(value(answer)) == "unknown");
        CHECK(entry.first.attempts == 1);
        CHECK(fixture.log.hasLine({"event=unanswered", "account=shop", "name=advice",
                                   "phase=upstream", "attempts=1", "age_ms="}));
    }
    SUBCASE("the claim of a request at an upstream is kept, so that no repeat runs it again")
    {
        entry.first.push({Kind::SendHeartbeats});
        auto caller = fixture.send(false, "key");
        ShutdownFixture::await([&] { return entry.first.attempts == 1; });
        fixture.shutDown();
        const auto answer = caller.get();
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 502);
        CHECK(ranOf(value(answer)) == "unknown");
        CHECK(entry.claims.releaseCount == 0);
        CHECK(entry.claims.finishCount == 0);
    }
    SUBCASE("a stream that has begun is aborted")
    {
        entry.first.push({Kind::SendHalfThenHeartbeats});
        auto caller = fixture.send(true, "key");
        ShutdownFixture::await([&] { return entry.first.attempts == 1; });
        fixture.shutDown();
        CHECK(!isOk(caller.get()));
        CHECK(entry.counter("tray_entry_aborted_streams_total") == 1);
        CHECK(entry.claims.releaseCount == 0);
        CHECK(entry.claims.finishCount == 0);
        CHECK(fixture.log.hasLine({"event=unanswered", "phase=upstream", "begun=true"}));
    }
    SUBCASE("a request that waits for its claim did not run")
    {
        entry.claims.unresponsive = true;
        auto caller = fixture.send(false, "key");
        ShutdownFixture::await([&] { return entry.claims.beginCount == 1; });
        fixture.shutDown();
        const auto answer = caller.get();
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 503);
        CHECK(value(answer).body.find("draining") != std::string::npos);
        CHECK(ranOf(value(answer)) == "no");
        CHECK(findHeader(value(answer).headers, "Retry-After") == "1");
        CHECK(fixture.log.hasLine({"event=unanswered", "phase=claim", "attempts=0"}));
        SUBCASE("and a claim that is granted later is released")
        {
            entry.claims.unresponsive = false;
            ShutdownFixture::await([&] { return entry.claims.releaseCount == 1; });
        }
        CHECK(entry.first.attempts == 0);
        entry.claims.unresponsive = false;
    }
    SUBCASE("a request that arrives after the drain is over does not run")
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address(entry.address.host), entry.address.port});
        auto shutdown = std::async(std::launch::async, [&] { fixture.shutDown(clockNow()); });
        std::this_thread::sleep_for(milliseconds(50));
        const std::string body = R"({"model":"advice","prompt":"late"})";
        const auto answer = sendRaw(
            socket, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
                    "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After: 1") != std::string::npos);
        CHECK(entry.first.attempts == 0);
        shutdown.wait();
    }
    SUBCASE("a request that is still being read when the drain is over does not run")
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address(entry.address.host), entry.address.port});
        asio::write(socket, asio::buffer(std::string("POST /v1/completions HTTP/1.1\r\n"
                                                     "Host: x\r\nContent-Length: 10\r\n\r\n{")));
        std::this_thread::sleep_for(milliseconds(50));
        fixture.shutDown();
        const auto answer = sendRaw(socket, "");
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("draining") != std::string::npos);
        CHECK(answer.find("Retry-After: 1") != std::string::npos);
        CHECK(entry.first.attempts == 0);
    }
    SUBCASE("many concurrent requests on all threads")
    {
        std::vector<std::future<Result<HttpResponse>>> callers;
        for (int i = 0; i < 60; ++i) {
            entry.first.push({Kind::SendHeartbeats});
            callers.push_back(fixture.send(false, i % 2 == 0 ? "" : "key" + std::to_string(i),
                                           "pair " + std::to_string(i)));
        }
        ShutdownFixture::await([&] { return entry.first.attempts == 60; });
        fixture.shutDown();
        int unknown = 0;
        for (auto &caller : callers) {
            const auto answer = caller.get();
            unknown += isOk(answer) && value(answer).status == 502;
        }
        CHECK(unknown == 60);
        CHECK(entry.claims.releaseCount == 0);
    }
}

TEST_CASE("A shutdown lets requests complete before the drain is over")
{
    ShutdownFixture fixture;
    auto &entry = fixture.entry;
    entry.first.push({Kind::AnswerLate});
    auto caller = fixture.send(false, "key");
    ShutdownFixture::await([&] { return entry.first.attempts == 1; });
    auto shutdown = std::async(std::launch::async,
                               [&] { fixture.shutDown(clockNow() + std::chrono::seconds(5)); });
    const auto answer = caller.get();
    REQUIRE(isOk(answer));
    CHECK(value(answer).status == 200);
    CHECK(value(answer).body == entry.first.answer);
    shutdown.wait();
    CHECK(entry.claims.finishCount == 1);
    CHECK(!fixture.log.hasLine({"event=unanswered"}));
}
