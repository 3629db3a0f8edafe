// Implements the election, the exchange of demand reports and the placement requests to stewards.
#include "gateway/PlannerCoordinator.h"

#include "base/BootClock.h"
#include "base/Hash.h"
#include "net/KeepRunning.h"
#include "net/Pause.h"
#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Collection of gateway records in the store: one record for each instance, with its address for
// datagrams and its data centre.
constexpr auto GatewayRecords = "gateways";
// Collection and name of the record in the store that decides the planner election.
constexpr auto LeaseRecords = "leases";
constexpr auto PlannerRecord = "planner";
// Time between two reports to the planner, and between two plans without an engine's change.
constexpr Duration ReportPeriod = milliseconds(500);
// Delay between an engine's change and the next plan, so that a group of changes causes one plan.
constexpr Duration PlanDebounce = milliseconds(60);
// Time between two reports to all peers while a planner is known.
constexpr Duration BroadcastPeriod = std::chrono::seconds(5);
// Time after a peer's last report until the peer is no longer counted as a gateway.
constexpr Duration PeerExpiry = std::chrono::seconds(15);
// Time after a peer's last report until its demand is ignored; shorter than the peer's own expiry.
constexpr Duration DemandExpiry = std::chrono::seconds(3);
// Interval at which an unchanged placement request is sent again, because a datagram may have been
// lost.
constexpr Duration PlacementResendInterval = milliseconds(450);
// Time between two checks whether the store has been restored since the registration.
constexpr Duration RestoreCheckPeriod = std::chrono::seconds(1);
// Initial backoff after a failed registration in the store; doubles with each failure.
constexpr Duration InitialRetryBackoff = milliseconds(300);
// Maximum backoff after a failed registration in the store.
constexpr Duration MaxRetryBackoff = milliseconds(1500);

/// Returns the text of a gateway's record: its address for datagrams and its data centre.
std::string formatGatewayRecord(const Address &address, const std::string &dataCentre)
{
    return toString(address) + " " + dataCentre;
}

} // namespace

PlannerCoordinator::PlannerCoordinator(asio::io_context &context, std::string instance,
                                       std::string dataCentre, double cpuCores, Address address,
                                       StoreLoadLimits loadLimits, Dependencies dependencies)
    : context(context), instance(std::move(instance)), dataCentre(std::move(dataCentre)),
      address(std::move(address)), loadLimits(loadLimits), incarnation(newNonce()),
      dependencies(std::move(dependencies)), election(hash64(this->instance), cpuCores, bootNow()),
      planTrigger(context)
{}

void PlannerCoordinator::start()
{
    keepRunning(this->context, "register_loop", [this] { return this->registerLoop(); });
    keepRunning(this->context, "tick_loop", [this] { return this->tickLoop(); });
}

asio::awaitable<bool> PlannerCoordinator::writeOwnRecord()
{
    const Record record{this->instance, formatGatewayRecord(this->address, this->dataCentre), 0};
    const auto result = co_await this->dependencies.store.writeRecord(GatewayRecords, record);
    // A version conflict is a success: the record of an earlier incarnation of this instance has
    // the same address.
    co_return isOk(result) || error(result).kind == ErrorKind::VersionConflict;
}

asio::awaitable<void> PlannerCoordinator::registerLoop()
{
    const auto &store = this->dependencies.store;
    Duration backoff = InitialRetryBackoff;
    // Era of the store in which the record was written and the others were read.
    std::optional<uint64_t> registeredEra;
    while (!this->isStopping) {
        if (registeredEra == store.era()) {
            co_await pauseFor(RestoreCheckPeriod);
            continue;
        }
        const bool written = co_await this->writeOwnRecord();
        const uint64_t era = store.era();
        if (written) {
            const auto records = co_await this->dependencies.store.listRecords(GatewayRecords);
            if (isOk(records)) {
                this->notePeerRecords(value(records), clockNow());
                registeredEra = era;
                backoff = InitialRetryBackoff;
                continue;
            }
        }
        co_await pauseFor(backoff);
        backoff = std::min(backoff * 2, MaxRetryBackoff);
    }
}

