// All gateways are killed at once and start again. They no longer know the part of prompts that
// crashes engines, and send requests with it to engines again.
#include "../../common/StandIn.h"

using namespace review;

namespace {

constexpr int Engines = 8;
constexpr int Gateways = 2;
constexpr double StableWindow = 4;
const std::string DeadlyPart = "bad0";

/// An engine that crashes when it begins to write an answer to a request with the deadly part, and
/// is back with a new id after some seconds.
class CrashingEngine
{
public:
    CrashingEngine(int number, Store &store, Record &record)
        : number(number), store(store), record(record), ip(loopback(31 + number))
    {
        this->start();
    }

    struct Arrival
    {
        double at;
        std::string requestId;
    };

    static inline std::mutex mutex;
    static inline std::vector<Arrival> deadlyArrivals;
    static inline std::vector<double> crashes;
    static inline int soundRunsLost = 0;

private:
    void start()
    {
        const std::lock_guard lock(this->stateMutex);
        ++this->incarnation;
        this->id = "i-" + std::to_string(this->number) + "-" + std::to_string(this->incarnation);
        this->listener = std::make_unique<Listener>(
            this->ip,
            [this, own = this->incarnation](std::shared_ptr<Connection> connection) {
                this->serve(own, *connection);
            },
            this->port);
        this->port = this->listener->port;
        const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
        this->store.put("servers", this->id,
                        R"({"service":"llm","address":")" + this->ip + ":" +
                            std::to_string(this->port) +
                            R"(","zone":"z1","version":"v1","slots":64,"state":"ready",)"
                            R"("cold_left_ms":0,"stage":"both","models":[{"name":"m1","version":1,)"
                            R"("adapters":[]}],"sequence":0,"born":)" +
                            std::to_string(born) + "}");
    }

    void crash(const std::string &requestId)
    {
        std::string ended;
        {
            const std::lock_guard lock(this->stateMutex);
            if (!this->listener)
                return;
            this->listener->end();
            // Its threads may still use it.
            static_cast<void>(this->listener.release());
            ended = this->id;
        }
        {
            const std::lock_guard lock(mutex);
            crashes.push_back(seconds());
            this->record.line("engine %s: crashes (crash %zu) as it begins to answer %s",
                              ended.c_str(), crashes.size(), requestId.c_str());
        }
        std::thread([this, ended] {
            sleepMs(3000);
            this->start();
            // The entry goes after three heartbeat intervals of silence.
            sleepMs(600);
            this->store.remove("servers", ended);
        }).detach();
    }

    bool runs(int incarnation)
    {
        const std::lock_guard lock(this->stateMutex);
        return this->listener && this->incarnation == incarnation;
    }

    void serve(int own, Connection &connection)
    {
        while (auto request = connection.read()) {
            const std::string id = request->header("Marjoramtray-Request-Id");
            const std::string prefix = request->header("Marjoramtray-Prompt-Prefix");
            const bool isDeadly = prefix.find(DeadlyPart + ":") != std::string::npos;
            if (isDeadly) {
                const std::lock_guard lock(mutex);
                deadlyArrivals.push_back({seconds(), id});
                this->record.line("engine i-%d-%d: runs %s (deadly part)", this->number, own,
                                  id.c_str());
            }
            sleepMs(150);
            connection.send("HTTP/1.1 200 OK\r\nMarjoramtray-Request-Id: " + id +
                            "\r\nMarjoramtray-Response-Seal: s." + id +
                            "\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
            if (isDeadly) {
                this->crash(id);
                return;
            }
            for (int event = 1; event <= 10; ++event) {
                const std::string text = "id: " + std::to_string(event) + "\ndata: piece\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                if (!this->runs(own)) {
                    const std::lock_guard lock(mutex);
                    ++soundRunsLost;
                    return;
                }
                if (!connection.send(size + text + "\r\n"))
                    return;
                sleepMs(40);
            }
            connection.send("0\r\n\r\n");
        }
    }

    const int number;
    Store &store;
    Record &record;
    const std::string ip;
    int port = 0;
    std::mutex stateMutex;
    int incarnation = 0;
    std::string id;
    std::unique_ptr<Listener> listener;
};

std::string modelRequest(const std::string &id, const std::string &part)
{
    static std::atomic<int> own{0};
    char ownPart[16];
    std::snprintf(ownPart, sizeof ownPart, "%x", 0x10000 + own++);
    std::string text = request("POST", "/ask/x", id, "prompt " + id, 10000);
    text.insert(text.find("\r\n") + 2, "Marjoramtray-Model: m1\r\n"
                                       "Marjoramtray-Token-Usage: 1000,30\r\n"
                                       "Marjoramtray-Prompt-Prefix: aa01:350," +
                                           part + ":400," + ownPart + ":250\r\n");
    return text;
}

} // namespace

