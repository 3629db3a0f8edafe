// Cost model and choice of upstreams.
#include "dispatch/Dispatcher.h"

#include "base/Hash.h"

#include <algorithm>
#include <limits>

namespace tray {

namespace {

// Costs are in milliseconds of expected wait.

// An engine that does not answer its steward is the last choice, not none: the steward may be the
// one that is cut off.
constexpr double SilentMs = 3000;
// Slow-down of all tokens by one more running request.
constexpr double RunningMs = 2;
// Wait behind one request that waits at an engine.
constexpr double WaitingMs = 50;
// Wait for an adapter to be loaded: two orders and the transfer.
constexpr double AdapterMs = 40;
// Work of one request at a plain service, before the services tell their load.
constexpr double ServiceWorkMs = 60;
// Distance, with a charge for the bytes that pass between data centres and regions.
constexpr double SameRegionMs = 25;
constexpr double OtherRegionMs = 150;
// Cost of one recent failure.
constexpr double FailureMs = 400;
// A told load is trusted for this long.
constexpr Duration ToldLifetime = std::chrono::seconds(1);
// An adapter stays with the first engines of its own order unless they are this much busier.
constexpr double AdapterHomeMs = 120;
// Pause before a caller comes back for a model that no engine can serve now.
constexpr Duration MissingModelRetry = milliseconds(1500);
constexpr Duration LoadingModelRetry = milliseconds(1000);

uint64_t rank(const std::string &upstreamId, uint64_t key)
{
    return hash64(upstreamId, key);
}

} // namespace

void Dispatcher::setUpstreams(const std::map<std::string, UpstreamEntry> &entries)
{
    std::erase_if(this->upstreams,
                  [&](const auto &item) { return !entries.contains(item.first); });
    for (const auto &[id, entry] : entries) {
        auto &upstream = this->upstreams[id];
        if (upstream.entry.bornMs != entry.bornMs) {
            upstream.snapshot.reset();
            upstream.health = {};
        }
        upstream.entry = entry;
    }
}

void Dispatcher::noteSnapshot(const proto::EngineSnapshot &snapshot, Instant now)
{
    const auto found = this->upstreams.find(snapshot.upstream_id());
    if (found == this->upstreams.end())
        return;
    auto &upstream = found->second;
    const uint64_t bornMs = upstream.entry.bornMs;
    if (bornMs != 0 && snapshot.born_ms() != 0 && bornMs != snapshot.born_ms())
        return;
    upstream.snapshot = snapshot;
    upstream.snapshotAt = now;
    upstream.begunSince = 0;
    upstream.snapshotModels.clear();
    for (const auto &model : snapshot.models())
        upstream.snapshotModels.push_back(
            {model.name(), {model.adapters().begin(), model.adapters().end()}});
}

bool Dispatcher::hasSnapshot(const Upstream &upstream, Instant now) const
{
    return upstream.snapshot && now < upstream.snapshotAt + SnapshotLifetime;
}

const std::vector<HeldModel> &Dispatcher::held(const Upstream &upstream, Instant now) const
{
    return this->hasSnapshot(upstream, now) ? upstream.snapshotModels : upstream.entry.models;
}

std::vector<HeldModel> Dispatcher::heldModels(const std::string &upstreamId, Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    return found == this->upstreams.end() ? std::vector<HeldModel>{}
                                          : this->held(found->second, now);
}

const proto::EngineSnapshot *Dispatcher::snapshotOf(const std::string &upstreamId,
                                                    Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end() || !this->hasSnapshot(found->second, now))
        return nullptr;
    return &*found->second.snapshot;
}

bool Dispatcher::holds(const std::string &upstreamId, const std::string &model,
                       const std::string &adapter, Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    return found != this->upstreams.end() &&
           isHeld(this->held(found->second, now), model, adapter);
}

bool Dispatcher::isEligible(const Upstream &upstream, const DispatchQuery &query, Instant now) const
{
    if (upstream.entry.service != query.service || upstream.entry.phase != UpstreamPhase::Ready ||
        query.tried.contains(upstream.entry.id) || upstream.health.isPaused(now))
        return false;
    const bool fresh = this->hasSnapshot(upstream, now);
    if (fresh && upstream.snapshot->leaving())
        return false;
    if (query.model.empty())
        return true;
    if (fresh && upstream.snapshot->unloading() == query.model)
        return false;
    const auto &models = this->held(upstream, now);
    if (!isHeld(models, query.model, ""))
        return false;
    // Only a steward that can order its engine can bring a missing adapter.
    return isHeld(models, query.model, query.adapter) ||
           (fresh && upstream.snapshot->can_order() && !upstream.snapshot->busy());
}

