// Shutdown of a gateway process that gets a small part of a core: final answers take it far longer
// than they take a fast process.
#include "StubStore.h"
#include "StubUpstream.h"
#include "net/HttpClient.h"
#include "net/Pause.h"
#include "process/ProcessRig.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace tray;
using namespace tray::test;
namespace asio = boost::asio;

namespace {

constexpr int GraceSeconds = 6;
constexpr Duration Grace = std::chrono::seconds(GraceSeconds);
// The process runs for this part of each period. Instrumented programs need several times the
// processor time.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr Duration RunTime = milliseconds(40);
#else
constexpr Duration RunTime = milliseconds(2);
#endif
constexpr Duration RunPeriod = milliseconds(100);
constexpr Duration CallTimeout = std::chrono::seconds(20);

const std::string SlowConfig = R"({"version":1,"routes":[
 {"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":30000,
  "goal_ms":10000,"max_attempts":2,"resumable":true,"service":"llm"},
 {"name":"take","host":"a.example","path_prefix":"/take/","kind":"unsafe","timeout_ms":30000,
  "goal_ms":10000,"max_attempts":1,"service":"shop"}],
 "services":[{"name":"shop","max_conns":500},
  {"name":"llm","max_conns":500,"engine":{"slots":64,"kv_cache_tokens":100000,
   "models":[{"name":"m1","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12}],
   "weights_mb":220000,"adapter_slots":8,"loads_per_s":1}}],
 "limits":{"header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":10000,
  "idle_timeout_ms":20000}})";

/// A gateway process whose callers' requests never end by themselves.
class SlowGateway
{
public:
    SlowGateway()
    {
        const std::string ip = this->rig.at(10, 1).host;
        const Address upstreamAddress = this->upstream.listen();
        const auto addUpstream = [&](const char *id, const char *service, const char *models) {
            this->store.put("servers", id,
                            fmt::format(R"({{"service":"{}","address":"{}","zone":"z1","slots":64,)"
                                        R"("state":"ready","sequence":1,"models":[{}]}})",
                                        service, toString(upstreamAddress), models));
        };
        addUpstream("i-1", "shop", "");
        addUpstream("e-1", "llm", R"({"name":"m1","version":1,"adapters":[]})");
        this->store.put("config", "main", SlowConfig);
        this->rig.start("front", "tray-gateway",
                        fmt::format(R"({{"node_name":"front","ip":"{}","zone":"z1","region":"r1",)"
                                    R"("zones":{{"z1":"r1"}},"inner_port_range":[7380,7395],)"
                                    R"("listen":{{"front":"{}:8080","readiness_addr":"{}:8081"}},)"
                                    R"("limits":{{"cpu_share":0.08,"cores":1,"memory_mb":160}},)"
                                    R"("bounds":{{"grace_s":{},"budget_ratio":0.2,)"
                                    R"("budget_slack":58,"budget_window_s":10}},)"
                                    R"("platform":{{"address":"{}"}}}})",
                                    ip, ip, ip, GraceSeconds, toString(this->store.listen())));
    }

    bool awaitReady()
    {
        bool isReady = false;
        const Address readiness{this->rig.at(10, 1).host, 8081};
        this->run([&]() -> asio::awaitable<void> {
            for (int i = 0; i < 400 && !isReady; ++i) {
                HttpRequest question;
                question.target = "/v1/readiness";
                const auto answer =
                    co_await this->client.request(readiness, question, std::chrono::seconds(1));
                isReady = isOk(answer) && value(answer).status == 200;
                co_await pauseFor(milliseconds(20));
            }
        });
        return isReady;
    }

    /// Sends a request whose status, or 0 for a connection that ends without an answer, is counted.
    void send(const std::string &target, const std::string &id, bool isForModel)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        request.headers = {{"Host", "a.example"}, {"Marjoramtray-Request-Id", id}};
        if (isForModel) {
            request.headers.emplace_back("Marjoramtray-Model", "m1");
            request.headers.emplace_back("Marjoramtray-Token-Usage", "300,10");
        }
        request.body = "x";
        ++this->open;
        const Address address{this->rig.at(10, 1).host, 8080};
        asio::co_spawn(
            this->context,
            [this, address, request]() -> asio::awaitable<void> {
                const auto answer = co_await this->client.request(address, request, CallTimeout);
                ++this->statuses[isOk(answer) ? value(answer).status : 0];
                --this->open;
            },
            asio::detached);
    }

    /// Stops the process and lets it run for a part of the time only. The platform kills it at the
    /// end of the grace period.
    void stopSlowly()
    {
        this->run([&]() -> asio::awaitable<void> {
            const Instant beganAt = clockNow();
            this->rig.signal("front", SIGTERM);
            while (this->rig.isRunning("front") && clockNow() < beganAt + Grace) {
                this->rig.signal("front", SIGSTOP);
                co_await pauseFor(RunPeriod - RunTime);
                this->rig.signal("front", SIGCONT);
                co_await pauseFor(RunTime);
            }
            if (this->rig.isRunning("front"))
                this->rig.signal("front", SIGKILL);
            for (int i = 0; i < 100 && this->open > 0; ++i)
                co_await pauseFor(milliseconds(10));
        });
    }

    void run(const std::function<asio::awaitable<void>()> &steps)
    {
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                co_await steps();
                this->context.stop();
            },
            asio::detached);
        this->context.restart();
        this->context.run_for(std::chrono::seconds(30));
    }

    std::map<int, int> statuses;
    int open = 0;
    int reached = 0;

private:
    asio::io_context context;
    ProcessRig rig;
    StubStore store{this->context};
    HttpClient client{this->context};
    StubUpstream upstream{this->context, [this](const HttpRequest &) {
                              ++this->reached;
                              StubReply reply;
                              reply.hang = true;
                              return reply;
                          }};
};

} // namespace

TEST_CASE("A stop with a small part of a core answers all requests in flight")
{
    constexpr int EachKind = 400;
    SlowGateway gateway;
    REQUIRE(gateway.awaitReady());
    for (int i = 0; i < EachKind; ++i) {
        gateway.send("/ask/1", fmt::format("a{}", i), true);
        gateway.send("/take/1", fmt::format("t{}", i), false);
    }
    gateway.run([&]() -> asio::awaitable<void> { co_await pauseFor(milliseconds(600)); });
    REQUIRE(gateway.open == 2 * EachKind);
    REQUIRE(gateway.reached > EachKind / 2);
    gateway.stopSlowly();
    std::string counts;
    for (const auto &[status, count] : gateway.statuses)
        counts += fmt::format(" {} x {}", count, status);
    INFO("statuses:" << counts);
    CHECK(gateway.open == 0);
    CHECK(gateway.statuses[0] == 0);
    CHECK(gateway.statuses[502] + gateway.statuses[503] == 2 * EachKind);
}
