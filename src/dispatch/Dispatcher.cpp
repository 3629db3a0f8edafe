// Cost model by which an upstream is chosen for a request.
#include "dispatch/Dispatcher.h"

#include "base/Hash.h"

#include <algorithm>
#include <limits>

namespace tray {

namespace {

// Costs are in milliseconds of expected wait.

// Cost of an engine that does not answer its steward. Such an engine is the last choice but stays
// eligible: the steward may be the one that is cut off.
constexpr double UnresponsiveEngineCostMs = 3000;
// Cost of each running request, which slows the decoding of all others.
constexpr double RunningRequestCostMs = 5;
// Cost of each request that is queued at an engine.
constexpr double WaitingRequestCostMs = 50;
// Time to load an adapter: two orders and the transfer.
constexpr double AdapterLoadCostMs = 40;
// Processing time of one request at a service without models, before the services report their
// load.
constexpr double ServiceRequestCostMs = 60;
// Cost of an upstream in another data centre of the same region: the distance, and a charge for the
// bytes between data centres.
constexpr double SameRegionCostMs = 25;
// Cost of an upstream in another region: the distance, and a charge for the bytes between regions.
constexpr double OtherRegionCostMs = 150;
// Cost of each recent failure.
constexpr double FailureCostMs = 400;
// Longest total prefill time of the prompts that this instance sends to an engine concurrently: a
// fraction of the pauses that callers accept within a stream.
constexpr double MaxConcurrentPrefillMs = 85;
// Longest total prefill time of the prompts that this instance sends concurrently to an engine of
// another region, from where the news of a finished prefill takes long to arrive.
constexpr double MaxRemoteConcurrentPrefillMs = 130;
// Time after which an attempt at a service without models is overdue; an overdue attempt counts as
// a failure of the upstream before it ends.
constexpr Duration ServiceOverdueTime = milliseconds(700);
// Shortest time after which an attempt at an engine is overdue.
constexpr Duration MinEngineOverdueTime = milliseconds(1800);
// An attempt at an engine is overdue after the expected prefill time multiplied by this factor, if
// that is longer.
constexpr double EngineOverdueFactor = 4;
// Part of an engine's KV cache above which the engine may have to preempt requests.
constexpr double KvPressureThreshold = 0.85;
// Cost of an engine whose KV cache is full; above the threshold the cost rises linearly to this.
constexpr double FullKvCostMs = 900;
// Time for which a reported load is used.
constexpr Duration ReportedLoadLifetime = std::chrono::seconds(1);
// Largest affinity cost of an engine for an adapter. An adapter stays on the engines that come
// first in its hash order unless they are this much busier than others.
constexpr double AdapterAffinityCostMs = 120;
// Delay before a caller retries a request for a model that no engine can serve now.
constexpr Duration MissingModelRetryDelay = milliseconds(2500);
// Time from the end of a load until the gateways know of it.
constexpr Duration LoadVisibilityDelay = milliseconds(300);

// Shortest Retry-After of a request that the directives of all upstreams forbid.
constexpr Duration MinDirectiveRetryDelay = milliseconds(500);

// Random part of an upstream's cost, in ms, for services that report a pace. Instances choose by
// snapshots that are alike and up to 450 ms old; without it all of them would choose the same
// engine until the next snapshot. The width is that of six running requests.
constexpr double ChoiceSpreadMs = 30;
// Part of the accepted pause from which the pauses of an engine are charged.
constexpr double ChargedPauseRatio = 0.5;
// Charge of an engine whose streams pause for as long as is accepted. It rises with the square of
// the excess, so that an engine near the limit loses a few requests and one beyond it nearly all.
constexpr double AcceptedPauseCostMs = 150;
// Largest charge for pauses; an engine with longer ones is still better than one that fails.
constexpr double MaxPauseCostMs = 1200;
// Least part of the usual concurrent prefill that a pausing engine gets.
constexpr double MinPrefillShare = 0.2;
// Factor by which a stream with a longer median gap may raise the median gap of the fastest
// engines.
constexpr double LongerGapGrowth = 1.01;
// Part by which the usual gap of the fastest engines rises in a second without faster ones.
constexpr double FastestGapGrowthPerSecond = 0.02;
// Least median gap of the fastest engines, in ms: below it events have arrived in batches.
constexpr double MinFastestGapMs = 1;

// Part of an engine's KV cache from which it may evict the parts that it holds, and from which it
// is taken to hold none.
constexpr double EvictionBeginsAtKv = 0.85;
constexpr double EvictionIsCertainAtKv = 0.95;
// Weight of the preference by hash for services that report a pace. It makes instances, which do
// not know of each other's prompts, tend to the same engines for a part.
constexpr double PrefixAffinityWeight = 0.5;

// Longest expected wait for an admission that is remembered; queues change within it.
constexpr Duration MaxAdmissionWait = std::chrono::seconds(2);
// Time that a queued request must gain to ask another engine: the round trip of the ask, and the
// error of both predictions.
constexpr double MinGainOfMoveMs = 100;

/// Mixes a 64-bit number (the finalizer of SplitMix64).
uint64_t mix64(uint64_t number)
{
    number = (number ^ (number >> 30)) * 0xbf58476d1ce4e5b9u;
    number = (number ^ (number >> 27)) * 0x94d049bb133111ebu;
    return number ^ (number >> 31);
}

/// Maps a 64-bit hash to [0, 1).
double unitOf(uint64_t hash)
{
    return static_cast<double>(hash >> 11) / static_cast<double>(uint64_t{1} << 53);
}

uint64_t affinityHash(const std::string &upstreamId, uint64_t key)
{
    return hash64(upstreamId, key);
}

/// Whether both snapshots have the same models, loads, unloads and readiness for orders; adapters
/// are not compared.
bool isSamePlacement(const proto::EngineSnapshot &one, const proto::EngineSnapshot &other)
{
    const bool sameModels = std::equal(
        one.models().begin(), one.models().end(), other.models().begin(), other.models().end(),
        [](const auto &left, const auto &right) { return left.name() == right.name(); });
    return sameModels && one.loading() == other.loading() && one.unloading() == other.unloading() &&
           one.busy() == other.busy() && one.silent() == other.silent() &&
           one.can_order() == other.can_order() && one.leaving() == other.leaving();
}

} // namespace

void Dispatcher::setUpstreams(const std::map<std::string, UpstreamEntry> &entries)
{
    std::erase_if(this->upstreams, [&](const auto &item) {
        if (entries.contains(item.first))
            return false;
        this->prefixIndex.dropEngine(item.second.idHash);
        return true;
    });
    for (const auto &[id, entry] : entries) {
        auto &upstream = this->upstreams[id];
        if (upstream.entry.startedAtMs != entry.startedAtMs) {
            upstream.previousStartedAtMs = upstream.entry.startedAtMs;
            upstream.previousRanUntil = std::exchange(upstream.ranUntil, Instant{});
            upstream.snapshot.reset();
            upstream.health = {};
            upstream.pace = {};
            this->prefixIndex.dropEngine(upstream.idHash);
            upstream.refusedAt.reset();
            upstream.refusalReportedAt.reset();
            upstream.stewardSilentUntil = {};
            upstream.admissionExpectedAt = {};
        }
        if (upstream.entry.startedAtMs != entry.startedAtMs ||
            upstream.entry.models != entry.models)
            upstream.listDistrustedUntil = {};
        if (upstream.idHash == 0 || upstream.entry.dataCentre != entry.dataCentre)
            upstream.proximity = this->proximityOf(entry.dataCentre);
        upstream.idHash = hash64(id);
        upstream.entry = entry;
    }
    this->remoteUpstreamCount = static_cast<size_t>(
        std::count_if(this->upstreams.begin(), this->upstreams.end(), [&](const auto &item) {
            return item.second.proximity == Proximity::OtherRegion;
        }));
}

bool Dispatcher::noteSnapshot(const proto::EngineSnapshot &snapshot, Instant now)
{
    const auto found = this->upstreams.find(snapshot.upstream_id());
    if (found == this->upstreams.end())
        return false;
    auto &upstream = found->second;
    const uint64_t startedAtMs = upstream.entry.startedAtMs;
    if (startedAtMs != 0 && snapshot.born_ms() != 0 && startedAtMs != snapshot.born_ms()) {
        // The pace known so far is that of the incarnation before.
        if (snapshot.born_ms() > std::max(upstream.laterStartedAtMs, startedAtMs)) {
            upstream.pace = {};
            this->prefixIndex.dropEngine(upstream.idHash);
        }
        upstream.laterStartedAtMs = std::max(upstream.laterStartedAtMs, snapshot.born_ms());
        return false;
    }
    const bool changed = !upstream.snapshot || !isSamePlacement(*upstream.snapshot, snapshot);
    upstream.snapshot = snapshot;
    upstream.snapshotAt = now;
    upstream.attemptsSinceReport = 0;
    this->notePace(snapshot.upstream_id(), snapshot.pace_percent(), now);
    constexpr double Percent = 100;
    if (snapshot.usual_gap_us() != 0) {
        this->noteUsualGap(upstream, snapshot.usual_gap_us(), now);
        upstream.pace.noteUsualPause(snapshot.pause_percent() / Percent, now);
    }
    this->noteAdmissionWait(snapshot.upstream_id(), milliseconds(snapshot.admission_wait_ms()),
                            now);
    upstream.snapshotModels.clear();
    for (const auto &model : snapshot.models())
        upstream.snapshotModels.push_back(
            {model.name(), {model.adapters().begin(), model.adapters().end()}});
    if (changed) {
        std::vector<std::string> names;
        for (const auto &model : upstream.snapshotModels)
            names.push_back(model.name);
        this->prefixIndex.retainModels(upstream.idHash, names);
    }
    return changed;
}

void Dispatcher::noteUsualGap(Upstream &upstream, double gapUs, Instant now)
{
    auto &fastest = this->fastestUsualGaps[upstream.entry.service];
    const double seconds = std::chrono::duration<double>(now - fastest.updatedAt).count();
    // Rises slowly, so that it follows when the fastest engines leave.
    fastest.gapUs =
        fastest.gapUs == 0
            ? gapUs
            : std::min(gapUs, fastest.gapUs * (1 + FastestGapGrowthPerSecond * seconds));
    fastest.updatedAt = now;
    upstream.pace.noteUsualGap(gapUs / fastest.gapUs, now);
}

Duration Dispatcher::fastestGap(const std::string &service) const
{
    const auto found = this->fastestUsualGaps.find(service);
    return found == this->fastestUsualGaps.end()
               ? Duration{}
               : std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double, std::micro>(found->second.gapUs));
}

