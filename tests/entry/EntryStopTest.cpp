// What callers get from an entry server whose stop has no more time for them.
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

/// Collects the log while it lives. Made before the threads that write to it.
class LogCollector
{
public:
    LogCollector() { spdlog::default_logger()->sinks().push_back(this->sink); }
    ~LogCollector() { spdlog::default_logger()->sinks().pop_back(); }

    /// The log has a line with all of the parts.
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

/// An entry server that is stopped while requests are in flight.
struct StopFixture
{
    LogCollector log;
    EntryFixture entry;

    std::future<Result<HttpResponse>> send(bool stream, const std::string &key,
                                           const std::string &prompt = "pair these")
    {
        return std::async(std::launch::async,
                          [=, this] { return this->entry.complete(stream, key, prompt); });
    }
    /// Ends requests at the given time, as the process does. Returns when the last one has ended.
    void stop(Instant lastAnswer)
    {
        asio::co_spawn(this->entry.context, this->entry.server.endAt(lastAnswer), asio::detached);
        this->entry.server.drain();
        const auto limit = lastAnswer + EntryServer::FinalAnswerTime;
        while (!this->entry.server.isDrained() && clockNow() < limit)
            std::this_thread::sleep_for(milliseconds(5));
        CHECK(this->entry.server.isDrained());
    }
    void stop() { this->stop(clockNow() + DrainTime); }
    template <typename Condition>
    static void await(const Condition &condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i)
            std::this_thread::sleep_for(milliseconds(5));
        REQUIRE(condition());
    }
};

/// Raw answer to a raw request over a connection that is open already.
std::string exchangeRaw(asio::ip::tcp::socket &socket, const std::string &request)
{
    boost::system::error_code code;
    asio::write(socket, asio::buffer(request), code);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), code);
    return answer;
}

} // namespace

TEST_CASE("A stop gives each request a true final answer before its time ends")
{
    StopFixture stop;
    auto &entry = stop.entry;
    SUBCASE("a request that an upstream works on may have run")
    {
        entry.first.push({Kind::Hold});
        auto caller = stop.send(false, "");
        StopFixture::await([&] { return entry.first.attempts == 1; });
        stop.stop();
        const auto answer = caller.get();
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 502);
        CHECK(value(answer).body.find("outcome_unknown") != std::string::npos);
        CHECK(ranOf(value(answer)) == "unknown");
        CHECK(entry.first.attempts == 1);
        CHECK(stop.log.hasLine({"event=unanswered", "account=shop", "name=advice", "phase=upstream",
                                "attempts=1", "age_ms="}));
    }
    SUBCASE("its claim is kept, so that no repeat runs it again")
    {
        entry.first.push({Kind::Hold});
        auto caller = stop.send(false, "key");
        StopFixture::await([&] { return entry.first.attempts == 1; });
        stop.stop();
        const auto answer = caller.get();
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 502);
        CHECK(ranOf(value(answer)) == "unknown");
        CHECK(entry.claims.released == 0);
        CHECK(entry.claims.finished == 0);
    }
    SUBCASE("a stream that has begun is cut")
    {
        entry.first.push({Kind::HoldHalf});
        auto caller = stop.send(true, "key");
        StopFixture::await([&] { return entry.first.attempts == 1; });
        stop.stop();
        CHECK(!isOk(caller.get()));
        CHECK(entry.counter("tray_entry_aborted_streams_total") == 1);
        CHECK(entry.claims.released == 0);
        CHECK(entry.claims.finished == 0);
        CHECK(stop.log.hasLine({"event=unanswered", "phase=upstream", "begun=true"}));
    }
    SUBCASE("a request that waits for its claim did not run")
    {
        entry.claims.silent = true;
        auto caller = stop.send(false, "key");
        StopFixture::await([&] { return entry.claims.begun == 1; });
        stop.stop();
        const auto answer = caller.get();
        REQUIRE(isOk(answer));
        CHECK(value(answer).status == 503);
        CHECK(value(answer).body.find("draining") != std::string::npos);
        CHECK(ranOf(value(answer)) == "no");
        CHECK(findHeader(value(answer).headers, "Retry-After") == "1");
        CHECK(stop.log.hasLine({"event=unanswered", "phase=claim", "attempts=0"}));
        SUBCASE("and the claim is released if it is granted late")
        {
            entry.claims.silent = false;
            StopFixture::await([&] { return entry.claims.released == 1; });
        }
        CHECK(entry.first.attempts == 0);
        entry.claims.silent = false;
    }
    SUBCASE("a request that arrives when the time is over does not run")
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address(entry.address.host), entry.address.port});
        auto stopped = std::async(std::launch::async, [&] { stop.stop(clockNow()); });
        std::this_thread::sleep_for(milliseconds(50));
        const std::string body = R"({"model":"advice","prompt":"late"})";
        const auto answer = exchangeRaw(
            socket, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
                    "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After: 1") != std::string::npos);
        CHECK(entry.first.attempts == 0);
        stopped.wait();
    }
    SUBCASE("a request that is still being read when the time is over did not run")
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address(entry.address.host), entry.address.port});
        asio::write(socket, asio::buffer(std::string("POST /v1/completions HTTP/1.1\r\n"
                                                     "Host: x\r\nContent-Length: 10\r\n\r\n{")));
        std::this_thread::sleep_for(milliseconds(50));
        stop.stop();
        const auto answer = exchangeRaw(socket, "");
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("draining") != std::string::npos);
        CHECK(answer.find("Retry-After: 1") != std::string::npos);
        CHECK(entry.first.attempts == 0);
    }
    SUBCASE("many at once, over all threads")
    {
        std::vector<std::future<Result<HttpResponse>>> callers;
        for (int i = 0; i < 60; ++i) {
            entry.first.push({Kind::Hold});
            callers.push_back(stop.send(false, i % 2 == 0 ? "" : "key" + std::to_string(i),
                                        "pair " + std::to_string(i)));
        }
        StopFixture::await([&] { return entry.first.attempts == 60; });
        stop.stop();
        int unknown = 0;
        for (auto &caller : callers) {
            const auto answer = caller.get();
            unknown += isOk(answer) && value(answer).status == 502;
        }
        CHECK(unknown == 60);
        CHECK(entry.claims.released == 0);
    }
}

TEST_CASE("A stop leaves requests alone while there is time for them")
{
    StopFixture stop;
    auto &entry = stop.entry;
    entry.first.push({Kind::AnswerLate});
    auto caller = stop.send(false, "key");
    StopFixture::await([&] { return entry.first.attempts == 1; });
    auto stopped =
        std::async(std::launch::async, [&] { stop.stop(clockNow() + std::chrono::seconds(5)); });
    const auto answer = caller.get();
    REQUIRE(isOk(answer));
    CHECK(value(answer).status == 200);
    CHECK(value(answer).body == entry.first.answer);
    stopped.wait();
    CHECK(entry.claims.finished == 1);
    CHECK(!stop.log.hasLine({"event=unanswered"}));
}