void PlannerCoordinator::notePeerRecords(const std::vector<Record> &records, Instant now)
{
    for (const auto &record : records) {
        const auto separator = record.text.find(' ');
        const auto parsed = parseAddress(record.text.substr(0, separator));
        if (record.name == this->instance || !isOk(parsed))
            continue;
        auto &peer = this->peers[record.name];
        peer.address = value(parsed);
        peer.listedAt = now;
        if (separator != std::string::npos)
            peer.dataCentre = record.text.substr(separator + 1);
    }
    // Peers that were not known at the last report to all learn soon that this instance has
    // started.
    this->reportedToAllAt = {};
}

asio::awaitable<void> PlannerCoordinator::tickLoop()
{
    Instant nextReportAt = clockNow();
    while (!this->isStopping) {
        const Instant now = clockNow();
        const bool plans = this->checkLeadership();
        if (now >= nextReportAt) {
            this->sendDemandReport(now);
            nextReportAt = now + ReportPeriod;
        }
        if (plans) {
            if (this->pacer.mayPlan(now)) {
                this->plan(now);
                this->pacer.notePlan(now, clockNow());
            }
        } else if (this->election.shouldCampaign(bootNow()) && !this->isElecting) {
            this->isElecting = true;
            keepRunning(this->context, "take_role",
                        [this] { return this->tryAcquireLeadership(); });
        }
        co_await this->planTrigger.waitFor(nextReportAt - clockNow());
        // Changes come in groups, so that one plan after a short delay covers several of them.
        if (clockNow() < nextReportAt)
            co_await pauseFor(PlanDebounce);
    }
}

bool PlannerCoordinator::checkLeadership()
{
    const uint64_t term = this->election.ownTerm();
    if (this->election.resignIfExpired(bootNow()))
        logDecision(LogPriority::Notable, clockNow(),
                    fmt::format("event=planner_lapsed term={}", term));
    return this->election.isPlanner();
}

asio::awaitable<void> PlannerCoordinator::tryAcquireLeadership()
{
    this->election.noteCampaignBegan(bootNow());
    Record record{PlannerRecord, this->instance + " " + toHex(newNonce()), 0};
    const auto present = co_await this->dependencies.store.readRecord(LeaseRecords, PlannerRecord);
    const bool exists = isOk(present);
    const bool readable = exists || error(present).kind == ErrorKind::NotFound;
    if (exists)
        record.revision = value(present).revision;
    // A planner may have sent a report in the meantime.
    const Instant calledAt = bootNow();
    if (readable && this->election.shouldCampaign(calledAt + PlannerElection::CampaignRetryDelay)) {
        const auto written = co_await this->dependencies.store.writeRecord(LeaseRecords, record);
        if (isOk(written))
            this->election.noteWon(value(written), calledAt, bootNow());
        if (isOk(written) && this->election.isPlanner()) {
            for (auto &[service, planner] : this->planners)
                planner.takeRole(clockNow());
            this->planners.clear();
            // Reports the new term immediately, so that no peer writes the record as well.
            this->sendDemandReport(clockNow());
            this->dependencies.onElected();
            logDecision(LogPriority::Notable, clockNow(),
                        fmt::format("event=planner_elected term={}", value(written)));
        } else if (!isOk(written) && error(written).kind == ErrorKind::VersionConflict) {
            this->election.noteLost(bootNow());
        }
    }
    this->isElecting = false;
}

void PlannerCoordinator::sendDemandReport(Instant now)
{
    proto::Datagram datagram;
    auto *report = datagram.mutable_demand();
    *report = this->dependencies.demand.makeReport(now);
    report->set_address(toString(this->address));
    report->set_data_centre(this->dataCentre);
    report->set_planner_term(this->election.ownTerm());
    report->set_stopping(this->isStopAnnounced);
    report->set_incarnation(this->incarnation);
    if (this->election.isPlanner())
        this->election.noteHeartbeatSent(bootNow());
    const bool toAll = this->election.isPlanner() || !this->election.knowsPlanner(bootNow()) ||
                       this->isStopAnnounced || now >= this->reportedToAllAt + BroadcastPeriod;
    if (toAll)
        this->reportedToAllAt = now;
    // The peers do not need the planner's own demand.
    if (this->election.isPlanner()) {
        report->clear_models();
        report->clear_continuations();
    }
    for (const auto &[name, peer] : this->peers) {
        if (toAll || name == this->knownPlanner)
            this->dependencies.datagrams.send(peer.address, datagram);
    }
}

void PlannerCoordinator::announceStop(Instant now)
{
    this->isStopAnnounced = true;
    this->sendDemandReport(now);
}

bool PlannerCoordinator::isPeerStopping(const std::string &peer) const
{
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && found->second.report.stopping();
}

