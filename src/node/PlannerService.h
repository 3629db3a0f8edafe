// Planner of a region: holds the region's planner lease, tracks demand and writes the requested
// placement.
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

/// Converts the placement section of a program's settings.
PlannerServiceSettings plannerSettings(const proto::PlacementSection &section);

/// Candidate for the planner of the region, in every process. Only relays compete for the lease,
/// since demand is sent to relays. Construct it after the control node and call start(). With the
/// strategy "on-demand", it does nothing.
class PlannerService
{
public:
    PlannerService(boost::asio::io_context &context, ControlNode &node, Metrics &metrics,
                   PlannerServiceSettings settings = {});
    ~PlannerService();

    void start();
    /// Ends the loop. The lease is not released; it expires.
    void stop();
    /// Whether this process is the planner of its region.
    bool isHolder() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
