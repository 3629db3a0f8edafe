// A steward with an in-memory store and engine, driven by datagrams. Guards against loading models
// after a restart of the process alone, missed or needless record writes, orders from requests that
// are older than a pause of the process, a stop that exceeds its grace period, and admissions that
// are not replied, or are replied for another engine.
#include "steward/Steward.h"

#include "fleet/DatagramPort.h"
#include "net/Pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <limits>
#include <map>
#include <thread>

using namespace tray;
namespace asio = boost::asio;

namespace {

/// Stores records and one configuration. All other calls fail, since a steward does not use them.
class RecordStore : public FleetStore
{
public:
    uint64_t era() const override { return this->currentEra; }
    std::shared_ptr<EngineSpec> makeEngineSpec() const
    {
        auto spec = std::make_shared<EngineSpec>();
        spec->weightsMb = 220000;
        spec->adapterSlots = 4;
        for (int i = 0; i < this->configModels; ++i)
            spec->models.push_back({"m" + std::to_string(i), 70000, 60, std::chrono::seconds(9)});
        return spec;
    }
    Awaitable<ConfigSnapshot> readConfig() override
    {
        ++this->configReads;
        auto config = std::make_shared<FleetConfig>();
        config->version = this->configVersion;
        config->services.push_back({"engines", 100, this->makeEngineSpec()});
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
        if (this->failWrites)
            co_return unused();
        auto &present = this->records[record.name];
        if (present.revision != record.revision)
            co_return Error{ErrorKind::VersionConflict, "the record has changed"};
        record.revision = makePosition(this->currentEra, ++this->revision);
        present = record;
        co_return record.revision;
    }

    static Error unused() { return {ErrorKind::PlatformUnavailable, "not part of this test"}; }

    std::map<std::string, Record> records;
    uint64_t configVersion = 1;
    /// Number of models in the configuration.
    int configModels = 6;
    int configReads = 0;
    uint64_t revision = 10;
    uint64_t currentEra = 0;
    int writes = 0;
    /// All writes fail while this is set.
    bool failWrites = false;
};

/// Executes each order immediately, unless holdOrders is set.
class ImmediateEngine : public OrderPort
{
public:
    asio::awaitable<Result<EngineReport>> report() override { co_return this->state; }
    asio::awaitable<OrderReply> order(EngineOrder order, OrderAuthority authority) override
    {
        this->orders.push_back(order);
        this->tokens.push_back(authority.fencingToken);
        this->upstreamIds.push_back(authority.upstreamId);
        while (this->holdOrders)
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
    std::vector<std::string> upstreamIds;
    /// Orders are not answered while this is set.
    bool holdOrders = false;
};

/// A steward and a gateway that subscribes to its snapshots.
class StewardFixture
{
public:
    StewardFixture()
        : port(this->context, "front-1", [this](const proto::Datagram &datagram, const Address &) {
              if (datagram.has_snapshot())
                  this->snapshots.push_back(datagram.snapshot());
              if (datagram.has_admission_reply())
                  this->admissionReplies.push_back(datagram.admission_reply());
              if (datagram.has_stream_origins())
                  this->originAnswers.push_back(datagram.stream_origins());
          })
    {
        this->engine.state.startedAtMs = 5;
        this->engine.state.modelsOnDisk = {"m0", "m1", "m2", "m3"};
        REQUIRE(isOk(this->port.listen({"127.0.0.1", 0})));
    }

    void start(Duration stopGrace = std::chrono::seconds(8))
    {
        this->address = findFreeAddress();
        this->steward.emplace(this->context,
                              StewardSettings{"side-1", "engines", this->address, stopGrace},
                              this->store, this->engine, this->metrics);
        REQUIRE(isOk(this->steward->start()));
    }

    void subscribe(uint32_t periodMs = 0, bool withCopies = false)
    {
        proto::Datagram datagram;
        datagram.mutable_subscribe()->set_upstream_id(this->upstreamId);
        datagram.mutable_subscribe()->set_born_ms(this->listedStartedAtMs);
        datagram.mutable_subscribe()->set_period_ms(periodMs);
        datagram.mutable_subscribe()->set_with_copies(withCopies);
        datagram.mutable_subscribe()->set_store_era(this->reportedEra);
        datagram.mutable_subscribe()->set_config_version(this->store.configVersion);
        datagram.mutable_subscribe()->set_engine_digest(this->reportedEngineDigest);
        this->port.send(this->address, datagram);
    }

