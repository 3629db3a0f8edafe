// Planning loop of a candidate for the planner lease.
#include "node/PlannerService.h"

#include "base/Hash.h"
#include "edge/ObjectApi.h"
#include "membership/RelayTree.h"
#include "node/ControlNode.h"
#include "placement/Planner.h"
#include "placement/PlannerLeaseKeeper.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>
#include <spdlog/spdlog.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// An engine that has been lost for less than this stays in the plan, as its agent may restart.
constexpr Duration LostEngineGracePeriod = std::chrono::seconds(10);
// Longest wait at the start for the statuses of all listed upstreams.
constexpr Duration InitialStatusTimeout = std::chrono::seconds(10);

EngineItems itemsOf(const proto::Wish::Upstream &row)
{
    EngineItems items;
    items.models.insert(row.models().begin(), row.models().end());
    items.adapters.insert(row.adapters().begin(), row.adapters().end());
    return items;
}

size_t countModelMoves(const PlacementPlan &oldPlan, const PlacementPlan &newPlan)
{
    size_t moves = 0;
    for (const auto &[name, items] : newPlan) {
        const auto found = oldPlan.find(name);
        for (const std::string &model : items.models)
            moves += found == oldPlan.end() || !found->second.models.contains(model) ? 1 : 0;
    }
    return moves;
}

} // namespace

struct PlannerService::Impl : std::enable_shared_from_this<Impl>
{
    Impl(asio::io_context &context, ControlNode &node, Metrics &metrics,
         PlannerServiceSettings settings)
        : node(node), settings(std::move(settings)), planner(makePlanner(this->settings.strategy)),
          strand(asio::make_strand(context)), timer(strand),
          rounds(metrics.counter("tray_planner_rounds_total")),
          moves(metrics.counter("tray_planner_moves_total")),
          placementWrites(metrics.counter("tray_planner_wishes_total")),
          keeper(node.identity().instance, this->settings.lease, newNonce)
    {}