bool Dispatcher::hasVersion(const Upstream &upstream,
                            const std::optional<std::string> &softwareVersion)
{
    return !softwareVersion ||
           (upstream.entry.softwareVersion == *softwareVersion && !isIncarnationDoubtful(upstream));
}

bool Dispatcher::isIncarnationDoubtful(const Upstream &upstream)
{
    return upstream.laterStartedAtMs > upstream.entry.startedAtMs || upstream.refusedAt;
}

bool Dispatcher::hasVersion(const std::string &upstreamId,
                            const std::optional<std::string> &softwareVersion) const
{
    const auto found = this->upstreams.find(upstreamId);
    return found != this->upstreams.end() && hasVersion(found->second, softwareVersion);
}

bool Dispatcher::isIncarnationDoubtful(const std::string &upstreamId) const
{
    const auto found = this->upstreams.find(upstreamId);
    return found != this->upstreams.end() && isIncarnationDoubtful(found->second);
}

bool Dispatcher::noteRefusal(const std::string &upstreamId, uint64_t startedAtMs, Instant now)
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end() || found->second.entry.startedAtMs != startedAtMs)
        return false;
    auto &upstream = found->second;
    upstream.refusedAt = now;
    if (upstream.refusalReportedAt && now < *upstream.refusalReportedAt + RefusalRepeatTime)
        return false;
    upstream.refusalReportedAt = now;
    return true;
}

