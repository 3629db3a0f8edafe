// Claims of non-idempotent requests, as the entry instances use them.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace tray {

class ControlNode;

/// Asks the owner of a claim shard. A claim is granted at most once for each client account and
/// idempotency key within the retention, whichever entry instance asks.
class ClaimClient
{
public:
    explicit ClaimClient(ControlNode &node);
    ~ClaimClient();

    /// Claims a request. GRANTED: the caller may dispatch, once. UNAVAILABLE: it must not, and the
    /// request has not run. Repeating the call with the same claim id gives the same verdict.
    boost::asio::awaitable<proto::ClaimReply> begin(std::string clientAccount,
                                                    std::string idempotencyKey, uint64_t bodyDigest,
                                                    std::string claimId, Instant deadline);
    /// Records the answer of a claimed request, so that a repeat gets it.
    boost::asio::awaitable<void> finish(std::string clientAccount, std::string idempotencyKey,
                                        std::string claimId, int status, std::string contentType,
                                        std::string answer);
    /// Gives a claim back that is known not to have run.
    boost::asio::awaitable<void> release(std::string clientAccount, std::string idempotencyKey,
                                         std::string claimId);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace tray
