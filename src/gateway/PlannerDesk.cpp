// Election, exchange of demand, and wishes to stewards.
#include "gateway/PlannerDesk.h"

#include "base/BootClock.h"
#include "base/Hash.h"
#include "net/KeepRunning.h"
#include "net/Pause.h"
#include "observe/DecisionLog.h"

#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Records of gateways in the store, one for each instance, with its address for datagrams.
constexpr auto GatewayRecords = "gateways";
constexpr auto LeaseRecords = "leases";
constexpr auto PlannerRecord = "planner";
// Time between two words to the planner, and between two plans.
constexpr Duration TickPeriod = milliseconds(500);
// Pause after an engine's change before the next plan.
constexpr Duration ChangePause = milliseconds(60);
// Time between words to all peers while a planner is known.
constexpr Duration HelloPeriod = std::chrono::seconds(5);
// A peer that was silent for this long counts no longer; its demand is forgotten sooner.
constexpr Duration PeerLifetime = std::chrono::seconds(15);
constexpr Duration DemandLifetime = std::chrono::seconds(3);
// A wish that has not changed is sent again after this time, since it may have been lost.
constexpr Duration WishPeriod = milliseconds(450);
constexpr Duration FirstRetry = milliseconds(300);
constexpr Duration LongestRetry = milliseconds(1500);

/// Text of a gateway's record: where it takes datagrams, and where it stands.
std::string recordText(const Address &address, const std::string &dataCentre)
{
    return toString(address) + " " + dataCentre;
}

} // namespace

PlannerDesk::PlannerDesk(asio::io_context &context, std::string instance, std::string dataCentre,
                         double processorShare, Address address, LoadBounds bounds, Ports ports)
    : context(context), instance(std::move(instance)), dataCentre(std::move(dataCentre)),
      address(std::move(address)), bounds(bounds), ports(std::move(ports)),
      election(hash64(this->instance), processorShare, bootNow()), changed(context)
{}

void PlannerDesk::start()
{
    keepRunning(this->context, "register_loop", [this] { return this->registerLoop(); });
    keepRunning(this->context, "tick_loop", [this] { return this->tickLoop(); });
}

asio::awaitable<void> PlannerDesk::registerLoop()
{
    Duration retry = FirstRetry;
    bool written = false;
    while (!this->stopping) {
        if (!written) {
            const Record record{this->instance, recordText(this->address, this->dataCentre), 0};
            const auto result = co_await this->ports.store.writeRecord(GatewayRecords, record);
            // A record of an earlier life of this instance has the same address.
            written = isOk(result) || error(result).kind == ErrorKind::VersionConflict;
        }
        if (written) {
            const auto records = co_await this->ports.store.listRecords(GatewayRecords);
            if (isOk(records)) {
                for (const auto &record : value(records)) {
                    const auto separator = record.text.find(' ');
                    const auto parsed = parseAddress(record.text.substr(0, separator));
                    if (record.name == this->instance || !isOk(parsed))
                        continue;
                    auto &peer = this->peers[record.name];
                    peer.address = value(parsed);
                    if (separator != std::string::npos)
                        peer.dataCentre = record.text.substr(separator + 1);
                }
                co_return;
            }
        }
        co_await pauseFor(retry);
        retry = std::min(retry * 2, LongestRetry);
    }
}

asio::awaitable<void> PlannerDesk::tickLoop()
{
    Instant tellAt = clockNow();
    while (!this->stopping) {
        const Instant now = clockNow();
        const bool plans = this->keepsRole();
        if (now >= tellAt) {
            this->tellPeers(now);
            tellAt = now + TickPeriod;
        }
        if (plans) {
            if (this->pacer.mayPlan(now)) {
                this->plan(now);
                this->pacer.planned(now, clockNow());
            }
        } else if (this->election.wantsRole(bootNow()) && !this->electing) {
            this->electing = true;
            keepRunning(this->context, "take_role", [this] { return this->takeRole(); });
        }
        co_await this->changed.wait(tellAt - clockNow());
        // Changes come in groups.
        if (clockNow() < tellAt)
            co_await pauseFor(ChangePause);
    }
}