bool Dispatcher::hasDoubtfulIncarnation(const std::string &service) const
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &item) {
        return item.second.entry.service == service && isIncarnationDoubtful(item.second);
    });
}

void Dispatcher::endDoubts(Instant asOf)
{
    for (auto &[id, upstream] : this->upstreams) {
        if (upstream.refusedAt && asOf >= *upstream.refusedAt + StartListingTime)
            upstream.refusedAt.reset();
        // The changes that come with this list are applied later, those of the list before have
        // been.
        upstream.ranUntil = std::max(upstream.ranUntil, this->listKnownAsOf - StartListingTime);
    }
    this->listKnownAsOf = std::max(this->listKnownAsOf, asOf);
}

void Dispatcher::noteRunning(const std::string &upstreamId, uint64_t startedAtMs, Instant at)
{
    const auto found = this->upstreams.find(upstreamId);
    if (startedAtMs == 0 || found == this->upstreams.end() ||
        found->second.entry.startedAtMs != startedAtMs)
        return;
    found->second.ranUntil = std::max(found->second.ranUntil, at);
}

bool Dispatcher::isAnswerOf(const std::string &upstreamId, uint64_t startedAtMs,
                            Instant begunAt) const
{
    const auto found = this->upstreams.find(upstreamId);
    if (startedAtMs == 0 || found == this->upstreams.end())
        return false;
    const auto &upstream = found->second;
    if (upstream.entry.startedAtMs == startedAtMs)
        return begunAt <= upstream.ranUntil;
    return upstream.previousStartedAtMs == startedAtMs && begunAt <= upstream.previousRanUntil;
}

bool Dispatcher::hasFreshSnapshot(const Upstream &upstream, Instant now) const
{
    return upstream.snapshot && now < upstream.snapshotAt + SnapshotLifetime;
}

const std::vector<HeldModel> &Dispatcher::currentModels(const Upstream &upstream, Instant now) const
{
    static const std::vector<HeldModel> Unknown;
    if (this->hasFreshSnapshot(upstream, now))
        return upstream.snapshotModels;
    return now < upstream.listDistrustedUntil ? Unknown : upstream.entry.models;
}

std::vector<HeldModel> Dispatcher::heldModels(const std::string &upstreamId, Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    return found == this->upstreams.end() ? std::vector<HeldModel>{}
                                          : this->currentModels(found->second, now);
}

const proto::EngineSnapshot *Dispatcher::snapshotOf(const std::string &upstreamId,
                                                    Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end() || !this->hasFreshSnapshot(found->second, now))
        return nullptr;
    return &*found->second.snapshot;
}

bool Dispatcher::holds(const std::string &upstreamId, const std::string &model,
                       const std::string &adapter, Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    return found != this->upstreams.end() &&
           isHeld(this->currentModels(found->second, now), model, adapter);
}

