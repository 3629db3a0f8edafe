// Planner of a region: takes the lease, follows demand and writes placement wishes.
#pragma once

#include "base/Time.h"
#include "observe/Metrics.h"

#include "settings_common.pb.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace tray {

class ControlNode;

/// Settings of the planner.
struct PlannerServiceSettings
{
    /// "planned" or "on-demand".
    std::string strategy = "planned";
    /// Time between two planning rounds.
    Duration interval = std::chrono::seconds(1);
    /// Duration of the lease.
    Duration lease = std::chrono::seconds(5);
};

/// Settings of the planner as a program's settings file gives them.
PlannerServiceSettings plannerSettings(const proto::PlacementSection &section);

/// Runs in every process; relays compete for their region's lease, since demand reaches relays.
/// Construct after the control node and call start(). The strategy "on-demand" does nothing.
class PlannerService
{
public:
    PlannerService(boost::asio::io_context &context, ControlNode &node, Metrics &metrics,
                   PlannerServiceSettings settings = {});
    ~PlannerService();

    void start();
    /// Ends the loop; the lease runs out.
    void stop();
    /// This process plans for its region.
    bool isHolder() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