void PlannerCoordinator::handleDemandReport(const std::string &sender,
                                            const proto::DemandReport &report, Instant now)
{
    const auto parsed = parseAddress(report.address());
    if (sender == this->instance || !isOk(parsed))
        return;
    auto &peer = this->peers[sender];
    peer.address = value(parsed);
    peer.dataCentre = report.data_centre();
    peer.receivedAt = now;
    peer.report = report;
    peer.reportAt = now;
    if (report.planner_term() == 0)
        return;
    const bool wasPlanner = this->election.isPlanner();
    this->election.noteHeartbeat(report.planner_term(), bootNow());
    if (wasPlanner && !this->election.isPlanner())
        logDecision(
            LogPriority::Notable, now,
            fmt::format("event=planner_resigned to={} term={}", sender, report.planner_term()));
    if (this->knownPlanner != sender && this->election.knowsPlanner(bootNow())) {
        this->knownPlanner = sender;
        logDecision(LogPriority::Notable, now,
                    fmt::format("event=planner_known planner={} term={}", LogText{sender},
                                report.planner_term()));
    }
}

void PlannerCoordinator::sendToDataCentrePeers(const proto::Datagram &datagram)
{
    for (const auto &[name, peer] : this->peers) {
        if (peer.dataCentre == this->dataCentre)
            this->dependencies.datagrams.send(peer.address, datagram);
    }
}

std::vector<std::pair<std::string, std::string>> PlannerCoordinator::livePeers(Instant now) const
{
    std::vector<std::pair<std::string, std::string>> live;
    for (const auto &[name, peer] : this->peers) {
        if (now < peer.receivedAt.value_or(peer.listedAt) + PeerExpiry)
            live.emplace_back(name, peer.dataCentre);
    }
    return live;
}

std::map<std::string, const PlannerCoordinator::Peer *>
PlannerCoordinator::selectPeers(uint64_t selector) const
{
    std::map<std::string, const Peer *> selected;
    std::map<std::string, uint64_t> highestWeights;
    for (const auto &[name, peer] : this->peers) {
        const uint64_t weight = hash64(this->instance + name, selector);
        auto &highest = highestWeights[peer.dataCentre];
        if (weight < highest)
            continue;
        highest = weight;
        selected[peer.dataCentre] = &peer;
    }
    return selected;
}

void PlannerCoordinator::sendToDataCentrePeer(const proto::Datagram &datagram, uint64_t selector)
{
    const auto selected = this->selectPeers(selector);
    if (const auto found = selected.find(this->dataCentre); found != selected.end())
        this->dependencies.datagrams.send(found->second->address, datagram);
}

void PlannerCoordinator::sendToOtherDataCentres(const proto::Datagram &datagram, uint64_t selector)
{
    for (const auto &[dataCentre, peer] : this->selectPeers(selector)) {
        if (dataCentre != this->dataCentre)
            this->dependencies.datagrams.send(peer->address, datagram);
    }
}

void PlannerCoordinator::sendTo(const std::string &peer, const proto::Datagram &datagram)
{
    if (const auto found = this->peers.find(peer); found != this->peers.end())
        this->dependencies.datagrams.send(found->second.address, datagram);
}

bool PlannerCoordinator::isDataCentrePeer(const std::string &peer) const
{
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && found->second.dataCentre == this->dataCentre;
}

size_t PlannerCoordinator::countGateways(Instant now) const
{
    size_t count = 1;
    for (const auto &[name, peer] : this->peers)
        count += peer.receivedAt && now < *peer.receivedAt + PeerExpiry ? 1 : 0;
    return count;
}

PlannerCoordinator::TotalDemand PlannerCoordinator::sumDemand(Instant now)
{
    TotalDemand total;
    const auto add = [&](const proto::DemandReport &report) {
        for (const auto &row : report.models()) {
            auto &demand = total.models[row.model()];
            demand.requestsPerSecond += row.requests_milli() / 1000.0;
            demand.busyEngines += row.work_ms() / 1000.0;
        }
        for (const auto &row : report.continuations())
            total.continuations[row.service()].insert({row.model(), row.software_version()});
    };
    add(this->dependencies.demand.makeReport(now));
    for (const auto &[name, peer] : this->peers) {
        if (peer.receivedAt && now < peer.reportAt + DemandExpiry)
            add(peer.report);
    }
    return total;
}