int main()
{
    Record record(std::getenv("RECORD_FILE"));
    const char *folder = std::getenv("CASE_FOLDER");
    const std::string storeIp = loopback(1);
    Store store(storeIp, record);
    store.put("config", "main", R"({"version":1,"routes":[
        {"name":"ask","host":"shop.example","path_prefix":"/ask/","kind":"streaming",
         "timeout_ms":10000,"goal_ms":1200,"priority":0,"max_attempts":1,"sticky":true,
         "resumable":false,"gap_aim_ms":300,"service":"llm"}],
        "services":[{"name":"llm","max_conns":370,"engine":{"slots":64,"kv_cache_tokens":136254,
         "models":[{"name":"m1","weights_mb":65100,"load_s":7.8,"adapters":0,"adapter_mb":12,
         "warm_s":0.76,"disk_s":1.6}],"weights_mb":220000,"adapter_slots":8,"loads_per_s":1.1}}],
        "limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}})");
    std::vector<std::unique_ptr<CrashingEngine>> engines;
    for (int i = 0; i < Engines; ++i)
        engines.push_back(std::make_unique<CrashingEngine>(i, store, record));
    std::vector<int> storePorts;
    std::vector<std::unique_ptr<Gateway>> gateways(Gateways);
    std::mutex gatewayMutex;
    const auto startAll = [&] {
        for (int i = 0; i < Gateways; ++i) {
            const std::string name = "front-" + std::to_string(i + 1);
            if (static_cast<int>(storePorts.size()) <= i)
                storePorts.push_back(store.open(name));
            gateways[static_cast<size_t>(i)] =
                std::make_unique<Gateway>(name, loopback(21 + i), "z1", storeIp,
                                          storePorts[static_cast<size_t>(i)], folder, record);
        }
        bool ready = true;
        for (auto &gateway : gateways)
            ready = gateway->awaitReady() && ready;
        return ready;
    };
    if (!startAll())
        finish(record, 2, "a gateway did not become ready");
    const auto ask = [&](int index, const std::string &id, const std::string &part) {
        std::unique_ptr<Connection> connection;
        {
            const std::lock_guard lock(gatewayMutex);
            if (gateways[static_cast<size_t>(index)])
                connection = gateways[static_cast<size_t>(index)]->connect();
        }
        if (!connection || !connection->send(modelRequest(id, part)))
            return 0;
        const auto reply = connection->read(12000);
        return reply ? reply->status() : 0;
    };
    std::atomic<bool> done{false};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 8; ++i) {
        threads.emplace_back([&, i] {
            for (int k = 0; !done; ++k) {
                const std::string id = "sound-" + std::to_string(i) + "-" + std::to_string(k);
                served += ask(i % Gateways, id, "cc0" + std::to_string(i)) == 200 ? 1 : 0;
                sleepMs(100);
            }
        });
    }
    const auto sendDeadly = [&](int index, const std::string &id) {
        threads.emplace_back([&, index, id] {
            record.line("client: sends %s (deadly part) to front-%d", id.c_str(), index + 1);
            record.line("client: %s gets %d", id.c_str(), ask(index, id, DeadlyPart));
        });
    };
    while (seconds() < 3)
        sleepMs(10);
    for (int i = 0; i < 16; ++i)
        sendDeadly(i % Gateways, "deadly-first-" + std::to_string(i));
    while (seconds() < 10)
        sleepMs(10);
    // Times of the present processes' start, from which they are in touch after StableWindow.
    double startedAt = 0;
    if (hasTrouble()) {
        const std::lock_guard lock(gatewayMutex);
        record.line("platform: kills all gateways at the same moment and starts them again");
        for (auto &gateway : gateways)
            gateway->kill();
        startedAt = seconds();
        if (!startAll())
            finish(record, 2, "a gateway did not become ready again");
    }
    for (int k = 0; seconds() < 60; ++k) {
        while (seconds() < 15.5 + 3 * k)
            sleepMs(10);
        sendDeadly(k % Gateways, "deadly-" + std::to_string(k));
    }
    sleepMs(3000);
    done = true;
    for (auto &gateway : gateways)
        gateway->kill();
    const std::lock_guard lock(CrashingEngine::mutex);
    const auto &crashes = CrashingEngine::crashes;
    int counted = 0;
    for (const auto &arrival : CrashingEngine::deadlyArrivals) {
        if (crashes.size() >= 5 && arrival.at > crashes[4] + StableWindow &&
            arrival.at > startedAt + StableWindow) {
            ++counted;
            record.line("check: %s reached an engine %.1f s after the fifth crash (%d)",
                        arrival.requestId.c_str(), arrival.at - crashes[4], counted);
        }
    }
    record.line("check: %zu crashes, %d sound runs lost with them, %d sound requests answered",
                crashes.size(), CrashingEngine::soundRunsLost, served.load());
    if (crashes.size() < 5)
        finish(record, 2, "fewer than five crashes");
    if (counted > 3)
        finish(record, 1,
               "BUDGET broken: " + std::to_string(counted) +
                   " requests with the deadly part reached engines, sent by machines "
                   "in touch, later than 4 s after the fifth crash");
    finish(record, 0, "BUDGET held: " + std::to_string(counted) + " such requests");
}
