// Checks of a configuration before it is sent to the store: what is wrong in itself, and what it
// changes for callers compared with an earlier version.
#pragma once

#include "fleet/FleetConfig.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// What a finding is about.
enum class ConfigFindingKind : uint8_t {
    /// Another route of the same host and path prefix gets all requests.
    ShadowedRoute,
    /// No request has the host, or a path with the prefix, of a route.
    UnreachableRoute,
    /// All services of a route have weight 0.
    NoWeight,
    UnknownService,
    /// An earlier service or model of the same name is used instead.
    DuplicateName,
    /// No engine of a service has enough memory for a model.
    NoRoomForModel,
    /// Requests time out before their answers would be late.
    TimeoutUnderGoal,
    /// The burst of an account's quota is smaller than one of its requests.
    BurstUnderRequest,
    /// A route allows more attempts than one of its services has upstreams.
    TooManyAttempts,
    /// Callers of a host and path prefix find no route any more.
    RouteGone,
    /// Requests for a model of a service are refused.
    ModelGone,
    /// Callers of a route need a key that they did not need before.
    KeyNeeded,
    KeysTaken,
    LimitLowered,
    /// Requests of a route or an account are served after others that they went before.
    PriorityLowered,
    /// Attempts on a route are no longer repeated, or its streams no longer resumed.
    RetriesLost,
    RouteAdded,
    ModelAdded,
    KeysAdded,
    LimitRaised,
    /// Requests of a route go to other services than before.
    ServicesChanged,
};

template <>
struct EnumNames<ConfigFindingKind>
{
    static constexpr auto Table = std::to_array<EnumName<ConfigFindingKind>>({
        {ConfigFindingKind::ShadowedRoute, "shadowed_route"},
        {ConfigFindingKind::UnreachableRoute, "unreachable_route"},
        {ConfigFindingKind::NoWeight, "no_weight"},
        {ConfigFindingKind::UnknownService, "unknown_service"},
        {ConfigFindingKind::DuplicateName, "duplicate_name"},
        {ConfigFindingKind::NoRoomForModel, "no_room_for_model"},
        {ConfigFindingKind::TimeoutUnderGoal, "timeout_under_goal"},
        {ConfigFindingKind::BurstUnderRequest, "burst_under_request"},
        {ConfigFindingKind::TooManyAttempts, "too_many_attempts"},
        {ConfigFindingKind::RouteGone, "route_gone"},
        {ConfigFindingKind::ModelGone, "model_gone"},
        {ConfigFindingKind::KeyNeeded, "key_needed"},
        {ConfigFindingKind::KeysTaken, "keys_taken"},
        {ConfigFindingKind::LimitLowered, "limit_lowered"},
        {ConfigFindingKind::PriorityLowered, "priority_lowered"},
        {ConfigFindingKind::RetriesLost, "retries_lost"},
        {ConfigFindingKind::RouteAdded, "route_added"},
        {ConfigFindingKind::ModelAdded, "model_added"},
        {ConfigFindingKind::KeysAdded, "keys_added"},
        {ConfigFindingKind::LimitRaised, "limit_raised"},
        {ConfigFindingKind::ServicesChanged, "services_changed"},
    });
};

/// Whether callers lose nothing by what a finding tells.
bool isHarmless(ConfigFindingKind kind);

/// List of a configuration, or its caller limits.
enum class ConfigPart : uint8_t { Routes, Services, Accounts, CallerLimits };

/// Field of a route, a service, an account or the caller limits.
enum class ConfigField : uint8_t {
    Name,
    Host,
    PathPrefix,
    RouteKind,
    RouteServices,
    Timeout,
    Attempts,
    Priority,
    Anonymous,
    Connections,
    EngineSlots,
    EngineTokens,
    Models,
    Keys,
    Rate,
    Burst,
    QuotaUnit,
    HeaderBytes,
    BodyBytes,
    HeaderTimeout,
    IdleTimeout,
};

/// Where a value is given, without regard to the format of the configuration.
struct ConfigPlace
{
    ConfigPart part = ConfigPart::Routes;
    /// Index in the list; 0 for the caller limits.
    size_t index = 0;
    ConfigField field = ConfigField::Name;
    /// Index in the field if that is a list and one of its entries is meant.
    std::optional<size_t> entry;
    /// The value is given in the earlier version.
    bool isEarlier = false;

    bool operator==(const ConfigPlace &) const = default;
};

struct ConfigFinding
{
    ConfigFindingKind kind = ConfigFindingKind::ShadowedRoute;
    ConfigPlace place;
    /// Kind and name of what is concerned, such as "route r1".
    std::string subject;
    std::string detail;

    bool operator==(const ConfigFinding &) const = default;
};

/// Returns what is wrong in a configuration by itself. Findings never contain a key.
std::vector<ConfigFinding> checkConfig(const FleetConfig &config);

/// Number of upstreams that take requests, by service.
using UpstreamCounts = std::map<std::string, size_t, std::less<>>;

/// Returns the routes whose attempts can not all be used by this number of upstreams.
std::vector<ConfigFinding> checkAttempts(const FleetConfig &config, const UpstreamCounts &counts);

/// Returns what callers lose with a configuration that replaces another one. A route is compared
/// with the one that takes its requests then, accounts and services with those of the same name.
/// Findings never contain a key.
std::vector<ConfigFinding> compareConfigs(const FleetConfig &before, const FleetConfig &after);

/// Returns all other changes, which are harmless for callers, of the same comparison.
std::vector<ConfigFinding> findHarmlessChanges(const FleetConfig &before, const FleetConfig &after);

} // namespace tray