bool PlannerDesk::keepsRole()
{
    const uint64_t term = this->election.ownTerm();
    if (this->election.lapse(bootNow()))
        logDecision(LogWeight::Notable, clockNow(),
                    fmt::format("event=planner_lapsed term={}", term));
    return this->election.isPlanner();
}

asio::awaitable<void> PlannerDesk::takeRole()
{
    this->election.tryBegan(bootNow());
    Record record{PlannerRecord, this->instance + " " + toHex(newNonce()), 0};
    const auto present = co_await this->ports.store.readRecord(LeaseRecords, PlannerRecord);
    const bool exists = isOk(present);
    const bool readable = exists || error(present).kind == ErrorKind::NotFound;
    if (exists)
        record.revision = value(present).revision;
    // A planner may have been heard meanwhile.
    const Instant calledAt = bootNow();
    if (readable && this->election.wantsRole(calledAt + PlannerElection::RetryPause)) {
        const auto written = co_await this->ports.store.writeRecord(LeaseRecords, record);
        if (isOk(written))
            this->election.won(value(written), calledAt, bootNow());
        if (isOk(written) && this->election.isPlanner()) {
            for (auto &[service, planner] : this->planners)
                planner.restart(clockNow());
            this->planners.clear();
            // The others must not write as well.
            this->tellPeers(clockNow());
            this->ports.elected();
            logDecision(LogWeight::Notable, clockNow(),
                        fmt::format("event=planner_elected term={}", value(written)));
        } else if (!isOk(written) && error(written).kind == ErrorKind::VersionConflict) {
            this->election.lost(bootNow());
        }
    }
    this->electing = false;
}

void PlannerDesk::tellPeers(Instant now)
{
    proto::Datagram datagram;
    auto *report = datagram.mutable_demand();
    *report = this->ports.demand.report(now);
    report->set_address(toString(this->address));
    report->set_data_centre(this->dataCentre);
    report->set_planner_term(this->election.ownTerm());
    if (this->election.isPlanner())
        this->election.spoke(bootNow());
    const bool toAll = this->election.isPlanner() || !this->election.knowsPlanner(bootNow()) ||
                       now >= this->helloAt + HelloPeriod;
    if (toAll)
        this->helloAt = now;
    // The planner's own demand is of no use to the others.
    if (this->election.isPlanner())
        report->clear_models();
    for (const auto &[name, peer] : this->peers) {
        if (toAll || name == this->plannerName)
            this->ports.datagrams.send(peer.address, datagram);
    }
}

void PlannerDesk::noteDemand(const std::string &sender, const proto::DemandReport &report,
                             Instant now)
{
    const auto parsed = parseAddress(report.address());
    if (sender == this->instance || !isOk(parsed))
        return;
    auto &peer = this->peers[sender];
    peer.address = value(parsed);
    peer.dataCentre = report.data_centre();
    peer.heardAt = now;
    peer.report = report;
    peer.reportAt = now;
    if (report.planner_term() == 0)
        return;
    const bool wasPlanner = this->election.isPlanner();
    this->election.heard(report.planner_term(), bootNow());
    if (wasPlanner && !this->election.isPlanner())
        logDecision(
            LogWeight::Notable, now,
            fmt::format("event=planner_resigned to={} term={}", sender, report.planner_term()));
    if (this->plannerName != sender && this->election.knowsPlanner(bootNow())) {
        this->plannerName = sender;
        logDecision(
            LogWeight::Notable, now,
            fmt::format("event=planner_known planner={} term={}", sender, report.planner_term()));
    }
}

void PlannerDesk::tellNeighbours(const proto::Datagram &datagram)
{
    for (const auto &[name, peer] : this->peers) {
        if (peer.dataCentre == this->dataCentre)
            this->ports.datagrams.send(peer.address, datagram);
    }
}

size_t PlannerDesk::gatewayCount(Instant now) const
{
    size_t count = 1;
    for (const auto &[name, peer] : this->peers)
        count += peer.heardAt && now < *peer.heardAt + PeerLifetime ? 1 : 0;
    return count;
}

