// Agents that need the memory of a model for another one never unload the model's last replica.
#include "memory/Reconciler.h"
#include "memory/SimulatedEngine.h"
#include "support/Property.h"

using namespace tray;
using namespace tray::test;

namespace {

uint64_t randomInRange(uint64_t low, uint64_t high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint64_t>(low, high));
}

/// Agents with reliable engines; only the statuses between the agents are delayed.
class Fleet
{
public:
    static constexpr uint64_t Memory = 100;
    /// Longest delay until a status reaches the other agents.
    static constexpr auto MaxStatusDelay = std::chrono::seconds(4);

    explicit Fleet(size_t agents)
    {
        for (size_t i = 0; i < agents; ++i)
            this->agents.push_back(std::make_unique<Agent>("u" + std::to_string(i)));
    }

    struct Agent
    {
        explicit Agent(std::string name)
            : name(std::move(name)), engine(Memory, true),
              reconciler(this->name, "pool", this->ledger)
        {}

        std::string name;
        SimulatedEngine engine;
        MemoryLedger ledger;
        Reconciler reconciler;
        RequestedItems requested;
        proto::UpstreamStatus status;
        ReconcileOutput decision;
        /// Published statuses with the time at which the other agents receive them.
        std::deque<std::pair<Instant, std::shared_ptr<const proto::UpstreamStatus>>> published;
        std::shared_ptr<const proto::UpstreamStatus> seen;
    };

    void preload(size_t agent, const std::string &model)
    {
        EngineCommand command;
        command.id = "preload-" + model;
        command.key = {ItemKind::Model, model, "1"};
        command.bytes = this->requirements.models.at(model).bytes;
        this->agents[agent]->engine.apply(command);
        this->agents[agent]->engine.progress([] { return true; });
        this->agents[agent]->ledger.applyReport(this->agents[agent]->engine.report());
    }

    void step(size_t which, Duration statusDelay)
    {
        auto &agent = *this->agents[which];
        StatusList statuses;
        for (const auto &other : this->agents) {
            while (!other->published.empty() && other->published.front().first <= this->now) {
                other->seen = other->published.front().second;
                other->published.pop_front();
            }
            if (other->seen)
                statuses.push_back(other->seen);
        }
        agent.ledger.applyReport(agent.engine.report());
        const std::vector<ItemDemand> demand;
        const std::map<ItemKey, uint32_t> inUse;
        ReconcileInput input{this->requirements, agent.requested, statuses, demand, inUse};
        input.mayRepair = this->mayRepair;
        agent.decision = agent.reconciler.decide(input, this->now);
        for (const auto &command : agent.decision.commands) {
            const auto snapshot = agent.ledger.noteSent(command.key);
            agent.engine.apply(command);
            agent.ledger.noteAccepted(command.key, command.action, agent.engine.firstSequence(), 0,
                                      snapshot);
            this->loads += command.action == CommandAction::Load ? 1 : 0;
        }
        agent.engine.progress([] { return true; });
        this->publish(agent, statusDelay);
    }

    void publish(Agent &agent, Duration delay)
    {
        proto::UpstreamStatus status;
        status.set_upstream(agent.name);
        status.set_pool("pool");
        status.set_sequence(agent.status.sequence());
        for (const auto &[key, entry] : agent.ledger.entries()) {
            if (entry.phase == MemoryLedger::Phase::UnloadSent)
                continue;
            auto &item = *status.add_items();
            item.set_name(key.name);
            item.set_version(key.version);
            item.set_ready(entry.phase == MemoryLedger::Phase::Ready);
        }
        for (const auto &model : agent.decision.heldModels)
            status.add_held_models(model);
        for (const auto &model : agent.decision.modelsToUnload)
            status.add_releasing_models(model);
        if (!agent.decision.refreshStatus && !this->republishAlways &&
            status.SerializeAsString() == agent.status.SerializeAsString())
            return;
        status.set_sequence(agent.status.sequence() + 1);
        agent.status = status;
        Instant arrival = this->now + delay;
        if (!agent.published.empty())
            arrival = std::max(arrival, agent.published.back().first);
        agent.published.emplace_back(arrival, std::make_shared<proto::UpstreamStatus>(status));
    }

    size_t replicas(const std::string &model) const
    {
        size_t count = 0;
        for (const auto &agent : this->agents) {
            for (const auto &item : agent->engine.report().items)
                count += item.key.name == model && item.state == ItemState::Ready;
        }
        return count;
    }

    ItemRequirements requirements;
    std::vector<std::unique_ptr<Agent>> agents;
    Instant now{std::chrono::hours(1)};
    bool mayRepair = false;
    /// Publishes a status at each step, as if another item of the agent had changed each time.
    bool republishAlways = false;
    int loads = 0;
};

} // namespace