double Dispatcher::engineCost(const Upstream &upstream, const DispatchQuery &query,
                              Instant now) const
{
    double waiting = upstream.begunSince;
    double running = upstream.inFlight;
    if (this->hasSnapshot(upstream, now)) {
        waiting += upstream.snapshot->waiting();
        running = std::max<double>(running, upstream.snapshot->running());
    } else if (now < upstream.toldAt + ToldLifetime) {
        waiting += upstream.toldWaiting;
        running = std::max<double>(running, upstream.toldRunning);
    }
    const double readMs = this->paceMeter.msPerToken(query.model);
    const double unread = readMs * static_cast<double>(upstream.unreadTokens);
    double cost = std::max(unread, waiting * WaitingMs) + running * RunningMs;
    if (this->hasSnapshot(upstream, now) && upstream.snapshot->silent())
        cost += SilentMs;
    const auto &models = this->held(upstream, now);
    if (!query.adapter.empty()) {
        // The same engines first, so that an adapter is loaded on few of them.
        const uint64_t key = hash64(query.model + "/" + query.adapter);
        cost += AdapterHomeMs * static_cast<double>(rank(upstream.entry.id, key) >> 11) /
                static_cast<double>(uint64_t{1} << 53);
        if (!isHeld(models, query.model, query.adapter))
            cost += AdapterMs;
    } else if (query.sharedParts != 0) {
        cost += readMs * query.sharedTokens *
                static_cast<double>(rank(upstream.entry.id, query.sharedParts) >> 11) /
                static_cast<double>(uint64_t{1} << 53);
    }
    return cost;
}

double Dispatcher::serviceCost(const Upstream &upstream, Instant now) const
{
    double load = upstream.inFlight;
    if (now < upstream.toldAt + ToldLifetime)
        load = std::max<double>(load, upstream.toldRunning + upstream.toldWaiting +
                                          upstream.begunSince);
    // Free slots cost little; beyond them each request waits for its share of the slots.
    const double slots = upstream.entry.slots;
    const double queued = std::max(0.0, load + 1 - slots);
    return ServiceWorkMs * (0.1 * load / slots + queued / slots);
}

double Dispatcher::cost(const Upstream &upstream, const DispatchQuery &query, Instant now) const
{
    double cost = query.model.empty() ? this->serviceCost(upstream, now)
                                      : this->engineCost(upstream, query, now);
    switch (this->proximityOf(upstream.entry.dataCentre)) {
    case Proximity::SameDataCentre:
        break;
    case Proximity::SameRegion:
        cost += SameRegionMs;
        break;
    case Proximity::OtherRegion:
        cost += OtherRegionMs;
        break;
    }
    return cost + FailureMs * upstream.health.score(now);
}

Dispatch Dispatcher::choose(const DispatchQuery &query, Instant now) const
{
    const Upstream *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const auto &[id, upstream] : this->upstreams) {
        if (!this->isEligible(upstream, query, now))
            continue;
        const double cost = this->cost(upstream, query, now);
        if (cost < bestCost) {
            best = &upstream;
            bestCost = cost;
        }
    }
    if (best == nullptr)
        return this->refusal(query, now);
    DispatchTarget target;
    target.upstreamId = best->entry.id;
    target.address = best->entry.address;
    target.cost = bestCost;
    target.needsAdapter =
        !query.adapter.empty() && !isHeld(this->held(*best, now), query.model, query.adapter);
    if (this->hasSnapshot(*best, now))
        target.snapshotAge = now - best->snapshotAt;
    return target;
}

DispatchRefusal Dispatcher::refusal(const DispatchQuery &query, Instant now) const
{
    if (query.model.empty())
        return {ErrorKind::NoReplica, "no upstream of the service can be used", MissingModelRetry};
    for (const auto &[id, upstream] : this->upstreams) {
        if (this->hasSnapshot(upstream, now) && upstream.snapshot->loading() == query.model)
            return {ErrorKind::NoReplica, "the model is being loaded", LoadingModelRetry};
    }
    return {ErrorKind::NoReplica, "no engine can serve the model", MissingModelRetry};
}

void Dispatcher::begin(const std::string &upstreamId, uint32_t promptTokens)
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return;
    ++found->second.inFlight;
    ++found->second.begunSince;
    found->second.unreadTokens += promptTokens;
}

void Dispatcher::firstAnswer(const std::string &upstreamId, uint32_t promptTokens)
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return;
    auto &unread = found->second.unreadTokens;
    unread -= std::min<uint64_t>(unread, promptTokens);
}

void Dispatcher::end(const std::string &upstreamId, uint32_t promptTokens, bool answered,
                     AttemptOutcome outcome, Instant now)
{
    // The upstream may have gone meanwhile.
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return;
    if (!answered)
        this->firstAnswer(upstreamId, promptTokens);
    found->second.inFlight -= std::min(found->second.inFlight, 1u);
    found->second.health.note(outcome, now);
}

void Dispatcher::noteLoad(const std::string &upstreamId, uint32_t running, uint32_t waiting,
                          Instant now)
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return;
    found->second.toldRunning = running;
    found->second.toldWaiting = waiting;
    found->second.toldAt = now;
    if (!this->hasSnapshot(found->second, now))
        found->second.begunSince = 0;
}

void Dispatcher::noteMissing(const std::string &upstreamId, const std::string &model,
                             const std::string &adapter)
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return;
    const auto drop = [&](std::vector<HeldModel> &models) {
        for (auto &held : models) {
            if (held.name == model)
                std::erase(held.adapters, adapter);
        }
        if (adapter.empty())
            std::erase_if(models, [&](const HeldModel &held) { return held.name == model; });
    };
    drop(found->second.entry.models);
    drop(found->second.snapshotModels);
}

} // namespace tray
