// Finds the upstreams that can serve a request and lets a strategy choose one.
#pragma once

#include "routing/RoutingStrategy.h"
#include "routing/UpstreamTable.h"

#include <optional>

namespace tray {

/// Snapshots that routing works on; a new pointer means new content.
struct RouteSources
{
    std::shared_ptr<const std::vector<std::shared_ptr<const proto::UpstreamStatus>>> statuses;
    std::shared_ptr<const proto::InstanceList> instances;
};

/// What is to be reached. Either a model with an optional adapter, or a service.
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
    /// The upstream held the model when its status was sent.
    bool holdsModel = true;
};

/// Keeps an index of the candidates of each model and service, rebuilt when the snapshots change.
/// Safe to use from any thread.
class Router
{
public:
    Router(std::string dataCentre, std::string region, std::unique_ptr<RoutingStrategy> strategy);
    ~Router();

    /// Chooses an upstream that is not in the excluded list. Without a replica of the model, this
    /// is the engine that is first in rendezvous order of (model, upstream) to load it. Nothing if
    /// no upstream may take work.
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
    UpstreamTable table;
    std::mutex mutex;
    std::shared_ptr<const Index> current;
};

} // namespace tray