TEST_CASE("The last replica of a model is never unloaded")
{
    // Guards against two agents that each unload a model because the other's delayed status still
    // contains it.
    checkProperty("a model with replicas keeps one", 81, 150, [] {
        Fleet fleet(3);
        fleet.requirements.models["m"] = {"1", 60};
        fleet.requirements.models["n"] = {"1", 60};
        fleet.preload(0, "m");
        fleet.preload(1, "m");
        fleet.preload(2, "n");
        for (int i = 0; i < 300; ++i) {
            const size_t which = randomInRange(0, 3);
            // Requests from two planners that disagree with the current state, to both agents
            // at the same time.
            if (randomInRange(0, 40) == 0) {
                const std::string model = randomInRange(0, 2) == 0 ? "m" : "n";
                fleet.agents[0]->requested.models = {model};
                fleet.agents[1]->requested.models = {model};
            }
            fleet.now += milliseconds(randomInRange(50, 600));
            fleet.republishAlways = randomInRange(0, 2) == 0;
            fleet.step(which, milliseconds(randomInRange(0, toMs(Fleet::MaxStatusDelay))));
            RC_ASSERT(fleet.replicas("m") > 0);
            RC_ASSERT(fleet.replicas("n") > 0);
            for (const auto &agent : fleet.agents)
                RC_ASSERT(agent->engine.overcommitted() == 0);
        }
    });
}

TEST_CASE("A spare replica is unloaded for a requested model")
{
    Fleet fleet(2);
    fleet.requirements.models["m"] = {"1", 60};
    fleet.requirements.models["n"] = {"1", 60};
    fleet.preload(0, "m");
    fleet.preload(1, "m");
    for (auto &agent : fleet.agents)
        agent->requested.models = {"m"};
    fleet.agents[1]->requested.models = {"n"};
    for (int i = 0; i < 400 && fleet.replicas("n") == 0; ++i) {
        fleet.now += milliseconds(100);
        fleet.step(static_cast<size_t>(i) % 2, milliseconds(500));
    }
    CHECK(fleet.replicas("m") == 1);
    CHECK(fleet.replicas("n") == 1);
}

TEST_CASE("Items leave memory for KV cache")
{
    // Guards against an engine that is so full of weights that none of its models can answer.
    Fleet fleet(2);
    fleet.mayRepair = true;
    fleet.requirements.models["m"] = {"1", 48};
    fleet.requirements.models["n"] = {"1", 48};
    fleet.preload(0, "m");
    SUBCASE("a missing model is not loaded into the KV reserve")
    {
        for (int i = 0; i < 400; ++i) {
            fleet.now += milliseconds(100);
            fleet.step(0, milliseconds(0));
        }
        CHECK(fleet.replicas("n") == 0);
    }
    SUBCASE("a spare replica is unloaded to restore the reserve")
    {
        fleet.preload(0, "n");
        fleet.preload(1, "n");
        for (int i = 0; i < 400; ++i) {
            fleet.now += milliseconds(100);
            fleet.step(static_cast<size_t>(i) % 2, milliseconds(0));
        }
        CHECK(!fleet.agents[0]->engine.isReady({ItemKind::Model, "n", "1"}));
        CHECK(fleet.replicas("n") == 1);
    }
}

TEST_CASE("A replica is kept while the only other holder publishes no status")
{
    // Guards against an unload that relies on the last status of an agent that may be gone.
    Fleet fleet(2);
    fleet.requirements.models["m"] = {"1", 60};
    fleet.requirements.models["n"] = {"1", 60};
    fleet.preload(0, "m");
    fleet.preload(1, "m");
    for (int i = 0; i < 10; ++i)
        fleet.step(1, milliseconds(0));
    fleet.agents[0]->requested.models = {"n"};
    for (int i = 0; i < 400; ++i) {
        fleet.now += milliseconds(100);
        fleet.step(0, milliseconds(0));
    }
    CHECK(fleet.agents[0]->engine.isReady({ItemKind::Model, "m", "1"}));
    CHECK(!fleet.agents[0]->engine.isReady({ItemKind::Model, "n", "1"}));
}

TEST_CASE("A new version that does not fit beside the old one is loaded on another engine")
{
    // Guards against a version that is never loaded because the only engine with the model is full.
    Fleet fleet(2);
    fleet.mayRepair = true;
    for (const char *name : {"m", "n"})
        fleet.requirements.models[name] = {"1", 45};
    fleet.preload(0, "m");
    fleet.preload(0, "n");
    for (int i = 0; i < 20; ++i)
        fleet.step(static_cast<size_t>(i) % 2, milliseconds(0));
    fleet.requirements.models["m"].version = "2";
    for (int i = 0; i < 400; ++i) {
        fleet.now += milliseconds(100);
        fleet.step(static_cast<size_t>(i) % 2, milliseconds(200));
        CHECK(fleet.replicas("m") > 0);
        CHECK(fleet.replicas("n") > 0);
    }
    CHECK(fleet.agents[1]->engine.isReady({ItemKind::Model, "m", "2"}));
    CHECK(!fleet.agents[0]->engine.isReady({ItemKind::Model, "m", "1"}));
    CHECK(fleet.agents[0]->engine.overcommitted() == 0);
}

TEST_CASE("A model without a replica is loaded once, by the first agent in its rendezvous order")
{
    // Guards against a repair that all agents start at the same time.
    Fleet fleet(5);
    fleet.requirements.models["m"] = {"1", 60};
    for (int i = 0; i < 300; ++i) {
        // An agent repairs once it has received the statuses of the others.
        fleet.mayRepair = i > 50;
        fleet.now += milliseconds(50);
        fleet.step(static_cast<size_t>(i) % 5, milliseconds(200));
    }
    CHECK(fleet.replicas("m") == 1);
    CHECK(fleet.loads == 1);
}
