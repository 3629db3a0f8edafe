// Loop of a planner candidate.
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

// An engine that is lost for less than this keeps its place in the plan: its agent may restart.
constexpr Duration LostGrace = std::chrono::seconds(10);
// Planning starts without the status of a listed upstream after this time.
constexpr Duration StatusWait = std::chrono::seconds(10);

EngineItems itemsOf(const proto::Wish::Upstream &row)
{
    EngineItems items;
    items.models.insert(row.models().begin(), row.models().end());
    items.adapters.insert(row.adapters().begin(), row.adapters().end());
    return items;
}

size_t countModelMoves(const PlacementPlan &before, const PlacementPlan &after)
{
    size_t moves = 0;
    for (const auto &[name, items] : after) {
        const auto found = before.find(name);
        for (const std::string &model : items.models)
            moves += found == before.end() || !found->second.models.contains(model) ? 1 : 0;
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
          wishes(metrics.counter("tray_planner_wishes_total")),
          keeper(node.identity().instance, this->settings.lease, newNonce)
    {}

    asio::awaitable<void> run()
    {
        const auto self = this->shared_from_this();
        this->startedAt = std::chrono::steady_clock::now();
        while (!this->stopped) {
            if (this->isRelay())
                co_await this->round();
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

    asio::awaitable<void> round()
    {
        // Followers track demand too, so that the next planner starts with it.
        const Instant now = std::chrono::steady_clock::now();
        for (const proto::Demand &demand : this->node.takeDemand())
            this->demand.add(demand, now);
        this->demand.purge(now);
        co_await this->keepLease();
        if (!this->keeper.isHolder(std::chrono::steady_clock::now())) {
            this->wishVersion.reset();
            co_return;
        }
        if (!this->wishVersion)
            co_await this->readWish();
        const Instant planTime = std::chrono::steady_clock::now();
        if (this->wishVersion && this->node.isFresh(planTime) && this->knowsStatuses(planTime))
            co_await this->planAndWrite(planTime);
    }

    asio::awaitable<void> keepLease()
    {
        const std::string key = "leases/planner-" + this->node.identity().region;
        if (this->keeper.wantsRead(std::chrono::steady_clock::now())) {
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
        const auto lease = this->keeper.wantsWrite(std::chrono::steady_clock::now());
        if (!lease)
            co_return;
        const uint64_t version = this->keeper.version();
        const Result<uint64_t> written =
            co_await this->node.objectApi().write(key, lease->SerializeAsString(), version);
        this->keeper.onWritten(written, std::chrono::steady_clock::now());
    }

    std::string wishKey() const { return "placement/" + this->node.identity().region; }

    asio::awaitable<void> readWish()
    {
        const Result<ObjectValue> object = co_await this->node.objectApi().read(this->wishKey());
        proto::Wish wish;
        if (isOk(object) && wish.ParseFromString(value(object).value)) {
            this->wishVersion = value(object).version;
        } else if (!isOk(object) && error(object).kind == ErrorKind::NotFound) {
            this->wishVersion = 0;
        }
        this->ownWish.clear();
        for (const proto::Wish::Upstream &row : wish.upstreams())
            this->ownWish[row.upstream()] = itemsOf(row);
    }

    /// All upstreams in the instance list have reported, or have had the time to.
    bool knowsStatuses(Instant now) const
    {
        std::set<std::string> reported;
        for (const auto &status : *this->node.statuses())
            reported.insert(status->upstream());
        const auto list = this->node.instances();
        const bool isComplete =
            std::all_of(list->instances().begin(), list->instances().end(), [&](const auto &entry) {
                return entry.upstream().empty() || reported.contains(entry.upstream());
            });
        return !reported.empty() && (isComplete || now - this->startedAt > StatusWait);
    }

    /// Statuses in which an engine that was lost a moment ago still counts.
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
            if (now - since > LostGrace)
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
        PlacementPlan present;
        std::set<std::string> ownUpstreams;
        for (const auto &status : statuses) {
            const bool isOwn = status->region() == this->node.identity().region;
            if (isOwn)
                ownUpstreams.insert(status->upstream());
            if (isOwn && this->ownWish.contains(status->upstream()))
                present[status->upstream()] = this->ownWish[status->upstream()];
            else if (const auto row = this->node.wishFor(status->upstream()); row && !isOwn)
                present[status->upstream()] = itemsOf(*row);
        }
        const auto catalogue = this->node.catalogue();
        const PlanInput input{*catalogue, statuses, this->demand, present};
        std::optional<PlacementPlan> plan = this->planner->plan(input, now);
        this->rounds.add();
        if (!plan)
            co_return;
        std::erase_if(*plan, [&](const auto &row) { return !ownUpstreams.contains(row.first); });
        if (*plan != this->ownWish && !catalogue->models().empty())
            co_await this->write(std::move(*plan));
    }

    asio::awaitable<void> write(PlacementPlan plan)
    {
        proto::Wish wish;
        wish.set_region(this->node.identity().region);
        wish.set_planner(this->node.identity().instance);
        wish.set_epoch(this->keeper.epoch());
        wish.set_writer_nonce(newNonce());
        wish.set_head_version(this->node.headVersion());
        for (const auto &[name, items] : plan) {
            proto::Wish::Upstream &row = *wish.add_upstreams();
            row.set_upstream(name);
            row.mutable_models()->Add(items.models.begin(), items.models.end());
            row.mutable_adapters()->Add(items.adapters.begin(), items.adapters.end());
        }
        const uint64_t version = *this->wishVersion;
        const Result<uint64_t> written = co_await this->node.objectApi().write(
            this->wishKey(), wish.SerializeAsString(), version);
        // The wish is reread after a conflict or an unclear result; planning again from what stands
        // there needs no nonce.
        this->wishVersion.reset();
        if (!isOk(written))
            co_return;
        const size_t changed = countModelMoves(this->ownWish, plan);
        this->wishVersion = value(written);
        this->ownWish = std::move(plan);
        this->moves.add(changed);
        this->wishes.add();
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
    Counter &wishes;
    std::atomic<bool> stopped = false;
    std::atomic<bool> holder = false;

    // Used on the strand only.
    PlannerLeaseKeeper keeper;
    DemandTracker demand;
    Instant startedAt{};
    // Version of the region's wish and its content, while the lease is held.
    std::optional<uint64_t> wishVersion;
    PlacementPlan ownWish;
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
    const bool makesWishes = this->impl->settings.strategy == "planned";
    if (makesWishes && this->impl->planner != nullptr)
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
