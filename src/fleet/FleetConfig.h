// The operators' configuration of a fleet: routes, services, models and limits.
#pragma once

#include "accounts/AccountDirectory.h"
#include "base/EnumNames.h"
#include "base/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tray {

/// Whether and how requests of a route may be retried.
enum class RouteKind : uint8_t {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// Answered with a stream of events; runs at most once unless the route is resumable.
    Streaming,
};

template <>
struct EnumNames<RouteKind>
{
    static constexpr auto Table = std::to_array<EnumName<RouteKind>>({
        {RouteKind::Idempotent, "safe"},
        {RouteKind::NonIdempotent, "unsafe"},
        {RouteKind::Streaming, "streaming"},
    });
};

/// Weight of one service in the split of a route's requests.
struct ServiceShare
{
    std::string service;
    uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /// Longest time for which a request may be kept waiting.
    Duration timeout = std::chrono::seconds(30);
    /// Time within which an answer counts as on time; for streams the time to the first event.
    Duration latencyGoal = std::chrono::seconds(1);
    /// Longest time between two events of a stream that counts as on time.
    Duration eventGapGoal = std::chrono::seconds(1);
    /// Priority among routes; 0 is the most urgent.
    int rank = 0;
    /// Number of upstreams to which one attempt of a caller may be sent.
    int maxAttempts = 1;
    bool resumable = false;
    /// Callers need no key of a client account.
    bool anonymous = false;
    /// Never empty.
    std::vector<ServiceShare> services;

    /// Whether an attempt may be repeated on another upstream.
    bool isRepeatable() const
    {
        return this->kind == RouteKind::Idempotent ||
               (this->kind == RouteKind::Streaming && this->resumable);
    }
};

/// A model that engines of a service may hold.
struct ModelSpec
{
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0;
    /// Time to load the model from the weight store.
    Duration loadTime = std::chrono::seconds(10);
    /// Times to load it from a copy in the memory or on the disk of the engine's host.
    Duration memoryLoadTime = std::chrono::seconds(1);
    Duration diskLoadTime = std::chrono::seconds(2);
};

/// What the engines of a service can hold.
struct EngineSpec
{
    std::vector<ModelSpec> models;
    /// Memory for weights and adapters together, in MB.
    double weightsMb = 0;
    uint32_t adapterSlots = 0;
    uint32_t slots = 0;
    /// Memory for prompts and running requests, in tokens.
    uint32_t kvCapacityTokens = 0;
    /// Model loads per second that the weight store allows for all engines together.
    double loadsPerSecond = 0;

    const ModelSpec *findModel(std::string_view name) const;
    /// Returns a hash of all values, by which instances find out whether theirs are the same; never
    /// 0.
    uint64_t digest() const;
};

struct ServiceSpec
{
    std::string name;
    /// Number of connections that one upstream accepts from all callers together.
    uint32_t maxConnections = 100;
    /// Set for services whose upstreams are model engines.
    std::shared_ptr<const EngineSpec> engine;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits
{
    uint32_t headerBytes = 16384;
    uint64_t bodyBytes = 1048576;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(60);
};

/// One version of the configuration; immutable once it is in force.
struct FleetConfig
{
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    CallerLimits limits;
    /// Null if callers need no keys.
    std::shared_ptr<const AccountDirectory> accounts;

    /// Returns the route with the longest matching path prefix for a host (without port) and a
    /// path; null if none matches.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const ServiceSpec *findService(std::string_view name) const;
};

/// Returns the service of a route for a request, in proportion to the weights for evenly
/// distributed hashes.
const std::string &chooseService(const Route &route, uint64_t hash);

} // namespace tray