bool Dispatcher::isEligible(const Upstream &upstream, const DispatchQuery &query, Instant now) const
{
    if (upstream.entry.service != query.service || upstream.entry.phase != UpstreamPhase::Ready ||
        !hasVersion(upstream, query.softwareVersion) || query.tried.contains(upstream.entry.id) ||
        upstream.health.isBackingOff(now))
        return false;
    const bool fresh = this->hasFreshSnapshot(upstream, now);
    if (fresh && upstream.snapshot->leaving())
        return false;
    if (query.model.empty())
        return true;
    if (fresh && upstream.snapshot->unloading() == query.model)
        return false;
    const auto &models = this->currentModels(upstream, now);
    if (!isHeld(models, query.model, ""))
        return false;
    if (query.adapter.empty() || isHeld(models, query.model, query.adapter))
        return true;
    // A missing adapter can be loaded only through a steward that can order its engine. A steward
    // whose snapshots this instance does not receive is assumed to be able to.
    return fresh ? upstream.snapshot->can_order() && !upstream.snapshot->busy()
                 : !this->wantsSnapshots(upstream, now);
}

bool Dispatcher::wantsSnapshots(const Upstream &upstream, Instant now) const
{
    return this->remoteUpstreamCount <= MaxRemoteUpstreams ||
           upstream.proximity != Proximity::OtherRegion ||
           (upstream.lastChosenAt && now < *upstream.lastChosenAt + SnapshotInterestTime);
}

bool Dispatcher::wantsSnapshots(const std::string &upstreamId, Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    return found == this->upstreams.end() || this->wantsSnapshots(found->second, now);
}

void Dispatcher::noteChosen(const std::string &upstreamId, Instant now)
{
    if (const auto found = this->upstreams.find(upstreamId); found != this->upstreams.end())
        found->second.lastChosenAt = now;
}

Dispatcher::CostBasis Dispatcher::costBasis(const DispatchQuery &query, Instant now) const
{
    CostBasis basis;
    basis.isManaged = !query.model.empty() && this->managesLoad(query.service);
    basis.msPerToken = this->prefillTimeEstimator.msPerToken(query.model);
    if (!query.adapter.empty())
        basis.adapterKey = hash64(query.model + "/" + query.adapter);
    if (basis.isManaged)
        basis.heldPrefix =
            this->prefixIndex.find(query.model, query.adapter, query.sharedParts, now);
    basis.spreadKey = mix64(this->choiceSeed + this->nextTicket);
    return basis;
}

double Dispatcher::heldPrefixTokens(const Upstream &upstream, const CostBasis &basis,
                                    Instant now) const
{
    if (basis.heldPrefix.isEmpty())
        return 0;
    double kept = 1;
    if (this->hasFreshSnapshot(upstream, now) && upstream.snapshot->kv_total_tokens() > 0) {
        const double used = static_cast<double>(upstream.snapshot->kv_used_tokens()) /
                            upstream.snapshot->kv_total_tokens();
        kept = std::clamp((EvictionIsCertainAtKv - used) /
                              (EvictionIsCertainAtKv - EvictionBeginsAtKv),
                          0.0, 1.0);
    }
    return kept * basis.heldPrefix.tokensAt(upstream.idHash);
}

double Dispatcher::heldPrefixCostMs(const Upstream &upstream, const DispatchQuery &query,
                                    const CostBasis &basis, double slowness, Instant now) const
{
    double cost = 0;
    if (query.adapter.empty() && query.sharedPrefixKey != 0)
        cost = PrefixAffinityWeight * basis.heldPrefix.spreadFactor() * basis.msPerToken *
               query.sharedPrefixTokens *
               unitOf(affinityHash(upstream.entry.id, query.sharedPrefixKey));
    return cost - basis.msPerToken * slowness * this->heldPrefixTokens(upstream, basis, now);
}

double Dispatcher::pacingChargeMs(const Upstream &upstream, const CostBasis &basis, Instant now)
{
    const double spread = ChoiceSpreadMs * unitOf(mix64(basis.spreadKey ^ upstream.idHash));
    const double excess =
        std::max(0.0, upstream.pace.pauseRatio(now) - ChargedPauseRatio) / (1 - ChargedPauseRatio);
    return spread + std::min(MaxPauseCostMs, AcceptedPauseCostMs * excess * excess);
}

