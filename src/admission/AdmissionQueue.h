// Queue of an upstream's requests: admits or refuses at once, and starts them by tier and deadline.
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

/// A request as admission sees it.
struct AdmissionWork
{
    uint64_t ticket = 0;
    uint32_t tierRank = 0;
    Instant deadline;
    /// Empty for a plain service.
    std::string model;
    std::string adapter;
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    /// Highest KV cache that the request may reach.
    uint64_t kvBytes = 0;
    /// Suspected of crashing upstreams; runs alone.
    bool suspect = false;
};

/// Limits of an upstream.
struct AdmissionLimits
{
    /// Requests that the upstream runs at once.
    uint32_t concurrency = 16;
    /// Part of the concurrency, in percent, that each lower tier rank leaves to higher tiers.
    uint32_t reservePercent = 5;
    /// Lowest rank for which a reserve grows.
    uint32_t reservedRanks = 3;
    /// Requests that may wait in the queue.
    uint32_t queueLimit = 1024;
};

/// What the queue asks of the upstream's state.
struct AdmissionResources
{
    /// The items that the work needs are ready.
    std::function<bool(const AdmissionWork &)> isReady;
    /// Time after which missing items are expected to be ready; nothing if they never will.
    std::function<std::optional<Duration>(const AdmissionWork &)> readyAfter;
    /// Free memory for KV cache, in bytes.
    std::function<uint64_t()> kvFree;
    /// Memory that KV cache can reach at most, in bytes.
    uint64_t kvMost = 0;
    /// Reserves KV cache; false if it does not fit.
    std::function<bool(uint64_t bytes)> reserveKv;
};

/// Decides what runs. Pure: the KV reservations are made through AdmissionResources. Not safe for
/// concurrent use.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionLimits limits) : limits(limits) {}

    /// Queues the work, or tells why it is refused. A refused request never runs.
    std::optional<Error> offer(const AdmissionWork &work, const AdmissionResources &resources,
                               Instant now);
    /// Tickets to dispatch now, in order. Their KV cache has been reserved.
    std::vector<uint64_t> start(const AdmissionResources &resources, Instant now);
    /// Queued work whose deadline has passed or whose items will never be ready; it leaves the
    /// queue.
    std::vector<std::pair<uint64_t, Error>> expire(const AdmissionResources &resources,
                                                   Instant now);
    /// Takes work out of the queue. Returns false if it is not queued.
    bool remove(uint64_t ticket);
    /// Refuses everything that is queued.
    std::vector<uint64_t> clear();
    /// Running work has ended; the caller has released its KV cache.
    void finish(uint64_t ticket, Instant now, uint32_t generatedTokens);

    /// Predicted wait of new work of a tier.
    Duration predictedWait(uint32_t tierRank) const;
    size_t running() const { return this->runningWork.size(); }
    size_t queued() const { return this->queue.size(); }
    bool isRunning(uint64_t ticket) const { return this->runningWork.contains(ticket); }
    /// Work that waits or runs, for the reconciler.
    void forEachQueued(const std::function<void(const AdmissionWork &)> &visit) const;
    void forEachRunning(const std::function<void(const AdmissionWork &)> &visit) const;
    /// Fills the counts and waits of a load sample.
    void fillLoad(proto::Load &load) const;
    /// Recent time of one request, and of one generated token.
    Duration serviceTime() const { return this->meanService; }
    uint32_t concurrency() const { return this->limits.concurrency; }

private:
    struct Order
    {
        bool operator()(const AdmissionWork &a, const AdmissionWork &b) const;
    };
    struct Running
    {
        AdmissionWork work;
        Instant since;
    };

    uint32_t slotReserve(uint32_t tierRank) const;
    uint64_t kvReserve(uint32_t tierRank, uint64_t kvMost) const;
    bool hasSlot(uint32_t tierRank) const;
    Duration waitBehind(uint32_t tierRank, size_t queuedAhead) const;
    std::vector<AdmissionWork> selectWork(const AdmissionResources &resources) const;

    AdmissionLimits limits;
    // Invariant: a ticket is in at most one of queue and runningWork.
    std::set<AdmissionWork, Order> queue;
    std::map<uint64_t, Running> runningWork;
    bool suspectRuns = false;
    Duration meanService = milliseconds(100);
    Duration meanToken = std::chrono::microseconds(5000);
};

} // namespace tray
