// Builds the candidate index and filters candidates by availability.
#include "routing/Router.h"

#include "base/Hash.h"

#include <algorithm>
#include <unordered_set>

namespace tray {

namespace {

using Candidates = std::vector<Candidate>;
using CandidateTable = std::unordered_map<std::string_view, Candidates>;

const Candidates *find(const CandidateTable &table, std::string_view name)
{
    const auto found = table.find(name);
    return found == table.end() ? nullptr : &found->second;
}

} // namespace

struct Router::Index
{
    // Keeps the statuses alive to which the candidates point.
    RouteSources sources;
    CandidateTable models;
    CandidateTable adapters;
    CandidateTable servicePools;
    CandidateTable enginePools;
};

Router::Router(std::string dataCentre, std::string region,
               std::unique_ptr<RoutingStrategy> strategy)
    : dataCentre(std::move(dataCentre)), region(std::move(region)),
      routingStrategy(std::move(strategy))
{}

Router::~Router() = default;

std::shared_ptr<const Router::Index> Router::index(const RouteSources &sources)
{
    const std::lock_guard lock(this->mutex);
    if (this->currentIndex && this->currentIndex->sources.statuses == sources.statuses &&
        this->currentIndex->sources.instances == sources.instances)
        return this->currentIndex;
    auto built = std::make_shared<Index>();
    built->sources = sources;
    std::unordered_set<std::string_view> leaving;
    if (sources.instances) {
        for (const auto &instance : sources.instances->instances()) {
            if (instance.leaving())
                leaving.insert(instance.id());
        }
    }
    for (const auto &status : *sources.statuses) {
        if (status->draining() || status->lost() || status->data_address().empty() ||
            leaving.contains(status->instance()))
            continue;
        Candidate candidate;
        candidate.view = this->upstreamTable.view(status->upstream());
        candidate.status = status.get();
        if (status->region() != this->region)
            candidate.distance = Distance::OtherRegion;
        else if (status->data_centre() != this->dataCentre)
            candidate.distance = Distance::SameRegion;
        (status->service() ? built->servicePools : built->enginePools)[status->pool()].push_back(
            candidate);
        for (const auto &item : status->items()) {
            if (!item.ready())
                continue;
            candidate.version = item.version();
            (item.adapter() ? built->adapters : built->models)[item.name()].push_back(candidate);
        }
    }
    this->currentIndex = std::move(built);
    return this->currentIndex;
}

namespace {

/// Candidates that are available now: neither excluded, nor draining, nor avoided after failures.
CandidateRefs availableCandidates(const Candidates *all, std::span<const std::string> excluded,
                                  Instant now)
{
    CandidateRefs refs;
    if (all == nullptr)
        return refs;
    refs.reserve(all->size());
    for (const auto &candidate : *all) {
        const auto isExcluded =
            std::find(excluded.begin(), excluded.end(), candidate.view->name()) != excluded.end();
        if (!isExcluded && !candidate.view->estimate(now).isAvoided)
            refs.push_back(&candidate);
    }
    return refs;
}

/// Keeps only the candidates with the requested version, if there are any.
void preferVersion(CandidateRefs &refs, std::string_view version)
{
    const auto isCurrent = [&](const Candidate *candidate) {
        return candidate->version == version;
    };
    if (std::any_of(refs.begin(), refs.end(), isCurrent))
        std::erase_if(refs, [&](const Candidate *candidate) { return !isCurrent(candidate); });
}

const Candidate *firstInRendezvousOrder(const CandidateRefs &refs, std::string_view key)
{
    const auto weight = [&](const Candidate *candidate) {
        return rendezvousWeight(key, candidate->view->name());
    };
    return *std::max_element(refs.begin(), refs.end(), [&](const auto *left, const auto *right) {
        return weight(left) < weight(right);
    });
}

} // namespace

std::optional<RouteChoice> Router::choose(const RouteTarget &target, const RouteQuery &query,
                                          const RouteSources &sources,
                                          std::span<const std::string> excluded, Instant now,
                                          std::mt19937_64 &random)
{
    const auto index = this->index(sources);
    CandidateRefs refs;
    const bool isService = !target.service.empty();
    if (isService) {
        refs = availableCandidates(find(index->servicePools, target.pool), excluded, now);
    } else {
        if (!target.adapter.empty())
            refs = availableCandidates(find(index->adapters, target.adapter), excluded, now);
        if (refs.empty()) {
            refs = availableCandidates(find(index->models, target.model), excluded, now);
            preferVersion(refs, target.version);
        }
    }
    const Candidate *chosen = nullptr;
    bool holdsModel = true;
    if (!refs.empty()) {
        chosen = this->routingStrategy->choose(refs, query, now, random);
    } else if (!isService &&
               availableCandidates(find(index->models, target.model), {}, now).empty()) {
        // If replicas exist but are excluded, they are busy; only the planner decides on a further
        // replica.
        refs = availableCandidates(find(index->enginePools, target.pool), excluded, now);
        if (!refs.empty())
            chosen = firstInRendezvousOrder(refs, target.model);
        holdsModel = false;
    }
    if (chosen == nullptr)
        return std::nullopt;
    RouteChoice choice;
    choice.view = chosen->view;
    choice.status = std::shared_ptr<const proto::UpstreamStatus>(index, chosen->status);
    choice.holdsModel = holdsModel;
    return choice;
}

} // namespace tray