double Dispatcher::engineCostMs(const Upstream &upstream, const DispatchQuery &query,
                                const CostBasis &basis, Instant now) const
{
    const double slowness = basis.isManaged ? upstream.pace.slowness(now) : 1;
    double waiting = upstream.attemptsSinceReport;
    double running = upstream.inFlight;
    if (this->hasFreshSnapshot(upstream, now)) {
        waiting += upstream.snapshot->waiting();
        running = std::max<double>(running, upstream.snapshot->running());
    } else if (now < upstream.loadReportedAt + ReportedLoadLifetime) {
        waiting += upstream.reportedWaiting;
        running = std::max<double>(running, upstream.reportedRunning);
    }
    const double msPerToken = basis.msPerToken;
    const double unread = msPerToken * static_cast<double>(pendingPromptTokens(upstream));
    double cost = std::max(unread, waiting * WaitingRequestCostMs) + running * RunningRequestCostMs;
    // All of this takes longer on a slow engine, and so does the prefill of the prompt itself.
    cost = cost * slowness + msPerToken * query.promptTokens * (slowness - 1);
    if (basis.isManaged)
        cost += std::max(0.0, this->admissionWaitMs(upstream, now) - unread * slowness);
    if (this->hasFreshSnapshot(upstream, now) && upstream.snapshot->silent())
        cost += UnresponsiveEngineCostMs;
    if (this->hasFreshSnapshot(upstream, now) && upstream.snapshot->kv_total_tokens() > 0) {
        const double used = static_cast<double>(upstream.snapshot->kv_used_tokens()) /
                            upstream.snapshot->kv_total_tokens();
        if (used > KvPressureThreshold)
            cost +=
                FullKvCostMs * (used - KvPressureThreshold) / (1 - KvPressureThreshold) * slowness;
    }
    const auto &models = this->currentModels(upstream, now);
    if (!query.adapter.empty()) {
        // Prefers the same engines for an adapter, so that few of them load it.
        cost += AdapterAffinityCostMs *
                static_cast<double>(affinityHash(upstream.entry.id, basis.adapterKey) >> 11) /
                static_cast<double>(uint64_t{1} << 53);
        if (!isHeld(models, query.model, query.adapter))
            cost += AdapterLoadCostMs;
    } else if (query.sharedPrefixKey != 0 && !basis.isManaged) {
        cost += msPerToken * query.sharedPrefixTokens *
                static_cast<double>(affinityHash(upstream.entry.id, query.sharedPrefixKey) >> 11) /
                static_cast<double>(uint64_t{1} << 53);
    }
    if (basis.isManaged)
        cost += this->heldPrefixCostMs(upstream, query, basis, slowness, now);
    return cost;
}

double Dispatcher::serviceCostMs(const Upstream &upstream, Instant now) const
{
    double load = upstream.inFlight;
    if (now < upstream.loadReportedAt + ReportedLoadLifetime)
        load = std::max<double>(load, upstream.reportedRunning + upstream.reportedWaiting +
                                          upstream.attemptsSinceReport);
    // Free slots cost little; beyond them each request waits for its share of the slots.
    const double slots = upstream.entry.slots;
    const double queued = std::max(0.0, load + 1 - slots);
    return ServiceRequestCostMs * (0.1 * load / slots + queued / slots);
}

double Dispatcher::costMs(const Upstream &upstream, const DispatchQuery &query,
                          const CostBasis &basis, Instant now) const
{
    double cost = query.model.empty() ? this->serviceCostMs(upstream, now)
                                      : this->engineCostMs(upstream, query, basis, now);
    switch (upstream.proximity) {
    case Proximity::SameDataCentre:
        break;
    case Proximity::SameRegion:
        cost += SameRegionCostMs;
        break;
    case Proximity::OtherRegion:
        cost += OtherRegionCostMs;
        break;
    }
    return cost + FailureCostMs * (upstream.health.score(now) + overdueAttempts(upstream, now));
}

uint64_t Dispatcher::pendingPromptTokens(const Upstream &upstream)
{
    uint64_t tokens = upstream.askedPromptTokens;
    for (const auto &[ticket, attempt] : upstream.pendingAttempts)
        tokens += attempt.promptTokens;
    return tokens;
}

int Dispatcher::overdueAttempts(const Upstream &upstream, Instant now)
{
    int count = 0;
    for (const auto &[ticket, attempt] : upstream.pendingAttempts)
        count += now >= attempt.dueAt ? 1 : 0;
    return count;
}

bool Dispatcher::hasPrefillCapacity(const Upstream &upstream, const DispatchQuery &query,
                                    const CostBasis &basis, Instant now) const
{
    if (query.model.empty())
        return true;
    const uint64_t unread = pendingPromptTokens(upstream);
    if (unread == 0)
        return true;
    const bool isRemote = upstream.proximity == Proximity::OtherRegion;
    double prefillMs = basis.msPerToken * static_cast<double>(unread + query.promptTokens);
    double share = 1;
    if (basis.isManaged) {
        prefillMs *= upstream.pace.slowness(now);
        share =
            std::clamp(2 - upstream.pace.pauseRatio(now) / ChargedPauseRatio, MinPrefillShare, 1.0);
    }
    return prefillMs <= share * (isRemote ? MaxRemoteConcurrentPrefillMs : MaxConcurrentPrefillMs);
}

double Dispatcher::countCandidates(const DispatchQuery &query, const CostBasis &basis,
                                   Instant now) const
{
    double count = 0;
    for (const auto &[id, upstream] : this->upstreams) {
        if (this->isEligible(upstream, query, now) &&
            this->directiveVerdict(upstream, now).isAllowed())
            count += basis.isManaged ? 1 / upstream.pace.slowness(now) : 1;
    }
    return count;
}

