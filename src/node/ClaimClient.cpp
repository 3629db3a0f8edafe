// Retries claim calls until an owner answers or the deadline has passed.
#include "node/ClaimClient.h"

#include "claims/ClaimOwners.h"
#include "net/Pause.h"
#include "node/ControlNode.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace tray {

namespace asio = boost::asio;

namespace {

// A commit takes at most two commit intervals and one platform call. An owner that has not answered
// by then is assumed to be lost.
constexpr Duration CallTimeout = std::chrono::seconds(1);
// Delay before the next call after an owner was unreachable or does not own the shard. The instance
// list is synced twice a second.
constexpr Duration RetryDelay = milliseconds(100);
// Time for which finishes and releases are retried.
constexpr Duration SettleTimeout = std::chrono::seconds(10);
constexpr Duration SettleRetryDelay = milliseconds(500);

proto::ClaimReply unavailable()
{
    proto::ClaimReply reply;
    reply.set_verdict(proto::CLAIM_VERDICT_UNAVAILABLE);
    return reply;
}

/// Control address of an owner of the shard; consecutive attempts alternate between the owners.
Result<Address> ownerAddress(const ControlNode &node, const std::string &key, size_t attempt)
{
    const auto owners = claimOwners(*node.instances(), claimShardOf(key));
    if (owners.empty())
        return Error{ErrorKind::NoReplica, "no owner of the claim shard", 0};
    return parseAddress(owners[attempt % owners.size()].control_address());
}

/// Sends one call to an owner. Fails with Timeout if the owner may have handled it.
asio::awaitable<Result<proto::ClaimReply>> callOwner(ControlNode &node, std::string key,
                                                     proto::ControlRequest request, size_t attempt,
                                                     Duration timeout)
{
    const Result<Address> address = ownerAddress(node, key, attempt);
    if (!isOk(address))
        co_return error(address);
    const Address peer = value(address);
    Result<proto::ControlReply> reply = co_await node.call(peer, std::move(request), timeout);
    if (!isOk(reply))
        co_return error(reply);
    if (value(reply).claim().verdict() == proto::CLAIM_VERDICT_NOT_OWNER)
        co_return Error{ErrorKind::Stale, "not the owner of the claim shard", 0};
    co_return std::move(*value(reply).mutable_claim());
}

/// Whether the owner may have handled a call that failed with this kind of error.
bool mayHaveArrived(ErrorKind kind)
{
    return kind != ErrorKind::UpstreamUnreachable && kind != ErrorKind::NoReplica &&
           kind != ErrorKind::Stale;
}

bool isSettled(const proto::ControlRequest &request, const proto::ClaimReply &reply)
{
    return reply.verdict() == proto::CLAIM_VERDICT_FINISHED ||
           (request.has_claim_release() && reply.has_record());
}

/// Retries a finish or release until it is durable or the timeout has passed.
asio::awaitable<void> settle(ControlNode &node, std::string key, proto::ControlRequest request)
{
    const Instant deadline = std::chrono::steady_clock::now() + SettleTimeout;
    size_t attempt = 0;
    while (std::chrono::steady_clock::now() < deadline) {
        const Result<proto::ClaimReply> reply =
            co_await callOwner(node, key, request, attempt, CallTimeout);
        if (isOk(reply) && isSettled(request, value(reply)))
            co_return;
        if (!isOk(reply))
            ++attempt;
        co_await pauseFor(SettleRetryDelay);
    }
}

proto::ControlRequest makeBegin(const std::string &key, uint64_t bodyDigest,
                                const std::string &claimId)
{
    proto::ControlRequest request;
    request.mutable_claim_begin()->set_key(key);
    request.mutable_claim_begin()->set_body_digest(bodyDigest);
    request.mutable_claim_begin()->set_claim_id(claimId);
    return request;
}

proto::ControlRequest makeRelease(const std::string &key, const std::string &claimId)
{
    proto::ControlRequest request;
    request.mutable_claim_release()->set_key(key);
    request.mutable_claim_release()->set_claim_id(claimId);
    return request;
}

} // namespace

struct ClaimClient::Impl
{
    explicit Impl(ControlNode &node) : node(node) {}

    ControlNode &node;
};

ClaimClient::ClaimClient(ControlNode &node) : impl(std::make_unique<Impl>(node)) {}

ClaimClient::~ClaimClient() = default;

asio::awaitable<proto::ClaimReply> ClaimClient::begin(std::string clientAccount,
                                                      std::string idempotencyKey,
                                                      uint64_t bodyDigest, std::string claimId,
                                                      Instant deadline)
{
    ControlNode &node = this->impl->node;
    const std::string key = claimKey(clientAccount, idempotencyKey);
    const proto::ControlRequest request = makeBegin(key, bodyDigest, claimId);
    // An owner may still grant the claim after this call has been abandoned.
    bool mayBeGranted = false;
    for (size_t attempt = 0;; ++attempt) {
        const Duration left = deadline - std::chrono::steady_clock::now();
        if (left <= Duration::zero())
            break;
        Result<proto::ClaimReply> reply =
            co_await callOwner(node, key, request, attempt, std::min(left, CallTimeout));
        if (isOk(reply) && value(reply).verdict() != proto::CLAIM_VERDICT_UNAVAILABLE)
            co_return std::move(value(reply));
        if (isOk(reply)) {
            mayBeGranted = mayBeGranted || value(reply).has_record();
            break;
        }
        mayBeGranted = mayBeGranted || mayHaveArrived(error(reply).kind);
        // No other owner can take the shard while the platform is unavailable.
        if (node.isPlatformUnreachable())
            break;
        co_await pauseFor(std::min<Duration>(RetryDelay, left));
    }
    if (mayBeGranted) {
        proto::ControlRequest release = makeRelease(key, claimId);
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, settle(node, key, std::move(release)), asio::detached);
    }
    co_return unavailable();
}

asio::awaitable<void> ClaimClient::finish(std::string clientAccount, std::string idempotencyKey,
                                          std::string claimId, int status, std::string contentType,
                                          std::string answer)
{
    const std::string key = claimKey(clientAccount, idempotencyKey);
    proto::ControlRequest request;
    proto::ClaimRecord *record = request.mutable_claim_finish()->mutable_record();
    record->set_key(key);
    record->set_claim_id(claimId);
    record->set_status(static_cast<uint32_t>(status));
    record->set_content_type(contentType);
    record->set_answer(std::move(answer));
    co_await settle(this->impl->node, key, std::move(request));
}

asio::awaitable<void> ClaimClient::release(std::string clientAccount, std::string idempotencyKey,
                                           std::string claimId)
{
    const std::string key = claimKey(clientAccount, idempotencyKey);
    proto::ControlRequest request = makeRelease(key, claimId);
    co_await settle(this->impl->node, key, std::move(request));
}

} // namespace tray
