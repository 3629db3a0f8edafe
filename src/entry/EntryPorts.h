// What the entry instance needs from the control node, as narrow interfaces that tests replace.
#pragma once

#include "catalogue/Catalogue.h"
#include "routing/Router.h"

#include "control.pb.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace tray {

/// State of the whole system as this process knows it. Safe to use from any thread.
class StatePort
{
public:
    virtual ~StatePort() = default;

    virtual std::shared_ptr<const Catalogue> catalogue() const = 0;
    virtual RouteSources routeSources() const = 0;
    /// The state is fresh enough to take new work.
    virtual bool isFresh(Instant now) const = 0;
    virtual void noteHeadVersion(uint64_t seen) = 0;
    virtual void addDemand(const proto::Demand &demand) = 0;
    virtual void reportCrash(uint64_t contentDigest, const std::string &upstream, Instant now) = 0;
    virtual uint32_t crashesOf(uint64_t contentDigest, Instant now) const = 0;
};

/// Claims of non-idempotent requests; the rules are those of ClaimClient.
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