std::map<std::string, PlannedDemand> PlannerDesk::totalDemand(Instant now)
{
    std::map<std::string, PlannedDemand> total;
    const auto add = [&](const proto::DemandReport &report) {
        for (const auto &row : report.models()) {
            auto &demand = total[row.model()];
            demand.requests += row.requests_milli() / 1000.0;
            demand.work += row.work_ms() / 1000.0;
        }
    };
    add(this->ports.demand.report(now));
    for (const auto &[name, peer] : this->peers) {
        if (peer.heardAt && now < peer.reportAt + DemandLifetime)
            add(peer.report);
    }
    return total;
}

std::vector<PlannedEngine> PlannerDesk::engines(const std::string &service, Instant now) const
{
    std::vector<PlannedEngine> engines;
    for (const auto &[id, entry] : this->ports.upstreams()) {
        if (entry.service != service || entry.phase != UpstreamPhase::Ready)
            continue;
        PlannedEngine engine;
        engine.id = id;
        engine.dataCentre = entry.dataCentre;
        engine.bornMs = entry.bornMs;
        for (const auto &model : this->ports.dispatcher.heldModels(id, now))
            engine.models.push_back(model.name);
        if (const auto *snapshot = this->ports.dispatcher.snapshotOf(id, now)) {
            if (snapshot->silent())
                continue;
            // A load from the weight store instead of a copy that is there costs many times as
            // much.
            engine.canChange =
                snapshot->can_order() && !snapshot->leaving() && snapshot->with_copies();
            engine.loading = snapshot->loading();
            engine.unloading = snapshot->unloading();
            engine.inMemory = {snapshot->models_in_memory().begin(),
                               snapshot->models_in_memory().end()};
            engine.onDisk = {snapshot->models_on_disk().begin(), snapshot->models_on_disk().end()};
            if (snapshot->born_ms() != 0)
                engine.bornMs = snapshot->born_ms();
        }
        engines.push_back(std::move(engine));
    }
    return engines;
}

void PlannerDesk::plan(Instant now)
{
    const auto config = this->ports.config();
    if (!config)
        return;
    const auto demand = this->totalDemand(now);
    for (const auto &service : config->services) {
        if (!service.engine)
            continue;
        auto found = this->planners.find(service.name);
        if (found == this->planners.end()) {
            found = this->planners.emplace(service.name, ReplicaPlanner(this->bounds)).first;
            found->second.restart(now);
        }
        auto &planner = found->second;
        planner.noteListGrowth(this->listGrewAt);
        const auto engines = this->engines(service.name, now);
        for (const auto &move : planner.plan(*service.engine, engines, demand, now)) {
            const auto wanted = demand.find(move.load);
            logDecision(LogWeight::Notable, now,
                        fmt::format("event=move engine={} load={} unload={} gain={:.3f} "
                                    "requests_per_s={:.2f} work={:.3f} term={}",
                                    move.engineId, move.load, move.unload, move.gain,
                                    wanted == demand.end() ? 0.0 : wanted->second.requests,
                                    wanted == demand.end() ? 0.0 : wanted->second.work,
                                    this->election.ownTerm()));
        }
        if (this->keepsRole())
            this->sendWishes(engines, planner, now);
    }
}

void PlannerDesk::sendWishes(const std::vector<PlannedEngine> &engines,
                             const ReplicaPlanner &planner, Instant now)
{
    for (const auto &engine : engines) {
        const auto wish = planner.wishFor(engine.id);
        const auto entry = this->ports.upstreams().find(engine.id);
        if (!wish || entry == this->ports.upstreams().end())
            continue;
        auto &sent = this->sentWishes[engine.id];
        const bool isNew = sent.models != *wish || sent.term != this->election.ownTerm();
        if (!isNew && now < sent.at + WishPeriod)
            continue;
        sent = {*wish, this->election.ownTerm(), now};
        proto::Datagram datagram;
        auto *message = datagram.mutable_placement_wish();
        message->set_upstream_id(engine.id);
        message->set_term(this->election.ownTerm());
        for (const auto &model : *wish)
            message->add_models(model);
        this->ports.datagrams.send(this->ports.stewardOf(entry->second), std::move(datagram));
    }
    std::erase_if(this->sentWishes,
                  [&](const auto &item) { return !this->ports.upstreams().contains(item.first); });
}

} // namespace tray
