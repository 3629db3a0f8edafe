// All engines of a service crash at once while each runs the same popular lookup. When they are
// back, the gateways refuse that lookup, whose route was added later, for ten minutes.
#include "../../common/StandIn.h"

using namespace review;

namespace {

constexpr int Engines = 3;
constexpr int Gateways = 2;
constexpr int Clients = 20;
constexpr int WorkMs = 300;
constexpr int PauseMs = 50;
constexpr double ChangeAt = 3;
constexpr double CrashAt = 9;
constexpr int DownMs = 2000;
// Time after the engines' return from which nothing is disturbed any more.
constexpr double StableWindow = 4;
constexpr double EndAt = 40;

std::string config(int version)
{
    const std::string added =
        R"(,{"name":"popular","host":"shop.example","path_prefix":"/popular/","kind":"safe",
         "timeout_ms":4000,"goal_ms":1000,"priority":0,"max_attempts":2,"service":"shop"})";
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"look","host":"shop.example","path_prefix":"/look/","kind":"safe",
         "timeout_ms":4000,"goal_ms":1000,"priority":0,"max_attempts":2,"service":"shop"})" +
           (version > 1 ? added : "") + R"(],"services":[{"name":"shop","max_conns":110}],
        "limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}})";
}

struct Tally
{
    int sent = 0;
    int served = 0;
};

} // namespace

int main()
{
    Record record(std::getenv("RECORD_FILE"));
    const char *folder = std::getenv("CASE_FOLDER");
    const std::string storeIp = loopback(1);
    Store store(storeIp, record);
    store.put("config", "main", config(1));
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < Engines; ++i) {
        engines.push_back(
            std::make_unique<Engine>("i-" + std::to_string(i), loopback(11 + i), record));
        engines.back()->workMs = WorkMs;
        store.put("servers", engines.back()->id, engines.back()->entry("shop", "z1"));
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < Gateways; ++i) {
        const std::string name = "front-" + std::to_string(i + 1);
        gateways.push_back(std::make_unique<Gateway>(name, loopback(21 + i), "z1", storeIp,
                                                     store.open(name), folder, record));
    }
    for (auto &gateway : gateways) {
        if (!gateway->awaitReady())
            finish(record, 2, "a gateway did not become ready");
    }
    const double begunAt = seconds();
    std::atomic<double> steadyFrom{1e9};
    std::atomic<bool> done{false};
    std::mutex mutex;
    // Requests in steady state after the crash, on the first route and on the one added later.
    Tally first, added;
    std::map<int, int> statuses;
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i] {
            for (int k = 0; !done; ++k) {
                const bool isPopular = i % 2 == 0;
                if (isPopular && seconds() < begunAt + ChangeAt + 4) {
                    sleepMs(50);
                    continue;
                }
                const std::string id = "c" + std::to_string(i) + "-" + std::to_string(k);
                const std::string target = isPopular ? "/popular/list" : "/look/item-" + id;
                const double at = seconds();
                int status = 0;
                if (const auto connection =
                        gateways[static_cast<size_t>(i / 2 % Gateways)]->connect();
                    connection && connection->send(request("GET", target, id))) {
                    const auto reply = connection->read(5000);
                    status = reply ? reply->status() : 0;
                }
                if (at >= steadyFrom) {
                    const std::lock_guard lock(mutex);
                    auto &tally = isPopular ? added : first;
                    ++tally.sent;
                    tally.served += status == 200 ? 1 : 0;
                    if (isPopular)
                        ++statuses[status];
                    if (isPopular && k % 5 == 0)
                        record.line("client: %s (%s) gets %d", id.c_str(), target.c_str(), status);
                }
                sleepMs(PauseMs);
            }
        });
    }
    while (seconds() < begunAt + ChangeAt)
        sleepMs(10);
    store.put("config", "main", config(2));
    while (seconds() < begunAt + CrashAt)
        sleepMs(10);
    if (hasTrouble()) {
        for (auto &engine : engines)
            engine->end();
        sleepMs(DownMs);
        for (int i = 0; i < Engines; ++i) {
            // Its threads may still use it.
            Engine *ended = engines[static_cast<size_t>(i)].release();
            engines[static_cast<size_t>(i)] = std::make_unique<Engine>(
                "i-" + std::to_string(Engines + i), loopback(11 + i), record);
            engines[static_cast<size_t>(i)]->workMs = WorkMs;
            store.remove("servers", ended->id);
            store.put("servers", engines[static_cast<size_t>(i)]->id,
                      engines[static_cast<size_t>(i)]->entry("shop", "z1"));
        }
    } else {
        sleepMs(DownMs);
    }
    steadyFrom = seconds() + StableWindow;
    while (seconds() < begunAt + EndAt)
        sleepMs(10);
    done = true;
    for (auto &client : clients)
        client.join();
    for (auto &gateway : gateways)
        gateway->kill();
    for (const auto &[status, count] : statuses)
        record.line("check: %d popular lookups got %d", count, status);
    record.line(
        "check: from 4 s after the engines' return, %d of %d requests on the first route and "
        "%d of %d on the route that was added later were served",
        first.served, first.sent, added.served, added.sent);
    if (first.sent < 20 || added.sent < 20)
        finish(record, 2, "fewer than 20 requests");
    const double firstShare = static_cast<double>(first.served) / first.sent;
    const double addedShare = static_cast<double>(added.served) / added.sent;
    char verdict[200];
    std::snprintf(verdict, sizeof verdict,
                  "%.0f %% served on the added route, %.0f %% on the first", 100 * addedShare,
                  100 * firstShare);
    if (addedShare < firstShare / 4)
        finish(record, 1, std::string("CONFIG broken: ") + verdict);
    finish(record, 0, std::string("CONFIG held: ") + verdict);
}