    void requestModels(uint64_t term, const std::vector<std::string> &models)
    {
        proto::Datagram datagram;
        datagram.mutable_placement_wish()->set_upstream_id(this->upstreamId);
        datagram.mutable_placement_wish()->set_term(term);
        for (const auto &model : models)
            datagram.mutable_placement_wish()->add_models(model);
        this->port.send(this->address, datagram);
    }

    void reportOrigin(uint64_t stream, const std::string &version, Duration remaining)
    {
        proto::Datagram datagram;
        *datagram.mutable_stream_origins()->add_rows() =
            makeOriginRow(stream, {"engines", version, Instant{} + remaining}, Instant{});
        this->port.send(this->address, datagram);
    }

    /// Asks the steward what began a stream; returns the row that it answers with.
    proto::StreamOriginRow askOrigin(uint64_t stream)
    {
        this->originAnswers.clear();
        proto::Datagram datagram;
        datagram.mutable_stream_origin_query()->set_digest(stream);
        this->port.send(this->address, datagram);
        this->runFor(milliseconds(100));
        REQUIRE(this->originAnswers.size() == 1);
        REQUIRE(this->originAnswers.front().rows_size() == 1);
        return this->originAnswers.front().rows(0);
    }

    void askAdmission(uint64_t ticket, uint64_t startedAtMs, uint32_t prefillMs,
                      std::optional<uint64_t> configVersion = {}, uint32_t slots = 0,
                      uint32_t kvTokens = 0)
    {
        proto::Datagram datagram;
        auto &ask = *datagram.mutable_admission_ask();
        ask.set_upstream_id("i-1");
        ask.set_born_ms(startedAtMs);
        ask.set_incarnation(9);
        ask.set_ticket(ticket);
        ask.set_prefill_us(prefillMs * 1000);
        ask.set_kv_tokens(1000);
        ask.set_limit_ms(2000);
        ask.set_deadline_ms(20000);
        ask.set_event_gap_ms(300);
        if (configVersion) {
            ask.set_config_version(*configVersion);
            ask.mutable_capacity()->set_slots(slots);
            ask.mutable_capacity()->set_kv_tokens(kvTokens);
        }
        this->port.send(this->address, datagram);
    }

    void noteAdmission(uint64_t ticket, proto::AdmissionStage stage)
    {
        proto::Datagram datagram;
        datagram.mutable_admission_note()->set_incarnation(9);
        datagram.mutable_admission_note()->set_ticket(ticket);
        datagram.mutable_admission_note()->set_stage(stage);
        this->port.send(this->address, datagram);
    }

    void runFor(Duration duration)
    {
        this->context.restart();
        this->context.run_for(duration);
    }

