// Implements the ports of the entry instance by means of the embedded control node.
#pragma once

#include "entry/EntryPorts.h"
#include "node/ClaimClient.h"
#include "node/ControlNode.h"

namespace tray {

/// StatePort that reads from a ControlNode and reports to it.
class ControlNodeState : public StatePort
{
public:
    explicit ControlNodeState(ControlNode &node) : node(node) {}

    std::shared_ptr<const Catalogue> catalogue() const override { return this->node.catalogue(); }
    RouteSources routeSources() const override
    {
        return {this->node.statuses(), this->node.instances()};
    }
    bool isFresh(Instant now) const override { return this->node.isFresh(now); }
    void noteHeadVersion(uint64_t seen) override { this->node.noteHeadVersion(seen); }
    void addDemand(const proto::Demand &demand) override { this->node.addDemand(demand); }
    void reportCrash(uint64_t contentDigest, const std::string &upstream, Instant now) override
    {
        this->node.reportCrash(contentDigest, upstream, now);
    }
    uint32_t crashCount(uint64_t contentDigest, Instant now) const override
    {
        return this->node.crashCount(contentDigest, now);
    }

private:
    ControlNode &node;
};

/// ClaimPort that forwards to a ClaimClient.
class ControlNodeClaims : public ClaimPort
{
public:
    explicit ControlNodeClaims(ControlNode &node) : client(node) {}

    boost::asio::awaitable<proto::ClaimReply> begin(std::string clientAccount,
                                                    std::string idempotencyKey, uint64_t bodyDigest,
                                                    std::string claimId, Instant deadline) override
    {
        return this->client.begin(std::move(clientAccount), std::move(idempotencyKey), bodyDigest,
                                  std::move(claimId), deadline);
    }
    boost::asio::awaitable<void> finish(std::string clientAccount, std::string idempotencyKey,
                                        std::string claimId, int status, std::string contentType,
                                        std::string answer) override
    {
        return this->client.finish(std::move(clientAccount), std::move(idempotencyKey),
                                   std::move(claimId), status, std::move(contentType),
                                   std::move(answer));
    }
    boost::asio::awaitable<void> release(std::string clientAccount, std::string idempotencyKey,
                                         std::string claimId) override
    {
        return this->client.release(std::move(clientAccount), std::move(idempotencyKey),
                                    std::move(claimId));
    }

private:
    ClaimClient client;
};

} // namespace tray
