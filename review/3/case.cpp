// A gateway whose waiting watch of the configuration was cut off goes on sending requests to an
// engine that has been removed from the store.
#include "../common/StandIn.h"

using namespace review;

int main()
{
    Record record(std::getenv("RECORD_FILE"));
    const char *folder = std::getenv("CASE_FOLDER");
    const std::string storeIp = loopback(1);
    Store store(storeIp, record);
    Engine near("i-near", loopback(11), record);
    Engine far("i-far", loopback(12), record);
    near.workMs = 60;
    far.workMs = 60;
    store.put("config", "main", R"({"version":1,"routes":[
        {"name":"take","host":"shop.example","path_prefix":"/take/","kind":"unsafe",
         "timeout_ms":4000,"goal_ms":400,"priority":0,"max_attempts":1,"service":"shop"}],
        "services":[{"name":"shop","max_conns":100}],
        "limits":{"header_bytes":8192,"max_body_bytes":100000,"header_timeout_ms":5000,
        "idle_timeout_ms":20000}})");
    store.put("servers", near.id, near.entry("shop", "z1"));
    store.put("servers", far.id, far.entry("shop", "z2"));

    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < 2; ++i) {
        const std::string name = "front-" + std::to_string(i + 1);
        gateways.push_back(std::make_unique<Gateway>(name, loopback(21 + i), "z1", storeIp,
                                                     store.open(name), folder, record));
    }
    for (auto &gateway : gateways) {
        if (!gateway->awaitReady())
            finish(record, 2, "a gateway did not become ready");
    }
    int lost = 0;
    int lateRuns = 0;
    std::map<std::string, int> statuses;
    const auto ask = [&](Gateway &gateway, const std::string &id) {
        auto connection = gateway.connect();
        record.line("client: sends %s to %s", id.c_str(), gateway.name.c_str());
        connection->send(request("POST", "/take/x", id, "body of " + id));
        const auto reply = connection->read(6000);
        record.line("client: gets %d for %s", reply ? reply->status() : 0, id.c_str());
        return reply ? reply->status() : 0;
    };
    // The gateways of a data centre agree on the one that reads the list of engines.
    sleepMs(5000);
    for (auto &gateway : gateways) {
        if (ask(*gateway, "warm-" + gateway->name) != 200)
            finish(record, 2, "a request before the disruption was not served");
    }
    if (hasTrouble())
        store.cutWatches("config");
    // Longer than stable_window_ms (4 s): all machines are in touch and the store is stable again.
    sleepMs(5000);
    near.leaving = true;
    store.remove("servers", near.id);
    const double removedAt = seconds();
    // The engine serves for drain_ms (3 s) and a little longer, and then exits.
    sleepMs(3500);
    near.workMs = 1500;
    std::vector<std::thread> clients;
    std::mutex mutex;
    for (auto &gateway : gateways) {
        clients.emplace_back([&] {
            const std::string id = "late-" + gateway->name;
            const int status = ask(*gateway, id);
            const std::lock_guard lock(mutex);
            statuses[id] = status;
        });
    }
    sleepMs(1000);
    near.end();
    for (auto &client : clients)
        client.join();
    for (const auto &run : near.runs()) {
        if (run.at > removedAt + 3.0) {
            ++lateRuns;
            lost += statuses[run.requestId] != 200 ? 1 : 0;
            record.line("check: %s reached engine %s %.3f s after the store had acknowledged its "
                        "removal; the client got %d",
                        run.requestId.c_str(), near.id.c_str(), run.at - removedAt,
                        statuses[run.requestId]);
        }
    }
    gateways.clear();
    if (lateRuns > 0)
        finish(record, 1,
               "DRAIN broken: " + std::to_string(lateRuns) +
                   " requests reached the removed engine more than 3 s after the "
                   "acknowledgement; " +
                   std::to_string(lost) + " of them were lost with it");
    finish(record, 0, "DRAIN held");
}
