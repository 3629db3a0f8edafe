// After the answer to one watch of the configuration is lost, gateways go on with the old version.
#include "../../common/StandIn.h"

using namespace review;

namespace {

std::string route(const std::string &name, const std::string &service)
{
    return R"({"name":")" + name + R"(","host":"shop.example","path_prefix":"/)" + name +
           R"(/","kind":"unsafe","timeout_ms":4000,"goal_ms":400,"priority":0,"max_attempts":1,)"
           R"("service":")" +
           service + R"("})";
}

std::string config(int version, const std::string &routes)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
           R"(],"services":[{"name":"old","max_conns":100},{"name":"new","max_conns":100}],
           "limits":{"header_bytes":8192,"max_body_bytes":100000,"header_timeout_ms":5000,
           "idle_timeout_ms":20000}})";
}

} // namespace

int main()
{
    Record record(std::getenv("RECORD_FILE"));
    const char *folder = std::getenv("CASE_FOLDER");
    const std::string storeIp = loopback(1);
    Store store(storeIp, record);
    Engine oldEngine("i-old", loopback(11), record);
    Engine newEngine("i-new", loopback(12), record);
    store.put("config", "main", config(1, route("take", "old") + "," + route("gone", "old")));
    store.put("servers", oldEngine.id, oldEngine.entry("old", "z1"));
    store.put("servers", newEngine.id, newEngine.entry("new", "z1"));
    const std::string name = "front-1";
    Gateway gateway(name, loopback(21), "z1", storeIp, store.open(name), folder, record);
    if (!gateway.awaitReady())
        finish(record, 2, "the gateway did not become ready");
    const auto ask = [&](const std::string &target, const std::string &id) {
        auto connection = gateway.connect();
        connection->send(request("POST", target, id, "body of " + id));
        const auto reply = connection->read(6000);
        record.line("client: %s for %s: %d", id.c_str(), target.c_str(),
                    reply ? reply->status() : 0);
        return reply ? reply->status() : 0;
    };
    sleepMs(3000);
    if (ask("/take/x", "warm") != 200)
        finish(record, 2, "a request before the disruption was not served");
    // The operator makes two changes within a second; the answer to the watch that tells of the
    // second one is lost.
    store.put("config", "main", config(2, route("take", "old") + "," + route("gone", "old")));
    sleepMs(700);
    if (hasTrouble())
        store.loseAnswers("config", 1);
    store.put("config", "main", config(3, route("take", "new") + "," + route("more", "new")));
    const double changedAt = seconds();
    // The lost answer counts as a disruption of the store until stable_window_ms (4 s) later, so
    // only requests after that are judged.
    sleepMs(4300);
    int stale = 0;
    int denied = 0;
    double last = 0;
    const auto isOld = [&](const std::string &id) {
        for (const auto &run : oldEngine.runs()) {
            if (run.requestId == id)
                return true;
        }
        return false;
    };
    for (int i = 0; seconds() < changedAt + 13; ++i) {
        const std::string number = std::to_string(i);
        const double at = seconds() - changedAt;
        const int more = ask("/more/x", "more-" + number);
        ask("/take/x", "take-" + number);
        ask("/gone/x", "gone-" + number);
        const int before = stale + denied;
        denied += more == 404 ? 1 : 0;
        stale += isOld("take-" + number) ? 1 : 0;
        stale += isOld("gone-" + number) ? 1 : 0;
        if (stale + denied > before)
            last = at;
        sleepMs(300);
    }
    gateway.kill();
    record.line("check: of the requests sent more than 4.3 s after the acknowledgement of version "
                "3, %d were run by the old service and %d were refused with 404, the last ones "
                "sent %.1f s after it",
                stale, denied, last);
    if (stale + denied > 0)
        finish(record, 1,
               "CONFIG broken: " + std::to_string(stale + denied) +
                   " requests were handled as only an older version allows");
    finish(record, 0, "CONFIG held");
}
