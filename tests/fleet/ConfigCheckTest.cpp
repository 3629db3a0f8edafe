// Findings of the check of a configuration, and what a new version takes from callers.
#include "fleet/ConfigCheck.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

const std::string SecretKey = "sk-secret-4711";

Route routeOf(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "a.example";
    route.pathPrefix = prefix;
    route.services = {{"shop", 1}};
    return route;
}

struct AccountText
{
    std::string name;
    std::vector<std::string> keys;
    QuotaSpec quota;
};

std::shared_ptr<const AccountDirectory> makeAccounts(const std::vector<AccountText> &accounts)
{
    auto directory = std::make_shared<AccountDirectory>();
    for (const auto &text : accounts) {
        ClientAccount account;
        account.name = text.name;
        account.quota = text.quota;
        REQUIRE(isOk(directory->add(account)));
        for (const auto &key : text.keys)
            REQUIRE(isOk(directory->addKey(key)));
    }
    REQUIRE(isOk(directory->indexKeys()));
    return directory;
}

FleetConfig makeConfig()
{
    FleetConfig config;
    config.routes = {routeOf("look", "/look/"), routeOf("all", "/")};
    ServiceSpec service;
    service.name = "shop";
    EngineSpec engine;
    engine.weightsMb = 100;
    engine.slots = 8;
    engine.models = {{"m1", 100}};
    service.engine = std::make_shared<EngineSpec>(engine);
    config.services = {service};
    config.accounts = makeAccounts(
        {{"red", {SecretKey, "red-2"}, {100, 200, QuotaUnit::Tokens, 200}}, {"blue", {"blue-1"}}});
    return config;
}

void checkOnly(const std::vector<ConfigFinding> &findings, ConfigFindingKind kind,
               const std::string &subject)
{
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].kind == kind);
    CHECK(findings[0].subject == subject);
    CHECK(findings[0].detail.find(SecretKey) == std::string::npos);
}

} // namespace

TEST_CASE("A configuration that is sound has no findings")
{
    CHECK(checkConfig(makeConfig()).empty());
    CHECK(compareConfigs(makeConfig(), makeConfig()).empty());
}

TEST_CASE("The check finds what is wrong in one version")
{
    // Guards against operators who learn of a mistake from their callers.
    auto config = makeConfig();
    SUBCASE("a route behind one of equal host and prefix")
    {
        config.routes.push_back(routeOf("late", "/look/"));
        checkOnly(checkConfig(config), ConfigFindingKind::ShadowedRoute, "route late");
        config.routes.back().host = "b.example";
        CHECK(checkConfig(config).empty());
    }
    SUBCASE("a route that no request matches")
    {
        for (const auto *prefix : {"look/", "*", "/look?a=", "/look/#top"}) {
            config.routes[0].pathPrefix = prefix;
            checkOnly(checkConfig(config), ConfigFindingKind::UnreachableRoute, "route look");
        }
        config.routes[0].pathPrefix = "";
        CHECK(checkConfig(config).empty());
        config.routes[0].host = "a.example:8080";
        checkOnly(checkConfig(config), ConfigFindingKind::UnreachableRoute, "route look");
    }
    SUBCASE("a service or a model behind one of the same name")
    {
        auto engine = *config.services[0].engine;
        engine.models.push_back({"m1", 50});
        config.services[0].engine = std::make_shared<EngineSpec>(engine);
        checkOnly(checkConfig(config), ConfigFindingKind::DuplicateName, "service shop");
        CHECK(checkConfig(config)[0].place ==
              ConfigPlace{ConfigPart::Services, 0, ConfigField::Models, 1, false});
        config = makeConfig();
        config.services.push_back(config.services[0]);
        checkOnly(checkConfig(config), ConfigFindingKind::DuplicateName, "service shop");
        CHECK(checkConfig(config)[0].place ==
              ConfigPlace{ConfigPart::Services, 1, ConfigField::Name, {}, false});
    }
    SUBCASE("a route whose services all have weight 0")
    {
        config.routes[0].services = {{"shop", 0}, {"shop", 0}};
        checkOnly(checkConfig(config), ConfigFindingKind::NoWeight, "route look");
        config.routes[0].services[1].weight = 1;
        CHECK(checkConfig(config).empty());
    }
    SUBCASE("a service that does not exist")
    {
        config.routes[1].services.push_back({"gone", 1});
        checkOnly(checkConfig(config), ConfigFindingKind::UnknownService, "route all");
    }
    SUBCASE("a model that no engine has room for")
    {
        auto engine = *config.services[0].engine;
        engine.models.push_back({"m2", 100.5});
        config.services[0].engine = std::make_shared<EngineSpec>(engine);
        checkOnly(checkConfig(config), ConfigFindingKind::NoRoomForModel, "service shop");
    }
    SUBCASE("a timeout under the latency goal")
    {
        config.routes[0].timeout = config.routes[0].latencyGoal;
        CHECK(checkConfig(config).empty());
        config.routes[0].timeout -= milliseconds(1);
        checkOnly(checkConfig(config), ConfigFindingKind::TimeoutUnderGoal, "route look");
    }
    SUBCASE("a burst under the cost of one request")
    {
        config.accounts = makeAccounts({{"red", {SecretKey}, {100, 199, QuotaUnit::Tokens, 200}},
                                        {"blue", {"blue-1"}, {100, 0, QuotaUnit::Tokens, 200}},
                                        {"grey", {}, {0, 1, QuotaUnit::Tokens, 200}},
                                        {"pink", {}, {5, 1, QuotaUnit::Requests, 200}}});
        checkOnly(checkConfig(config), ConfigFindingKind::BurstUnderRequest, "account red");
    }
}

