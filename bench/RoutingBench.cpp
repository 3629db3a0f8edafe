// Measures the time to choose an upstream for a request, and to rebuild the router's index after a
// status has changed.
#include "BenchFleet.h"
#include "routing/Router.h"

using namespace tray;

namespace {

RouteTarget targetOf(const std::string &model)
{
    RouteTarget target;
    target.model = model;
    target.version = "1";
    target.pool = "engines";
    return target;
}

RouteQuery makeQuery()
{
    RouteQuery query;
    query.remaining = std::chrono::seconds(5);
    query.promptTokens = 200;
    query.maxTokens = 100;
    return query;
}

void chooseUpstream(benchmark::State &state, const std::string &strategy)
{
    const auto statuses =
        std::make_shared<const std::vector<std::shared_ptr<const proto::UpstreamStatus>>>(
            bench::makeStatuses(state.range(0), state.range(1)));
    const RouteSources sources{statuses, bench::makeInstances(*statuses)};
    Router router("dc0", "r1", makeRoutingStrategy(strategy));
    std::mt19937_64 random(1);
    std::vector<std::string> names;
    for (int64_t number = 0; number < state.range(1); ++number)
        names.push_back(bench::modelName(number));
    const RouteQuery query = makeQuery();
    const Instant now{std::chrono::hours(1)};
    size_t next = 0;
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(
            router.choose(targetOf(names[next++ % names.size()]), query, sources, {}, now, random));
}

void rebuildIndex(benchmark::State &state)
{
    const auto statuses = bench::makeStatuses(state.range(0), state.range(1));
    const auto instances = bench::makeInstances(statuses);
    Router router("dc0", "r1", makeRoutingStrategy("predictive"));
    std::mt19937_64 random(1);
    const std::string model = bench::modelName(0);
    const RouteQuery query = makeQuery();
    const Instant now{std::chrono::hours(1)};
    for ([[maybe_unused]] auto _ : state) {
        state.PauseTiming();
        const RouteSources sources{
            std::make_shared<const std::vector<std::shared_ptr<const proto::UpstreamStatus>>>(
                statuses),
            instances};
        state.ResumeTiming();
        benchmark::DoNotOptimize(router.choose(targetOf(model), query, sources, {}, now, random));
    }
}

} // namespace

BENCHMARK_CAPTURE(chooseUpstream, predictive, std::string("predictive"))
    ->Apply(bench::applyFleetSizes);
BENCHMARK_CAPTURE(chooseUpstream, leastLoaded, std::string("least-loaded"))
    ->Apply(bench::applyFleetSizes);
BENCHMARK(rebuildIndex)->Apply(bench::applyFleetSizes);

BENCHMARK_MAIN();
