// Pool of idle data channels to agents, which later attempts reuse.
#pragma once

#include "net/FrameChannel.h"

#include <array>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

namespace tray {

/// Idle channels by the agent's address. Safe to use from any thread.
class ChannelPool
{
public:
    /// Number of idle channels kept for one agent.
    static constexpr size_t MaxIdlePerAgent = 128;
    /// Channels that have been idle for longer are closed.
    static constexpr Duration MaxIdleTime = std::chrono::seconds(30);

    /// Removes an idle channel from the pool and binds it to the executor. Returns null if there is
    /// none. The most recently used one is taken first, so that surplus channels reach the maximum
    /// idle time and are closed.
    std::unique_ptr<FrameChannel> take(const std::string &address,
                                       const boost::asio::any_io_executor &executor, Instant now);
    /// Returns a channel whose attempt has ended to the pool.
    void put(const std::string &address, std::unique_ptr<FrameChannel> channel, Instant now);

private:
    struct IdleChannel
    {
        std::unique_ptr<FrameChannel> channel;
        Instant idleSince;
    };
    struct Shard
    {
        std::mutex mutex;
        // By address, longest idle first.
        std::unordered_map<std::string, std::deque<IdleChannel>> idle;
    };
    static constexpr size_t ShardCount = 16;

    Shard &shardOf(const std::string &address);

    std::array<Shard, ShardCount> shards;
};

} // namespace tray
