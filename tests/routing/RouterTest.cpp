// Tests the choice of upstreams: candidates, strategies, avoided upstreams and the retry budget.
#include "routing/Router.h"
#include "base/Hash.h"
#include "routing/LeastLoadedRouting.h"
#include "routing/PredictiveRouting.h"
#include "routing/RetryBudget.h"

#include <doctest/doctest.h>
#include <set>

using namespace tray;

namespace {

const Instant Start = Instant{} + std::chrono::hours(1);

/// Upstreams of one pool and a router that chooses among them.
struct Fleet
{
    explicit Fleet(std::string_view strategy = "predictive")
        : router("norte-a", "norte", makeRoutingStrategy(strategy))
    {
        this->target.model = "advice";
        this->target.version = "1";
        this->target.pool = "engines";
        this->query.remaining = std::chrono::seconds(5);
    }

    proto::UpstreamStatus &add(const std::string &name, const std::string &dataCentre,
                               const std::string &region, const std::string &version = "1")
    {
        auto status = std::make_shared<proto::UpstreamStatus>();
        status->set_upstream(name);
        status->set_instance("agent-" + name);
        status->set_pool("engines");
        status->set_data_centre(dataCentre);
        status->set_region(region);
        status->set_data_address("127.0.0.1:1");
        status->set_concurrency(4);
        if (!version.empty()) {
            auto &item = *status->add_items();
            item.set_name("advice");
            item.set_version(version);
            item.set_ready(true);
        }
        this->statuses.push_back(status);
        return *status;
    }

    std::string choose(Instant now = Start)
    {
        if (!this->sources.statuses)
            this->sources.statuses =
                std::make_shared<const std::vector<std::shared_ptr<const proto::UpstreamStatus>>>(
                    this->statuses.begin(), this->statuses.end());
        if (!this->sources.instances)
            this->sources.instances = std::make_shared<const proto::InstanceList>(this->instances);
        this->last = this->router.choose(this->target, this->query, this->sources, this->excluded,
                                         now, this->random);
        return this->last ? this->last->view->name() : "";
    }

    /// Names of all upstreams that repeated choices return.
    std::set<std::string> repeatedChoices(Instant now = Start)
    {
        std::set<std::string> names;
        for (int i = 0; i < 60; ++i)
            names.insert(this->choose(now));
        return names;
    }

    std::shared_ptr<UpstreamView> view(const std::string &name)
    {
        for (int i = 0; i < 500; ++i) {
            if (this->choose() == name)
                return this->last->view;
        }
        FAIL("the upstream is never chosen: ", name);
        return nullptr;
    }

    Router router;
    RouteTarget target;
    RouteQuery query;
    RouteSources sources;
    proto::InstanceList instances;
    std::vector<std::shared_ptr<const proto::UpstreamStatus>> statuses;
    std::vector<std::string> excluded;
    std::mt19937_64 random{7};
    std::optional<RouteChoice> last;
};

proto::Load makeLoad(uint32_t waitMs, uint64_t sequence = 1)
{
    proto::Load load;
    load.set_concurrency(4);
    load.set_wait_ms(waitMs);
    load.set_wait_top_ms(waitMs);
    load.set_sequence(sequence);
    return load;
}

} // namespace

TEST_CASE("Unavailable upstreams are not chosen")
{
    Fleet fleet;
    fleet.add("a", "norte-a", "norte");
    auto &other = fleet.add("b", "norte-a", "norte");
    SUBCASE("draining")
    {
        other.set_draining(true);
    }
    SUBCASE("lost")
    {
        other.set_lost(true);
    }
    SUBCASE("an instance listed as leaving")
    {
        auto &instance = *fleet.instances.add_instances();
        instance.set_id("agent-b");
        instance.set_leaving(true);
    }
    SUBCASE("excluded after an earlier attempt")
    {
        fleet.excluded = {"b"};
    }
    SUBCASE("avoided after a failed connection")
    {
        fleet.view("b")->noteUnreachable(Start);
    }
    SUBCASE("draining as reported by its agent")
    {
        fleet.view("b")->noteDraining(Start);
    }
    SUBCASE("an old version of the model")
    {
        other.mutable_items(0)->set_version("0");
    }
    CHECK(fleet.repeatedChoices() == std::set<std::string>{"a"});
}

TEST_CASE("A changed status takes effect on the next choice")
{
    Fleet fleet;
    fleet.add("a", "norte-a", "norte");
    CHECK(fleet.choose() == "a");
    auto changed = std::make_shared<proto::UpstreamStatus>(*fleet.statuses[0]);
    changed->set_draining(true);
    fleet.statuses = {changed};
    fleet.sources.statuses = nullptr;
    CHECK(fleet.choose() == "");
}

TEST_CASE("An avoided upstream is chosen again after a time, or immediately after a frame from it")
{
    Fleet fleet;
    fleet.add("a", "norte-a", "norte");
    const auto view = fleet.view("a");
    view->noteUnreachable(Start);
    CHECK(fleet.choose(Start) == "");
    CHECK(fleet.choose(Start + UpstreamView::InitialAvoidanceTime) == "a");
    view->noteReachable();
    CHECK(fleet.choose(Start) == "a");
}

