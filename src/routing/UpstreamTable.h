// All upstream views by name, in shards that each have a lock of their own.
#pragma once

#include "routing/UpstreamView.h"

#include <array>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace tray {

/// Finds and makes upstream views. Safe to use from any thread.
class UpstreamTable
{
public:
    /// View of an upstream, made on first use. It keeps its state while anybody holds it or the
    /// table does.
    std::shared_ptr<UpstreamView> view(std::string_view upstream);

private:
    static constexpr size_t ShardCount = 16;

    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<std::string, std::shared_ptr<UpstreamView>> views;
    };

    std::array<Shard, ShardCount> shards;
};

} // namespace tray
