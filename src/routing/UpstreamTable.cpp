#include "routing/UpstreamTable.h"

#include "base/Hash.h"

namespace tray {

std::shared_ptr<UpstreamView> UpstreamTable::view(std::string_view upstream)
{
    auto &shard = this->shards[hash64(upstream) % ShardCount];
    const std::string name(upstream);
    const std::lock_guard lock(shard.mutex);
    auto &view = shard.views[name];
    if (!view)
        view = std::make_shared<UpstreamView>(name);
    return view;
}

} // namespace tray
