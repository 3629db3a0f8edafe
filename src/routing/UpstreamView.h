// State of one upstream as an entry instance knows it: its last load report, the requests sent
// since, and whether it is avoided.
#pragma once

#include "base/Time.h"

#include "dataplane.pb.h"

#include <array>
#include <mutex>
#include <span>
#include <string>

namespace tray {

/// Snapshot of an upstream's state, for routing strategies.
struct UpstreamEstimate
{
    /// The last load report is not older than LoadReportLifetime.
    bool isLoadFresh = false;
    /// No new requests are sent: the agent is draining, or new connections to it failed.
    bool isAvoided = false;
    uint32_t running = 0;
    uint32_t queued = 0;
    uint32_t concurrency = 0;
    /// Predicted wait of the lowest tier in the last report.
    Duration lowestTierWait{};
    /// Predicted wait of the highest tier in the last report.
    Duration highestTierWait{};
    /// Requests sent since the last report.
    uint32_t sentSinceReport = 0;
    /// Requests of this entry instance that have not ended.
    uint32_t inFlight = 0;
    uint32_t microsPerToken = 0;
    uint32_t prefillMicrosPer1kTokens = 0;
    /// Moving average of the time from dispatch to end.
    Duration serviceTime{};
};

/// State of one upstream. Thread-safe; each view has its own lock.
class UpstreamView
{
public:
    /// Load reports older than this are not used.
    static constexpr Duration LoadReportLifetime = std::chrono::seconds(3);
    /// Time without new requests after a failed connection; doubles with each consecutive failure
    /// up to the maximum.
    static constexpr Duration InitialAvoidanceTime = std::chrono::seconds(1);
    static constexpr Duration MaxAvoidanceTime = std::chrono::seconds(8);
    /// Time without new requests after the agent reported that it is draining.
    static constexpr Duration DrainAvoidanceTime = std::chrono::seconds(5);

    explicit UpstreamView(std::string name) : upstreamName(std::move(name)) {}

    const std::string &name() const { return this->upstreamName; }

    void noteSent(std::span<const uint64_t> prefixDigests);
    /// Records the end of an attempt; serviceTime is zero if it was not executed.
    void noteEnded(Duration serviceTime);
    void noteLoad(const proto::Load &load, Instant now);
    /// Records that a new connection failed. Returns true if it is the first failure since the
    /// last frame.
    bool noteUnreachable(Instant now);
    /// Records that a frame arrived from the upstream. Returns true if connections had failed
    /// before.
    bool noteReachable();
    void noteDraining(Instant now);

    UpstreamEstimate estimate(Instant now) const;
    /// Number of the leading prefixes that were recently sent to this upstream.
    size_t cachedPrefixCount(std::span<const uint64_t> prefixDigests) const;

private:
    // Direct-mapped cache of recent prefixes: a newer prefix replaces an older one in the same
    // slot, as engines evict old prefixes too.
    static constexpr size_t PrefixSlotCount = 512;

    const std::string upstreamName;
    mutable std::mutex mutex;
    proto::Load load;
    Instant loadReceivedAt{};
    uint32_t sentSinceReport = 0;
    uint32_t inFlight = 0;
    Duration serviceTime{};
    Instant avoidedUntil{};
    unsigned consecutiveFailures = 0;
    std::array<uint64_t, PrefixSlotCount> prefixes{};
};

} // namespace tray