DispatchDecision Dispatcher::choose(const DispatchQuery &query, Instant now) const
{
    const Upstream *best = nullptr;
    double bestCostMs = 0;
    // The cost and the pacing charge, by which upstreams are compared. The charge is no expected
    // time, so it is not part of the cost that is reported.
    double bestRankMs = std::numeric_limits<double>::infinity();
    const CostBasis basis = this->costBasis(query, now);
    for (const auto &[id, upstream] : this->upstreams) {
        if (!this->isEligible(upstream, query, now))
            continue;
        const double cost = this->costMs(upstream, query, basis, now);
        const double rank = basis.isManaged ? cost + pacingChargeMs(upstream, basis, now) : cost;
        // The directives are looked up last, as that takes longer than the cost.
        if (rank < bestRankMs && this->directiveVerdict(upstream, now).isAllowed()) {
            best = &upstream;
            bestCostMs = cost;
            bestRankMs = rank;
        }
    }
    if (best == nullptr)
        return this->makeRefusal(query, now);
    // With admission control, the steward limits the prefill of all gateways together.
    if (!this->usesAdmission(*best, now) && !this->hasPrefillCapacity(*best, query, basis, now))
        return DispatchWait{best->entry.id, bestCostMs, this->countCandidates(query, basis, now)};
    DispatchTarget target;
    target.upstreamId = best->entry.id;
    target.address = best->entry.address;
    target.costMs = bestCostMs;
    target.needsAdapter = !query.adapter.empty() &&
                          !isHeld(this->currentModels(*best, now), query.model, query.adapter);
    if (this->hasFreshSnapshot(*best, now))
        target.snapshotAge = now - best->snapshotAt;
    if (basis.isManaged)
        target.cachedTokens = static_cast<uint32_t>(this->heldPrefixTokens(*best, basis, now));
    return target;
}

DirectiveVerdict Dispatcher::directiveVerdict(const Upstream &upstream, Instant now) const
{
    return this->upstreamDirectives.verdict(upstream.entry.id, upstream.entry.startedAtMs, now);
}

bool Dispatcher::takesRequests(const std::string &upstreamId, Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    return found != this->upstreams.end() && this->directiveVerdict(found->second, now).isAllowed();
}

DirectiveVerdict Dispatcher::soonestAllowed(const DispatchQuery &query, Instant now) const
{
    DirectiveVerdict soonest;
    for (const auto &[id, upstream] : this->upstreams) {
        if (!this->isEligible(upstream, query, now))
            continue;
        const auto verdict = this->directiveVerdict(upstream, now);
        if (verdict.allowedIn && (!soonest.allowedIn || *verdict.allowedIn < *soonest.allowedIn))
            soonest = verdict;
    }
    return soonest;
}

DispatchRefusal Dispatcher::makeRefusal(const DispatchQuery &query, Instant now) const
{
    const auto soonest = this->soonestAllowed(query, now);
    const auto loadedIn = query.model.empty() ? std::nullopt : this->timeUntilLoaded(query, now);
    if (soonest.allowedIn && (!loadedIn || *soonest.allowedIn < *loadedIn)) {
        Duration retryAfter = std::max<Duration>(*soonest.allowedIn, MinDirectiveRetryDelay);
        // Another instance may have a larger share of the limit.
        if (soonest.forbiddenBy == DirectiveKind::Limit)
            retryAfter = std::min<Duration>(retryAfter, MissingModelRetryDelay);
        return {ErrorKind::Overloaded, "the upstreams take no more requests now", retryAfter,
                soonest.allowedIn, soonest.forbiddenBy};
    }
    if (query.softwareVersion && !this->canContinue(query, now))
        return {ErrorKind::CannotContinue, "no upstream of the stream's software version is left"};
    // The only upstreams that can continue the stream come back, or load the model, within the time
    // after which callers ask again for a model that engines lack.
    const auto expectedIn =
        query.softwareVersion ? std::optional<Duration>(MissingModelRetryDelay) : std::nullopt;
    if (query.model.empty())
        return {ErrorKind::NoReplica, "no upstream of the service can be used",
                MissingModelRetryDelay, expectedIn};
    const Duration retryAfter = this->retryForMissing(query, now);
    // A long load on one engine does not keep another one from coming back with the model.
    if (loadedIn)
        return {ErrorKind::NoReplica, "the model is being loaded", retryAfter,
                std::min(retryAfter, expectedIn.value_or(retryAfter))};
    return {ErrorKind::NoReplica, "no engine can serve the model", retryAfter, expectedIn};
}

bool Dispatcher::canContinue(const DispatchQuery &query, Instant now) const
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &item) {
        const Upstream &upstream = item.second;
        return upstream.entry.service == query.service &&
               hasVersion(upstream, query.softwareVersion) &&
               upstream.entry.phase == UpstreamPhase::Ready && !query.tried.contains(item.first) &&
               !(this->hasFreshSnapshot(upstream, now) && upstream.snapshot->leaving());
    });
}

std::optional<Duration> Dispatcher::timeUntilLoaded(const DispatchQuery &query, Instant now) const
{
    std::optional<Duration> least;
    for (const auto &[id, upstream] : this->upstreams) {
        if (!hasVersion(upstream, query.softwareVersion) ||
            !this->hasFreshSnapshot(upstream, now) || upstream.snapshot->loading() != query.model)
            continue;
        const Duration left = std::max<Duration>(
            Duration::zero(),
            milliseconds(upstream.snapshot->loading_left_ms()) - (now - upstream.snapshotAt));
        if (!least || left < *least)
            least = left;
    }
    return least;
}

