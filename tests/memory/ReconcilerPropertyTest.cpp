// No sequence of lost, delayed and repeated commands makes an agent overcommit its engine's memory.
#include "memory/Reconciler.h"
#include "memory/SimulatedEngine.h"
#include "support/Property.h"

#include <array>

using namespace tray;
using namespace tray::test;

namespace {

constexpr uint64_t Memory = 100;

/// Number from the full range [low, high); RapidCheck would narrow it in early cases.
uint64_t randomInRange(uint64_t low, uint64_t high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint64_t>(low, high));
}

/// One agent, its engine and the commands and reports between them.
class AgentSimulation
{
public:
    explicit AgentSimulation(bool obeysFencing) : engine(Memory, obeysFencing)
    {
        const std::array<std::pair<const char *, uint64_t>, 4> models = {
            {{"m0", 40}, {"m1", 35}, {"m2", 30}, {"m3", 55}}};
        for (const auto &[name, bytes] : models)
            this->requirements.models[name] = {"1", bytes};
        this->requirements.adapters["a0"] = {"m0", "1", 10};
        this->requirements.adapters["a1"] = {"m1", "1", 15};
        // Every model is held on another engine, so that all of them may be evicted here.
        this->startAgent();
    }

    void startAgent()
    {
        ++this->epoch;
        // Commands of the former agent stay in flight; an engine that obeys fencing tokens refuses
        // them.
        this->ledger = std::make_unique<MemoryLedger>();
        this->reconciler = std::make_unique<Reconciler>("u", "pool", *this->ledger);
        this->reservations.clear();
        this->engine.setKv(0);
    }

    /// Starts a successor: the guard port has excluded the former agent, the engine has accepted
    /// the new token, and the first report was made after that.
    void replaceAgent()
    {
        this->startAgent();
        EngineCommand fencingCommand;
        fencingCommand.id = "fence-" + std::to_string(this->epoch);
        fencingCommand.fencing = this->epoch;
        fencingCommand.action = CommandAction::Role;
        this->engine.apply(fencingCommand);
        this->reports.clear();
        this->ledger->applyReport(this->engine.report());
    }

    void decide()
    {
        this->now += milliseconds(300);
        this->statuses = this->otherStatuses();
        std::map<ItemKey, uint32_t> inUse;
        ReconcileInput input{this->requirements, this->requested, this->statuses, this->demand,
                             inUse};
        input.fencing = this->epoch;
        input.mayRepair = false;
        const auto output = this->reconciler->decide(input, this->now);
        for (const auto &command : output.commands)
            this->inFlight.push_back({command, this->ledger->noteSent(command.key), this->epoch});
    }

    /// Delivers one command; the answer may be lost, and a copy may stay in flight.
    void deliver(size_t which, bool answerLost, bool copyStays)
    {
        if (this->inFlight.empty())
            return;
        const size_t index = which % this->inFlight.size();
        const auto sent = this->inFlight[index];
        if (!copyStays)
            this->inFlight.erase(this->inFlight.begin() + static_cast<long>(index));
        const auto answer = this->engine.apply(sent.command);
        if (answer == SimulatedEngine::Answer::Accepted && !answerLost && sent.epoch == this->epoch)
            this->ledger->noteAccepted(sent.command.key, sent.command.action,
                                       this->engine.firstSequence(), sent.command.fencing,
                                       sent.snapshot);
    }

    void dropCommand(size_t which)
    {
        if (!this->inFlight.empty())
            this->inFlight.erase(this->inFlight.begin() +
                                 static_cast<long>(which % this->inFlight.size()));
    }

    void sendReport() { this->reports.push_back(this->engine.report()); }

    /// Delivers the oldest report in flight to the agent.
    void receiveReport()
    {
        if (this->reports.empty())
            return;
        this->ledger->applyReport(this->reports.front());
        this->reports.pop_front();
    }

    void restartEngine()
    {
        this->engine.restart();
        // Commands to the dead process and reports from it are lost with its connections.
        this->inFlight.clear();
        this->reports.clear();
        for (const uint64_t bytes : this->reservations)
            this->ledger->releaseKv(bytes);
        this->reservations.clear();
    }

    void startRequest(uint64_t bytes)
    {
        if (!this->ledger->reserveKv(bytes))
            return;
        this->reservations.push_back(bytes);
        this->updateKv();
    }

    void endRequest()
    {
        if (this->reservations.empty())
            return;
        // The engine frees the cache before the agent releases the reservation.
        const uint64_t bytes = this->reservations.back();
        this->reservations.pop_back();
        this->updateKv();
        this->ledger->releaseKv(bytes);
    }

    void updateKv()
    {
        uint64_t sum = 0;
        for (const uint64_t bytes : this->reservations)
            sum += bytes;
        this->engine.setKv(sum);
    }

    StatusList otherStatuses()
    {
        auto status = std::make_shared<proto::UpstreamStatus>();
        status->set_upstream("other");
        status->set_pool("pool");
        status->set_sequence(++this->statusSequence);
        for (const auto &[name, model] : this->requirements.models) {
            auto &item = *status->add_items();
            item.set_name(name);
            item.set_ready(true);
            status->add_held_models(name);
        }
        return {status};
    }

