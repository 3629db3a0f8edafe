// Server side of claims in every process: runs the claim shards that this instance owns.
#pragma once

#include "claims/ClaimShard.h"
#include "observe/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace tray {

class ControlNode;

/// Handles the claim requests that reach this process. Requests for shards of other instances are
/// answered with NOT_OWNER. Used in entry and agent processes: construct it after the control node
/// and call start().
class ClaimService
{
public:
    ClaimService(boost::asio::io_context &context, ControlNode &node, Metrics &metrics,
                 ClaimShardSettings settings = {});
    ~ClaimService();

    /// Registers the handlers on the control node.
    void start();
    /// Cancels the timers. Requests that still arrive are answered with NOT_OWNER.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
