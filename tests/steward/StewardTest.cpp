// A steward over a store and an engine that live in the test, spoken to by datagrams.
#include "steward/Steward.h"

#include "fleet/DatagramPort.h"
#include "net/Pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <map>
#include <thread>

using namespace tray;
namespace asio = boost::asio;

namespace {

/// Keeps records; the rest of the store is not asked for by stewards, but for the configuration.
class RecordStore : public FleetStore
{
public:
    Awaitable<ConfigSnapshot> readConfig() override
    {
        auto spec = std::make_shared<EngineSpec>();
        spec->weightsMb = 220000;
        spec->adapterSlots = 4;
        for (int i = 0; i < 6; ++i)
            spec->models.push_back({"m" + std::to_string(i), 70000, 60, std::chrono::seconds(9)});
        auto config = std::make_shared<FleetConfig>();
        config->version = 1;
        config->services.push_back({"engines", 100, spec});
        co_return ConfigSnapshot{config, 1};
    }
    Awaitable<ConfigSnapshot> awaitConfig(uint64_t, Duration) override { co_return unused(); }
    Awaitable<UpstreamListSnapshot> readUpstreams() override { co_return unused(); }
    Awaitable<UpstreamChanges> awaitUpstreams(uint64_t, Duration) override { co_return unused(); }
    Awaitable<Record> readRecord(std::string, std::string name) override
    {
        const auto found = this->records.find(name);
        if (found == this->records.end())
            co_return Error{ErrorKind::NotFound, "no such record"};
        co_return found->second;
    }
    Awaitable<std::vector<Record>> listRecords(std::string) override { co_return unused(); }
    Awaitable<uint64_t> writeRecord(std::string, Record record) override
    {
        ++this->writes;
        if (this->refusing)
            co_return unused();
        auto &present = this->records[record.name];
        if (present.revision != record.revision)
            co_return Error{ErrorKind::VersionConflict, "the record has changed"};
        record.revision = ++this->revision;
        present = record;
        co_return record.revision;
    }

    static Error unused() { return {ErrorKind::PlatformUnavailable, "not part of this test"}; }

    std::map<std::string, Record> records;
    uint64_t revision = 10;
    int writes = 0;
    /// Fails all writes.
    bool refusing = false;
};

/// Carries out each order at once.
class PromptEngine : public OrderPort
{
public:
    asio::awaitable<Result<EngineReport>> report() override { co_return this->state; }
    asio::awaitable<OrderReply> order(EngineOrder order, OrderAuthority authority) override
    {
        this->orders.push_back(order);
        this->tokens.push_back(authority.fencingToken);
        while (this->hanging)
            co_await pauseFor(milliseconds(10));
        ++this->state.sequence;
        if (order.verb == OrderVerb::Load)
            this->state.models.push_back({order.model, {}});
        else
            std::erase_if(this->state.models,
                          [&](const auto &held) { return held.name == order.model; });
        co_return OrderReply::Accepted;
    }

    EngineReport state;
    std::vector<EngineOrder> orders;
    std::vector<uint64_t> tokens;
    /// Answers no order.
    bool hanging = false;
};

/// A steward and the gateway that it answers.
class Scene
{
public:
    Scene()
        : port(this->context, "front-1", [this](const proto::Datagram &datagram, const Address &) {
              if (datagram.has_snapshot())
                  this->snapshots.push_back(datagram.snapshot());
          })
    {
        this->engine.state.startedAtMs = 5;
        this->engine.state.modelsOnDisk = {"m0", "m1", "m2", "m3"};
        REQUIRE(isOk(this->port.listen({"127.0.0.1", 0})));
    }

    void start(Duration stopGrace = std::chrono::seconds(8))
    {
        this->address = freeAddress();
        this->steward.emplace(this->context,
                              StewardSettings{"side-1", "engines", this->address, stopGrace},
                              this->store, this->engine, this->metrics);
        REQUIRE(isOk(this->steward->start()));
    }

