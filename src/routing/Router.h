// Collects the upstreams that can serve a request and lets a routing strategy choose one.
#pragma once

#include "routing/RoutingStrategy.h"
#include "routing/UpstreamTable.h"

#include <optional>

namespace tray {

/// Snapshots that routing uses. A different pointer means different content.
struct RouteSources
{
    std::shared_ptr<const std::vector<std::shared_ptr<const proto::UpstreamStatus>>> statuses;
    std::shared_ptr<const proto::InstanceList> instances;
};

/// What a request is addressed to: a model with an optional adapter, or a service.
struct RouteTarget
{
    std::string_view model;
    std::string_view version;
    std::string_view adapter;
    std::string_view service;
    std::string_view pool;
};

/// Upstream chosen for an attempt.
struct RouteChoice
{
    std::shared_ptr<UpstreamView> view;
    std::shared_ptr<const proto::UpstreamStatus> status;
    /// The upstream holds the model according to its status.
    bool holdsModel = true;
};

/// Keeps an index of the candidates of each model and service, and rebuilds it when the snapshots
/// change. Thread-safe.
class Router
{
public:
    Router(std::string dataCentre, std::string region, std::unique_ptr<RoutingStrategy> strategy);
    ~Router();

    /// Chooses an upstream that is not in the excluded list. If the model has no replica, this is
    /// the engine that is first in rendezvous order of (model, upstream), which is to load it.
    /// Returns nothing if no upstream is available.
    std::optional<RouteChoice> choose(const RouteTarget &target, const RouteQuery &query,
                                      const RouteSources &sources,
                                      std::span<const std::string> excluded, Instant now,
                                      std::mt19937_64 &random);
    const RoutingStrategy &strategy() const { return *this->routingStrategy; }

private:
    struct Index;

    std::shared_ptr<const Index> index(const RouteSources &sources);

    const std::string dataCentre;
    const std::string region;
    const std::unique_ptr<RoutingStrategy> routingStrategy;
    UpstreamTable upstreamTable;
    std::mutex mutex;
    std::shared_ptr<const Index> currentIndex;
};

} // namespace tray
