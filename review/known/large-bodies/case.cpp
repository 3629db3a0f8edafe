// A burst of requests with the largest body that the configuration allows takes a gateway beyond
// its memory limit; the platform kills it, and the requests that it has passed on get no answer.
#include "../../common/StandIn.h"

using namespace review;

namespace {

// memory_mb of the settings, in the larger of the units that it may mean (2^20 bytes).
constexpr double MemoryLimitMb = 260 * 1.048576;
constexpr size_t MaxBodyBytes = 4194304;
// The burst has 2.9 times as many clients, the largest dose of a burst in the site file.
constexpr int UsualClients = 13;
constexpr int BurstClients = 37;
constexpr int RequestsEach = 2;
// Time between the first large requests of two clients: 4 MiB in this time take about half of the
// 1,000 Mbit/s of a gateway's link, so that no packet waits for the link.
constexpr int StartIntervalMs = 65;
// Time that the engine works on a large request.
constexpr int WorkMs = 4000;

} // namespace

int main()
{
    Record record(std::getenv("RECORD_FILE"));
    const char *folder = std::getenv("CASE_FOLDER");
    const std::string storeIp = loopback(1);
    Store store(storeIp, record);
    Engine engine("i-shop", loopback(11), record);
    engine.workMs = 20;
    store.put("config", "main", R"({"version":1,"routes":[
        {"name":"take","host":"shop.example","path_prefix":"/take/","kind":"unsafe",
         "timeout_ms":15000,"goal_ms":1200,"priority":0,"max_attempts":1,"service":"shop"}],
        "services":[{"name":"shop","max_conns":370}],
        "limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}})");
    store.put("servers", engine.id, engine.entry("shop", "z1"));
    Gateway gateway("front-1", loopback(21), "z1", storeIp, store.open("front-1"), folder, record);
    if (!gateway.awaitReady())
        finish(record, 2, "the gateway did not become ready");

    const int count = hasTrouble() ? BurstClients : UsualClients;
    record.line("clients: %d, each sends %d requests with a body of %zu bytes on a kept connection",
                count, RequestsEach, MaxBodyBytes);
    std::atomic<int> ready{0};
    std::atomic<bool> begin{false};
    std::mutex mutex;
    std::map<std::string, int> statuses;
    std::vector<std::thread> clients;
    for (int i = 0; i < count; ++i) {
        clients.emplace_back([&, i] {
            auto connection = gateway.connect();
            const std::string name = "c" + std::to_string(i);
            connection->send(request("POST", "/take/x", name + "-warm", "small", 15000));
            const auto reply = connection->read(5000);
            ready += reply && reply->status() == 200 ? 1 : 0;
            while (!begin)
                sleepMs(1);
            sleepMs(StartIntervalMs * i);
            for (int k = 0; k < RequestsEach; ++k) {
                const std::string id = name + "-" + std::to_string(k);
                const bool sent = connection->send(
                    request("POST", "/take/x", id, std::string(MaxBodyBytes, 'b'), 15000));
                const auto answer = connection->read(16000);
                const int status = answer ? answer->status() : 0;
                record.line("client: %s sent %s, gets %d", id.c_str(),
                            sent ? "completely" : "in part", status);
                const std::lock_guard lock(mutex);
                statuses[id] = status;
                if (status == 0)
                    return;
            }
        });
    }
    for (int i = 0; i < 400 && ready < count; ++i)
        sleepMs(10);
    if (ready < count)
        finish(record, 2, "a request before the burst was not served");
    engine.workMs = WorkMs;
    // The platform kills a process that exceeds memory_mb of its settings.
    std::atomic<bool> done{false};
    double most = 0;
    bool killed = false;
    std::thread platform([&] {
        while (!done && !killed) {
            most = std::max(most, gateway.residentMb());
            if (most > MemoryLimitMb) {
                gateway.signal(SIGKILL);
                killed = true;
            }
            sleepMs(2);
        }
    });
    begin = true;
    for (auto &client : clients)
        client.join();
    done = true;
    platform.join();
    record.line("platform: the gateway occupied %.0f MB at most, limit %.0f MB%s", most,
                MemoryLimitMb, killed ? ": killed" : "");
    int lost = 0;
    std::set<std::string> counted;
    for (const auto &run : engine.runs()) {
        if (run.body.size() == MaxBodyBytes && statuses[run.requestId] == 0 &&
            counted.insert(run.requestId).second)
            ++lost;
    }
    gateway.kill();
    record.line("check: %d requests were passed on to the sound engine, and their kept connections "
                "were closed without an answer (more than three break the rule)",
                lost);
    if (lost > 3)
        finish(record, 1,
               "LOST broken: the gateway was killed for its memory, and " + std::to_string(lost) +
                   " requests got no answer");
    finish(record, 0,
           "LOST held; the gateway occupied " + std::to_string(static_cast<int>(most)) +
               " MB at most");
}