    void subscribe(uint32_t periodMs = 0, bool withCopies = false)
    {
        proto::Datagram datagram;
        datagram.mutable_subscribe()->set_upstream_id("i-1");
        datagram.mutable_subscribe()->set_born_ms(5);
        datagram.mutable_subscribe()->set_period_ms(periodMs);
        datagram.mutable_subscribe()->set_with_copies(withCopies);
        this->port.send(this->address, datagram);
    }

    void wish(uint64_t term, const std::vector<std::string> &models)
    {
        proto::Datagram datagram;
        datagram.mutable_placement_wish()->set_upstream_id("i-1");
        datagram.mutable_placement_wish()->set_term(term);
        for (const auto &model : models)
            datagram.mutable_placement_wish()->add_models(model);
        this->port.send(this->address, datagram);
    }

    void runFor(Duration duration)
    {
        this->context.restart();
        this->context.run_for(duration);
    }

    std::vector<std::string> loaded() const
    {
        std::vector<std::string> models;
        for (const auto &order : this->engine.orders) {
            if (order.verb == OrderVerb::Load)
                models.push_back(order.model);
        }
        return models;
    }

    asio::io_context context;
    RecordStore store;
    PromptEngine engine;
    Metrics metrics;
    Address address;
    std::vector<proto::EngineSnapshot> snapshots;
    DatagramPort port;
    std::optional<Steward> steward;

private:
    static Address freeAddress()
    {
        asio::io_context context;
        const asio::ip::udp::socket socket(context, {asio::ip::make_address("127.0.0.1"), 0});
        return {"127.0.0.1", socket.local_endpoint().port()};
    }
};

} // namespace

TEST_CASE("A steward whose engine came back empty with it restores what its record names")
{
    Scene scene;
    scene.store.records["side-1"] = {"side-1", "00ff m2 m0 m5", 4};
    SUBCASE("as soon as a gateway names its engine")
    {
        scene.start();
        scene.subscribe();
        scene.runFor(milliseconds(500));
        // m5 has no copy on the engine's host.
        CHECK(scene.loaded() == std::vector<std::string>{"m2", "m0"});
        REQUIRE(!scene.engine.tokens.empty());
        CHECK(scene.engine.tokens.front() > 4);
    }
    SUBCASE("but leaves an engine alone that outlived the process before")
    {
        scene.engine.state.models = {{"m3", {}}};
        scene.engine.state.sequence = 9;
        scene.start();
        scene.subscribe();
        scene.runFor(milliseconds(500));
        CHECK(scene.loaded().empty());
    }
    SUBCASE("and follows a planner that is there already")
    {
        scene.start();
        scene.wish(3, {"m1"});
        scene.subscribe();
        scene.wish(3, {"m1"});
        scene.runFor(milliseconds(500));
        CHECK(scene.loaded() == std::vector<std::string>{"m1"});
    }
}

TEST_CASE("A steward records what its engine holds, once it has settled")
{
    Scene scene;
    scene.engine.state.models = {{"m0", {}}, {"m1", {}}};
    scene.engine.state.sequence = 2;
    scene.start();
    scene.subscribe();
    scene.wish(3, {"m1", "m0"});
    scene.runFor(milliseconds(1500));
    CHECK(scene.store.writes == 1);
    scene.runFor(milliseconds(1200));
    CHECK(scene.store.writes == 2);
    const std::string text = scene.store.records["side-1"].text;
    CHECK(text.substr(text.find(' ')) == " m1 m0");

    SUBCASE("and again if the store did not take it")
    {
        scene.engine.state.models.push_back({"m2", {}});
        scene.store.refusing = true;
        // Subscriptions lapse.
        scene.subscribe();
        scene.runFor(milliseconds(2600));
        CHECK(scene.store.writes == 3);
        scene.store.refusing = false;
        scene.subscribe();
        scene.runFor(milliseconds(2600));
        const std::string later = scene.store.records["side-1"].text;
        CHECK(later.substr(later.find(' ')) == " m1 m0 m2");
    }
    SUBCASE("and writes no more while nothing changes")
    {
        scene.runFor(milliseconds(1000));
        CHECK(scene.store.writes == 2);
    }
}