AttemptTicket Dispatcher::beginAttempt(const std::string &upstreamId, const DispatchQuery &query,
                                       Instant now)
{
    const AttemptTicket ticket = this->nextTicket++;
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return ticket;
    auto &upstream = found->second;
    Duration due = ServiceOverdueTime;
    if (!query.model.empty()) {
        const double slowness = this->managesLoad(query.service) ? upstream.pace.slowness(now) : 1;
        const double expectedMs =
            this->prefillTimeEstimator.msPerToken(query.model) *
            static_cast<double>(pendingPromptTokens(upstream) + query.promptTokens) * slowness;
        due = std::max<Duration>(MinEngineOverdueTime, milliseconds(static_cast<int64_t>(
                                                           EngineOverdueFactor * expectedMs)));
    }
    if (this->managesLoad(query.service))
        this->prefixIndex.noteUse(query.model, query.adapter, query.sharedParts, now);
    ++upstream.inFlight;
    ++upstream.attemptsSinceReport;
    this->upstreamDirectives.noteSent(upstreamId, now);
    upstream.pendingAttempts.emplace(ticket, PendingAttempt{now, query.promptTokens, now + due});
    return ticket;
}

void Dispatcher::noteFirstAnswer(const std::string &upstreamId, AttemptTicket ticket)
{
    const auto found = this->upstreams.find(upstreamId);
    if (found != this->upstreams.end())
        found->second.pendingAttempts.erase(ticket);
}

void Dispatcher::endAttempt(const std::string &upstreamId, AttemptTicket ticket,
                            AttemptOutcome outcome, Instant now)
{
    // The upstream may have been removed from the list meanwhile.
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return;
    auto &upstream = found->second;
    const auto attempt = upstream.pendingAttempts.find(ticket);
    if (attempt != upstream.pendingAttempts.end()) {
        // A caller that leaves once the answer is overdue gave up because of the upstream.
        if (outcome == AttemptOutcome::Abandoned && now >= attempt->second.dueAt)
            outcome = AttemptOutcome::TimedOut;
        upstream.pendingAttempts.erase(attempt);
    }
    upstream.inFlight -= std::min(upstream.inFlight, 1u);
    upstream.health.noteOutcome(outcome, now);
}

void Dispatcher::noteLoad(const std::string &upstreamId, uint32_t running, uint32_t waiting,
                          Instant now)
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return;
    found->second.reportedRunning = running;
    found->second.reportedWaiting = waiting;
    found->second.loadReportedAt = now;
    if (!this->hasFreshSnapshot(found->second, now))
        found->second.attemptsSinceReport = 0;
}

bool Dispatcher::usesAdmission(const Upstream &upstream, Instant now) const
{
    return this->managesLoad(upstream.entry.service) && now >= upstream.stewardSilentUntil;
}

double Dispatcher::admissionWaitMs(const Upstream &upstream, Instant now) const
{
    if (upstream.admissionExpectedAt <= now || !this->usesAdmission(upstream, now))
        return 0;
    return std::chrono::duration<double, std::milli>(upstream.admissionExpectedAt - now).count();
}

void Dispatcher::noteAdmissionWait(const std::string &upstreamId, Duration expected, Instant now)
{
    if (const auto found = this->upstreams.find(upstreamId); found != this->upstreams.end())
        found->second.admissionExpectedAt = now + std::min<Duration>(expected, MaxAdmissionWait);
}

bool Dispatcher::isFasterElsewhere(const std::string &upstreamId, Duration expected,
                                   const DispatchQuery &query, Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return true;
    DispatchQuery others = query;
    others.tried.insert(upstreamId);
    const auto decision = this->choose(others, now);
    const auto *other = std::get_if<DispatchTarget>(&decision);
    if (other == nullptr)
        return false;
    const CostBasis basis = this->costBasis(query, now);
    const double waitMs = std::chrono::duration<double, std::milli>(expected).count();
    const double restMs =
        this->costMs(found->second, query, basis, now) - this->admissionWaitMs(found->second, now);
    return other->costMs + MinGainOfMoveMs < restMs + waitMs;
}

bool Dispatcher::usesAdmission(const std::string &upstreamId, Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    return found != this->upstreams.end() && this->usesAdmission(found->second, now);
}

void Dispatcher::noteSilentSteward(const std::string &upstreamId, Instant now)
{
    if (const auto found = this->upstreams.find(upstreamId); found != this->upstreams.end())
        found->second.stewardSilentUntil = now + SilentStewardTime;
}

void Dispatcher::beginAdmission(const std::string &upstreamId, uint32_t promptTokens)
{
    if (const auto found = this->upstreams.find(upstreamId); found != this->upstreams.end())
        found->second.askedPromptTokens += promptTokens;
}

void Dispatcher::endAdmission(const std::string &upstreamId, uint32_t promptTokens)
{
    // The upstream may have been removed from the list and added again meanwhile.
    if (const auto found = this->upstreams.find(upstreamId); found != this->upstreams.end())
        found->second.askedPromptTokens -=
            std::min<uint64_t>(found->second.askedPromptTokens, promptTokens);
}

bool Dispatcher::reportsPace(const std::string &service) const
{
    return !this->pacedServices.empty() && this->pacedServices.contains(service);
}

