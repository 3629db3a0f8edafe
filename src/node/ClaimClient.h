// Client of the claims of non-idempotent requests, used by entry instances.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace tray {

class ControlNode;

/// Sends claim calls to the owner of the claim shard. A claim is granted at most once for each
/// client account and idempotency key within the retention, whichever entry instance requests it.
class ClaimClient
{
public:
    explicit ClaimClient(ControlNode &node);
    ~ClaimClient();

    /// Claims a request. GRANTED: the caller may dispatch the request, once. UNAVAILABLE: it must
    /// not, and the request has not run. Repeating the call with the same claim id gives the same
    /// verdict.
    boost::asio::awaitable<proto::ClaimReply> begin(std::string clientAccount,
                                                    std::string idempotencyKey, uint64_t bodyDigest,
                                                    std::string claimId, Instant deadline);
    /// Records the answer of a claimed request; later requests with the same key get this answer.
    boost::asio::awaitable<void> finish(std::string clientAccount, std::string idempotencyKey,
                                        std::string claimId, int status, std::string contentType,
                                        std::string answer);
    /// Releases the claim of a request that is known not to have run.
    boost::asio::awaitable<void> release(std::string clientAccount, std::string idempotencyKey,
                                         std::string claimId);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace tray
