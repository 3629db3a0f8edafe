// Synthetic fleets for benchmarks of the routing decisions.
#pragma once

#include "control.pb.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <vector>

namespace tray::bench {

/// Runs a benchmark at three fleet sizes, each given as the number of engines and of models: the
/// size of the deployments, a medium size, and the target size in two years.
inline void applyFleetSizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Args({12, 20})->Args({120, 200})->Args({1200, 730})->Unit(benchmark::kMicrosecond);
}

inline std::string modelName(int64_t number)
{
    return fmt::format("model-{:03}", number);
}

/// Statuses of all engines. Each engine holds two models and ten adapters; each model is held by
/// about 2 * engines / models engines.
inline std::vector<std::shared_ptr<const proto::UpstreamStatus>> makeStatuses(int64_t engines,
                                                                              int64_t models)
{
    std::vector<std::shared_ptr<const proto::UpstreamStatus>> statuses;
    for (int64_t engine = 0; engine < engines; ++engine) {
        auto status = std::make_shared<proto::UpstreamStatus>();
        status->set_upstream(fmt::format("engine-{:04}", engine));
        status->set_epoch(1);
        status->set_sequence(1);
        status->set_pool("engines");
        status->set_data_centre(fmt::format("dc{}", engine % 7));
        status->set_region(engine % 7 < 4 ? "r1" : "r2");
        status->set_data_address(fmt::format("127.1.{}.{}:7001", engine / 250, engine % 250 + 1));
        status->set_control_address(
            fmt::format("127.1.{}.{}:7000", engine / 250, engine % 250 + 1));
        status->set_instance(fmt::format("agent-{:04}", engine));
        status->set_accelerators(8);
        status->set_concurrency(16);
        status->set_memory_bytes(16000000000);
        for (int64_t slot = 0; slot < 2; ++slot) {
            auto *item = status->add_items();
            item->set_name(modelName((engine * 2 + slot) % models));
            item->set_version("1");
            item->set_ready(true);
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

/// Instance list with the agents of the engines in the statuses.
inline std::shared_ptr<proto::InstanceList>
makeInstances(const std::vector<std::shared_ptr<const proto::UpstreamStatus>> &statuses)
{
    auto list = std::make_shared<proto::InstanceList>();
    list->set_revision(1);
    for (const auto &status : statuses) {
        auto *entry = list->add_instances();
        entry->set_id(status->instance());
        entry->set_role("agent");
        entry->set_data_centre(status->data_centre());
        entry->set_region(status->region());
        entry->set_control_address(status->control_address());
        entry->set_data_address(status->data_address());
        entry->set_upstream(status->upstream());
    }
    return list;
}

} // namespace tray::bench
