// A later configuration adds a model and a route for it.
#include "Rig.h"

#include <csignal>

using namespace rig;

namespace {

std::string configuration(int version, bool hasSecond)
{
    const auto model = [](const std::string &name) {
        return R"({"name":")" + name +
               R"(","weights_mb":65100,"load_s":2,"adapters":0,"adapter_mb":12,"warm_s":0.7,"disk_s":1.6})";
    };
    const auto route = [](const std::string &name, const std::string &prefix) {
        return R"({"name":")" + name + R"(","host":"a.example","path_prefix":"/)" + prefix +
               R"(/","kind":"streaming","timeout_ms":15000,"goal_ms":1200,"priority":1,"service":"llm",)"
               R"("max_attempts":1,"sticky":true,"resumable":false,"gap_aim_ms":300})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           route("r-1", "stream-1") + (hasSecond ? "," + route("r-2", "stream-2") : "") +
           R"(],"services":[{"name":"llm","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,)"
           R"("engine":{"slots":64,"kv_cache_tokens":136254,"models":[)" +
           model("m1") + (hasSecond ? "," + model("m2") : "") +
           R"(],"weights_mb":220000,"adapter_slots":8,"loads_per_s":1.1}}],"limits":{"header_bytes":16384,)"
           R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

struct Count
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
};

} // namespace

int main()
{
    Site site;
    Store store(site.store);
    store.put("config", "main", configuration(7, !hasTrouble()));
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Program>> programs;
    for (int i = 0; i < 2; ++i) {
        Engine::Settings settings;
        settings.id = "i-" + std::to_string(i + 1);
        settings.service = "llm";
        settings.address = {site.ipOf(11 + i), site.enginePort};
        settings.models = {"m1"};
        settings.isModelEngine = true;
        settings.events = 5;
        settings.eventGapMs = 50;
        engines.push_back(std::make_unique<Engine>(store, settings));
        programs.push_back(site.steward(11 + i, settings));
        programs.back()->start();
    }
    programs.push_back(site.gateway(1));
    programs.back()->start();
    if (!site.awaitReady(1, 10000))
        cannotRun("the gateway is not ready");
    sleepUntil(6000);
    if (hasTrouble()) {
        store.put("config", "main", configuration(9, true));
        record("configuration 9 is acknowledged");
    }
    // The new route has been in force for twenty seconds.
    constexpr int64_t SteadyAt = 26000;
    constexpr int64_t EndAt = 46000;
    Count counts[2];
    std::vector<std::thread> clients;
    for (int route = 0; route < 2; ++route)
        clients.emplace_back([&, route] {
            auto &count = counts[route];
            while (nowMs() < EndAt) {
                const std::string id = hexId();
                const bool counted = nowMs() >= SteadyAt;
                bool has = false;
                const auto answer =
                    openStream(site.gatewayFront(1), "/stream-" + std::to_string(route + 1) + "/2f",
                               {{"Marjoramtray-Request-Id", id},
                                {"Marjoramtray-Model", "m" + std::to_string(route + 1)},
                                {"Marjoramtray-Token-Usage", "1460,80"},
                                {"Marjoramtray-Prompt-Prefix",
                                 "5c1e07a2:800,91bd3f06:410," + id.substr(0, 8) + ":250"},
                                {"Marjoramtray-Deadline-Ms", "15000"}},
                               15000, 4800, [&](const StreamEvent &) { return has = true; });
                record("route=" + std::to_string(route + 1) + " id=" + id + " status=" +
                       std::to_string(answer.status) + " whole=" + std::to_string(answer.isWhole) +
                       " " + answer.body.substr(0, answer.body.find('\n')));
                if (counted) {
                    ++count.sent;
                    count.served += answer.status == 200 && answer.isWhole && has ? 1 : 0;
                }
                sleepMs(300);
            }
        });
    for (auto &client : clients)
        client.join();
    for (int route = 0; route < 2; ++route)
        record("route " + std::to_string(route + 1) + ": sent " +
               std::to_string(counts[route].sent) + ", served " +
               std::to_string(counts[route].served));
    if (counts[0].sent < 20 || counts[1].sent < 20 || counts[0].served < counts[0].sent / 2)
        cannotRun("too few requests were sent, or the first route was not served");
    const bool isBroken =
        4.0 * counts[1].served / counts[1].sent < 1.0 * counts[0].served / counts[0].sent;
    record(isBroken ? "CONFIG is broken" : "CONFIG holds");
    finish(isBroken ? 1 : 0);
}