std::vector<EngineCandidate> PlannerCoordinator::collectEngines(const std::string &service,
                                                                Instant now) const
{
    std::vector<EngineCandidate> engines;
    for (const auto &[id, entry] : this->dependencies.upstreams()) {
        if (entry.service != service || entry.phase != UpstreamPhase::Ready)
            continue;
        EngineCandidate engine;
        engine.id = id;
        engine.dataCentre = entry.dataCentre;
        engine.softwareVersion = entry.softwareVersion;
        engine.startedAtMs = entry.startedAtMs;
        engine.slowness = this->dependencies.dispatcher.slowness(id, now);
        for (const auto &model : this->dependencies.dispatcher.heldModels(id, now))
            engine.models.push_back(model.name);
        if (const auto *snapshot = this->dependencies.dispatcher.snapshotOf(id, now)) {
            if (snapshot->silent())
                continue;
            // A model load from the weight store costs many times as much as one from a local copy,
            // so an engine is changed only if its snapshot lists its copies.
            engine.acceptsOrders =
                snapshot->can_order() && !snapshot->leaving() && snapshot->with_copies();
            engine.leaving = snapshot->leaving();
            engine.loading = snapshot->loading();
            engine.unloading = snapshot->unloading();
            engine.inMemory = {snapshot->models_in_memory().begin(),
                               snapshot->models_in_memory().end()};
            engine.onDisk = {snapshot->models_on_disk().begin(), snapshot->models_on_disk().end()};
            if (snapshot->born_ms() != 0)
                engine.startedAtMs = snapshot->born_ms();
        }
        engines.push_back(std::move(engine));
    }
    return engines;
}

void PlannerCoordinator::plan(Instant now)
{
    const auto config = this->dependencies.config();
    if (!config)
        return;
    const auto total = this->sumDemand(now);
    const auto &demand = total.models;
    for (const auto &service : config->services) {
        if (!service.engine)
            continue;
        auto found = this->planners.find(service.name);
        if (found == this->planners.end()) {
            found = this->planners.emplace(service.name, ReplicaPlanner(this->loadLimits)).first;
            found->second.takeRole(now);
        }
        auto &planner = found->second;
        planner.noteListGrowth(this->listGrewAt);
        const auto awaited = total.continuations.find(service.name);
        planner.noteContinuations(awaited == total.continuations.end() ? std::set<VersionedModel>{}
                                                                       : awaited->second);
        const auto engines = this->collectEngines(service.name, now);
        for (const auto &move : planner.plan(*service.engine, engines, demand, now)) {
            const auto wanted = demand.find(move.load);
            logDecision(LogPriority::Notable, now,
                        fmt::format("event=move engine={} load={} unload={} gain={:.3f} "
                                    "continuation={} slowness={:.2f} requests_per_s={:.2f} "
                                    "work={:.3f} term={}",
                                    move.engineId, move.load, move.unload, move.gain,
                                    move.isForContinuation, move.slowness,
                                    wanted == demand.end() ? 0.0 : wanted->second.requestsPerSecond,
                                    wanted == demand.end() ? 0.0 : wanted->second.busyEngines,
                                    this->election.ownTerm()));
        }
        if (this->checkLeadership())
            this->sendPlacementRequests(engines, planner, now);
    }
}

void PlannerCoordinator::sendPlacementRequests(const std::vector<EngineCandidate> &engines,
                                               const ReplicaPlanner &planner, Instant now)
{
    for (const auto &engine : engines) {
        const auto requested = planner.requestedModelsFor(engine.id);
        const auto entry = this->dependencies.upstreams().find(engine.id);
        if (!requested || entry == this->dependencies.upstreams().end())
            continue;
        auto &sent = this->sentPlacements[engine.id];
        const bool isNew = sent.models != *requested || sent.term != this->election.ownTerm();
        if (!isNew && now < sent.sentAt + PlacementResendInterval)
            continue;
        sent = {*requested, this->election.ownTerm(), now};
        proto::Datagram datagram;
        auto *message = datagram.mutable_placement_wish();
        message->set_upstream_id(engine.id);
        message->set_term(this->election.ownTerm());
        for (const auto &model : *requested)
            message->add_models(model);
        this->dependencies.datagrams.send(this->dependencies.stewardAddress(entry->second),
                                          std::move(datagram));
    }
    std::erase_if(this->sentPlacements, [&](const auto &item) {
        return !this->dependencies.upstreams().contains(item.first);
    });
}

} // namespace tray