    std::vector<std::string> loadedModels() const
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
    ImmediateEngine engine;
    Metrics metrics;
    Address address;
    /// Era of the store that the gateway reports with its subscriptions.
    uint64_t reportedEra = 0;
    /// Digest of the engine's part of the gateway's configuration.
    uint64_t reportedEngineDigest = 0;
    /// Identity and start time of the engine in the instance list of the gateway.
    std::string upstreamId = "i-1";
    uint64_t listedStartedAtMs = 5;
    std::vector<proto::EngineSnapshot> snapshots;
    std::vector<proto::StreamOriginReport> originAnswers;
    std::vector<proto::AdmissionReply> admissionReplies;
    DatagramPort port;
    std::optional<Steward> steward;

private:
    static Address findFreeAddress()
    {
        asio::io_context context;
        const asio::ip::udp::socket socket(context, {asio::ip::make_address("127.0.0.1"), 0});
        return {"127.0.0.1", socket.local_endpoint().port()};
    }
};

} // namespace

TEST_CASE("A steward that restarts together with its engine restores the models in its record")
{
    StewardFixture fixture;
    fixture.store.records["side-1"] = {"side-1", "00ff m2 m0 m5", 4};
    SUBCASE("as soon as a gateway subscribes to its engine")
    {
        fixture.start();
        fixture.subscribe();
        fixture.runFor(milliseconds(500));
        // m5 has no copy on the engine's host.
        CHECK(fixture.loadedModels() == std::vector<std::string>{"m2", "m0"});
        REQUIRE(!fixture.engine.tokens.empty());
        CHECK(fixture.engine.tokens.front() > 4);
    }
    SUBCASE("but loads nothing on an engine that kept running")
    {
        fixture.engine.state.models = {{"m3", {}}};
        fixture.engine.state.sequence = 9;
        fixture.start();
        fixture.subscribe();
        fixture.runFor(milliseconds(500));
        CHECK(fixture.loadedModels().empty());
    }
    SUBCASE("and obeys a planner that requests models before")
    {
        fixture.start();
        fixture.requestModels(3, {"m1"});
        fixture.subscribe();
        fixture.requestModels(3, {"m1"});
        fixture.runFor(milliseconds(500));
        CHECK(fixture.loadedModels() == std::vector<std::string>{"m1"});
    }
}

TEST_CASE("An engine that restarts beside a steward that lives on gets its models back")
{
    StewardFixture fixture;
    fixture.engine.state.models = {{"m0", {}}, {"m5", {}}, {"m1", {}}};
    fixture.engine.state.sequence = 7;
    fixture.start();
    fixture.subscribe();
    fixture.requestModels(3, {"m1", "m0", "m5"});
    fixture.runFor(milliseconds(500));
    REQUIRE(fixture.engine.orders.empty());
    const auto restart = [&](uint64_t startedAtMs) {
        fixture.engine.state.models.clear();
        fixture.engine.state.sequence = 0;
        fixture.engine.state.startedAtMs = startedAtMs;
    };
    const auto list = [&](const std::string &upstreamId, uint64_t startedAtMs) {
        fixture.upstreamId = upstreamId;
        fixture.listedStartedAtMs = startedAtMs;
        fixture.subscribe();
    };
    restart(6);
    fixture.runFor(milliseconds(400));
    // The gateways have not sent the identity of the new incarnation.
    CHECK(fixture.engine.orders.empty());

    SUBCASE("as soon as the gateways send its new identity, and from copies on its host only")
    {
        list("i-2", 6);
        fixture.runFor(milliseconds(400));
        CHECK(fixture.loadedModels() == std::vector<std::string>{"m1", "m0"});
        CHECK(fixture.engine.upstreamIds == std::vector<std::string>{"i-2", "i-2"});
    }
    SUBCASE("until a planner requests others")
    {
        list("i-2", 6);
        fixture.requestModels(3, {"m2"});
        fixture.runFor(milliseconds(400));
        CHECK(fixture.loadedModels() == std::vector<std::string>{"m2"});
    }
    SUBCASE("also if it restarts again before it has them")
    {
        restart(8);
        fixture.runFor(milliseconds(400));
        list("i-3", 8);
        fixture.runFor(milliseconds(400));
        CHECK(fixture.loadedModels() == std::vector<std::string>{"m1", "m0"});
    }
}

TEST_CASE("Nothing is restored on an engine that has had orders since its restart")
{
    StewardFixture fixture;
    fixture.engine.state.models = {{"m0", {}}, {"m1", {}}};
    fixture.engine.state.sequence = 7;
    fixture.start();
    fixture.subscribe();
    fixture.runFor(milliseconds(500));
    fixture.engine.state.startedAtMs = 6;
    fixture.engine.state.models = {{"m3", {}}};
    fixture.engine.state.sequence = 1;
    fixture.listedStartedAtMs = 6;
    fixture.subscribe();
    fixture.runFor(milliseconds(500));
    CHECK(fixture.loadedModels().empty());
}

TEST_CASE("A steward records the models of its engine once they no longer change")
{
    StewardFixture fixture;
    fixture.engine.state.models = {{"m0", {}}, {"m1", {}}};
    fixture.engine.state.sequence = 2;
    fixture.start();
    fixture.subscribe();
    fixture.requestModels(3, {"m1", "m0"});
    fixture.runFor(milliseconds(1500));
    CHECK(fixture.store.writes == 1);
    fixture.runFor(milliseconds(1200));
    CHECK(fixture.store.writes == 2);
    const std::string text = fixture.store.records["side-1"].text;
    CHECK(text.substr(text.find(' ')) == " m1 m0");

    SUBCASE("and retries if the store failed to write them")
    {
        fixture.engine.state.models.push_back({"m2", {}});
        fixture.store.failWrites = true;
        // Subscriptions expire.
        fixture.subscribe();
        fixture.runFor(milliseconds(2600));
        CHECK(fixture.store.writes == 3);
        fixture.store.failWrites = false;
        fixture.subscribe();
        fixture.runFor(milliseconds(2600));
        const std::string later = fixture.store.records["side-1"].text;
        CHECK(later.substr(later.find(' ')) == " m1 m0 m2");
    }
    SUBCASE("and does not write again while nothing changes")
    {
        fixture.runFor(milliseconds(1000));
        CHECK(fixture.store.writes == 2);
    }
}

TEST_CASE("Snapshots are sent in the requested period, and immediately after a change")
{
    StewardFixture fixture;
    fixture.engine.state.models = {{"m0", {}}};
    fixture.engine.state.sequence = 1;
    fixture.start();
    fixture.subscribe(5000);
    fixture.runFor(milliseconds(700));
    const size_t before = fixture.snapshots.size();
    // The first snapshot, and one when the steward is ready for orders.
    CHECK(before >= 1);
    CHECK(before <= 2);
    fixture.runFor(milliseconds(700));
    CHECK(fixture.snapshots.size() == before);
    fixture.engine.state.models.push_back({"m1", {}});
    fixture.runFor(milliseconds(300));
    CHECK(fixture.snapshots.size() == before + 1);
}

TEST_CASE("Only a planner's snapshots list the copies on the engine's host")
{
    StewardFixture fixture;
    fixture.engine.state.models = {{"m0", {}}};
    fixture.engine.state.sequence = 1;
    fixture.start();
    fixture.subscribe(5000);
    fixture.runFor(milliseconds(700));
    REQUIRE_FALSE(fixture.snapshots.empty());
    CHECK_FALSE(fixture.snapshots.back().with_copies());
    CHECK(fixture.snapshots.back().models_on_disk().empty());

    SUBCASE("and a new planner gets one before its period ends")
    {
        fixture.subscribe(5000, true);
        fixture.runFor(milliseconds(300));
        CHECK(fixture.snapshots.back().with_copies());
        CHECK(fixture.snapshots.back().models_on_disk_size() == 4);
    }
}

TEST_CASE("A steward that was paused ignores requests from before or during the pause")
{
    StewardFixture fixture;
    fixture.engine.state.busy = true;
    fixture.start();
    fixture.subscribe();
    fixture.runFor(milliseconds(500));

    // The process is paused for longer than the time after which a planner without heartbeats is
    // replaced.
    const auto pause = [&] { std::this_thread::sleep_for(std::chrono::milliseconds(2500)); };
    SUBCASE("a request that its socket buffered")
    {
        fixture.requestModels(3, {"m1"});
        pause();
    }
    SUBCASE("a request that was received just before")
    {
        fixture.requestModels(3, {"m1"});
        fixture.runFor(milliseconds(200));
        pause();
    }
    fixture.engine.state.busy = false;
    fixture.subscribe();
    fixture.runFor(milliseconds(300));
    CHECK(fixture.loadedModels().empty());

    SUBCASE("but obeys the next request of the present planner")
    {
        fixture.requestModels(4, {"m2"});
        fixture.runFor(milliseconds(300));
        CHECK(fixture.loadedModels() == std::vector<std::string>{"m2"});
    }
}

TEST_CASE("A steward's stop ends within its grace period although an order is never answered")
{
    constexpr Duration Grace = milliseconds(900);
    StewardFixture fixture;
    fixture.engine.holdOrders = true;
    fixture.start(Grace);
    fixture.subscribe();
    fixture.runFor(milliseconds(500));
    fixture.requestModels(3, {"m1"});
    fixture.runFor(milliseconds(200));
    REQUIRE(fixture.loadedModels().size() == 1);
    std::optional<Duration> stopDuration;
    const Instant began = clockNow();
    asio::co_spawn(
        fixture.context,
        [&]() -> asio::awaitable<void> {
            co_await fixture.steward->stop();
            stopDuration = clockNow() - began;
        },
        asio::detached);
    bool isReplied = false;
    SUBCASE("after waiting for its reply until then") {}
    SUBCASE("and immediately once the order is answered late")
    {
        isReplied = true;
        fixture.runFor(milliseconds(200));
        CHECK_FALSE(stopDuration);
        fixture.engine.holdOrders = false;
    }
    fixture.runFor(Grace);
    REQUIRE(stopDuration);
    CHECK(*stopDuration < Grace);
    CHECK((*stopDuration < milliseconds(300)) == isReplied);
    CHECK(fixture.loadedModels().size() == 1);
}

TEST_CASE("A steward writes its record again after a restore that lost it")
{
    StewardFixture fixture;
    fixture.store.currentEra = fixture.reportedEra = 1;
    fixture.engine.state.models = {{"m1", {}}};
    fixture.start();
    for (int i = 0; i < 8; ++i) {
        fixture.subscribe();
        fixture.runFor(milliseconds(500));
    }
    REQUIRE(fixture.store.records.at("side-1").text.ends_with(" m1"));
    const uint64_t before = fixture.store.records.at("side-1").revision;
    fixture.store.records.clear();
    fixture.store.currentEra = 2;

    SUBCASE("as soon as a gateway reports the new era")
    {
        fixture.reportedEra = 2;
        for (int i = 0; i < 10; ++i) {
            fixture.subscribe();
            fixture.runFor(milliseconds(500));
        }
    }
    SUBCASE("or when its engine's models change")
    {
        fixture.engine.state.models = {{"m1", {}}, {"m2", {}}};
        for (int i = 0; i < 10; ++i) {
            fixture.subscribe();
            fixture.runFor(milliseconds(500));
        }
    }
    REQUIRE(fixture.store.records.contains("side-1"));
    CHECK(fixture.store.records.at("side-1").text.find(" m1") != std::string::npos);
    CHECK(fixture.store.records.at("side-1").revision > before);
    const int writes = fixture.store.writes;
    fixture.subscribe();
    fixture.runFor(std::chrono::seconds(3));
    CHECK(fixture.store.writes == writes);
}

TEST_CASE("A steward tells gateways what began a stream")
{
    StewardFixture fixture;
    // No gateway has named its engine, and it has no authority to order.
    fixture.store.failWrites = true;
    fixture.start();
    fixture.reportOrigin(7, "v1", milliseconds(4000));
    fixture.runFor(milliseconds(100));
    const auto row = fixture.askOrigin(7);
    CHECK_FALSE(row.unknown());
    CHECK(row.service() == "engines");
    CHECK(row.software_version() == "v1");
    CHECK(row.remaining_ms() > 3000);
    CHECK(row.remaining_ms() <= 4000);

    SUBCASE("says so if it does not know it")
    {
        CHECK(fixture.askOrigin(8).unknown());
    }
    SUBCASE("and knows it no more when its time is over")
    {
        fixture.reportOrigin(9, "v1", milliseconds(300));
        fixture.runFor(milliseconds(400));
        CHECK(fixture.askOrigin(9).unknown());
    }
    SUBCASE("also right after a pause of its process, from a datagram that its socket kept")
    {
        fixture.reportOrigin(9, "v2", milliseconds(4000));
        std::this_thread::sleep_for(std::chrono::milliseconds(1800));
        CHECK(fixture.askOrigin(9).software_version() == "v2");
        CHECK(fixture.askOrigin(7).software_version() == "v1");
    }
}

TEST_CASE("A steward admits the requests of gateways at its engine")
{
    StewardFixture fixture;
    fixture.engine.state.slots = 2;
    fixture.engine.state.kvTotalTokens = 2500;
    fixture.engine.state.pacePercent = 120;
    fixture.start();
    fixture.subscribe();
    fixture.runFor(milliseconds(400));
    REQUIRE_FALSE(fixture.snapshots.empty());
    CHECK(fixture.snapshots.back().pace_percent() == 120);
    fixture.askAdmission(1, 5, 10);
    fixture.askAdmission(2, 5, 10);
    fixture.askAdmission(3, 5, 10);
    fixture.runFor(milliseconds(100));
    REQUIRE(fixture.admissionReplies.size() == 3);
    CHECK(fixture.admissionReplies[0].verdict() == proto::ADMISSION_GRANTED);
    CHECK(fixture.admissionReplies[0].incarnation() == 9);
    CHECK(fixture.admissionReplies[0].ticket() == 1);
    CHECK(fixture.admissionReplies[1].verdict() == proto::ADMISSION_GRANTED);
    CHECK(fixture.admissionReplies[2].verdict() == proto::ADMISSION_QUEUED);
    CHECK(fixture.admissionReplies[2].expected_ms() > 0);
    fixture.admissionReplies.clear();

    SUBCASE("and grants a queued one when another has ended")
    {
        fixture.noteAdmission(1, proto::ADMISSION_FIRST_EVENT);
        fixture.noteAdmission(1, proto::ADMISSION_ENDED);
        fixture.runFor(milliseconds(100));
        REQUIRE(fixture.admissionReplies.size() == 1);
        CHECK(fixture.admissionReplies[0].ticket() == 3);
        CHECK(fixture.admissionReplies[0].verdict() == proto::ADMISSION_GRANTED);
        CHECK(fixture.metrics.page().find("tray_steward_admissions_total{verdict=\"granted\"} 3") !=
              std::string::npos);
    }
    SUBCASE("or cancelled, without any further datagram but the repeated ask")
    {
        fixture.noteAdmission(2, proto::ADMISSION_CANCELLED);
        fixture.runFor(milliseconds(100));
        REQUIRE(fixture.admissionReplies.size() == 1);
        CHECK(fixture.admissionReplies[0].ticket() == 3);
        fixture.askAdmission(3, 5, 10);
        fixture.runFor(milliseconds(100));
        CHECK(fixture.admissionReplies.size() == 2);
    }
    SUBCASE("but does not reply to asks for another process of the engine")
    {
        fixture.askAdmission(4, 6, 10);
        fixture.runFor(milliseconds(100));
        CHECK(fixture.admissionReplies.empty());
        fixture.engine.state.startedAtMs = 6;
        fixture.runFor(milliseconds(300));
        fixture.admissionReplies.clear();
        fixture.askAdmission(4, 5, 10);
        fixture.askAdmission(5, 6, 10);
        fixture.runFor(milliseconds(100));
        REQUIRE(fixture.admissionReplies.size() == 1);
        CHECK(fixture.admissionReplies[0].ticket() == 5);
        CHECK(fixture.admissionReplies[0].verdict() == proto::ADMISSION_GRANTED);
    }
}

TEST_CASE("A steward follows the engine's capacity by the asks of gateways")
{
    // Guards against an engine that is given more or fewer requests than its configuration says
    // until the steward's next start. The store has version 1, which states neither value.
    StewardFixture fixture;
    fixture.engine.state.slots = 2;
    fixture.engine.state.kvTotalTokens = 100000;
    fixture.start();
    fixture.subscribe();
    fixture.runFor(milliseconds(400));
    const auto verdictOf = [&](uint64_t ticket) {
        fixture.runFor(milliseconds(200));
        for (const auto &reply : fixture.admissionReplies) {
            if (reply.ticket() == ticket)
                return reply.verdict();
        }
        return proto::ADMISSION_UNKNOWN;
    };
    fixture.askAdmission(1, 5, 1);
    fixture.askAdmission(2, 5, 1);
    REQUIRE(verdictOf(2) == proto::ADMISSION_GRANTED);

    SUBCASE("raised slots count from the ask that states them")
    {
        fixture.askAdmission(3, 5, 1, 3, 3);
        CHECK(verdictOf(3) == proto::ADMISSION_GRANTED);

        SUBCASE("and lowered ones, but what was granted remains granted")
        {
            fixture.askAdmission(4, 5, 1, 4, 1);
            CHECK(verdictOf(4) == proto::ADMISSION_QUEUED);
            fixture.admissionReplies.clear();
            fixture.askAdmission(1, 5, 1, 4, 1);
            CHECK(verdictOf(1) == proto::ADMISSION_GRANTED);
            CHECK(fixture.metrics.page().find("tray_steward_admission_granted 3") !=
                  std::string::npos);
        }
        SUBCASE("not an older version that arrives later, nor an ask without one")
        {
            fixture.askAdmission(4, 5, 1, 2, 9);
            CHECK(verdictOf(4) == proto::ADMISSION_QUEUED);
            fixture.askAdmission(5, 5, 1);
            CHECK(verdictOf(5) == proto::ADMISSION_QUEUED);
        }
    }
    SUBCASE("a version that the steward has read itself is no news")
    {
        fixture.askAdmission(3, 5, 1, 1, 9);
        CHECK(verdictOf(3) == proto::ADMISSION_QUEUED);
    }
    SUBCASE("an ask for another engine states nothing about this one")
    {
        fixture.askAdmission(3, 6, 1, 3, 9);
        CHECK(verdictOf(3) == proto::ADMISSION_UNKNOWN);
        fixture.askAdmission(4, 5, 1);
        CHECK(verdictOf(4) == proto::ADMISSION_QUEUED);
    }
    SUBCASE("memory")
    {
        fixture.askAdmission(3, 5, 1, 3, 8, 999);
        CHECK(verdictOf(3) == proto::ADMISSION_REFUSED);
        CHECK(fixture.admissionReplies.back().expected_ms() ==
              std::numeric_limits<uint32_t>::max());
    }
}

TEST_CASE("A steward loads models that a later configuration adds")
{
    // Guards against models that no engine can serve until its steward restarts.
    constexpr uint64_t OtherDigest = 7;
    StewardFixture fixture;
    fixture.start();
    fixture.subscribe();
    fixture.runFor(milliseconds(400));
    REQUIRE(fixture.store.configReads == 1);
    fixture.store.configVersion = 2;
    fixture.store.configModels = 7;
    fixture.requestModels(1, {"m6"});
    fixture.runFor(milliseconds(400));
    REQUIRE(fixture.loadedModels().empty());

    SUBCASE("as soon as a gateway subscribes with a newer version that differs for its engine")
    {
        fixture.reportedEngineDigest = OtherDigest;
        for (int i = 0; i < 4; ++i) {
            fixture.subscribe();
            fixture.runFor(milliseconds(100));
        }
        CHECK(fixture.store.configReads == 2);
        CHECK(fixture.loadedModels() == std::vector<std::string>{"m6"});
    }
    SUBCASE("and reads no version that states the same about its engine")
    {
        fixture.store.configModels = 6;
        fixture.reportedEngineDigest = fixture.store.makeEngineSpec()->digest();
        fixture.subscribe();
        fixture.runFor(milliseconds(400));
        CHECK(fixture.store.configReads == 1);
    }
    SUBCASE("and reads nothing for a gateway of an earlier release")
    {
        fixture.subscribe();
        fixture.runFor(milliseconds(400));
        CHECK(fixture.store.configReads == 1);
    }
}

TEST_CASE("A steward grants a queued prompt once its engine has time for it")
{
    StewardFixture fixture;
    fixture.start();
    fixture.subscribe();
    fixture.runFor(milliseconds(400));
    fixture.askAdmission(1, 5, 150);
    fixture.askAdmission(2, 5, 150);
    fixture.runFor(milliseconds(100));
    REQUIRE(fixture.admissionReplies.size() == 2);
    CHECK(fixture.admissionReplies[1].verdict() == proto::ADMISSION_QUEUED);
    fixture.noteAdmission(1, proto::ADMISSION_FIRST_EVENT);
    // No other datagram arrives, so the poll loop must grant it.
    fixture.runFor(milliseconds(400));
    REQUIRE(fixture.admissionReplies.size() == 3);
    CHECK(fixture.admissionReplies[2].verdict() == proto::ADMISSION_GRANTED);
}
