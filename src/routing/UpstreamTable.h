// Upstream views by name, in shards with one lock each.
#pragma once

#include "routing/UpstreamView.h"

#include <array>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace tray {

/// Looks up and creates upstream views. Thread-safe.
class UpstreamTable
{
public:
    /// Returns the view of an upstream, which is created on first use and kept as long as the table
    /// or a caller refers to it.
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