bool Dispatcher::managesLoad(const std::string &service) const
{
    return this->hasAccounts || this->reportsPace(service);
}

void Dispatcher::notePace(const std::string &upstreamId, uint32_t pacePercent, Instant now)
{
    const auto found = this->upstreams.find(upstreamId);
    if (pacePercent == 0 || found == this->upstreams.end())
        return;
    found->second.pace.noteReport(pacePercent, now);
    this->pacedServices.insert(found->second.entry.service);
}

EnginePace *Dispatcher::paceOf(const std::string &upstreamId, uint64_t startedAtMs)
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end() || found->second.entry.startedAtMs != startedAtMs ||
        isIncarnationDoubtful(found->second))
        return nullptr;
    return &found->second.pace;
}

uint64_t Dispatcher::promptTokensAhead(const std::string &upstreamId, uint32_t promptTokens,
                                       Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return 0;
    uint64_t tokens = pendingPromptTokens(found->second);
    if (this->hasFreshSnapshot(found->second, now))
        tokens += uint64_t{found->second.snapshot->waiting()} * promptTokens;
    return tokens;
}

void Dispatcher::noteFirstEvent(const std::string &upstreamId, uint64_t startedAtMs,
                                const FirstEventSample &sample, Instant now)
{
    EnginePace *pace = this->paceOf(upstreamId, startedAtMs);
    if (pace == nullptr || sample.promptTokens < PrefillTimeEstimator::MinSampleTokens ||
        !this->prefillTimeEstimator.hasSamples(sample.model))
        return;
    // The time between regions is no slowness of the engine.
    if (this->upstreams.at(upstreamId).proximity == Proximity::OtherRegion)
        return;
    const double msPerToken = this->prefillTimeEstimator.msPerToken(sample.model);
    const double leastMs = msPerToken * std::max<uint32_t>(1, sample.ownTokens);
    const double greatestMs =
        msPerToken * static_cast<double>(sample.tokensAhead + sample.promptTokens);
    pace->noteFirstEvent(sample.elapsedMs / leastMs, sample.elapsedMs / greatestMs, now);
}

void Dispatcher::noteMedianGap(const std::string &upstreamId, uint64_t startedAtMs,
                               const std::string &model, double medianMs, Instant now)
{
    EnginePace *pace = this->paceOf(upstreamId, startedAtMs);
    if (pace == nullptr)
        return;
    const double gapMs = std::max(medianMs, MinFastestGapMs);
    auto [place, isNew] = this->fastestGapMs.try_emplace(model, gapMs);
    if (!isNew)
        place->second = std::min(gapMs, place->second * LongerGapGrowth);
    pace->noteMedianGap(gapMs / place->second, now);
}

void Dispatcher::notePause(const std::string &upstreamId, uint64_t startedAtMs,
                           double timesAccepted, Instant now)
{
    if (EnginePace *pace = this->paceOf(upstreamId, startedAtMs))
        pace->notePause(timesAccepted, now);
}

void Dispatcher::notePrefilled(const std::string &upstreamId, uint64_t startedAtMs,
                               const DispatchQuery &query, Instant now)
{
    if (query.model.empty() || !this->managesLoad(query.service) ||
        this->paceOf(upstreamId, startedAtMs) == nullptr)
        return;
    this->prefixIndex.noteAnswered(this->upstreams.at(upstreamId).idHash, query.model,
                                   query.adapter, query.sharedParts, now);
}

double Dispatcher::slowness(const std::string &upstreamId, Instant now) const
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end() || !this->managesLoad(found->second.entry.service))
        return 1;
    return found->second.pace.slowness(now);
}

size_t Dispatcher::countSlow(Instant now) const
{
    return static_cast<size_t>(
        std::count_if(this->upstreams.begin(), this->upstreams.end(), [&](const auto &item) {
            return this->managesLoad(item.second.entry.service) &&
                   item.second.pace.slowness(now) >= SlowFactor;
        }));
}

size_t Dispatcher::countPausing(Instant now) const
{
    return static_cast<size_t>(
        std::count_if(this->upstreams.begin(), this->upstreams.end(), [&](const auto &item) {
            return this->managesLoad(item.second.entry.service) &&
                   item.second.pace.pauseRatio(now) > 1;
        }));
}

bool Dispatcher::noteModelMissing(const std::string &upstreamId, const std::string &model,
                                  const std::string &adapter, Instant now)
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end())
        return false;
    auto &upstream = found->second;
    if (!this->hasFreshSnapshot(upstream, now)) {
        const bool isNew = now >= upstream.listDistrustedUntil;
        upstream.listDistrustedUntil = now + ListDistrustTime;
        return isNew;
    }
    for (auto &held : upstream.snapshotModels) {
        if (held.name == model)
            std::erase(held.adapters, adapter);
    }
    if (adapter.empty())
        std::erase_if(upstream.snapshotModels,
                      [&](const HeldModel &held) { return held.name == model; });
    return false;
}

Duration Dispatcher::retryForMissing(const DispatchQuery &query, Instant now) const
{
    const auto left = this->timeUntilLoaded(query, now);
    return left ? *left + LoadVisibilityDelay : MissingModelRetryDelay;
}

} // namespace tray
