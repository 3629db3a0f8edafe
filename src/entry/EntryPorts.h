// Narrow interfaces to the control node: what an entry instance needs from it. Tests replace them.
#pragma once

#include "catalogue/Catalogue.h"
#include "routing/Router.h"

#include "control.pb.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace tray {

/// This process's view of the state of the system. Safe to use from any thread.
class StatePort
{
public:
    virtual ~StatePort() = default;

    virtual std::shared_ptr<const Catalogue> catalogue() const = 0;
    virtual RouteSources routeSources() const = 0;
    /// Returns whether the state is recent enough to accept new requests.
    virtual bool isFresh(Instant now) const = 0;
    virtual void noteHeadVersion(uint64_t seen) = 0;
    virtual void addDemand(const proto::Demand &demand) = 0;
    virtual void reportCrash(uint64_t contentDigest, const std::string &upstream, Instant now) = 0;
    virtual uint32_t crashCount(uint64_t contentDigest, Instant now) const = 0;
};

/// Claims of non-idempotent requests. The contract is that of ClaimClient.
class ClaimPort
{
public:
    virtual ~ClaimPort() = default;

    virtual boost::asio::awaitable<proto::ClaimReply>
    begin(std::string clientAccount, std::string idempotencyKey, uint64_t bodyDigest,
          std::string claimId, Instant deadline) = 0;
    virtual boost::asio::awaitable<void> finish(std::string clientAccount,
                                                std::string idempotencyKey, std::string claimId,
                                                int status, std::string contentType,
                                                std::string answer) = 0;
    virtual boost::asio::awaitable<void>
    release(std::string clientAccount, std::string idempotencyKey, std::string claimId) = 0;
};

} // namespace tray
