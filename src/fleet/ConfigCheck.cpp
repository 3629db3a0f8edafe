// Rules for configurations, in tables: rules for one version, and for the change between two.
#include "fleet/ConfigCheck.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray {

namespace {

using Kind = ConfigFindingKind;
using Part = ConfigPart;
using Field = ConfigField;
using Findings = std::vector<ConfigFinding>;

std::string describe(const Route &route)
{
    return "route " + route.name;
}

std::string describe(const ClientAccount &account)
{
    return "account " + account.name;
}

std::string describe(const ServiceSpec &service)
{
    return "service " + service.name;
}

std::string describe(const CallerLimits &)
{
    return "all callers";
}

/// Index of an element that lies in a list.
template <typename Element>
size_t indexIn(const std::vector<Element> &list, const Element &element)
{
    return static_cast<size_t>(&element - list.data());
}

ConfigPlace placeOf(const FleetConfig &config, const Route &route, Field field)
{
    return {Part::Routes, indexIn(config.routes, route), field, {}, false};
}

ConfigPlace placeOf(const FleetConfig &config, const ServiceSpec &service, Field field)
{
    return {Part::Services, indexIn(config.services, service), field, {}, false};
}

ConfigPlace placeOf(const FleetConfig &config, const ClientAccount &account, Field field)
{
    return {Part::Accounts, indexIn(config.accounts->accounts(), account), field, {}, false};
}

ConfigPlace placeOf(const FleetConfig &, const CallerLimits &, Field field)
{
    return {Part::CallerLimits, 0, field, {}, false};
}

ConfigPlace entryOf(ConfigPlace place, size_t entry)
{
    place.entry = entry;
    return place;
}

ConfigPlace inEarlierVersion(ConfigPlace place)
{
    place.isEarlier = true;
    return place;
}

bool matchesEqually(const Route &left, const Route &right)
{
    return left.host == right.host && left.pathPrefix == right.pathPrefix;
}

const Route *findEqual(const FleetConfig &config, const Route &wanted)
{
    const auto found =
        std::find_if(config.routes.begin(), config.routes.end(),
                     [&](const Route &route) { return matchesEqually(route, wanted); });
    return found == config.routes.end() ? nullptr : &*found;
}

/// Returns the route of a version that takes the requests of a route of another version; null if
/// there is none, or if the other route took no requests itself.
const Route *findSuccessor(const FleetConfig &before, const Route &route, const FleetConfig &after)
{
    return findEqual(before, route) == &route ? after.findRoute(route.host, route.pathPrefix)
                                              : nullptr;
}

bool needsKey(const FleetConfig &config, const Route &route)
{
    return config.accounts && !route.anonymous;
}

void findShadowedRoutes(const FleetConfig &config, Findings &findings)
{
    for (const auto &route : config.routes) {
        const Route *first = findEqual(config, route);
        if (first != &route)
            findings.push_back({Kind::ShadowedRoute, placeOf(config, route, Field::PathPrefix),
                                describe(route),
                                fmt::format("{} has the same host and path prefix", first->name)});
    }
}

/// Hosts of requests are compared without their port, and paths without their query.
void findUnreachableRoutes(const FleetConfig &config, Findings &findings)
{
    for (const auto &route : config.routes) {
        if (route.host.find(':') != std::string::npos)
            findings.push_back(
                {Kind::UnreachableRoute, placeOf(config, route, Field::Host), describe(route),
                 fmt::format("the host {} has a port, which is not compared", route.host)});
        const auto &prefix = route.pathPrefix;
        if ((!prefix.empty() && prefix.front() != '/') ||
            prefix.find_first_of("?#") != std::string::npos)
            findings.push_back({Kind::UnreachableRoute, placeOf(config, route, Field::PathPrefix),
                                describe(route), fmt::format("no path begins with {}", prefix)});
    }
}

void findWeightlessRoutes(const FleetConfig &config, Findings &findings)
{
    for (const auto &route : config.routes) {
        if (std::all_of(route.services.begin(), route.services.end(),
                        [](const ServiceShare &share) { return share.weight == 0; }))
            findings.push_back({Kind::NoWeight, placeOf(config, route, Field::RouteServices),
                                describe(route), "no service has a weight above 0"});
    }
}

void findUnknownServices(const FleetConfig &config, Findings &findings)
{
    for (const auto &route : config.routes) {
        for (const auto &share : route.services) {
            if (config.findService(share.service) == nullptr)
                findings.push_back({Kind::UnknownService,
                                    entryOf(placeOf(config, route, Field::RouteServices),
                                            indexIn(route.services, share)),
                                    describe(route),
                                    fmt::format("there is no service {}", share.service)});
        }
    }
}

void findDuplicateNames(const FleetConfig &config, Findings &findings)
{
    for (const auto &service : config.services) {
        if (config.findService(service.name) != &service)
            findings.push_back({Kind::DuplicateName, placeOf(config, service, Field::Name),
                                describe(service), "an earlier service has the same name"});
        if (!service.engine)
            continue;
        const auto &models = service.engine->models;
        for (const auto &model : models) {
            if (service.engine->findModel(model.name) != &model)
                findings.push_back(
                    {Kind::DuplicateName,
                     entryOf(placeOf(config, service, Field::Models), indexIn(models, model)),
                     describe(service), fmt::format("model {} is given twice", model.name)});
        }
    }
}

void findModelsWithoutRoom(const FleetConfig &config, Findings &findings)
{
    for (const auto &service : config.services) {
        if (!service.engine)
            continue;
        const auto &models = service.engine->models;
        for (const auto &model : models) {
            if (model.weightsMb > service.engine->weightsMb)
                findings.push_back(
                    {Kind::NoRoomForModel,
                     entryOf(placeOf(config, service, Field::Models), indexIn(models, model)),
                     describe(service),
                     fmt::format("model {} needs {} MB, engines have {} MB", model.name,
                                 model.weightsMb, service.engine->weightsMb)});
        }
    }
}

void findShortTimeouts(const FleetConfig &config, Findings &findings)
{
    for (const auto &route : config.routes) {
        if (route.timeout < route.latencyGoal)
            findings.push_back({Kind::TimeoutUnderGoal, placeOf(config, route, Field::Timeout),
                                describe(route),
                                fmt::format("the timeout is {} ms, the latency goal {} ms",
                                            toMs(route.timeout), toMs(route.latencyGoal))});
    }
}

void findSmallBursts(const FleetConfig &config, Findings &findings)
{
    if (!config.accounts)
        return;
    for (const auto &account : config.accounts->accounts()) {
        const auto &quota = account.quota;
        const auto cost = static_cast<double>(quota.costOf(std::nullopt));
        // A burst of 0 is none that was set.
        if (quota.isLimited() && quota.burst > 0 && quota.burst < cost)
            findings.push_back(
                {Kind::BurstUnderRequest, placeOf(config, account, Field::Burst), describe(account),
                 fmt::format("the burst is {}, a plain request costs {}", quota.burst, cost)});
    }
}

constexpr auto Rules = std::to_array<void (*)(const FleetConfig &, Findings &)>(
    {findShadowedRoutes, findUnreachableRoutes, findWeightlessRoutes, findUnknownServices,
     findDuplicateNames, findModelsWithoutRoom, findShortTimeouts, findSmallBursts});

void findRouteChanges(const FleetConfig &before, const FleetConfig &after, Findings &findings)
{
    for (const auto &route : before.routes) {
        // Requests of a route that is gone may match one with a shorter prefix.
        const Route *now = after.findRoute(route.host, route.pathPrefix);
        if (now == nullptr)
            findings.push_back({Kind::RouteGone,
                                inEarlierVersion(placeOf(before, route, Field::Name)),
                                describe(route),
                                fmt::format("nothing matches {}{}", route.host, route.pathPrefix)});
        else if (needsKey(after, *now) && !needsKey(before, route))
            findings.push_back({Kind::KeyNeeded, placeOf(after, *now, Field::Anonymous),
                                describe(route), "callers needed no key before"});
    }
    for (const auto &route : after.routes) {
        if (findEqual(before, route) == nullptr)
            findings.push_back(
                {Kind::RouteAdded, placeOf(after, route, Field::Name), describe(route),
                 fmt::format("takes requests of {}{}", route.host, route.pathPrefix)});
    }
}

/// Names of the services that requests of a route can go to.
std::vector<std::string> usedServices(const Route &route)
{
    std::vector<std::string> names;
    for (const auto &share : route.services) {
        if (share.weight > 0)
            names.push_back(share.service);
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

void findHandlingChanges(const FleetConfig &before, const FleetConfig &after, Findings &findings)
{
    for (const auto &route : before.routes) {
        const Route *now = findSuccessor(before, route, after);
        if (now == nullptr)
            continue;
        if (route.isRepeatable() && !now->isRepeatable())
            findings.push_back({Kind::RetriesLost, placeOf(after, *now, Field::RouteKind),
                                describe(*now),
                                now->kind == RouteKind::Streaming
                                    ? "its streams can no longer be resumed"
                                    : "its requests run at most once and are not repeated"});
        if (now->rank > route.rank)
            findings.push_back({Kind::PriorityLowered, placeOf(after, *now, Field::Priority),
                                describe(*now),
                                fmt::format("priority {} instead of {}, where 0 is the most urgent",
                                            now->rank, route.rank)});
        const auto earlier = usedServices(route);
        const auto later = usedServices(*now);
        if (earlier != later)
            findings.push_back({Kind::ServicesChanged, placeOf(after, *now, Field::RouteServices),
                                describe(*now),
                                fmt::format("requests go to {} instead of {}",
                                            fmt::join(later, ", "), fmt::join(earlier, ", "))});
    }
}

void findModelChanges(const FleetConfig &before, const FleetConfig &after, Findings &findings)
{
    for (const auto &service : before.services) {
        const auto *now = after.findService(service.name);
        if (now == nullptr || !service.engine || !now->engine)
            continue;
        for (const auto &model : service.engine->models) {
            if (now->engine->findModel(model.name) == nullptr)
                findings.push_back({Kind::ModelGone, placeOf(after, *now, Field::Models),
                                    describe(service),
                                    fmt::format("requests for model {} are refused", model.name)});
        }
        for (const auto &model : now->engine->models) {
            if (service.engine->findModel(model.name) == nullptr)
                findings.push_back({Kind::ModelAdded,
                                    entryOf(placeOf(after, *now, Field::Models),
                                            indexIn(now->engine->models, model)),
                                    describe(service), fmt::format("model {}", model.name)});
        }
    }
}

void findKeyChanges(const FleetConfig &before, const FleetConfig &after, Findings &findings)
{
    // Without accounts, all callers are served.
    if (!before.accounts || !after.accounts)
        return;
    const auto taken = before.accounts->countKeysMissingFrom(*after.accounts);
    for (size_t i = 0; i < taken.size(); ++i) {
        const auto &account = before.accounts->accounts()[i];
        const auto *now = after.accounts->findByDigest(account.digest);
        if (taken[i] > 0)
            findings.push_back(
                {Kind::KeysTaken,
                 now != nullptr ? placeOf(after, *now, Field::Keys)
                                : inEarlierVersion(placeOf(before, account, Field::Name)),
                 describe(account), fmt::format("{} of its keys are no longer valid", taken[i])});
    }
    const auto added = after.accounts->countKeysMissingFrom(*before.accounts);
    for (size_t i = 0; i < added.size(); ++i) {
        const auto &account = after.accounts->accounts()[i];
        if (added[i] > 0)
            findings.push_back({Kind::KeysAdded, placeOf(after, account, Field::Keys),
                                describe(account),
                                fmt::format("{} of its keys are new", added[i])});
    }
}

/// A limit of a part of the configuration.
template <typename Subject>
struct Limit
{
    std::string_view name;
    Field field;
    double (*read)(const Subject &);
};

constexpr auto RouteLimits = std::to_array<Limit<Route>>({
    {"timeout in ms", Field::Timeout,
     [](const Route &route) { return static_cast<double>(toMs(route.timeout)); }},
    {"attempts", Field::Attempts,
     [](const Route &route) { return static_cast<double>(route.maxAttempts); }},
});

constexpr auto ServiceLimits = std::to_array<Limit<ServiceSpec>>({
    {"connections", Field::Connections,
     [](const ServiceSpec &service) { return static_cast<double>(service.maxConnections); }},
    {"engine slots", Field::EngineSlots,
     [](const ServiceSpec &service) {
         return service.engine ? static_cast<double>(service.engine->slots) : 0;
     }},
    {"engine memory in tokens", Field::EngineTokens,
     [](const ServiceSpec &service) {
         return service.engine ? static_cast<double>(service.engine->kvCapacityTokens) : 0;
     }},
});

constexpr auto CallerLimitTable = std::to_array<Limit<CallerLimits>>({
    {"header bytes", Field::HeaderBytes,
     [](const CallerLimits &limits) { return static_cast<double>(limits.headerBytes); }},
    {"body bytes", Field::BodyBytes,
     [](const CallerLimits &limits) { return static_cast<double>(limits.bodyBytes); }},
    {"header timeout in ms", Field::HeaderTimeout,
     [](const CallerLimits &limits) { return static_cast<double>(toMs(limits.headerTimeout)); }},
    {"idle timeout in ms", Field::IdleTimeout,
     [](const CallerLimits &limits) { return static_cast<double>(toMs(limits.idleTimeout)); }},
});

/// Compares the limits of a part that both versions have.
template <typename Subject, size_t Size>
void findChangedLimits(const std::array<Limit<Subject>, Size> &limits, const Subject &before,
                       const FleetConfig &config, const Subject &after, Findings &findings)
{
    for (const auto &limit : limits) {
        const double earlier = limit.read(before);
        const double later = limit.read(after);
        if (later != earlier)
            findings.push_back({later < earlier ? Kind::LimitLowered : Kind::LimitRaised,
                                placeOf(config, after, limit.field), describe(after),
                                fmt::format("{} {} instead of {}", limit.name, later, earlier)});
    }
}

/// Compares the quota and the priority of an account that both versions have.
void findAccountChanges(const ClientAccount &before, const FleetConfig &config,
                        const ClientAccount &after, Findings &findings)
{
    if (before.rank && after.rank && *after.rank > *before.rank)
        findings.push_back({Kind::PriorityLowered, placeOf(config, after, Field::Priority),
                            describe(after),
                            fmt::format("priority {} instead of {}, where 0 is the most urgent",
                                        *after.rank, *before.rank)});
    const auto &earlier = before.quota;
    const auto &later = after.quota;
    const auto add = [&](Kind kind, Field field, std::string detail) {
        findings.push_back(
            {kind, placeOf(config, after, field), describe(after), std::move(detail)});
    };
    const auto compare = [&](Field field, std::string_view name, double was, double is) {
        if (is != was)
            add(is < was ? Kind::LimitLowered : Kind::LimitRaised, field,
                fmt::format("{} {} instead of {}", name, is, was));
    };
    if (!earlier.isLimited() && !later.isLimited())
        return;
    if (!later.isLimited())
        add(Kind::LimitRaised, Field::Rate, "it has no quota any more");
    else if (!earlier.isLimited())
        add(Kind::LimitLowered, Field::Rate, "it had no quota before");
    else if (earlier.unit != later.unit)
        add(Kind::LimitLowered, Field::QuotaUnit,
            fmt::format("its quota counts {} instead of {}", enumName(later.unit),
                        enumName(earlier.unit)));
    else {
        compare(Field::Rate, "rate per second", earlier.perSecond, later.perSecond);
        compare(Field::Burst, "burst", earlier.burst, later.burst);
    }
}

void findAllChangedLimits(const FleetConfig &before, const FleetConfig &after, Findings &findings)
{
    for (const auto &route : before.routes) {
        if (const Route *now = findSuccessor(before, route, after))
            findChangedLimits(RouteLimits, route, after, *now, findings);
    }
    for (const auto &service : before.services) {
        if (const ServiceSpec *now = after.findService(service.name))
            findChangedLimits(ServiceLimits, service, after, *now, findings);
    }
    findChangedLimits(CallerLimitTable, before.limits, after, after.limits, findings);
    if (!before.accounts || !after.accounts)
        return;
    for (const auto &account : before.accounts->accounts()) {
        if (const auto *now = after.accounts->findByDigest(account.digest))
            findAccountChanges(account, after, *now, findings);
    }
}

constexpr auto ChangeRules =
    std::to_array<void (*)(const FleetConfig &, const FleetConfig &, Findings &)>(
        {findRouteChanges, findHandlingChanges, findModelChanges, findKeyChanges,
         findAllChangedLimits});

Findings findAllChanges(const FleetConfig &before, const FleetConfig &after)
{
    Findings changes;
    for (const auto rule : ChangeRules)
        rule(before, after, changes);
    return changes;
}

} // namespace

bool isHarmless(ConfigFindingKind kind)
{
    switch (kind) {
    case Kind::RouteAdded:
    case Kind::ModelAdded:
    case Kind::KeysAdded:
    case Kind::LimitRaised:
    case Kind::ServicesChanged:
        return true;
    default:
        return false;
    }
}

std::vector<ConfigFinding> checkConfig(const FleetConfig &config)
{
    Findings findings;
    for (const auto rule : Rules)
        rule(config, findings);
    return findings;
}

std::vector<ConfigFinding> checkAttempts(const FleetConfig &config, const UpstreamCounts &counts)
{
    Findings findings;
    for (const auto &route : config.routes) {
        for (const auto &service : usedServices(route)) {
            const auto count = counts.find(service);
            const size_t upstreams = count == counts.end() ? 0 : count->second;
            if (static_cast<size_t>(route.maxAttempts) > upstreams)
                findings.push_back(
                    {Kind::TooManyAttempts, placeOf(config, route, Field::Attempts),
                     describe(route),
                     fmt::format("up to {} attempts, but service {} has {} upstreams",
                                 route.maxAttempts, service, upstreams)});
        }
    }
    return findings;
}

std::vector<ConfigFinding> compareConfigs(const FleetConfig &before, const FleetConfig &after)
{
    auto changes = findAllChanges(before, after);
    std::erase_if(changes, [](const ConfigFinding &change) { return isHarmless(change.kind); });
    return changes;
}

std::vector<ConfigFinding> findHarmlessChanges(const FleetConfig &before, const FleetConfig &after)
{
    auto changes = findAllChanges(before, after);
    std::erase_if(changes, [](const ConfigFinding &change) { return !isHarmless(change.kind); });
    return changes;
}

} // namespace tray