TEST_CASE("Requests stay in the preferred region while it can meet the deadline")
{
    Fleet fleet;
    fleet.add("near", "norte-a", "norte");
    fleet.add("far", "costa-a", "costa");
    SUBCASE("an idle upstream in another region is not chosen if the deadline can be met")
    {
        fleet.view("near")->noteLoad(makeLoad(4000), Start);
        CHECK(fleet.repeatedChoices() == std::set<std::string>{"near"});
    }
    SUBCASE("another region is chosen if the preferred one would miss the deadline")
    {
        fleet.view("near")->noteLoad(makeLoad(6000), Start);
        CHECK(fleet.repeatedChoices() == std::set<std::string>{"far"});
    }
    SUBCASE("requests that no region can answer in time stay in the preferred region")
    {
        fleet.view("near")->noteLoad(makeLoad(6000), Start);
        fleet.query.remaining = milliseconds(10);
        CHECK(fleet.repeatedChoices() == std::set<std::string>{"near"});
    }
    SUBCASE("a high token limit does not count as a long answer")
    {
        auto load = makeLoad(10);
        load.set_token_us(30000);
        fleet.view("near")->noteLoad(load, Start);
        fleet.view("near")->noteEnded(milliseconds(600));
        fleet.query.maxTokens = 4000;
        CHECK(fleet.repeatedChoices() == std::set<std::string>{"near"});
    }
    SUBCASE("the client account's region takes precedence over that of the entry instance")
    {
        fleet.query.preferredRegion = "costa";
        CHECK(fleet.repeatedChoices() == std::set<std::string>{"far"});
    }
}

TEST_CASE("The upstream with the lowest predicted completion time is chosen")
{
    Fleet fleet;
    fleet.add("a", "norte-a", "norte");
    fleet.add("b", "norte-a", "norte");
    const auto a = fleet.view("a");
    const auto b = fleet.view("b");
    SUBCASE("the reported wait counts")
    {
        a->noteLoad(makeLoad(300), Start);
        b->noteLoad(makeLoad(200), Start);
        CHECK(fleet.repeatedChoices() == std::set<std::string>{"b"});
    }
    SUBCASE("requests sent since the report count")
    {
        a->noteLoad(makeLoad(30), Start);
        b->noteLoad(makeLoad(0), Start);
        for (int i = 0; i < 8; ++i)
            b->noteSent({});
        CHECK(fleet.repeatedChoices() == std::set<std::string>{"a"});
    }
    SUBCASE("an expired report of an idle upstream is not used")
    {
        a->noteLoad(makeLoad(0), Start);
        b->noteLoad(makeLoad(10), Start + std::chrono::seconds(4));
        CHECK(fleet.repeatedChoices(Start + std::chrono::seconds(4)) == std::set<std::string>{"b"});
    }
    SUBCASE("a cached prefix saves prefill time")
    {
        auto load = makeLoad(0);
        load.set_prefill_us_per_1k(100000);
        a->noteLoad(load, Start);
        b->noteLoad(load, Start);
        const std::vector<uint64_t> digests = {11, 12};
        const std::vector<uint32_t> tokens = {500, 1000};
        fleet.query.promptTokens = 1000;
        fleet.query.prefixDigests = digests;
        fleet.query.prefixTokens = tokens;
        a->noteSent(digests);
        CHECK(fleet.repeatedChoices() == std::set<std::string>{"a"});
    }
}

TEST_CASE("Without a replica, the first engine in rendezvous order is chosen")
{
    Fleet fleet;
    for (const auto *name : {"a", "b", "c", "d"})
        fleet.add(name, "norte-a", "norte", "");
    const auto first = fleet.choose();
    CHECK(!fleet.last->holdsModel);
    CHECK(fleet.repeatedChoices() == std::set<std::string>{first});
    uint64_t weight = rendezvousWeight("advice", first);
    for (const auto *name : {"a", "b", "c", "d"})
        CHECK(rendezvousWeight("advice", name) <= weight);
}

TEST_CASE("A busy replica does not make other engines load the model")
{
    Fleet fleet;
    fleet.add("a", "norte-a", "norte");
    fleet.add("b", "norte-a", "norte", "");
    fleet.excluded = {"a"};
    CHECK(fleet.choose() == "");
}

TEST_CASE("The least-loaded strategy chooses the upstream with the fewest requests")
{
    Fleet fleet("least-loaded");
    fleet.add("a", "norte-a", "norte");
    fleet.add("b", "costa-a", "costa");
    fleet.view("a")->noteSent({});
    CHECK(fleet.repeatedChoices() == std::set<std::string>{"b"});
}

TEST_CASE("Retries are limited to a share of new requests")
{
    RetryBudget budget(10);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.noteRequest(Start);
        retries += budget.tryConsume(Start) ? 1 : 0;
    }
    // When all requests fail, retries must not double the traffic: 10% and the burst are allowed.
    CHECK(retries == 150);
    CHECK(!budget.tryConsume(Start));
    CHECK(budget.tryConsume(Start + std::chrono::seconds(2)));
    RetryBudget none(0);
    none.noteRequest(Start);
    CHECK(!none.tryConsume(Start));
}
