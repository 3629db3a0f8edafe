// One of three engines of a software version goes dark for three seconds and starts again under its
// id with another version. Two engines of the first version serve all the time.
#include "Rig.h"

#include <csignal>

using namespace rig;

namespace {

constexpr int Engines = 6;
constexpr int Streams = 96;
constexpr int64_t DeadlineMs = 25000;
// Four times the objective is longer than two seconds and eight pauses.
constexpr int64_t GapMs = 4 * 8000;
constexpr int MaxTries = 8;

std::string wordOf(const StreamEvent &event, size_t number)
{
    std::string text = event.text.substr(event.text.find("data: ") + 6);
    for (; number > 0; --number)
        text = text.substr(text.find(' ') + 1);
    return text.substr(0, text.find_first_of(" \n"));
}

Headers streamHeaders(const std::string &id, int64_t leftMs)
{
    return {{"Marjoramtray-Request-Id", id},
            {"Marjoramtray-Model", "m1"},
            {"Marjoramtray-Token-Usage", "1460,80"},
            {"Marjoramtray-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410," + id.substr(0, 8) + ":250"},
            {"Marjoramtray-Deadline-Ms", std::to_string(leftMs)}};
}

} // namespace

int main()
{
    Site site;
    Store store(site.store);
    store.put("config", "main",
              R"({"version":7,"routes":[{"name":"r-notes","host":"a.example",)"
              R"("path_prefix":"/stream/","kind":"streaming","timeout_ms":25000,"goal_ms":8000,)"
              R"("priority":1,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,)"
              R"("gap_aim_ms":300}],"services":[{"name":"llm","health_path":"/health",)"
              R"("max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,)"
              R"("kv_cache_tokens":136254,"models":[{"name":"m1","weights_mb":65100,"load_s":2,)"
              R"("adapters":0,"adapter_mb":12,"warm_s":0.7,"disk_s":1.6}],"weights_mb":220000,)"
              R"("adapter_slots":8,"loads_per_s":1.1}}],"limits":{"header_bytes":16384,)"
              R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Program>> stewards;
    for (int i = 0; i < Engines; ++i) {
        Engine::Settings settings;
        settings.id = "i-" + std::to_string(i + 1);
        settings.service = "llm";
        settings.version = i < 3 ? "v1" : "v2";
        settings.address = {site.ipOf(11 + i), site.enginePort};
        settings.models = {"m1"};
        settings.isModelEngine = true;
        settings.events = 57;
        settings.eventGapMs = 250;
        engines.push_back(std::make_unique<Engine>(store, settings));
        stewards.push_back(site.steward(11 + i, settings));
        stewards.back()->start();
    }
    auto gateway = site.gateway(1);
    gateway->start();
    if (!site.awaitReady(1, 10000))
        cannotRun("the gateway is not ready");
    sleepUntil(4000);
    std::atomic<int> affected{0};
    std::atomic<int> takenUp{0};
    std::atomic<int> wentOn{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < Streams; ++i)
        clients.emplace_back([&, i] {
            sleepMs(i * 30);
            const std::string firstId = hexId();
            const int64_t end = nowMs() + DeadlineMs;
            int64_t last = 0;
            std::string version;
            std::string engine;
            std::string id = firstId;
            bool isTakenUp = false;
            bool hasGoneOn = false;
            for (int tries = 0; tries < MaxTries && nowMs() + 500 < end; ++tries) {
                const int64_t left = end - nowMs();
                auto headers = streamHeaders(id, left);
                if (last > 0) {
                    headers.emplace_back("Last-Event-Id", std::to_string(last));
                    headers.emplace_back("Resumes", firstId);
                    isTakenUp = true;
                }
                const auto answer = openStream(site.gatewayFront(1), "/stream/2f", headers, left,
                                               GapMs, [&](const StreamEvent &event) {
                                                   if (version.empty()) {
                                                       version = wordOf(event, 0);
                                                       engine = wordOf(event, 1);
                                                   }
                                                   hasGoneOn = hasGoneOn || isTakenUp;
                                                   last = event.id;
                                                   return true;
                                               });
                record("try id=" + id + " stream=" + firstId + " began=" + engine + "/" + version +
                       " status=" + std::to_string(answer.status) + " last=" +
                       std::to_string(last) + " whole=" + std::to_string(answer.isWhole) + " " +
                       (answer.status == 200 ? "" : answer.body.substr(0, answer.body.find('\n'))));
                if (answer.isWhole && answer.status == 200)
                    break;
                id = hexId();
                sleepMs(1000);
            }
            affected += engine == "i-1" ? 1 : 0;
            takenUp += isTakenUp ? 1 : 0;
            wentOn += hasGoneOn ? 1 : 0;
        });
    if (hasTrouble()) {
        sleepUntil(10000);
        record("engine i-1 goes dark");
        engines[0]->goDark();
        sleepUntil(13000);
        record("engine i-1 is back as v2");
        // The next probe of a keep-alive, which comes each second, finds that the connections are
        // gone.
        engines[0]->restart("v2", 0, 500);
    }
    // New streams after the engine's return.
    sleepUntil(13500);
    constexpr int NewStreams = 20;
    std::atomic<int> begun{0};
    for (int i = 0; i < NewStreams; ++i)
        clients.emplace_back([&, i] {
            sleepMs(i * 150);
            bool has = false;
            openStream(site.gatewayFront(1), "/stream/2f", streamHeaders(hexId(), 8000), 8000,
                       GapMs, [&](const StreamEvent &) {
                           has = true;
                           return false;
                       });
            begun += has ? 1 : 0;
        });
    for (auto &client : clients)
        client.join();
    record("streams begun at i-1: " + std::to_string(affected) + "; taken up " +
           std::to_string(takenUp) + ", went on " + std::to_string(wentOn) + "; new streams " +
           std::to_string(NewStreams) + ", begun " + std::to_string(begun));
    if (affected < 12 || begun < NewStreams / 2)
        cannotRun("too few streams");
    const bool isBroken = takenUp >= 12 && 2.0 * wentOn / takenUp < 1.0 * begun / NewStreams;
    record(isBroken ? "LOST is broken" : "LOST holds");
    finish(isBroken ? 1 : 0);
}
