// A gateway that plans placement, paused for longer than its peers wait for its word.
#include "GatewayPath.h"

#include <thread>

using namespace tray;
using namespace tray::test;

namespace {

const std::string EngineConfig = R"({"version":2,"routes":[
 {"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":2000,
  "max_attempts":1,"service":"llm"}],
 "services":[{"name":"llm","max_conns":50,"engine":{"slots":64,"kv_cache_tokens":100000,
   "models":[{"name":"m1","weights_mb":60000,"load_s":8,"adapters":0,"adapter_mb":12}],
   "weights_mb":220000,"adapter_slots":8,"loads_per_s":1}}],
 "limits":{"header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,
  "idle_timeout_ms":5000}})";

/// Tells the gateway again and again, as a steward does, that its engine is empty and has a copy of
/// the model on its host.
asio::awaitable<void> keepTelling(GatewayPath &path)
{
    while (true) {
        proto::Datagram datagram;
        auto *snapshot = datagram.mutable_snapshot();
        snapshot->set_upstream_id("e-1");
        snapshot->set_can_order(true);
        snapshot->set_with_copies(true);
        snapshot->add_models_in_memory("m1");
        path.steward.send(path.datagrams, std::move(datagram));
        asio::steady_timer timer(path.context, milliseconds(200));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace

TEST_CASE("A gateway that was paused sends no wish by the term that it had before")
{
    GatewayPath path([](const HttpRequest &) { return UpstreamReply{}; });
    path.store.put("config", "main", EngineConfig);
    path.addUpstream("e-1", "here", {"127.0.0.1", 1}, "llm");
    asio::co_spawn(path.context, keepTelling(path), asio::detached);
    for (int i = 0; i < 100 && path.wishes.empty(); ++i)
        path.runFor(milliseconds(100));
    REQUIRE_FALSE(path.wishes.empty());
    const uint64_t term = path.wishes.back().term();

    std::this_thread::sleep_for(PlannerElection::Silence + milliseconds(500));
    path.wishes.clear();
    path.runFor(milliseconds(800));
    CHECK(path.wishes.empty());

    SUBCASE("but it plans again by a new term if no other planner is there")
    {
        for (int i = 0; i < 100 && path.wishes.empty(); ++i)
            path.runFor(milliseconds(100));
        REQUIRE_FALSE(path.wishes.empty());
        CHECK(path.wishes.front().term() > term);
    }
}