    asio::awaitable<void> run()
    {
        const auto self = this->shared_from_this();
        this->startedAt = std::chrono::steady_clock::now();
        while (!this->stopped) {
            if (this->isRelay())
                co_await this->runRound();
            this->holder = this->keeper.isHolder(std::chrono::steady_clock::now());
            boost::system::error_code ignored;
            this->timer.expires_after(this->settings.interval);
            co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    bool isRelay() const
    {
        const auto list = this->node.instances();
        for (const proto::InstanceEntry &entry : list->instances()) {
            if (entry.id() == this->node.identity().instance)
                return !entry.leaving() && RelayTree(*list, entry).isRelay();
        }
        return false;
    }

    asio::awaitable<void> runRound()
    {
        // Candidates without the lease track demand too, so that the next planner has it at its
        // start.
        const Instant now = std::chrono::steady_clock::now();
        for (const proto::Demand &demand : this->node.takeSystemDemand())
            this->demand.add(demand, now);
        this->demand.purge(now);
        co_await this->maintainLease();
        if (!this->keeper.isHolder(std::chrono::steady_clock::now())) {
            this->placementVersion.reset();
            co_return;
        }
        if (!this->placementVersion)
            co_await this->readPlacement();
        const Instant planTime = std::chrono::steady_clock::now();
        if (this->placementVersion && this->node.isFresh(planTime) && this->hasStatuses(planTime))
            co_await this->planAndWrite(planTime);
    }

    asio::awaitable<void> maintainLease()
    {
        const std::string key = "leases/planner-" + this->node.identity().region;
        if (this->keeper.shouldRead(std::chrono::steady_clock::now())) {
            const Result<ObjectValue> object = co_await this->node.objectApi().read(key);
            proto::PlannerLease lease;
            const bool isMissing = !isOk(object) && error(object).kind == ErrorKind::NotFound;
            if (!isOk(object) && !isMissing)
                co_return;
            if (isOk(object) && !lease.ParseFromString(value(object).value))
                co_return;
            this->keeper.onRead(lease, isOk(object) ? value(object).version : 0,
                                std::chrono::steady_clock::now());
        }
        const auto lease = this->keeper.prepareWrite(std::chrono::steady_clock::now());
        if (!lease)
            co_return;
        const uint64_t version = this->keeper.version();
        const Result<uint64_t> written =
            co_await this->node.objectApi().write(key, lease->SerializeAsString(), version);
        this->keeper.onWritten(written, std::chrono::steady_clock::now());
    }

    std::string placementKey() const { return "placement/" + this->node.identity().region; }

    asio::awaitable<void> readPlacement()
    {
        const Result<ObjectValue> object =
            co_await this->node.objectApi().read(this->placementKey());
        proto::Wish placement;
        if (isOk(object) && placement.ParseFromString(value(object).value)) {
            this->placementVersion = value(object).version;
        } else if (!isOk(object) && error(object).kind == ErrorKind::NotFound) {
            this->placementVersion = 0;
        }
        this->ownPlacement.clear();
        for (const proto::Wish::Upstream &row : placement.upstreams())
            this->ownPlacement[row.upstream()] = itemsOf(row);
    }

    /// Whether the statuses of all upstreams in the instance list are known, or the wait for them
    /// has timed out.
    bool hasStatuses(Instant now) const
    {
        std::set<std::string> reported;
        for (const auto &status : *this->node.statuses())
            reported.insert(status->upstream());
        const auto list = this->node.instances();
        const bool isComplete =
            std::all_of(list->instances().begin(), list->instances().end(), [&](const auto &entry) {
                return entry.upstream().empty() || reported.contains(entry.upstream());
            });
        return !reported.empty() && (isComplete || now - this->startedAt > InitialStatusTimeout);
    }

    /// Statuses to plan with. An engine that was lost recently is included as if it were not lost.
    UpstreamStatuses plannedStatuses(Instant now)
    {
        UpstreamStatuses planned;
        for (const auto &status : *this->node.statuses()) {
            if (!status->lost()) {
                this->lostSince.erase(status->upstream());
                planned.push_back(status);
                continue;
            }
            const Instant since =
                this->lostSince.try_emplace(status->upstream(), now).first->second;
            if (now - since > LostEngineGracePeriod)
                continue;
            auto kept = std::make_shared<proto::UpstreamStatus>(*status);
            kept->set_lost(false);
            planned.push_back(std::move(kept));
        }
        return planned;
    }

    asio::awaitable<void> planAndWrite(Instant now)
    {
        const UpstreamStatuses statuses = this->plannedStatuses(now);
        PlacementPlan current;
        std::set<std::string> ownUpstreams;
        for (const auto &status : statuses) {
            const bool isOwn = status->region() == this->node.identity().region;
            if (isOwn)
                ownUpstreams.insert(status->upstream());
            if (isOwn && this->ownPlacement.contains(status->upstream()))
                current[status->upstream()] = this->ownPlacement[status->upstream()];
            else if (const auto row = this->node.requestedPlacement(status->upstream());
                     row && !isOwn)
                current[status->upstream()] = itemsOf(*row);
        }
        const auto catalogue = this->node.catalogue();
        const PlanInput input{*catalogue, statuses, this->demand, current};
        std::optional<PlacementPlan> plan = this->planner->plan(input, now);
        this->rounds.add();
        if (!plan)
            co_return;
        std::erase_if(*plan, [&](const auto &row) { return !ownUpstreams.contains(row.first); });
        if (*plan != this->ownPlacement && !catalogue->models().empty())
            co_await this->write(std::move(*plan));
    }

    asio::awaitable<void> write(PlacementPlan plan)
    {
        proto::Wish placement;
        placement.set_region(this->node.identity().region);
        placement.set_planner(this->node.identity().instance);
        placement.set_epoch(this->keeper.epoch());
        placement.set_writer_nonce(newNonce());
        placement.set_head_version(this->node.headVersion());
        for (const auto &[name, items] : plan) {
            proto::Wish::Upstream &row = *placement.add_upstreams();
            row.set_upstream(name);
            row.mutable_models()->Add(items.models.begin(), items.models.end());
            row.mutable_adapters()->Add(items.adapters.begin(), items.adapters.end());
        }
        const uint64_t version = *this->placementVersion;
        const Result<uint64_t> written = co_await this->node.objectApi().write(
            this->placementKey(), placement.SerializeAsString(), version);
        // The placement is read again after a conflict or an unknown outcome; planning again from
        // the stored one needs no nonce.
        this->placementVersion.reset();
        if (!isOk(written))
            co_return;
        const size_t changed = countModelMoves(this->ownPlacement, plan);
        this->placementVersion = value(written);
        this->ownPlacement = std::move(plan);
        this->moves.add(changed);
        this->placementWrites.add();
        spdlog::info("event=placement_wish region={} version={} new_models={}",
                     this->node.identity().region, value(written), changed);
    }

    ControlNode &node;
    const PlannerServiceSettings settings;
    const std::unique_ptr<Planner> planner;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    Counter &rounds;
    Counter &moves;
    Counter &placementWrites;
    std::atomic<bool> stopped = false;
    std::atomic<bool> holder = false;

    // Used on the strand only.
    PlannerLeaseKeeper keeper;
    DemandTracker demand;
    Instant startedAt{};
    // Version and content of the region's stored placement, while the lease is held.
    std::optional<uint64_t> placementVersion;
    PlacementPlan ownPlacement;
    std::map<std::string, Instant> lostSince;
};

PlannerServiceSettings plannerSettings(const proto::PlacementSection &section)
{
    return {section.strategy(), milliseconds(section.interval_ms()),
            milliseconds(section.lease_ms())};
}

PlannerService::PlannerService(asio::io_context &context, ControlNode &node, Metrics &metrics,
                               PlannerServiceSettings settings)
    : impl(std::make_shared<Impl>(context, node, metrics, std::move(settings)))
{}

PlannerService::~PlannerService()
{
    this->stop();
}

void PlannerService::start()
{
    const bool plansPlacement = this->impl->settings.strategy == "planned";
    if (plansPlacement && this->impl->planner != nullptr)
        asio::co_spawn(this->impl->strand, this->impl->run(), asio::detached);
}

void PlannerService::stop()
{
    this->impl->stopped = true;
    asio::post(this->impl->strand, [self = this->impl] { self->timer.cancel(); });
}

bool PlannerService::isHolder() const
{
    return this->impl->holder;
}

} // namespace tray
