// Measures the duration of a planning round at the current and at the target fleet sizes.
#include "placement/Planner.h"

#include <cstdio>
#include <random>

namespace tray {

namespace {

constexpr uint64_t Gb = 1'000'000'000;

double planMs(const PlanInput &input, Instant now, PlacementPlan &plan)
{
    const auto startedAt = std::chrono::steady_clock::now();
    plan = *makePlanner("planned")->plan(input, now);
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt)
        .count();
}

void measure(int engines, int models)
{
    std::mt19937_64 random(7);
    const Instant now{std::chrono::hours(1)};
    std::vector<proto::CatalogueObject> objects;
    DemandTracker demand;
    for (int i = 0; i < models; ++i) {
        proto::CatalogueObject object;
        object.set_name("m" + std::to_string(i));
        proto::Model &model = *object.mutable_model();
        model.set_pool("gpu");
        model.set_weight_bytes((2 + random() % 12) * Gb);
        model.set_kv_bytes_per_token(50000);
        model.set_max_context_tokens(8000);
        model.set_min_replicas(1);
        objects.push_back(object);
        proto::Demand row;
        row.set_name(object.name());
        row.set_region(i % 2 == 0 ? "a" : "b");
        row.set_requests(10);
        // Few models have most of the demand.
        row.set_tokens(static_cast<uint32_t>(engines * 1500 / (i + 1)));
        demand.add(row, now);
    }
    const Catalogue catalogue(1, objects);
    std::vector<std::shared_ptr<const proto::UpstreamStatus>> statuses;
    for (int i = 0; i < engines; ++i) {
        auto status = std::make_shared<proto::UpstreamStatus>();
        status->set_upstream("e" + std::to_string(i));
        status->set_pool("gpu");
        status->set_region(i % 2 == 0 ? "a" : "b");
        status->set_memory_bytes(80 * Gb);
        status->set_concurrency(16);
        statuses.push_back(std::move(status));
    }
    PlacementPlan current;
    PlacementPlan next;
    const double firstMs = planMs({catalogue, statuses, demand, current}, now, next);
    current = next;
    const double secondMs = planMs({catalogue, statuses, demand, current}, now, next);
    std::printf("engines=%d models=%d first_plan_ms=%.1f next_plan_ms=%.1f rests=%d\n", engines,
                models, firstMs, secondMs, static_cast<int>(next == current));
}

} // namespace

} // namespace tray

int main()
{
    tray::measure(18, 40);
    tray::measure(100, 200);
    tray::measure(1200, 730);
    return 0;
}
