// Stores idle channels in shards by address, to reduce contention on the locks.
#include "entry/ChannelPool.h"

#include "base/Hash.h"

namespace tray {

ChannelPool::Shard &ChannelPool::shardOf(const std::string &address)
{
    return this->shards[hash64(address) % ShardCount];
}

std::unique_ptr<FrameChannel> ChannelPool::take(const std::string &address,
                                                const boost::asio::any_io_executor &executor,
                                                Instant now)
{
    auto &shard = this->shardOf(address);
    while (true) {
        IdleChannel idle;
        {
            const std::lock_guard lock(shard.mutex);
            const auto found = shard.idle.find(address);
            if (found == shard.idle.end() || found->second.empty())
                return nullptr;
            idle = std::move(found->second.back());
            found->second.pop_back();
        }
        // An old or unusable channel is closed when idle goes out of scope, outside of the lock.
        if (now - idle.idleSince > MaxIdleTime || !idle.channel->isUsable())
            continue;
        if (auto channel = FrameChannel::rebind(std::move(idle.channel), executor))
            return channel;
    }
}

void ChannelPool::put(const std::string &address, std::unique_ptr<FrameChannel> channel,
                      Instant now)
{
    auto &shard = this->shardOf(address);
    IdleChannel surplus;
    const std::lock_guard lock(shard.mutex);
    auto &idle = shard.idle[address];
    if (!idle.empty() &&
        (idle.size() >= MaxIdlePerAgent || now - idle.front().idleSince > MaxIdleTime)) {
        surplus = std::move(idle.front());
        idle.pop_front();
    }
    idle.push_back({std::move(channel), now});
}

} // namespace tray
