// Idle data channels to agents, kept for the next attempts.
#pragma once

#include "net/FrameChannel.h"

#include <array>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

namespace tray {

/// Pool of idle channels by address. Safe to use from any thread.
class ChannelPool
{
public:
    /// Idle channels kept for one agent.
    static constexpr size_t MaxIdle = 128;
    /// Channels that were idle for longer are closed.
    static constexpr Duration MaxIdleTime = std::chrono::seconds(30);

    /// An idle channel on the given executor, or null. The newest one is taken first, so that
    /// surplus channels age and are closed.
    std::unique_ptr<FrameChannel> take(const std::string &address,
                                       const boost::asio::any_io_executor &executor, Instant now);
    /// Gives back a channel that carries no attempt any more.
    void put(const std::string &address, std::unique_ptr<FrameChannel> channel, Instant now);

private:
    struct Idle
    {
        std::unique_ptr<FrameChannel> channel;
        Instant since;
    };
    struct Shard
    {
        std::mutex mutex;
        // Oldest first.
        std::unordered_map<std::string, std::deque<Idle>> idle;
    };
    static constexpr size_t ShardCount = 16;

    Shard &shardOf(const std::string &address);

    std::array<Shard, ShardCount> shards;
};

} // namespace tray
