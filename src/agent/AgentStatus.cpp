// Derives the item requirements of the agent's pool from the configuration, and publishes the
// status of its upstream.
#include "agent/Agent.h"

namespace tray {

namespace {

// Interval at which an unchanged status is republished while another agent waits for this agent
// to confirm that it still holds a model.
constexpr auto RefreshInterval = std::chrono::seconds(1);

std::shared_ptr<const ItemRequirements> requirementsOf(const Catalogue &catalogue,
                                                       const std::string &pool)
{
    auto requirements = std::make_shared<ItemRequirements>();
    for (const auto &[name, model] : catalogue.models()) {
        if (model.pool() != pool)
            continue;
        ModelRequirements required;
        required.version = model.version();
        required.bytes = model.weight_bytes();
        required.minReplicas = model.min_replicas();
        required.kvBytesPerToken = model.kv_bytes_per_token();
        required.maxContextTokens = model.max_context_tokens();
        requirements->models[name] = required;
    }
    for (const auto &[name, adapter] : catalogue.adapters()) {
        if (!requirements->models.contains(adapter.base_model()))
            continue;
        requirements->adapters[name] = {adapter.base_model(), adapter.version(), adapter.bytes()};
    }
    for (const auto &[name, service] : catalogue.services()) {
        if (service.pool() == pool)
            requirements->services.insert(name);
    }
    return requirements;
}

} // namespace

std::shared_ptr<const ItemRequirements> Agent::requirements()
{
    const auto catalogue = this->node.catalogue();
    if (catalogue != this->cachedCatalogue || !this->cachedRequirements) {
        this->cachedCatalogue = catalogue;
        this->cachedRequirements = requirementsOf(*catalogue, this->settings.upstream().pool());
    }
    return this->cachedRequirements;
}

StatusList Agent::liveStatuses() const
{
    // Statuses of agents whose instance is leaving or no longer listed are outdated. If the list
    // names no upstream, all statuses are kept.
    const auto statuses = this->node.statuses();
    const auto instances = this->node.instances();
    std::set<std::string> live;
    for (const auto &listed : instances->instances()) {
        if (!listed.leaving() && !listed.upstream().empty())
            live.insert(listed.upstream());
    }
    StatusList found;
    if (!statuses)
        return found;
    for (const auto &status : *statuses) {
        if (live.empty() || live.contains(status->upstream()))
            found.push_back(status);
    }
    return found;
}

proto::UpstreamStatus Agent::makeStatus() const
{
    const auto &upstream = this->settings.upstream();
    proto::UpstreamStatus status;
    status.set_upstream(upstream.name());
    status.set_epoch(this->epoch.epoch());
    status.set_pool(upstream.pool());
    status.set_data_centre(this->settings.instance().data_centre());
    status.set_region(this->settings.instance().region());
    status.set_data_address(toString(this->advertisedDataAddress()));
    status.set_control_address(toString(this->boundControl));
    status.set_service(this->controller == nullptr);
    status.set_accelerators(upstream.accelerators());
    status.set_concurrency(upstream.concurrency());
    status.set_draining(this->runner->isDraining() || this->leaving);
    status.set_instance(this->settings.instance().id());
    status.set_lost(this->serviceLost);
    if (!this->controller)
        return status;
    const auto &ledger = this->controller->ledger();
    status.set_lost(this->controller->isLost() || !ledger.hasReport());
    status.set_memory_bytes(ledger.memoryBytes());
    status.set_fencing_obeyed(this->controller->obeysFencing());
    for (const auto &[key, entry] : ledger.entries()) {
        if (entry.phase == MemoryLedger::Phase::UnloadSent)
            continue;
        auto &item = *status.add_items();
        item.set_name(key.name);
        item.set_version(key.version);
        item.set_adapter(key.kind == ItemKind::Adapter);
        item.set_ready(entry.phase == MemoryLedger::Phase::Ready);
    }
    const auto &decision = this->controller->lastDecision();
    for (const auto &name : decision.heldModels)
        status.add_held_models(name);
    for (const auto &name : decision.modelsToUnload)
        status.add_releasing_models(name);
    return status;
}

void Agent::publishStatus()
{
    // Without an epoch, this status could not replace that of the preceding agent.
    if (this->epoch.epoch() == 0 || this->stopped)
        return;
    const Instant now = std::chrono::steady_clock::now();
    auto status = this->makeStatus();
    status.set_sequence(this->published.sequence());
    const bool refresh = this->controller && this->controller->lastDecision().refreshStatus &&
                         now - this->publishedAt >= RefreshInterval;
    if (!refresh && this->published.sequence() > 0 &&
        status.SerializeAsString() == this->published.SerializeAsString())
        return;
    status.set_sequence(this->published.sequence() + 1);
    this->published = status;
    this->publishedAt = now;
    this->node.setOwnStatus(std::move(status));
}

} // namespace tray
