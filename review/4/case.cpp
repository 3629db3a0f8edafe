// While the store does not answer one gateway, the other gateway of its data centre, which reaches
// the store, learns too late that an engine is draining.
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
    const auto ask = [&](Gateway &gateway, const std::string &id) {
        auto connection = gateway.connect();
        record.line("client: sends %s to %s", id.c_str(), gateway.name.c_str());
        connection->send(request("POST", "/take/x", id, "body of " + id));
        const auto reply = connection->read(6000);
        record.line("client: gets %d for %s", reply ? reply->status() : 0, id.c_str());
        return reply ? reply->status() : 0;
    };
    // The gateways of a data centre agree on the one that reads the list of engines: the one that
    // has begun a watch lately, since a watch of the list lasts two seconds at most.
    sleepMs(6000);
    for (auto &gateway : gateways) {
        if (ask(*gateway, "warm-" + gateway->name) != 200)
            finish(record, 2, "a request before the disruption was not served");
    }
    Gateway *reader = nullptr;
    Gateway *other = nullptr;
    for (auto &gateway : gateways) {
        const auto watched = store.lastWatchBy(gateway->name, "servers");
        (watched && *watched > seconds() - 2.5 ? reader : other) = gateway.get();
    }
    if (reader == nullptr || other == nullptr)
        finish(record, 2, "both gateways read the list, or none does");
    const double before = *store.lastWatchBy(reader->name, "servers");
    while (*store.lastWatchBy(reader->name, "servers") == before)
        sleepMs(5);
    if (hasTrouble())
        store.silence(reader->name, true);
    sleepMs(100);
    near.leaving = true;
    store.put("servers", near.id, near.entry("shop", "z1", "draining"));
    const double drainingAt = seconds();
    // The engine serves for drain_ms (3 s) and a little longer, and then exits.
    sleepMs(3150);
    near.workMs = 1500;
    int status = 0;
    std::thread client([&] { status = ask(*other, "late-" + other->name); });
    sleepMs(600);
    near.end();
    client.join();
    store.silence(reader->name, false);
    int lateRuns = 0;
    for (const auto &run : near.runs()) {
        if (run.at <= drainingAt + 3.0)
            continue;
        ++lateRuns;
        record.line("check: %s reached engine %s %.3f s after the store had acknowledged that it "
                    "drains; the client got %d",
                    run.requestId.c_str(), near.id.c_str(), run.at - drainingAt, status);
    }
    gateways.clear();
    if (lateRuns > 0)
        finish(record, 1,
               "DRAIN broken: a request reached the draining engine more than 3 s after the "
               "acknowledgement, from a gateway that reaches the store" +
                   std::string(status == 200 ? "" : "; it was lost when the engine exited"));
    finish(record, 0, "DRAIN held");
}
