// Dispatches claim requests to the shards that this instance owns.
#include "node/ClaimService.h"

#include "claims/ClaimOwners.h"
#include "node/ClaimShardRunner.h"
#include "node/ControlNode.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>

namespace tray {

namespace {

// Interval at which shards that this instance no longer owns are unloaded. A shard whose ownership
// returns within this time is not read again.
constexpr Duration UnloadInterval = std::chrono::seconds(10);

const std::string &keyOf(const proto::ControlRequest &request)
{
    if (request.has_claim_begin())
        return request.claim_begin().key();
    if (request.has_claim_finish())
        return request.claim_finish().record().key();
    return request.claim_release().key();
}

} // namespace

struct ClaimService::Impl : std::enable_shared_from_this<Impl>
{
    Impl(boost::asio::io_context &context, ControlNode &node, Metrics &metrics,
         ClaimShardSettings settings)
        : context(context), node(node), metrics(metrics), settings(settings), timer(context)
    {}

    void handle(proto::ControlRequest request, const std::function<void(proto::ControlReply)> &send)
    {
        const uint32_t shard = claimShardOf(keyOf(request));
        if (this->stopped || !this->isOwner(shard)) {
            proto::ControlReply reply;
            reply.mutable_claim()->set_verdict(proto::CLAIM_VERDICT_NOT_OWNER);
            send(std::move(reply));
            return;
        }
        this->runner(shard)->handle(std::move(request), [send](proto::ClaimReply claim) {
            proto::ControlReply reply;
            *reply.mutable_claim() = std::move(claim);
            send(std::move(reply));
        });
    }

    bool isOwner(uint32_t shard) const
    {
        for (const proto::InstanceEntry &owner : claimOwners(*this->node.instances(), shard)) {
            if (owner.id() == this->node.identity().instance)
                return true;
        }
        return false;
    }

    std::shared_ptr<ClaimShardRunner> runner(uint32_t shard)
    {
        const std::lock_guard lock(this->mutex);
        auto &runner = this->runners[shard];
        if (runner == nullptr)
            runner = std::make_shared<ClaimShardRunner>(this->context, this->node.objectApi(),
                                                        shard, this->node.identity().instance,
                                                        this->settings, this->metrics);
        return runner;
    }

    void unloadUnowned()
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[shard, runner] : this->runners) {
            if (!this->isOwner(shard))
                runner->unload();
        }
    }

    void armTimer()
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopped)
            return;
        this->timer.expires_after(UnloadInterval);
        this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code code) {
            if (code)
                return;
            self->unloadUnowned();
            self->armTimer();
        });
    }

    void stop()
    {
        const std::lock_guard lock(this->mutex);
        this->stopped = true;
        this->timer.cancel();
        for (const auto &[shard, runner] : this->runners)
            runner->stop();
    }

    boost::asio::io_context &context;
    ControlNode &node;
    Metrics &metrics;
    const ClaimShardSettings settings;

    std::atomic<bool> stopped = false;
    // Guards the members below.
    std::mutex mutex;
    boost::asio::steady_timer timer;
    std::map<uint32_t, std::shared_ptr<ClaimShardRunner>> runners;
};

ClaimService::ClaimService(boost::asio::io_context &context, ControlNode &node, Metrics &metrics,
                           ClaimShardSettings settings)
    : impl(std::make_shared<Impl>(context, node, metrics, settings))
{}

ClaimService::~ClaimService()
{
    this->stop();
}

void ClaimService::start()
{
    const ControlNode::Handler handler = [self = this->impl](proto::ControlRequest request,
                                                             const auto &reply) {
        self->handle(std::move(request), reply);
    };
    this->impl->node.setHandler(proto::ControlRequest::kClaimBegin, handler);
    this->impl->node.setHandler(proto::ControlRequest::kClaimFinish, handler);
    this->impl->node.setHandler(proto::ControlRequest::kClaimRelease, handler);
    this->impl->armTimer();
}

void ClaimService::stop()
{
    this->impl->stop();
}

} // namespace tray