TEST_CASE("Snapshots come in the period that was asked for, and at once after a change")
{
    Scene scene;
    scene.engine.state.models = {{"m0", {}}};
    scene.engine.state.sequence = 1;
    scene.start();
    scene.subscribe(5000);
    scene.runFor(milliseconds(700));
    const size_t before = scene.snapshots.size();
    // The first one, and one when the steward may order.
    CHECK(before >= 1);
    CHECK(before <= 2);
    scene.runFor(milliseconds(700));
    CHECK(scene.snapshots.size() == before);
    scene.engine.state.models.push_back({"m1", {}});
    scene.runFor(milliseconds(300));
    CHECK(scene.snapshots.size() == before + 1);
}

TEST_CASE("Only a planner is told of the copies on the engine's host")
{
    Scene scene;
    scene.engine.state.models = {{"m0", {}}};
    scene.engine.state.sequence = 1;
    scene.start();
    scene.subscribe(5000);
    scene.runFor(milliseconds(700));
    REQUIRE_FALSE(scene.snapshots.empty());
    CHECK_FALSE(scene.snapshots.back().with_copies());
    CHECK(scene.snapshots.back().models_on_disk().empty());

    SUBCASE("and a new one need not wait for the end of its period")
    {
        scene.subscribe(5000, true);
        scene.runFor(milliseconds(300));
        CHECK(scene.snapshots.back().with_copies());
        CHECK(scene.snapshots.back().models_on_disk_size() == 4);
    }
}

TEST_CASE("A steward that was paused follows no wish from before or during the pause")
{
    Scene scene;
    scene.engine.state.busy = true;
    scene.start();
    scene.subscribe();
    scene.runFor(milliseconds(500));

    // The process does not run for longer than a planner without a word keeps its role.
    const auto pause = [&] { std::this_thread::sleep_for(std::chrono::milliseconds(2500)); };
    SUBCASE("one that its socket kept")
    {
        scene.wish(3, {"m1"});
        pause();
    }
    SUBCASE("one that came just before")
    {
        scene.wish(3, {"m1"});
        scene.runFor(milliseconds(200));
        pause();
    }
    scene.engine.state.busy = false;
    scene.subscribe();
    scene.runFor(milliseconds(300));
    CHECK(scene.loaded().empty());

    SUBCASE("but the next one of the planner that there is now")
    {
        scene.wish(4, {"m2"});
        scene.runFor(milliseconds(300));
        CHECK(scene.loaded() == std::vector<std::string>{"m2"});
    }
}

TEST_CASE("A steward's stop ends before its grace time although an order is never answered")
{
    constexpr Duration Grace = milliseconds(900);
    Scene scene;
    scene.engine.hanging = true;
    scene.start(Grace);
    scene.subscribe();
    scene.runFor(milliseconds(500));
    scene.wish(3, {"m1"});
    scene.runFor(milliseconds(200));
    REQUIRE(scene.loaded().size() == 1);
    std::optional<Duration> took;
    const Instant began = clockNow();
    asio::co_spawn(
        scene.context,
        [&]() -> asio::awaitable<void> {
            co_await scene.steward->stop();
            took = clockNow() - began;
        },
        asio::detached);
    bool isAnswered = false;
    SUBCASE("which it awaits until then") {}
    SUBCASE("and ends at once when one is answered late")
    {
        isAnswered = true;
        scene.runFor(milliseconds(200));
        CHECK_FALSE(took);
        scene.engine.hanging = false;
    }
    scene.runFor(Grace);
    REQUIRE(took);
    CHECK(*took < Grace);
    CHECK((*took < milliseconds(300)) == isAnswered);
    CHECK(scene.loaded().size() == 1);
}
