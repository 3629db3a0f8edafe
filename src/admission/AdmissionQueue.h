// Queue of the requests for an upstream: admits or refuses each request immediately, and starts the
// admitted ones in the order of tier and deadline.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include "dataplane.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tray {

/// Properties of a request that admission depends on.
struct AdmissionWork
{
    uint64_t ticket = 0;
    /// Rank 0 is the highest tier.
    uint32_t tierRank = 0;
    Instant deadline;
    /// Both are empty for services without models.
    std::string model;
    std::string adapter;
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    /// Maximum size of the request's KV cache, in bytes.
    uint64_t kvBytes = 0;
    /// The request is suspected of crashing upstreams, so it must run alone.
    bool suspect = false;
};

/// Limits of one upstream.
struct AdmissionLimits
{
    /// Number of requests that the upstream runs concurrently.
    uint32_t concurrency = 16;
    /// Percentage of the concurrency and of the KV cache that a tier leaves free for higher tiers,
    /// multiplied by its rank: with 5, rank 2 leaves 10 % free.
    uint32_t withheldPercentPerRank = 5;
    /// Ranks above this leave as much free as this rank.
    uint32_t maxWithholdingRank = 3;
    /// Limit of the number of queued requests.
    uint32_t queueLimit = 1024;
};

/// Access to the state of the upstream's memory and models.
struct AdmissionResources
{
    /// Whether the model and adapter that the work needs are ready.
    std::function<bool(const AdmissionWork &)> isReady;
    /// Expected time until the missing items are ready; nothing if they will not be loaded.
    std::function<std::optional<Duration>(const AdmissionWork &)> readyAfter;
    /// Memory that is free for KV cache, in bytes.
    std::function<uint64_t()> freeKvBytes;
    /// Maximum memory for KV cache, in bytes.
    uint64_t kvCapacityBytes = 0;
    /// Reserves memory for KV cache. Returns false if it does not fit.
    std::function<bool(uint64_t bytes)> reserveKv;
};

/// Decides which requests run. Does no I/O and reads no clock; its only side effect outside the
/// queue is to reserve KV cache through AdmissionResources. Not thread-safe.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionLimits limits) : limits(limits) {}

    /// Queues the work, or returns the error with which it is refused. A refused request never
    /// runs.
    std::optional<Error> offer(const AdmissionWork &work, const AdmissionResources &resources,
                               Instant now);
    /// Returns the tickets of the work to start now, in order, and reserves their KV cache.
    std::vector<uint64_t> start(const AdmissionResources &resources, Instant now);
    /// Removes and returns the queued work whose deadline has passed or whose items will not be
    /// loaded.
    std::vector<std::pair<uint64_t, Error>> expire(const AdmissionResources &resources,
                                                   Instant now);
    /// Removes work from the queue. Returns false if it is not queued.
    bool remove(uint64_t ticket);
    /// Removes all queued work and returns its tickets.
    std::vector<uint64_t> clear();
    /// Records the end of running work whose KV cache the caller has released.
    void finish(uint64_t ticket, Instant now, uint32_t generatedTokens);

    /// Predicted wait of new work in a tier.
    Duration predictedWait(uint32_t tierRank) const;
    size_t running() const { return this->runningWork.size(); }
    size_t queued() const { return this->queue.size(); }
    bool isRunning(uint64_t ticket) const { return this->runningWork.contains(ticket); }
    /// Visit the queued or the running work, for the reconciler.
    void forEachQueued(const std::function<void(const AdmissionWork &)> &visit) const;
    void forEachRunning(const std::function<void(const AdmissionWork &)> &visit) const;
    /// Sets the counts, predicted waits and time per token of a load report.
    void fillLoad(proto::Load &load) const;
    /// Moving average of the time from start to end of a request.
    Duration serviceTime() const { return this->meanServiceTime; }
    uint32_t concurrency() const { return this->limits.concurrency; }

private:
    struct PriorityOrder
    {
        bool operator()(const AdmissionWork &a, const AdmissionWork &b) const;
    };
    struct Running
    {
        AdmissionWork work;
        Instant startedAt;
    };

    uint32_t withheldSlots(uint32_t tierRank) const;
    uint64_t withheldKvBytes(uint32_t tierRank, uint64_t kvCapacityBytes) const;
    bool hasSlot(uint32_t tierRank) const;
    Duration estimateWait(uint32_t tierRank, size_t queuedAhead) const;
    std::vector<AdmissionWork> collectReadyWork(const AdmissionResources &resources) const;

    AdmissionLimits limits;
    // Invariant: a ticket is in at most one of queue and runningWork.
    std::set<AdmissionWork, PriorityOrder> queue;
    std::map<uint64_t, Running> runningWork;
    bool isSuspectRunning = false;
    // Moving averages; the initial values apply until the first request has ended.
    Duration meanServiceTime = milliseconds(100);
    Duration meanTimePerToken = std::chrono::microseconds(5000);
};

} // namespace tray