TEST_CASE("The check finds more attempts than a service has upstreams")
{
    auto config = makeConfig();
    config.routes[0].maxAttempts = 3;
    CHECK(checkAttempts(config, {{"shop", 3}}).empty());
    checkOnly(checkAttempts(config, {{"shop", 2}}), ConfigFindingKind::TooManyAttempts,
              "route look");
    SUBCASE("for each service that gets requests")
    {
        config.routes[0].services = {{"shop", 1}, {"desk", 0}};
        CHECK(checkAttempts(config, {{"shop", 3}}).empty());
        config.routes[0].services[1].weight = 1;
        checkOnly(checkAttempts(config, {{"shop", 3}}), ConfigFindingKind::TooManyAttempts,
                  "route look");
    }
    SUBCASE("and none at all")
    {
        CHECK(checkAttempts(config, {}).size() == 2);
    }
}

TEST_CASE("The comparison finds what callers lose")
{
    const auto before = makeConfig();
    auto after = before;
    const auto compare = [&] { return compareConfigs(before, after); };
    SUBCASE("a route, unless another one matches its requests")
    {
        after.routes.pop_back();
        checkOnly(compare(), ConfigFindingKind::RouteGone, "route all");
        after.routes = {before.routes[1]};
        CHECK(compare().empty());
    }
    SUBCASE("access without a key")
    {
        auto open = before;
        open.accounts = nullptr;
        CHECK(compareConfigs(open, before).size() == 2);
        CHECK(compareConfigs(before, open).empty());
        open = before;
        open.routes[0].anonymous = true;
        checkOnly(compareConfigs(open, before), ConfigFindingKind::KeyNeeded, "route look");
    }
    SUBCASE("keys, of which only the number is told, also if another account has them now")
    {
        after.accounts =
            makeAccounts({{"red", {"red-2", "red-3"}, {100, 200, QuotaUnit::Tokens, 200}},
                          {"blue", {"blue-1", SecretKey}}});
        checkOnly(compare(), ConfigFindingKind::KeysTaken, "account red");
        CHECK(compare()[0].detail == "1 of its keys are no longer valid");
        after.accounts =
            makeAccounts({{"red", {SecretKey, "red-2"}, before.accounts->accounts()[0].quota}});
        checkOnly(compare(), ConfigFindingKind::KeysTaken, "account blue");
    }
    SUBCASE("limits that are lowered, and none that are raised")
    {
        after.routes[0].timeout -= milliseconds(1);
        checkOnly(compare(), ConfigFindingKind::LimitLowered, "route look");
        CHECK(compareConfigs(after, before).empty());
        after = before;
        after.services[0].maxConnections = 1;
        checkOnly(compare(), ConfigFindingKind::LimitLowered, "service shop");
        after = before;
        after.limits.bodyBytes -= 1;
        checkOnly(compare(), ConfigFindingKind::LimitLowered, "all callers");
    }
    SUBCASE("parts of a quota")
    {
        for (const QuotaSpec quota : {QuotaSpec{99, 200, QuotaUnit::Tokens, 200},
                                      QuotaSpec{100, 199, QuotaUnit::Tokens, 100},
                                      QuotaSpec{100, 200, QuotaUnit::Requests, 200}}) {
            after.accounts =
                makeAccounts({{"red", {SecretKey, "red-2"}, quota}, {"blue", {"blue-1"}}});
            checkOnly(compare(), ConfigFindingKind::LimitLowered, "account red");
        }
        after.accounts = makeAccounts({{"red", {SecretKey, "red-2"}}, {"blue", {"blue-1"}}});
        CHECK(compare().empty());
        checkOnly(compareConfigs(after, before), ConfigFindingKind::LimitLowered, "account red");
    }
    SUBCASE("a model, but not one that another service keeps")
    {
        auto engine = *after.services[0].engine;
        engine.models = {{"m2", 50}};
        after.services[0].engine = std::make_shared<EngineSpec>(engine);
        checkOnly(compare(), ConfigFindingKind::ModelGone, "service shop");
        after = before;
        after.services.clear();
        CHECK(compare().empty());
    }
    SUBCASE("priority, of routes and of accounts that had one")
    {
        after.routes[0].rank = 1;
        checkOnly(compare(), ConfigFindingKind::PriorityLowered, "route look");
        CHECK(compareConfigs(after, before).empty());
        auto accounts = *before.accounts;
        ClientAccount account;
        account.name = "grey";
        account.rank = 2;
        REQUIRE(isOk(accounts.add(account)));
        auto ranked = before;
        ranked.accounts = std::make_shared<AccountDirectory>(accounts);
        after = before;
        accounts = *before.accounts;
        account.rank = 3;
        REQUIRE(isOk(accounts.add(account)));
        after.accounts = std::make_shared<AccountDirectory>(accounts);
        checkOnly(compareConfigs(ranked, after), ConfigFindingKind::PriorityLowered,
                  "account grey");
        CHECK(compareConfigs(after, ranked).empty());
    }
    SUBCASE("retries and resumed streams")
    {
        auto repeated = before;
        repeated.routes[0].kind = RouteKind::Idempotent;
        checkOnly(compareConfigs(repeated, after), ConfigFindingKind::RetriesLost, "route look");
        CHECK(compareConfigs(after, repeated).empty());
        repeated.routes[0].kind = RouteKind::Streaming;
        repeated.routes[0].resumable = true;
        after.routes[0].kind = RouteKind::Streaming;
        checkOnly(compareConfigs(repeated, after), ConfigFindingKind::RetriesLost, "route look");
    }
    SUBCASE("what a route that is gone had and the one that takes its requests has not")
    {
        after.routes.erase(after.routes.begin());
        after.routes[0].timeout -= milliseconds(1);
        const auto lost = compare();
        REQUIRE(lost.size() == 2);
        CHECK(lost[0].kind == ConfigFindingKind::LimitLowered);
        CHECK(lost[0].subject == "route all");
        CHECK(lost[0] == lost[1]);
    }
    SUBCASE("and each loss has its place, in the earlier version if it is in that one only")
    {
        after.routes.pop_back();
        CHECK(compare()[0].place ==
              ConfigPlace{ConfigPart::Routes, 1, ConfigField::Name, {}, true});
        after = before;
        after.limits.idleTimeout -= milliseconds(1);
        CHECK(compare()[0].place ==
              ConfigPlace{ConfigPart::CallerLimits, 0, ConfigField::IdleTimeout, {}, false});
        after = before;
        after.accounts = makeAccounts({{"blue", {"blue-1"}}});
        CHECK(compare()[0].place ==
              ConfigPlace{ConfigPart::Accounts, 0, ConfigField::Name, {}, true});
        after.accounts = makeAccounts({{"blue", {}}, {"red", {SecretKey, "red-2"}}});
        REQUIRE(compare().size() == 1);
        CHECK(compare()[0].place ==
              ConfigPlace{ConfigPart::Accounts, 0, ConfigField::Keys, {}, false});
    }
}