    struct Sent
    {
        EngineCommand command;
        MemoryLedger::SendSnapshot snapshot;
        uint64_t epoch = 0;
    };

    SimulatedEngine engine;
    ItemRequirements requirements;
    RequestedItems requested;
    std::vector<ItemDemand> demand;
    StatusList statuses;
    std::unique_ptr<MemoryLedger> ledger;
    std::unique_ptr<Reconciler> reconciler;
    std::vector<Sent> inFlight;
    std::deque<EngineStatus> reports;
    std::vector<uint64_t> reservations;
    uint64_t epoch = 0;
    uint64_t statusSequence = 0;
    Instant now{std::chrono::hours(1)};
};

RequestedItems randomRequest()
{
    RequestedItems requested;
    for (const char *name : {"m0", "m1", "m2", "m3"}) {
        if (randomInRange(0, 2) == 1)
            requested.models.insert(name);
    }
    for (const char *name : {"a0", "a1"}) {
        if (randomInRange(0, 2) == 1)
            requested.adapters.insert(name);
    }
    return requested;
}

/// Performs one random event. Two conflicting requests alternate, as if from two planners.
void step(AgentSimulation &simulation, const std::array<RequestedItems, 2> &requests,
          bool replacements)
{
    switch (randomInRange(0, replacements ? 16 : 15)) {
    case 0:
    case 1:
        simulation.requested = requests[randomInRange(0, 2)];
        simulation.decide();
        break;
    case 2:
    case 3:
    case 4:
        simulation.deliver(randomInRange(0, 8), randomInRange(0, 3) == 0, randomInRange(0, 3) == 0);
        break;
    case 5:
        simulation.dropCommand(randomInRange(0, 8));
        break;
    case 6:
    case 7:
    case 8:
        simulation.engine.progress([] { return randomInRange(0, 2) == 0; });
        simulation.sendReport();
        break;
    case 9:
    case 10:
        simulation.receiveReport();
        break;
    case 11:
        simulation.startRequest(randomInRange(1, 30));
        break;
    case 12:
        simulation.endRequest();
        break;
    case 13:
        simulation.requirements.models["m1"].version = std::to_string(randomInRange(1, 4));
        simulation.decide();
        break;
    case 14:
        if (randomInRange(0, 20) == 0)
            simulation.restartEngine();
        break;
    default:
        simulation.replaceAgent();
        break;
    }
}

} // namespace

TEST_CASE("An engine is never overcommitted")
{
    // Guards against memory that is released too early: on an old report, on a lost or delayed
    // command, or while a new version is loaded beside the old one.
    checkProperty("no overcommitment under lost, delayed and repeated commands", 71, 400, [] {
        AgentSimulation simulation(*rc::gen::arbitrary<bool>());
        simulation.ledger->applyReport(simulation.engine.report());
        const std::array<RequestedItems, 2> requests = {randomRequest(), randomRequest()};
        const auto steps = randomInRange(20, 200);
        for (uint64_t i = 0; i < steps; ++i) {
            step(simulation, requests, false);
            RC_ASSERT(simulation.engine.overcommitted() == 0);
        }
    });
    // Guards against commands of a replaced agent that arrive after its successor has read the
    // report. For engines that ignore tokens, the wait before the first load prevents this.
    checkProperty("no overcommitment across replaced agents", 72, 300, [] {
        AgentSimulation simulation(true);
        simulation.replaceAgent();
        const std::array<RequestedItems, 2> requests = {randomRequest(), randomRequest()};
        const auto steps = randomInRange(20, 200);
        for (uint64_t i = 0; i < steps; ++i) {
            step(simulation, requests, true);
            RC_ASSERT(simulation.engine.overcommitted() == 0);
        }
    });
}

TEST_CASE("The requested items are loaded once the faults end")
{
    // Guards against a reconciler that waits forever for a command that was lost.
    checkProperty("requested items are loaded", 73, 200, [] {
        AgentSimulation simulation(true);
        simulation.ledger->applyReport(simulation.engine.report());
        const std::array<RequestedItems, 2> requests = {randomRequest(), randomRequest()};
        const auto steps = randomInRange(10, 100);
        for (uint64_t i = 0; i < steps; ++i)
            step(simulation, requests, false);
        simulation.requested = RequestedItems{{"m0", "m1"}, {"a0"}};
        while (!simulation.reservations.empty())
            simulation.endRequest();
        for (int i = 0; i < 200; ++i) {
            simulation.decide();
            while (!simulation.inFlight.empty())
                simulation.deliver(0, false, false);
            simulation.engine.progress([] { return true; });
            simulation.sendReport();
            while (!simulation.reports.empty())
                simulation.receiveReport();
        }
        const std::string version = simulation.requirements.models["m1"].version;
        RC_ASSERT(simulation.engine.isReady({ItemKind::Model, "m0", "1"}));
        RC_ASSERT(simulation.engine.isReady({ItemKind::Model, "m1", version}));
        RC_ASSERT(simulation.engine.isReady({ItemKind::Adapter, "a0", "1"}));
        RC_ASSERT(simulation.engine.overcommitted() == 0);
    });
}
