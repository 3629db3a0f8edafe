// What an entry instance believes about one upstream: its last load report, what was sent since,
// and whether it is suspected.
#pragma once

#include "base/Time.h"

#include "dataplane.pb.h"

#include <array>
#include <mutex>
#include <span>
#include <string>

namespace tray {

/// State of an upstream at one moment, for routing strategies.
struct UpstreamEstimate
{
    /// The last load report is recent enough to be believed.
    bool trusted = false;
    /// No new work: the agent drains, or fresh connections to it failed.
    bool avoided = false;
    uint32_t running = 0;
    uint32_t queued = 0;
    uint32_t concurrency = 0;
    /// Predicted wait of the lowest and of the highest tier at the last report.
    Duration wait{};
    Duration waitTop{};
    /// Requests sent since the last report.
    uint32_t sentSince = 0;
    /// Requests of this entry instance that have not ended.
    uint32_t inFlight = 0;
    uint32_t tokenMicros = 0;
    uint32_t prefillMicrosPer1k = 0;
    /// Recent time from dispatch to end.
    Duration serviceTime{};
};

/// Thread-safe view of one upstream; each view has a lock of its own.
class UpstreamView
{
public:
    /// Reports older than this are not believed.
    static constexpr Duration TrustTime = std::chrono::seconds(3);
    /// Time without new work after a failed fresh connection; doubled by each failure in a row.
    static constexpr Duration FirstSuspicion = std::chrono::seconds(1);
    static constexpr Duration LongestSuspicion = std::chrono::seconds(8);
    /// Time without new work after the agent said that it drains.
    static constexpr Duration DrainPause = std::chrono::seconds(5);

    explicit UpstreamView(std::string name) : upstreamName(std::move(name)) {}

    const std::string &name() const { return this->upstreamName; }

    void noteSent(std::span<const uint64_t> prefixDigests);
    /// The attempt has ended; serviceTime is zero if it did not run.
    void noteEnded(Duration serviceTime);
    void noteLoad(const proto::Load &load, Instant now);
    /// A fresh connection failed. True if the upstream was not suspected before.
    bool noteUnreachable(Instant now);
    /// A frame came from the upstream. True if it was suspected before.
    bool noteReachable();
    void noteDraining(Instant now);

    UpstreamEstimate estimate(Instant now) const;
    /// Number of leading prefixes that were recently sent to this upstream.
    size_t cachedPrefixes(std::span<const uint64_t> prefixDigests) const;

private:
    // Recent prefixes, direct-mapped: a newer prefix in the same slot replaces the older one, as
    // engines drop old prefixes too.
    static constexpr size_t PrefixSlots = 512;

    const std::string upstreamName;
    mutable std::mutex mutex;
    proto::Load load;
    Instant loadAt{};
    uint32_t sentSince = 0;
    uint32_t inFlight = 0;
    Duration serviceTime{};
    Instant avoidedUntil{};
    unsigned failures = 0;
    std::array<uint64_t, PrefixSlots> prefixes{};
};

} // namespace tray
