// Runs one claim shard with the object API as its storage.
#pragma once

#include "claims/ClaimShard.h"
#include "observe/Metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tray {

class ObjectApi;

/// Performs the actions of a ClaimShard and passes results of calls and timer events to it, on a
/// strand of its own. Safe to use from any thread. Held by shared pointers, since calls in flight
/// keep it alive.
class ClaimShardRunner : public std::enable_shared_from_this<ClaimShardRunner>
{
public:
    using Reply = std::function<void(proto::ClaimReply)>;

    ClaimShardRunner(boost::asio::io_context &context, ObjectApi &objects, uint32_t shard,
                     std::string owner, ClaimShardSettings settings, Metrics &metrics);

    /// Handles a begin, finish or release. The reply is called once, on the strand.
    void handle(proto::ControlRequest request, Reply reply);
    /// Frees the shard's memory if it is idle. The next request reads the shard again.
    void unload();
    /// Cancels the timer. Calls in flight are not cancelled.
    void stop();

private:
    using Event = std::function<void(ClaimShard &shard, Instant now, WallMs wall)>;

    void dispatch(const Event &event);
    void run(const proto::ControlRequest &request, uint64_t waiter);
    void perform(ClaimAction action);
    void answer(uint64_t waiter, proto::ClaimReply reply);
    boost::asio::awaitable<void> read(uint64_t call, std::string key);
    boost::asio::awaitable<void> write(ClaimAction action);
    boost::asio::awaitable<void> remove(std::string key, uint64_t version);
    void armTimer();
    std::unique_ptr<ClaimShard> makeShard() const;

    ObjectApi &objects;
    const uint32_t number;
    const std::string owner;
    const ClaimShardSettings settings;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    boost::asio::steady_timer timer;
    Counter &writes;
    Counter &failedWrites;
    LatencyHistogram &writeLatency;
    Metrics &metrics;

    // Used on the strand only.
    std::unique_ptr<ClaimShard> shard;
    std::map<uint64_t, Reply> waiters;
    uint64_t lastWaiter = 0;
    bool stopped = false;
};

} // namespace tray