TEST_CASE("Changes that take nothing from callers are told apart from losses")
{
    const auto before = makeConfig();
    auto after = before;
    const auto checkChange = [&](ConfigFindingKind kind, const std::string &subject) {
        CHECK(compareConfigs(before, after).empty());
        checkOnly(findHarmlessChanges(before, after), kind, subject);
        CHECK(isHarmless(kind));
    };
    CHECK(findHarmlessChanges(before, after).empty());
    SUBCASE("a route more")
    {
        after.routes.push_back(routeOf("new", "/new/"));
        checkChange(ConfigFindingKind::RouteAdded, "route new");
    }
    SUBCASE("a model more")
    {
        auto engine = *after.services[0].engine;
        engine.models.push_back({"m2", 50});
        after.services[0].engine = std::make_shared<EngineSpec>(engine);
        checkChange(ConfigFindingKind::ModelAdded, "service shop");
    }
    SUBCASE("a key more")
    {
        after.accounts = makeAccounts(
            {{"red", {SecretKey, "red-2", "red-3"}, before.accounts->accounts()[0].quota},
             {"blue", {"blue-1"}}});
        checkChange(ConfigFindingKind::KeysAdded, "account red");
    }
    SUBCASE("a higher limit, or none")
    {
        after.routes[0].maxAttempts = 2;
        checkChange(ConfigFindingKind::LimitRaised, "route look");
        after = before;
        after.accounts = makeAccounts({{"red", {SecretKey, "red-2"}}, {"blue", {"blue-1"}}});
        checkChange(ConfigFindingKind::LimitRaised, "account red");
    }
    SUBCASE("other services of a route, but not other weights of the same ones")
    {
        after.routes[0].services = {{"shop", 1}, {"desk", 0}};
        CHECK(findHarmlessChanges(before, after).empty());
        after.routes[0].services = {{"shop", 1}, {"desk", 2}};
        checkChange(ConfigFindingKind::ServicesChanged, "route look");
        CHECK(findHarmlessChanges(before, after)[0].detail ==
              "requests go to desk, shop instead of shop");
    }
}
