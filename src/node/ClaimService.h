// Owner side of claims in every process: runs the claim shards that fall to this instance.
#pragma once

#include "claims/ClaimShard.h"
#include "observe/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace tray {

class ControlNode;

/// Handles the claim messages that reach this process. Messages for shards of other instances get
/// NOT_OWNER. Construct after the control node and call start(); entry and agent processes alike.
class ClaimService
{
public:
    ClaimService(boost::asio::io_context &context, ControlNode &node, Metrics &metrics,
                 ClaimShardSettings settings = {});
    ~ClaimService();

    /// Registers the handlers on the control node.
    void start();
    /// Ends the timers. Handlers that are still called answer NOT_OWNER.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
