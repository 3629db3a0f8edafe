// Settings of a process of the fleet, which the platform provides to each instance.
#pragma once

#include "base/Address.h"
#include "base/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Settings with which a gateway or a steward starts.
struct InstanceSettings
{
    /// Name of this instance.
    std::string instance;
    std::string dataCentre;
    std::string region;
    /// IP address of this instance.
    std::string ip;
    /// Pairs of a data centre and its region.
    std::vector<std::pair<std::string, std::string>> dataCentreRegions;
    /// Address that accepts callers' requests; set on entry instances.
    std::optional<Address> callerAddress;
    std::optional<Address> readinessAddress;
    /// First and last port of the range for traffic between the system's own processes.
    uint16_t firstInternalPort = 0;
    uint16_t lastInternalPort = 0;
    /// Address and service of the engine that this process manages; set on engines' instances.
    std::optional<Address> engineAddress;
    std::string engineService;
    Address storeAddress;
    /// Memory limit of the process, in MB.
    double memoryMb = 256;
    /// CPU share of the process, as a fraction of one core.
    double cpuCores = 1;
    /// Time between SIGTERM and SIGKILL.
    Duration stopGrace = std::chrono::seconds(8);
    /// Retry limits over all instances: retries per request of the window, retries that each window
    /// allows in addition, and the length of the window.
    double retryRatio = 0.2;
    double retryReserve = 50;
    Duration retryWindow = std::chrono::seconds(10);
    /// Limit on model loads from the weight store: window, and loads in the window as a multiple of
    /// the store's rate.
    Duration loadWindow = std::chrono::seconds(5);
    double loadExcess = 1.0;
    /// Bound on what all instances forward for a client account in any window: length of the
    /// window, part by which the quota may be exceeded, and tokens that may be forwarded in
    /// addition.
    Duration quotaWindow = std::chrono::seconds(8);
    double quotaOverage = 0.1;
    double quotaSlack = 11000;
};

} // namespace tray
