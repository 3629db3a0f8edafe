// A placement planner that is paused for longer than the election timeout of its peers must not use
// its previous term, since another gateway may have become the planner meanwhile.
#include "GatewayFixture.h"

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

/// Sends the gateway a steward's snapshot every 200 ms: the engine holds no model, and the memory
/// of its host has a copy of the model.
asio::awaitable<void> keepSendingSnapshots(GatewayFixture &fixture)
{
    while (true) {
        proto::Datagram datagram;
        auto *snapshot = datagram.mutable_snapshot();
        snapshot->set_upstream_id("e-1");
        snapshot->set_can_order(true);
        snapshot->set_with_copies(true);
        snapshot->add_models_in_memory("m1");
        fixture.steward.send(fixture.datagrams, std::move(datagram));
        asio::steady_timer timer(fixture.context, milliseconds(200));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace

TEST_CASE("A gateway that was paused sends no placement request with its previous term")
{
    GatewayFixture fixture([](const HttpRequest &) { return StubReply{}; });
    fixture.store.put("config", "main", EngineConfig);
    fixture.addUpstream("e-1", "here", {"127.0.0.1", 1}, "llm");
    asio::co_spawn(fixture.context, keepSendingSnapshots(fixture), asio::detached);
    for (int i = 0; i < 100 && fixture.placementRequests.empty(); ++i)
        fixture.runFor(milliseconds(100));
    REQUIRE_FALSE(fixture.placementRequests.empty());
    const uint64_t term = fixture.placementRequests.back().term();

    std::this_thread::sleep_for(PlannerElection::ElectionTimeout + milliseconds(500));
    fixture.placementRequests.clear();
    fixture.runFor(milliseconds(800));
    CHECK(fixture.placementRequests.empty());

    SUBCASE("it plans again with a new term if there is no other planner")
    {
        for (int i = 0; i < 100 && fixture.placementRequests.empty(); ++i)
            fixture.runFor(milliseconds(100));
        REQUIRE_FALSE(fixture.placementRequests.empty());
        CHECK(fixture.placementRequests.front().term() > term);
    }
}
